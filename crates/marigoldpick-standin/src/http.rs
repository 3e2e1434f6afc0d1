//! Reads HTTP requests and builds HTTP answers for the stand-ins.

use futures::AsyncReadExt;
use http_types::headers::CONTENT_TYPE;
use http_types::{Request, Response, StatusCode};
use marigoldpick_platform::REFUSED_HEADER;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Returns the value of a header.
#[must_use]
pub fn header<'a>(request: &'a Request, name: &str) -> Option<&'a str> {
    request.header(name).map(|value| value.last().as_str())
}

/// Creates an answer with a JSON body.
pub fn json<T: Serialize>(value: &T) -> Response {
    match serde_json::to_vec(value) {
        Ok(body) => {
            let mut response = Response::new(StatusCode::Ok);
            response.set_body(body);
            response.insert_header(CONTENT_TYPE, "application/json");
            response
        }
        Err(_) => Response::new(StatusCode::InternalServerError),
    }
}

/// Creates an answer with a JSON body and without a content type.
pub fn json_without_type<T: Serialize>(value: &T) -> Response {
    let mut response = json(value);
    response.remove_header(CONTENT_TYPE);
    response
}

/// Creates the answer to a request that was refused before its body was read.
#[must_use]
pub fn refused() -> Response {
    let mut response = Response::new(StatusCode::ServiceUnavailable);
    response.insert_header(REFUSED_HEADER, "1");
    response
}

/// Reads a whole body of at most `limit` bytes.
///
/// # Errors
/// Returns the status of the answer: the body is too large or malformed.
pub async fn read(request: &mut Request, limit: usize) -> Result<Vec<u8>, StatusCode> {
    let declared = request.len();
    if declared.is_some_and(|length| length > limit) {
        return Err(StatusCode::PayloadTooLarge);
    }
    let mut body = Vec::new();
    request
        .take_body()
        .take(limit as u64 + 1)
        .read_to_end(&mut body)
        .await
        .map_err(|_source| StatusCode::BadRequest)?;
    if body.len() > limit {
        return Err(StatusCode::PayloadTooLarge);
    }
    if declared.is_some_and(|length| length != body.len()) {
        return Err(StatusCode::BadRequest);
    }
    Ok(body)
}

/// Reads a JSON body of at most `limit` bytes.
///
/// # Errors
/// Returns the status of the answer: the body is too large or malformed.
pub async fn parse<T: DeserializeOwned>(
    request: &mut Request,
    limit: usize,
) -> Result<T, StatusCode> {
    let body = read(request, limit).await?;
    serde_json::from_slice(&body).map_err(|_source| StatusCode::BadRequest)
}

/// Returns the error that makes the listener close a connection without an answer.
#[must_use]
pub fn drop_connection() -> http_types::Error {
    http_types::Error::from_str(StatusCode::ServiceUnavailable, "connection dropped")
}
