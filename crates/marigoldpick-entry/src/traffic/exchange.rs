//! Sends one request to an endpoint and reads its answer.

use std::time::Duration;

use async_std::io::ReadExt;
use http_types::{Method, Request, Response, StatusCode, Url};
use marigoldpick_core::prelude::*;
use sha2::{Digest, Sha256};

use super::pool::{Conn, Pool};
use super::run::Invocation;

/// Answers up to this size are read whole and verified before any byte goes to the caller.
pub const BUFFERED_BYTES: u64 = 256 << 10;

/// `Answer` is an endpoint's answer, or the reason why there is none.
#[derive(Debug)]
pub enum Answer<'a> {
    /// A whole answer, verified.
    Whole(Whole),
    /// The head of a large answer, whose body is still unread.
    Large(Box<Large<'a>>),
    /// The endpoint refused the request before reading it.
    Refused,
    /// No connection could be made, or the address is invalid; no byte was sent.
    Unreachable,
    /// The connection failed before the answer began.
    Lost,
    /// The answer is truncated or too large, contradicts its length or digest, or belongs to another
    /// request.
    Cut,
}

/// `Whole` is an answer that was read to its end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Whole {
    /// The HTTP status.
    pub status: u16,
    /// The content type, empty when the endpoint sent none.
    pub content: String,
    /// The body.
    pub body: Vec<u8>,
}

/// `Large` is an answer whose body is not yet read.
#[derive(Debug)]
pub struct Large<'a> {
    /// The answer, with the body unread.
    pub response: Response,
    /// The body's length, if the endpoint sent it.
    pub length: Option<u64>,
    /// The body's digest, if the endpoint sent it.
    pub digest: Option<String>,
    /// The most bytes to accept.
    pub limit: u64,
    /// The connection, which returns to the pool when the body is read.
    pub conn: Conn<'a>,
}

/// Sends a request and reads the answer, or only the head of a large one.
pub async fn exchange<'a>(
    pool: &'a Pool,
    address: &str,
    invocation: &Invocation,
    remaining: Millis,
) -> Answer<'a> {
    let Ok(conn) = pool.get(address).await else {
        return Answer::Unreachable;
    };
    let Some(request) = request(address, invocation, remaining) else {
        return Answer::Unreachable;
    };
    let Ok(response) = async_h1::connect(conn.stream.clone(), request).await else {
        return Answer::Lost;
    };
    if response.status() == StatusCode::ServiceUnavailable
        && header(&response, "x-marigold-refused") == Some("1")
    {
        return Answer::Refused;
    }
    if header(&response, "x-marigold-request") != Some(invocation.request.as_str()) {
        return Answer::Cut;
    }
    let Ok(length) = length(&response) else {
        return Answer::Cut;
    };
    if length.is_some_and(|length| length > invocation.limit) {
        return Answer::Cut;
    }
    let large = Large {
        digest: header(&response, "x-marigold-digest").map(str::to_owned),
        limit: invocation.limit,
        response,
        length,
        conn,
    };
    match length {
        Some(length) if length <= BUFFERED_BYTES => {
            large.finish().await.map_or(Answer::Cut, Answer::Whole)
        }
        _ => Answer::Large(Box::new(large)),
    }
}

impl Large<'_> {
    /// Reads and verifies the body.
    pub async fn finish(mut self) -> Option<Whole> {
        let max_bytes = self.length.unwrap_or(self.limit);
        let mut body =
            Vec::with_capacity(usize::try_from(max_bytes.min(BUFFERED_BYTES)).unwrap_or_default());
        let reader = self.response.take_body();
        let read = reader.take(max_bytes + 1).read_to_end(&mut body).await;
        if read.is_err() || body.len() as u64 > max_bytes {
            return None;
        }
        let digest = hex(&Sha256::new_with_prefix(&body).finalize());
        if !self.is_whole(body.len() as u64, &digest) {
            return None;
        }
        let whole = Whole {
            status: self.response.status() as u16,
            content: content_type(&self.response),
            body,
        };
        self.release_connection();
        Some(whole)
    }

    /// Returns whether the bytes read are the whole answer.
    #[must_use]
    pub fn is_whole(&self, read: u64, digest: &str) -> bool {
        let length = self.length.is_none_or(|length| length == read);
        let same = self.digest.as_deref().is_none_or(|stated| stated == digest);
        // Without a length or a digest, a truncated body looks like a whole one.
        let verifiable = self.length.is_some() || self.digest.is_some();
        length && same && verifiable
    }

    /// Returns the connection to the pool after the body was read to its end.
    pub fn release_connection(self) {
        let close = header(&self.response, "connection");
        if !close.is_some_and(|value| value.eq_ignore_ascii_case("close")) {
            self.conn.put_back();
        }
    }
}

/// Returns bytes as lower-case hexadecimal digits.
#[must_use]
pub fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Returns an answer's content type, empty when there is none.
#[must_use]
pub fn content_type(response: &Response) -> String {
    header(response, "content-type")
        .unwrap_or_default()
        .to_owned()
}

/// Builds the request to an endpoint.
fn request(address: &str, invocation: &Invocation, remaining: Millis) -> Option<Request> {
    let url = Url::parse(&format!("http://{address}/run")).ok()?;
    let mut request = Request::new(Method::Post, url);
    request.insert_header("x-marigold-request", invocation.request.as_str());
    request.insert_header("x-marigold-attempt", invocation.attempt.to_string());
    request.insert_header("x-marigold-service", invocation.service.as_str());
    request.insert_header("x-marigold-team", invocation.team.as_str());
    request.insert_header("x-marigold-deadline-ms", remaining.0.to_string());
    request.insert_header("x-marigold-idempotent", invocation.idempotent.to_string());
    request.insert_header("x-marigold-domain", invocation.domain.as_str());
    request.set_body(invocation.body.as_slice());
    Some(request)
}

/// Returns the body length that the answer's headers state.
///
/// # Errors
/// Fails when a length is not a number, or when two lengths differ.
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
pub const fn remaining(deadline: Millis, now: Millis) -> Duration {
    deadline.since(now).duration()
}
