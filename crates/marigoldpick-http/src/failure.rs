//! Names the reasons for which a request is not read to its end.

use displaydoc::Display;
use http_types::headers::RETRY_AFTER;
use http_types::{Response, StatusCode, mime};

/// The value of the header `Retry-After`, in seconds.
pub(crate) const RETRY_AFTER_S: &str = "1";

/// `Failure` is why a request could not be read.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Failure {
    /// the head is too large
    HeadTooLarge,
    /// the head is malformed
    HeadMalformed,
    /// too many empty lines precede the request
    EmptyLines,
    /// the version of HTTP is not served
    Version,
    /// the body's encoding is not served
    Encoding,
    /// the body is too large
    BodyTooLarge,
    /// the body is malformed
    BodyMalformed,
    /// the body is incomplete
    BodyIncomplete,
    /// the entry has no room for the request now
    NoRoom,
}

impl std::error::Error for Failure {}

impl Failure {
    /// Returns the value of the label `cause` in metrics and log lines.
    pub(crate) const fn cause(self) -> &'static str {
        match self {
            Self::HeadTooLarge => "head-too-large",
            Self::HeadMalformed => "head-malformed",
            Self::EmptyLines => "empty-lines",
            Self::Version => "version",
            Self::Encoding => "encoding",
            Self::BodyTooLarge => "body-too-large",
            Self::BodyMalformed => "body-malformed",
            Self::BodyIncomplete => "body-incomplete",
            Self::NoRoom => "no-room",
        }
    }

    /// Returns the status that tells a client of the failure.
    #[must_use]
    pub const fn status(self) -> StatusCode {
        match self {
            Self::HeadTooLarge => StatusCode::RequestHeaderFieldsTooLarge,
            Self::Version => StatusCode::HttpVersionNotSupported,
            Self::Encoding => StatusCode::NotImplemented,
            Self::BodyTooLarge => StatusCode::PayloadTooLarge,
            Self::NoRoom => StatusCode::ServiceUnavailable,
            Self::HeadMalformed | Self::EmptyLines | Self::BodyMalformed | Self::BodyIncomplete => {
                StatusCode::BadRequest
            }
        }
    }

    /// Creates the answer that tells a client of the failure. The request has not run.
    #[must_use]
    pub fn response(self) -> Response {
        let mut response = Response::new(self.status());
        response.set_body(format!("{{\"Error\":\"{self}\"}}"));
        response.set_content_type(mime::JSON);
        if self == Self::NoRoom {
            response.insert_header(RETRY_AFTER, RETRY_AFTER_S);
        }
        response
    }
}
