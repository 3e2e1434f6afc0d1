//! Sends one HTTP request and reads its complete answer.
//!
//! Adapters to other platforms use [`Client`] for their calls, too.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use async_std::future::timeout;
use async_std::net::TcpStream;
use displaydoc::Display;
use futures::AsyncReadExt;
use http_types::headers::{CONNECTION, CONTENT_LENGTH, CONTENT_TYPE};
use http_types::{Method, Request, Response, StatusCode, Url};
use marigoldpick_core::prelude::*;

use crate::connection::{Connection, Meter};
use crate::pool::Pool;
use crate::{Caller, DOMAIN_HEADER, ENTRY_HEADER, REFUSED_HEADER, Settings};

/// The maximum size of an answer's body, in bytes.
const MAX_ANSWER: u64 = 64 << 20;

/// `Failure` is the reason why an exchange gave no usable answer.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Failure {
    /// nothing was carried out
    Away,
    /// it may have been carried out
    Unknown,
    /// the rate limit is reached; nothing was carried out
    Overloaded,
    /// the request is malformed; nothing was carried out
    Invalid,
}

/// `Reply` is a complete answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// The status.
    pub status: StatusCode,
    /// The body.
    pub body: Vec<u8>,
}

/// `Client` sends requests and pools the connections for them.
#[derive(Clone, Debug)]
pub struct Client {
    /// The caller named in the request headers, if any.
    caller: Option<Arc<Caller>>,
    settings: Settings,
    pool: Pool,
    meter: Meter,
}

impl Client {
    /// Creates a client that names `caller` in its requests; the metrics count its bytes for `target`.
    pub(crate) fn new(target: &'static str, caller: Caller, settings: Settings) -> Self {
        Self {
            caller: Some(Arc::new(caller)),
            ..Self::anonymous(target, settings)
        }
    }

    /// Creates a client that names no caller; the metrics count its bytes for `target`.
    #[must_use]
    pub fn anonymous(target: &'static str, settings: Settings) -> Self {
        Self {
            caller: None,
            settings,
            pool: Pool::new(settings.idle),
            meter: Meter::new(target),
        }
    }

    /// Sends a request and returns the complete answer, whatever its status.
    ///
    /// `extra` extends the timeout by the time that the server may wait on purpose.
    ///
    /// # Errors
    /// Fails when no complete answer arrives in time, with [`Failure::Away`] if no byte of the request
    /// was sent.
    pub async fn send(&self, request: Request, extra: Millis) -> Result<Reply, Failure> {
        let address = address_of(request.url()).ok_or(Failure::Invalid)?;
        let (status, _, body) = self.send_to(&address, request, extra).await?;
        Ok(Reply { status, body })
    }

    /// Sends `body` to `url` and returns the complete body of a successful answer.
    ///
    /// `extra` extends the timeout by the time that the server may wait on purpose.
    pub(crate) async fn exchange(
        &self,
        method: Method,
        url: &str,
        body: Vec<u8>,
        extra: Millis,
    ) -> Result<Vec<u8>, Failure> {
        let url = Url::parse(url).map_err(|_source| Failure::Invalid)?;
        let address = address_of(&url).ok_or(Failure::Invalid)?;
        let request = self.build_request(method, url, body);
        let (status, refused, body) = self.send_to(&address, request, extra).await?;
        body_or_failure(status, refused, body)
    }

    async fn send_to(
        &self,
        address: &str,
        request: Request,
        extra: Millis,
    ) -> Result<(StatusCode, bool, Vec<u8>), Failure> {
        let sent = Arc::new(AtomicBool::new(false));
        let limit = self.settings.call + extra;
        let round_trip = self.round_trip(address, request, Arc::clone(&sent));
        if let Ok(Some(answer)) = timeout(limit.duration(), round_trip).await {
            return Ok(answer);
        }
        let is_away = !sent.load(Ordering::SeqCst);
        if is_away || self.settings.closes_idle_on_failure {
            self.pool.forget(address);
        }
        Err(if is_away {
            Failure::Away
        } else {
            Failure::Unknown
        })
    }

    fn build_request(&self, method: Method, url: Url, body: Vec<u8>) -> Request {
        let mut request = Request::new(method, url);
        if let Some(caller) = &self.caller {
            request.insert_header(DOMAIN_HEADER, caller.domain.as_str());
            request.insert_header(ENTRY_HEADER, caller.entry.as_str());
        }
        if !body.is_empty() {
            request.set_body(body);
            // All bodies are JSON, and most are shorter than the content type header, so it is left out.
            request.remove_header(CONTENT_TYPE);
        }
        request
    }

    /// Returns the status, whether the request was refused unread, and the body; `None` without a
    /// complete answer.
    async fn round_trip(
        &self,
        address: &str,
        request: Request,
        sent: Arc<AtomicBool>,
    ) -> Option<(StatusCode, bool, Vec<u8>)> {
        let stream = self.pool.take(address, self.settings.connect).await.ok()?;
        let connection = Connection::new(stream.clone(), sent, self.meter.clone());
        let mut response = async_h1::connect(connection, request).await.ok()?;
        let body = read_body(&mut response).await?;
        let refused = response
            .header(REFUSED_HEADER)
            .is_some_and(|value| value.as_str() == "1");
        self.return_to_pool(address, stream, &response);
        Some((response.status(), refused, body))
    }

    fn return_to_pool(&self, address: &str, stream: TcpStream, response: &Response) {
        let closes = response
            .header(CONNECTION)
            .is_some_and(|value| value.as_str().eq_ignore_ascii_case("close"));
        if !closes {
            self.pool.put(address, stream);
        }
    }
}

/// Reads a body; returns `None` if its length is not announced, too large or not reached.
async fn read_body(response: &mut Response) -> Option<Vec<u8>> {
    let announced: u64 = response
        .header(CONTENT_LENGTH)?
        .last()
        .as_str()
        .parse()
        .ok()?;
    if announced > MAX_ANSWER {
        return None;
    }
    let mut body = Vec::new();
    response.take_body().read_to_end(&mut body).await.ok()?;
    (body.len() as u64 == announced).then_some(body)
}

fn body_or_failure(status: StatusCode, refused: bool, body: Vec<u8>) -> Result<Vec<u8>, Failure> {
    match status {
        StatusCode::Ok => Ok(body),
        StatusCode::TooManyRequests => Err(Failure::Overloaded),
        StatusCode::BadRequest | StatusCode::NotFound | StatusCode::PayloadTooLarge => {
            Err(Failure::Invalid)
        }
        _ if refused => Err(Failure::Away),
        _ => Err(Failure::Unknown),
    }
}

fn address_of(url: &Url) -> Option<String> {
    let host = url.host_str()?;
    let port = url.port_or_known_default()?;
    Some(format!("{host}:{port}"))
}

/// Counts one call in the metrics.
pub(crate) fn count_call(target: &'static str, kind: &'static str, result: &'static str) {
    metrics::counter!(
        "marigold_platform_calls_total",
        "target" => target,
        "kind" => kind,
        "result" => result
    )
    .increment(1);
}
