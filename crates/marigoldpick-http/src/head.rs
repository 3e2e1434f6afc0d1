//! Finds and parses the head of a request.

use std::str::FromStr;

use http_types::headers::{CONNECTION, EXPECT, HeaderName, HeaderValue};
use http_types::{Method, Request, Url, Version};

use crate::Failure;

/// The most header lines of a request.
pub const MAX_LINES: usize = 256;
/// The bytes that a parsed header takes beside its text, roughly.
const HEADER_BYTES: usize = 160;

/// `Length` is how the length of a request's body is given.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Length {
    /// By the number of bytes; zero if there is no body.
    Bytes(u64),
    /// By chunks.
    Chunked,
}

/// `Head` is the head of a request.
#[derive(Debug)]
pub struct Head {
    /// The request, without its body.
    pub request: Request,
    /// The length of its body.
    pub length: Length,
    /// Whether the connection stays open after the answer.
    pub keeps_alive: bool,
    /// Whether the client waits for an interim answer before it sends the body.
    pub expects_continue: bool,
    /// The bytes that the parsed head takes, roughly.
    pub cost: usize,
}

/// Returns the length of the empty lines at the start of `bytes`, and their number.
#[must_use]
pub fn skip_empty_lines(bytes: &[u8]) -> (usize, usize) {
    let ends = |byte: &&u8| matches!(byte, b'\r' | b'\n');
    let skipped = bytes.iter().take_while(ends).count();
    let lines = bytes[..skipped].iter().filter(|byte| **byte == b'\n');
    (skipped, lines.count())
}

/// Returns the length of the head that `bytes` begins with; the first `scanned` bytes hold no end.
#[must_use]
pub fn find_end(bytes: &[u8], scanned: usize) -> Option<usize> {
    let from = scanned.saturating_sub(3);
    let mut feeds = bytes[from..].iter().enumerate();
    feeds.find_map(|(at, byte)| {
        let before = &bytes[..from + at];
        let is_end = *byte == b'\n' && (before.ends_with(b"\n\r") || before.ends_with(b"\n"));
        is_end.then_some(from + at + 1)
    })
}

/// Parses a whole head.
///
/// # Errors
/// Fails when the head is malformed, or asks for something that is not served.
pub fn parse(bytes: &[u8]) -> Result<Head, Failure> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_LINES];
    let mut parsed = httparse::Request::new(&mut headers);
    match parsed.parse(bytes) {
        Ok(httparse::Status::Complete(_)) => {}
        Err(httparse::Error::TooManyHeaders) => return Err(Failure::HeadTooLarge),
        Err(httparse::Error::Version) => return Err(Failure::Version),
        Ok(httparse::Status::Partial) | Err(_) => return Err(Failure::HeadMalformed),
    }
    let (Some(method), Some(path)) = (parsed.method, parsed.path) else {
        return Err(Failure::HeadMalformed);
    };
    let is_latest = parsed.version == Some(1);
    let method = Method::from_str(method).map_err(|_unknown| Failure::HeadMalformed)?;
    let url = read_url(method, path, parsed.headers, is_latest)?;
    let mut request = Request::new(method, url);
    request.set_version(Some(if is_latest {
        Version::Http1_1
    } else {
        Version::Http1_0
    }));
    let length = read_length(parsed.headers, is_latest)?;
    let mut keeps_alive = is_latest;
    let mut expects_continue = false;
    for header in parsed.headers.iter() {
        let name = HeaderName::from_bytes(header.name.as_bytes().to_vec());
        let value = HeaderValue::from_bytes(header.value.to_vec());
        let (Ok(name), Ok(value)) = (name, value) else {
            return Err(Failure::HeadMalformed);
        };
        if name == CONNECTION {
            let mut words = value.as_str().split(',').map(str::trim);
            keeps_alive &= !words.any(|word| word.eq_ignore_ascii_case("close"));
        }
        if name == EXPECT {
            expects_continue = is_latest && value.as_str().eq_ignore_ascii_case("100-continue");
        }
        request.append_header(name, value);
    }
    Ok(Head {
        request,
        length,
        keeps_alive,
        expects_continue,
        cost: 2 * bytes.len() + HEADER_BYTES * parsed.headers.len(),
    })
}

fn read_url(
    method: Method,
    path: &str,
    headers: &[httparse::Header<'_>],
    is_latest: bool,
) -> Result<Url, Failure> {
    let host = headers.iter().find(|h| h.name.eq_ignore_ascii_case("host"));
    let host = match host {
        Some(host) => std::str::from_utf8(host.value).ok(),
        None if is_latest => None,
        None => Some("localhost"),
    };
    let host = host.ok_or(Failure::HeadMalformed)?;
    let text = if path.starts_with("http://") || path.starts_with("https://") {
        path.to_owned()
    } else if path.starts_with('/') {
        format!("http://{host}{path}")
    } else if method == Method::Connect {
        format!("http://{path}/")
    } else {
        return Err(Failure::HeadMalformed);
    };
    Url::parse(&text).map_err(|_invalid| Failure::HeadMalformed)
}

/// Reads the length of the body.
///
/// A head that gives it twice in different ways is rejected: a proxy may have read another length.
fn read_length(headers: &[httparse::Header<'_>], is_latest: bool) -> Result<Length, Failure> {
    let (mut bytes, mut is_chunked) = (None, false);
    for header in headers {
        if header.name.eq_ignore_ascii_case("transfer-encoding") {
            if !header.value.trim_ascii().eq_ignore_ascii_case(b"chunked") {
                return Err(Failure::Encoding);
            }
            if is_chunked {
                return Err(Failure::HeadMalformed);
            }
            is_chunked = true;
        } else if header.name.eq_ignore_ascii_case("content-length") {
            let text = std::str::from_utf8(header.value).unwrap_or_default().trim();
            let is_number = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
            let value: Option<u64> = text.parse().ok().filter(|_| is_number);
            let value = value.ok_or(Failure::HeadMalformed)?;
            if bytes.is_some_and(|known| known != value) {
                return Err(Failure::HeadMalformed);
            }
            bytes = Some(value);
        }
    }
    match (bytes, is_chunked) {
        (None, true) if is_latest => Ok(Length::Chunked),
        (_, true) => Err(Failure::HeadMalformed),
        (length, false) => Ok(Length::Bytes(length.unwrap_or(0))),
    }
}
