//! One request and answer between this entry and an endpoint.

use std::time::Duration;

use async_std::io::ReadExt;
use http_types::{Method, Request, Response, StatusCode, Url};
use marigoldpick_core::prelude::*;
use sha2::{Digest, Sha256};

use super::pool::{Conn, Pool};
use super::run::Ask;

/// Answers up to this size are read and verified before the caller gets a byte.
pub const WHOLE: u64 = 256 << 10;

/// `Start` is what came back before the answer's body was passed on.
#[derive(Debug)]
pub enum Start<'a> {
    /// The whole answer, verified.
    Whole(Whole),
    /// The head of a large answer, and the way to the rest.
    Large(Box<Large<'a>>),
    /// The endpoint refused the request unread.
    Refused,
    /// No connection could be made; no byte left.
    Unreached,
    /// The endpoint was lost before its answer began.
    Lost,
    /// The answer was cut short, or is not the answer to this request.
    Cut,
}

/// `Whole` is a whole answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Whole {
    /// The HTTP status.
    pub status: u16,
    /// The content type, empty when none was named.
    pub content: String,
    /// The body.
    pub body: Vec<u8>,
}

/// `Large` is an answer whose body is still to be read.
#[derive(Debug)]
pub struct Large<'a> {
    /// The answer, with the body unread.
    pub response: Response,
    /// The body's length, if the endpoint named it.
    pub length: Option<u64>,
    /// The body's digest, if the endpoint named it.
    pub digest: Option<String>,
    /// The most bytes to accept.
    pub limit: u64,
    /// The connection, to be put back when all is read.
    pub conn: Conn<'a>,
}

/// Sends a request and reads what the endpoint answers.
pub async fn exchange<'a>(pool: &'a Pool, address: &str, ask: &Ask, left: Millis) -> Start<'a> {
    let Ok(conn) = pool.get(address).await else {
        return Start::Unreached;
    };
    let Some(request) = request(address, ask, left) else {
        return Start::Unreached;
    };
    let Ok(response) = async_h1::connect(conn.stream.clone(), request).await else {
        return Start::Lost;
    };
    if response.status() == StatusCode::ServiceUnavailable
        && header(&response, "x-marigold-refused") == Some("1")
    {
        return Start::Refused;
    }
    if header(&response, "x-marigold-request") != Some(ask.request.as_str()) {
        return Start::Cut;
    }
    let Ok(length) = length(&response) else {
        return Start::Cut;
    };
    if length.is_some_and(|length| length > ask.limit) {
        return Start::Cut;
    }
    let large = Large {
        digest: header(&response, "x-marigold-digest").map(str::to_owned),
        limit: ask.limit,
        response,
        length,
        conn,
    };
    match length {
        Some(length) if length <= WHOLE => large.finish().await.map_or(Start::Cut, Start::Whole),
        _ => Start::Large(Box::new(large)),
    }
}

impl Large<'_> {
    /// Reads and verifies the rest.
    pub async fn finish(mut self) -> Option<Whole> {
        let most = self.length.unwrap_or(self.limit);
        let mut body = Vec::with_capacity(usize::try_from(most.min(WHOLE)).unwrap_or_default());
        let reader = self.response.take_body();
        let read = reader.take(most + 1).read_to_end(&mut body).await;
        if read.is_err() || body.len() as u64 > most {
            return None;
        }
        let digest = digest(&Sha256::new_with_prefix(&body).finalize());
        if !self.verify(body.len() as u64, &digest) {
            return None;
        }
        let whole = Whole {
            status: self.response.status() as u16,
            content: content(&self.response),
            body,
        };
        self.done();
        Some(whole)
    }

    /// Tells whether what was read is the whole answer.
    #[must_use]
    pub fn verify(&self, read: u64, digest: &str) -> bool {
        let length = self.length.is_none_or(|length| length == read);
        let same = self.digest.as_deref().is_none_or(|named| named == digest);
        // Without either, the end of the body can't be told from a cut.
        let told = self.length.is_some() || self.digest.is_some();
        length && same && told
    }

    /// Puts the connection back after the body was read to its end.
    pub fn done(self) {
        let close = header(&self.response, "connection");
        if !close.is_some_and(|value| value.eq_ignore_ascii_case("close")) {
            self.conn.put_back();
        }
    }
}

/// Returns a digest as text.
#[must_use]
pub fn digest(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Returns an answer's content type.
#[must_use]
pub fn content(response: &Response) -> String {
    header(response, "content-type")
        .unwrap_or_default()
        .to_owned()
}

fn request(address: &str, ask: &Ask, left: Millis) -> Option<Request> {
    let url = Url::parse(&format!("http://{address}/run")).ok()?;
    let mut request = Request::new(Method::Post, url);
    request.insert_header("x-marigold-request", ask.request.as_str());
    request.insert_header("x-marigold-attempt", ask.attempt.to_string());
    request.insert_header("x-marigold-service", ask.service.as_str());
    request.insert_header("x-marigold-team", ask.team.as_str());
    request.insert_header("x-marigold-deadline-ms", left.0.to_string());
    request.insert_header("x-marigold-idempotent", ask.idempotent.to_string());
    request.insert_header("x-marigold-domain", ask.domain.as_str());
    request.set_body(ask.body.as_slice());
    Some(request)
}

/// Returns the length that an answer's headers promise.
fn length(response: &Response) -> Result<Option<u64>, Code> {
    let mut length = None;
    for name in ["content-length", "x-marigold-length"] {
        for value in response.header(name).into_iter().flatten() {
            let Ok(value) = value.as_str().parse::<u64>() else {
                return Err(Code::UnknownAnswerCut);
            };
            if length.is_some_and(|length| length != value) {
                return Err(Code::UnknownAnswerCut);
            }
            length = Some(value);
        }
    }
    Ok(length)
}

fn header<'a>(response: &'a Response, name: &str) -> Option<&'a str> {
    response.header(name).map(|values| values.last().as_str())
}

/// Returns the time until `deadline`.
#[must_use]
pub const fn left(deadline: Millis, now: Millis) -> Duration {
    deadline.since(now).duration()
}
