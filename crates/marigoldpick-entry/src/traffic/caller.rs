//! The callers' interface: headers in, headers out.

use http_types::{Body, Method, Request, Response, StatusCode};
use marigoldpick_core::peer::Class;
use marigoldpick_core::prelude::*;

/// Where the balancer asks whether the entry takes requests.
pub const HEALTH: &str = "/v1/health";
/// Where requests to a service go.
const PATH: &str = "/v1/call/";

/// `Head` is what a caller's headers say.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Head {
    /// The service.
    pub service: id::Service,
    /// The team.
    pub team: id::Team,
    /// The class.
    pub class: Class,
    /// The time from now in which the answer must be there, if named.
    pub deadline: Option<Millis>,
    /// Whether it may be run again.
    pub idempotent: bool,
    /// The request's id, if named.
    pub request: Option<id::Request>,
    /// The attempt, from one.
    pub attempt: u32,
    /// The time since the first attempt, if named.
    pub age: Option<Millis>,
}

/// `Problem` is a request that can't be handled, with what is wrong.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// The code.
    pub code: Code,
    /// More, for people.
    pub message: String,
}

/// Reads the head of a request.
///
/// # Errors
/// Fails with `BadRequest` or `BadValue`, naming the header.
pub fn head(request: &Request) -> Result<Head, Problem> {
    let service = request.url().path().strip_prefix(PATH);
    let service = service.ok_or_else(|| bad("the path must be /v1/call/{service}"))?;
    if request.method() != Method::Post {
        return Err(bad("the method must be POST"));
    }
    let service = id::Service::new(service).map_err(|error| bad(&error.to_string()))?;
    let team = text(request, "x-marigold-team").ok_or_else(|| bad("x-marigold-team is missing"))?;
    let team = id::Team::new(team).map_err(|error| bad(&format!("x-marigold-team: {error}")))?;
    let named = text(request, "x-marigold-request").map(id::Request::new);
    let named = named.transpose();
    let named = named.map_err(|error| bad(&format!("x-marigold-request: {error}")))?;
    let attempt = number(request, "x-marigold-attempt")?.unwrap_or(1);
    let attempt = u32::try_from(attempt).ok().filter(|attempt| *attempt > 0);
    let attempt = attempt.ok_or_else(|| bad("x-marigold-attempt must be from 1 up"))?;
    if attempt > 1 && named.is_none() {
        return Err(bad("a later attempt must name x-marigold-request"));
    }
    Ok(Head {
        service,
        team,
        class: class(request)?,
        deadline: number(request, "x-marigold-deadline-ms")?.map(Millis),
        idempotent: idempotent(request)?,
        request: named,
        attempt,
        age: number(request, "x-marigold-age-ms")?.map(Millis),
    })
}

/// Tells the balancer whether to send requests here: 200, or 503 from the start of a drain.
#[must_use]
pub fn health(draining: bool) -> Response {
    let (status, text) = if draining {
        (StatusCode::ServiceUnavailable, "draining\n")
    } else {
        (StatusCode::Ok, "ready\n")
    };
    let mut response = Response::new(status);
    response.set_body(Body::from_string(text.to_owned()));
    response
}

/// Makes an answer without an endpoint's body.
#[must_use]
pub fn refusal(code: Code, message: &str, retry_after: Option<Millis>) -> Response {
    let mut response = Response::new(status(code));
    let text = if message.is_empty() {
        code.text()
    } else {
        message
    };
    response.set_body(Body::from_string(format!("{} {text}\n", code.number())));
    mark(&mut response, code);
    if let Some(span) = retry_after {
        response.insert_header("x-marigold-retry-after-ms", span.0.to_string());
        response.insert_header("retry-after", span.0.div_ceil(1_000).to_string());
    }
    response
}

/// Adds the result headers.
pub fn mark(response: &mut Response, code: Code) {
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

fn class(request: &Request) -> Result<Class, Problem> {
    match text(request, "x-marigold-class") {
        None | Some("normal") => Ok(Class::Normal),
        Some("urgent") => Ok(Class::Urgent),
        Some("low") => Ok(Class::Low),
        Some(_) => Err(bad("x-marigold-class must be urgent, normal or low")),
    }
}

fn idempotent(request: &Request) -> Result<bool, Problem> {
    match text(request, "x-marigold-idempotent") {
        None | Some("false") => Ok(false),
        Some("true") => Ok(true),
        Some(_) => Err(bad("x-marigold-idempotent must be true or false")),
    }
}

fn number(request: &Request, header: &str) -> Result<Option<u64>, Problem> {
    let Some(text) = text(request, header) else {
        return Ok(None);
    };
    match text.parse() {
        Ok(number) => Ok(Some(number)),
        Err(_) => Err(bad(&format!("{header} must be a number"))),
    }
}

fn text<'a>(request: &'a Request, header: &str) -> Option<&'a str> {
    request.header(header).map(|values| values.last().as_str())
}

fn bad(message: &str) -> Problem {
    Problem {
        code: Code::BadRequest,
        message: message.to_owned(),
    }
}
