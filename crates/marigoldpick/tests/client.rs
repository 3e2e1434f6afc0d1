//! The operators' client and commands against small fakes of an entry.

use std::process::{Command, Output};
use std::sync::{Arc, Mutex};

use async_std::net::TcpListener;
use async_std::stream::StreamExt;
use async_std::task;
use googletest::prelude::*;
use http_types::{Response, StatusCode};
use marigoldpick::client::Client;
use marigoldpick::core::intent::Yield;
use marigoldpick::core::operator::{Accepted, Problem};
use marigoldpick::core::plan::{Displaced, Plan};
use marigoldpick::core::prelude::*;
use serde::Serialize;

/// `Reply` is what a fake answers to a path.
#[derive(Clone, Debug)]
enum Reply {
    Json(StatusCode, String),
    /// The connection is closed after the request was read.
    Lost,
}

/// `Fake` is an entry that answers from a table and notes what it was asked.
#[derive(Clone, Debug)]
struct Fake {
    address: String,
    asked: Arc<Mutex<Vec<String>>>,
}

impl Fake {
    fn start(replies: Vec<(&'static str, Reply)>) -> Self {
        let listener = task::block_on(TcpListener::bind("127.0.0.1:0")).expect("a free port");
        let address = listener.local_addr().expect("an address").to_string();
        let asked = Arc::new(Mutex::new(Vec::new()));
        let fake = Self {
            address,
            asked: Arc::clone(&asked),
        };
        task::spawn(async move {
            let mut incoming = listener.incoming();
            while let Some(Ok(stream)) = incoming.next().await {
                let replies = replies.clone();
                let asked = Arc::clone(&asked);
                let served = async_h1::accept(stream, |request| {
                    let path = request.url().path().to_owned();
                    let reply = replies.iter().find(|(known, _)| *known == path);
                    let reply = reply.map(|(_, reply)| reply.clone());
                    asked.lock().expect("no fake has panicked").push(path);
                    async move { answer(reply) }
                });
                drop(served.await);
            }
        });
        fake
    }

    fn asked(&self) -> Vec<String> {
        self.asked.lock().expect("no fake has panicked").clone()
    }
}

fn answer(reply: Option<Reply>) -> http_types::Result<Response> {
    match reply {
        Some(Reply::Json(status, text)) => {
            let mut response = Response::new(status);
            response.set_body(text);
            Ok(response)
        }
        Some(Reply::Lost) => Err(http_types::Error::from_str(
            StatusCode::InternalServerError,
            "lost",
        )),
        None => Ok(Response::new(StatusCode::NotFound)),
    }
}

fn good<T: Serialize>(value: &T) -> Reply {
    Reply::Json(
        StatusCode::Ok,
        serde_json::to_string(value).expect("the value has a JSON form"),
    )
}

fn bad(status: StatusCode, code: Code) -> Reply {
    let text = serde_json::to_string(&Problem::new(code, "as the test wants"));
    Reply::Json(status, text.expect("a problem has a JSON form"))
}

fn plan(displaced: Vec<Displaced>) -> Plan {
    Plan::new(4, Default::default(), Vec::new(), displaced, Vec::new())
}

fn displaced() -> Displaced {
    Displaced {
        task: "night:3".parse().expect("a task"),
        by: id::Job::new("rain").expect("a name"),
        how: Yield::Stop,
    }
}

fn name() -> id::Plan {
    id::Plan::new("abc").expect("a name")
}

/// Returns an address that nobody listens at.
fn nobody() -> String {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("an address").to_string()
}

fn marigold(words: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_marigold"))
        .args(words)
        .output()
        .expect("the program runs")
}

fn intent() -> String {
    let path = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join("client-intent.toml");
    std::fs::write(&path, "").expect("the file is written");
    path.display().to_string()
}

#[googletest::test]
fn confirm_asks_the_next_entry_when_one_is_away_or_lacks_the_plan() {
    let lacks = Fake::start(vec![(
        "/v1/confirm",
        bad(StatusCode::NotFound, Code::UnknownPlan),
    )]);
    let holds = Fake::start(vec![("/v1/confirm", good(&Accepted { sequence: 7 }))]);
    let entries = vec![nobody(), lacks.address.clone(), holds.address.clone()];
    let accepted = task::block_on(Client::of(entries).confirm(name()));
    expect_that!(accepted, ok(eq(&Accepted { sequence: 7 })));
    expect_that!(lacks.asked().len(), eq(1));
}

#[googletest::test]
fn confirm_lost_answer_is_not_sent_to_another_entry() {
    let loses = Fake::start(vec![("/v1/confirm", Reply::Lost)]);
    let other = Fake::start(vec![("/v1/confirm", good(&Accepted { sequence: 7 }))]);
    let client = Client::of(vec![loses.address.clone(), other.address.clone()]);
    let problem = task::block_on(client.confirm(name())).expect_err("the answer is lost");
    expect_that!(problem.code, eq(Code::AcceptUnknown));
    expect_that!(other.asked(), is_empty());
}

#[googletest::test]
fn confirm_stale_is_final() {
    let stale = Fake::start(vec![(
        "/v1/confirm",
        bad(StatusCode::Conflict, Code::Stale),
    )]);
    let other = Fake::start(vec![("/v1/confirm", good(&Accepted { sequence: 7 }))]);
    let client = Client::of(vec![stale.address.clone(), other.address.clone()]);
    let problem = task::block_on(client.confirm(name())).expect_err("the plan is stale");
    expect_that!(problem.code, eq(Code::Stale));
    expect_that!(other.asked(), is_empty());
}

#[googletest::test]
fn status_malformed_answer_is_a_problem() {
    let babbles = Fake::start(vec![(
        "/v1/status",
        Reply::Json(StatusCode::Ok, "{".to_owned()),
    )]);
    let client = Client::of(vec![babbles.address.clone()]);
    let problem = task::block_on(client.status()).expect_err("the answer is malformed");
    expect_that!(problem.message, contains_substring("malformed"));
}

#[googletest::test]
fn plan_yes_does_not_confirm_what_displaces() {
    let entry = Fake::start(vec![
        ("/v1/plan", good(&plan(vec![displaced()]))),
        ("/v1/confirm", good(&Accepted { sequence: 7 })),
    ]);
    let output = marigold(&["plan", &intent(), "--yes", "--entry", &entry.address]);
    expect_that!(output.status.code(), some(eq(Code::NeedsConfirm.exit())));
    let told = String::from_utf8_lossy(&output.stdout).into_owned();
    expect_that!(
        told,
        contains_substring("displaces night:3 for rain by stop")
    );
    expect_that!(entry.asked(), elements_are![eq("/v1/plan")]);
}

#[googletest::test]
fn plan_yes_confirms_what_displaces_nothing() {
    let entry = Fake::start(vec![
        ("/v1/plan", good(&plan(Vec::new()))),
        ("/v1/confirm", good(&Accepted { sequence: 7 })),
    ]);
    let words = [
        "plan",
        &intent(),
        "--yes",
        "--json",
        "--entry",
        &entry.address,
    ];
    let output = marigold(&words);
    expect_that!(output.status.code(), some(eq(0)));
    let told: serde_json::Value = serde_json::from_slice(&output.stdout).expect("one JSON object");
    expect_that!(told["accepted"]["sequence"].as_u64(), some(eq(7)));
}

#[googletest::test]
fn plan_alone_changes_nothing() {
    let entry = Fake::start(vec![("/v1/plan", good(&plan(Vec::new())))]);
    let output = marigold(&["plan", &intent(), "--entry", &entry.address]);
    expect_that!(output.status.code(), some(eq(0)));
    expect_that!(entry.asked(), elements_are![eq("/v1/plan")]);
}
