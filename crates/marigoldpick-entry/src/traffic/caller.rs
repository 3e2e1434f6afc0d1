//! Translates between callers' HTTP headers and request fields and results.

use http_types::{Body, Method, Request, Response, StatusCode};
use marigoldpick_core::peer::Class;
use marigoldpick_core::prelude::*;

/// The path of the load balancer's health check.
pub const HEALTH: &str = "/v1/health";
/// The path prefix of requests to a service.
const PATH: &str = "/v1/call/";

/// `Head` holds the fields from a caller's path and headers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Head {
    /// The service.
    pub service: id::Service,
    /// The team.
    pub team: id::Team,
    /// The priority class.
    pub class: Class,
    /// The time from now within which the answer must arrive, if given.
    pub deadline: Option<Millis>,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// The request's id, if given.
    pub request: Option<id::Request>,
    /// The number of the attempt, from one.
    pub attempt: u32,
    /// The time since the first attempt, if given.
    pub age: Option<Millis>,
}

/// `Problem` is the reason why a request can't be handled.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// The result code.
    pub code: Code,
    /// A message for people.
    pub message: String,
}

/// Parses the path and headers of a request.
///
/// # Errors
/// Fails with `BadRequest` or `BadValue`, naming the header.
pub fn parse_head(request: &Request) -> Result<Head, Problem> {
    let service = request.url().path().strip_prefix(PATH);
    let service = service.ok_or_else(|| bad_request("the path must be /v1/call/{service}"))?;
    if request.method() != Method::Post {
        return Err(bad_request("the method must be POST"));
    }
    let service = id::Service::new(service).map_err(|error| bad_request(&error.to_string()))?;
    let team = header_text(request, "x-marigold-team")
        .ok_or_else(|| bad_request("x-marigold-team is missing"))?;
    let team =
        id::Team::new(team).map_err(|error| bad_request(&format!("x-marigold-team: {error}")))?;
    let named = header_text(request, "x-marigold-request").map(id::Request::new);
    let named = named.transpose();
    let named = named.map_err(|error| bad_request(&format!("x-marigold-request: {error}")))?;
    let attempt = parse_number(request, "x-marigold-attempt")?.unwrap_or(1);
    let attempt = u32::try_from(attempt).ok().filter(|attempt| *attempt > 0);
    let attempt = attempt.ok_or_else(|| bad_request("x-marigold-attempt must be from 1 up"))?;
    if attempt > 1 && named.is_none() {
        return Err(bad_request("a later attempt must name x-marigold-request"));
    }
    Ok(Head {
        service,
        team,
        class: parse_class(request)?,
        deadline: parse_number(request, "x-marigold-deadline-ms")?.map(Millis),
        idempotent: parse_idempotent(request)?,
        request: named,
        attempt,
        age: parse_number(request, "x-marigold-age-ms")?.map(Millis),
    })
}

/// Answers the load balancer's health check: 200, or 503 from the start of a drain.
#[must_use]
pub fn health_response(draining: bool) -> Response {
    let (status, text) = if draining {
        (StatusCode::ServiceUnavailable, "draining\n")
    } else {
        (StatusCode::Ok, "ready\n")
    };
    let mut response = Response::new(status);
    response.set_body(Body::from_string(text.to_owned()));
    response
}

/// Builds a response for a request without an endpoint's answer.
#[must_use]
pub fn refusal(code: Code, message: &str, retry_after: Option<Millis>) -> Response {
    let mut response = Response::new(status(code));
    let text = if message.is_empty() {
        code.text()
    } else {
        message
    };
    response.set_body(Body::from_string(format!("{} {text}\n", code.number())));
    insert_result(&mut response, code);
    if let Some(span) = retry_after {
        response.insert_header("x-marigold-retry-after-ms", span.0.to_string());
        response.insert_header("retry-after", span.0.div_ceil(1_000).to_string());
    }
    response
}

/// Adds the result headers.
pub fn insert_result(response: &mut Response, code: Code) {
    let result = if code == Code::Done {
        "done"
    } else if code.is_unknown() {
        "unknown"
    } else {
        "not-run"
    };
    response.insert_header("x-marigold-result", result);
    response.insert_header("x-marigold-code", code.number().to_string());
}

/// Returns the HTTP status of a result code.
const fn status(code: Code) -> StatusCode {
    match code {
        Code::NotRunQueueFull => StatusCode::TooManyRequests,
        Code::NotRunUnknownService => StatusCode::NotFound,
        Code::UnknownTimeout => StatusCode::GatewayTimeout,
        Code::TooLarge => StatusCode::PayloadTooLarge,
        Code::BadRequest | Code::BadValue => StatusCode::BadRequest,
        code if code.is_unknown() => StatusCode::BadGateway,
        _ => StatusCode::ServiceUnavailable,
    }
}

fn parse_class(request: &Request) -> Result<Class, Problem> {
    match header_text(request, "x-marigold-class") {
        None | Some("normal") => Ok(Class::Normal),
        Some("urgent") => Ok(Class::Urgent),
        Some("low") => Ok(Class::Low),
        Some(_) => Err(bad_request(
            "x-marigold-class must be urgent, normal or low",
        )),
    }
}

fn parse_idempotent(request: &Request) -> Result<bool, Problem> {
    match header_text(request, "x-marigold-idempotent") {
        None | Some("false") => Ok(false),
        Some("true") => Ok(true),
        Some(_) => Err(bad_request("x-marigold-idempotent must be true or false")),
    }
}

fn parse_number(request: &Request, header: &str) -> Result<Option<u64>, Problem> {
    let Some(text) = header_text(request, header) else {
        return Ok(None);
    };
    match text.parse() {
        Ok(number) => Ok(Some(number)),
        Err(_) => Err(bad_request(&format!("{header} must be a number"))),
    }
}

fn header_text<'a>(request: &'a Request, header: &str) -> Option<&'a str> {
    request.header(header).map(|values| values.last().as_str())
}

fn bad_request(message: &str) -> Problem {
    Problem {
        code: Code::BadRequest,
        message: message.to_owned(),
    }
}
