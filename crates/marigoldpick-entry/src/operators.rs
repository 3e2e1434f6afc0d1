//! The operators' API: JSON over HTTP, where the control thread handles most calls.

use async_channel::Sender;
use marigoldpick_core::operator::{Cancel, Confirm, Drain, PlanRequest, Problem};
use marigoldpick_core::prelude::*;
use marigoldpick_http::{Failure, read_body};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tide::utils::After;
use tide::{Request, Response, StatusCode};

use crate::control::message::{Message, Reply, ask};
use crate::exposition::Exposition;
use crate::recorder::Recorder;

/// The maximum size of a call's body.
pub(crate) const MAX_BODY_BYTES: usize = 4 << 20;

/// `Api` is the state that the request handlers share.
#[derive(Clone, Debug)]
pub struct Api {
    control: Sender<Message>,
    recorder: Recorder,
    exposition: Exposition,
}

type Outcome<T> = Result<T, Problem>;

impl Api {
    /// Creates the shared state.
    #[must_use]
    pub const fn new(control: Sender<Message>, recorder: Recorder, exposition: Exposition) -> Self {
        Self {
            control,
            recorder,
            exposition,
        }
    }

    /// Returns the HTTP server with its routes.
    #[must_use]
    pub fn server(self) -> tide::Server<Self> {
        let mut server = tide::with_state(self);
        server.with(After(|response: Response| async {
            Ok(describe_unrouted(response))
        }));
        server.at("/v1/plan").post(plan);
        server.at("/v1/confirm").post(confirm);
        server.at("/v1/cancel").post(cancel);
        server.at("/v1/drain").post(drain);
        server.at("/v1/status").get(status);
        server.at("/v1/explain/:task").get(explain);
        server.at("/v1/timeline").get(timeline);
        server.at("/metrics").get(metrics);
        server
    }

    async fn ask<T: Send>(&self, make: impl FnOnce(Reply<T>) -> Message) -> Outcome<T> {
        match ask(&self.control, make).await {
            Some(outcome) => outcome,
            None => Err(Problem::new(
                Code::NoLead,
                "the entry is stopping; ask another one",
            )),
        }
    }
}

async fn plan(mut request: Request<Api>) -> tide::Result {
    let outcome = match body::<PlanRequest>(&mut request).await {
        Ok(ask) => {
            request
                .state()
                .ask(|reply| Message::Plan { ask, reply })
                .await
        }
        Err(problem) => Err(problem),
    };
    respond(outcome)
}

async fn confirm(mut request: Request<Api>) -> tide::Result {
    let outcome = match body::<Confirm>(&mut request).await {
        Ok(confirm) => {
            request
                .state()
                .ask(|reply| Message::Confirm {
                    plan: confirm.plan,
                    reply,
                })
                .await
        }
        Err(problem) => Err(problem),
    };
    respond(outcome)
}

async fn cancel(mut request: Request<Api>) -> tide::Result {
    let outcome = match body::<Cancel>(&mut request).await {
        Ok(cancel) => {
            request
                .state()
                .ask(|reply| Message::Cancel {
                    jobs: cancel.jobs,
                    reply,
                })
                .await
        }
        Err(problem) => Err(problem),
    };
    respond(outcome)
}

async fn drain(mut request: Request<Api>) -> tide::Result {
    let outcome = match body::<Drain>(&mut request).await {
        Ok(drain) => {
            let Drain { target, on } = drain;
            request
                .state()
                .ask(|reply| Message::Drain { target, on, reply })
                .await
        }
        Err(problem) => Err(problem),
    };
    respond(outcome)
}

async fn status(request: Request<Api>) -> tide::Result {
    respond(request.state().ask(|reply| Message::Status { reply }).await)
}

async fn explain(request: Request<Api>) -> tide::Result {
    let text = request
        .param("task")
        .unwrap_or_default()
        .replace("%2F", "/")
        .replace("%3A", ":");
    let outcome = match text.parse::<id::Task>() {
        Ok(task) => {
            request
                .state()
                .ask(|reply| Message::Explain { task, reply })
                .await
        }
        Err(error) => Err(Problem::new(Code::BadValue, format!("task: {error}"))),
    };
    respond(outcome)
}

async fn timeline(request: Request<Api>) -> tide::Result {
    #[derive(serde::Deserialize)]
    struct Query {
        #[serde(default)]
        after: u64,
    }
    let outcome = match request.query::<Query>() {
        Ok(query) => Ok(request.state().recorder.page(query.after)),
        Err(error) => Err(Problem::new(Code::BadRequest, error.to_string())),
    };
    respond(outcome)
}

/// Adds a problem as body to the response to an unknown path or method.
///
/// Such a response has no body; those of the handlers have one.
fn describe_unrouted(mut response: Response) -> Response {
    let status = response.status();
    let unrouted = matches!(status, StatusCode::NotFound | StatusCode::MethodNotAllowed);
    if unrouted && response.is_empty() != Some(false) {
        let details = "no such call; see docs/operators/command-line.md for what there is";
        let problem = Problem::new(Code::BadRequest, details);
        let text = serde_json::to_string(&problem).unwrap_or_default();
        response.set_content_type("application/json");
        response.set_body(text);
    }
    response
}

async fn metrics(request: Request<Api>) -> tide::Result {
    let text = request.state().exposition.render();
    Ok(Response::builder(StatusCode::Ok)
        .content_type("text/plain")
        .body(text)
        .build())
}

async fn body<T: DeserializeOwned>(request: &mut Request<Api>) -> Outcome<T> {
    let read = read_body(request.take_body(), MAX_BODY_BYTES).await;
    let bytes = read.map_err(|why| match why {
        Failure::BodyTooLarge => Problem::new(Code::TooLarge, "the body has more than 4 MiB"),
        Failure::NoRoom => Problem::new(Code::NotAccepted, why.to_string()),
        _ => Problem::new(Code::BadRequest, why.to_string()),
    })?;
    serde_json::from_slice(&bytes).map_err(|error| {
        let unknown = error.to_string().contains("unknown field");
        let code = if unknown {
            Code::UnknownField
        } else {
            Code::BadRequest
        };
        Problem::new(code, format!("body: {error}"))
    })
}

fn respond<T: Serialize>(outcome: Outcome<T>) -> tide::Result {
    let (status, text) = match outcome {
        Ok(answer) => (StatusCode::Ok, serde_json::to_string(&answer)?),
        Err(problem) => (http_status(problem.code), serde_json::to_string(&problem)?),
    };
    Ok(Response::builder(status)
        .content_type("application/json")
        .body(text)
        .build())
}

const fn http_status(code: Code) -> StatusCode {
    match code.number() / 100 {
        1 => StatusCode::BadRequest,
        2 => match code {
            Code::UnknownPlan | Code::UnknownTask => StatusCode::NotFound,
            Code::NotAccepted | Code::NoLead | Code::AcceptUnknown => {
                StatusCode::ServiceUnavailable
            }
            _ => StatusCode::Conflict,
        },
        _ => StatusCode::ServiceUnavailable,
    }
}
