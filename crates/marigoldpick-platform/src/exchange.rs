//! One HTTP request and its whole answer.
//!
//! [`Client`] is also what adapters to other platforms make their calls with.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use async_std::future::timeout;
use async_std::net::TcpStream;
use displaydoc::Display;
use futures::AsyncReadExt;
use http_types::headers::{CONNECTION, CONTENT_LENGTH, CONTENT_TYPE};
use http_types::{Method, Request, Response, StatusCode, Url};
use marigoldpick_core::prelude::*;

use crate::link::{Link, Meter};
use crate::pool::Pool;
use crate::{Caller, DOMAIN_HEADER, ENTRY_HEADER, REFUSED_HEADER, Settings};

/// The largest answer, in bytes.
const MAX_ANSWER: u64 = 64 << 20;

/// `Failure` is why an exchange brought no answer.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Failure {
    /// nothing was carried out
    Away,
    /// it may have been carried out
    Unknown,
    /// the rate is used up; nothing was carried out
    Overloaded,
    /// the request is malformed; nothing was carried out
    Invalid,
}

/// `Reply` is a whole answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// The status.
    pub status: StatusCode,
    /// The body.
    pub body: Vec<u8>,
}

/// `Client` makes exchanges for one caller.
#[derive(Clone, Debug)]
pub struct Client {
    /// Who calls, where the other side wants to be told.
    caller: Option<Arc<Caller>>,
    settings: Settings,
    pool: Pool,
    meter: Meter,
}

impl Client {
    /// Makes a client without connections; its bytes count for `target`.
    pub(crate) fn new(target: &'static str, caller: Caller, settings: Settings) -> Self {
        Self {
            caller: Some(Arc::new(caller)),
            ..Self::anonymous(target, settings)
        }
    }

    /// Makes a client that does not tell who calls; its bytes count for `target`.
    #[must_use]
    pub fn anonymous(target: &'static str, settings: Settings) -> Self {
        Self {
            caller: None,
            settings,
            pool: Pool::new(settings.idle),
            meter: Meter::new(target),
        }
    }

    /// Sends a request and returns the whole answer, whatever its status.
    ///
    /// `extra` is the time that the other side may take on purpose.
    ///
    /// # Errors
    /// Fails when no whole answer came in time; [`Failure::Away`] if no byte of it has left.
    pub async fn send(&self, request: Request, extra: Millis) -> Result<Reply, Failure> {
        let address = address_of(request.url()).ok_or(Failure::Invalid)?;
        let (status, _, body) = self.answer(&address, request, extra).await?;
        Ok(Reply { status, body })
    }

    /// Sends `body` to `url` and returns the whole body of the answer.
    ///
    /// `extra` is the time that the other side may take on purpose.
    pub(crate) async fn exchange(
        &self,
        method: Method,
        url: &str,
        body: Vec<u8>,
        extra: Millis,
    ) -> Result<Vec<u8>, Failure> {
        let url = Url::parse(url).map_err(|_source| Failure::Invalid)?;
        let address = address_of(&url).ok_or(Failure::Invalid)?;
        let request = self.request(method, url, body);
        let (status, refused, body) = self.answer(&address, request, extra).await?;
        settle(status, refused, body)
    }

    async fn answer(
        &self,
        address: &str,
        request: Request,
        extra: Millis,
    ) -> Result<(StatusCode, bool, Vec<u8>), Failure> {
        let sent = Arc::new(AtomicBool::new(false));
        let limit = self.settings.call + extra;
        let converse = self.converse(address, request, Arc::clone(&sent));
        if let Ok(Some(answer)) = timeout(limit.duration(), converse).await {
            return Ok(answer);
        }
        let is_away = !sent.load(Ordering::SeqCst);
        if is_away || self.settings.forgets {
            self.pool.forget(address);
        }
        Err(if is_away {
            Failure::Away
        } else {
            Failure::Unknown
        })
    }

    fn request(&self, method: Method, url: Url, body: Vec<u8>) -> Request {
        let mut request = Request::new(method, url);
        if let Some(caller) = &self.caller {
            request.insert_header(DOMAIN_HEADER, caller.domain.as_str());
            request.insert_header(ENTRY_HEADER, caller.entry.as_str());
        }
        if !body.is_empty() {
            request.set_body(body);
            // All bodies are JSON, and most are shorter than the header that would say so.
            request.remove_header(CONTENT_TYPE);
        }
        request
    }

    /// Returns the status, whether the request was refused unread, and the body; nothing when the
    /// answer did not come whole.
    async fn converse(
        &self,
        address: &str,
        request: Request,
        sent: Arc<AtomicBool>,
    ) -> Option<(StatusCode, bool, Vec<u8>)> {
        let stream = self.pool.take(address, self.settings.connect).await.ok()?;
        let link = Link::new(stream.clone(), sent, self.meter.clone());
        let mut response = async_h1::connect(link, request).await.ok()?;
        let body = read_whole(&mut response).await?;
        let refused = response
            .header(REFUSED_HEADER)
            .is_some_and(|value| value.as_str() == "1");
        self.keep(address, stream, &response);
        Some((response.status(), refused, body))
    }

    fn keep(&self, address: &str, stream: TcpStream, response: &Response) {
        let closes = response
            .header(CONNECTION)
            .is_some_and(|value| value.as_str().eq_ignore_ascii_case("close"));
        if !closes {
            self.pool.put(address, stream);
        }
    }
}

/// Reads a body whose length was announced; a shorter one is no answer.
async fn read_whole(response: &mut Response) -> Option<Vec<u8>> {
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

fn settle(status: StatusCode, refused: bool, body: Vec<u8>) -> Result<Vec<u8>, Failure> {
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

/// Adds one call to the counters.
pub(crate) fn count(target: &'static str, kind: &'static str, result: &'static str) {
    metrics::counter!(
        "marigold_platform_calls_total",
        "target" => target,
        "kind" => kind,
        "result" => result
    )
    .increment(1);
}
