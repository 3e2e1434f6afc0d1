//! Tests the operators' client and commands against fake entries.

use std::process::{Command, Output};
use std::sync::{Arc, Mutex};

use async_std::net::TcpListener;
use async_std::stream::StreamExt;
use async_std::task;
use googletest::prelude::*;
use http_types::{Response, StatusCode};
use marigoldpick::client::Client;
use marigoldpick::command::locate;
use marigoldpick::core::intent::Yield;
use marigoldpick::core::operator::{Accepted, Problem};
use marigoldpick::core::plan::{Displaced, Plan};
use marigoldpick::core::prelude::*;
use marigoldpick::core::team::{Limit, Overview, Share, Usage};
use marigoldpick::core::work::explain::{self, Answer, Placement, Reason};
use marigoldpick::render;
use serde::Serialize;

/// `Reply` is the response of a fake entry to a path.
#[derive(Clone, Debug)]
enum Reply {
    Json(StatusCode, String),
    /// The connection is closed after the request was read, without a response.
    Lost,
}

/// `Fake` is an entry that responds from a table and records the requested paths.
#[derive(Clone, Debug)]
struct Fake {
    address: String,
    asked: Arc<Mutex<Vec<String>>>,
}

impl Fake {
    fn start(replies: Vec<(&'static str, Reply)>) -> Self {
        let listener = task::block_on(TcpListener::bind("127.0.0.1:0")).expect("a free port");
        let address = listener
            .local_addr()
            .expect("the listener has an address")
            .to_string();
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

fn ok_reply<T: Serialize>(value: &T) -> Reply {
    Reply::Json(
        StatusCode::Ok,
        serde_json::to_string(value).expect("the value has a JSON form"),
    )
}

fn problem_reply(status: StatusCode, code: Code) -> Reply {
    let text = serde_json::to_string(&Problem::new(code, "a problem of the test"));
    Reply::Json(status, text.expect("a problem has a JSON form"))
}

fn plan(displaced: Vec<Displaced>) -> Plan {
    Plan::new(4, Default::default(), Vec::new(), displaced, Vec::new())
}

fn displaced() -> Displaced {
    Displaced {
        task: "night:3".parse().expect("the task is valid"),
        by: id::Job::new("rain").expect("the name is valid"),
        how: Yield::Stop,
    }
}

fn plan_id() -> id::Plan {
    id::Plan::new("abc").expect("the name is valid")
}

/// Returns an address without a listener.
fn unused_address() -> String {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener
        .local_addr()
        .expect("the listener has an address")
        .to_string()
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
fn confirm_tries_the_next_entry_when_one_is_unreachable_or_lacks_the_plan() {
    let without_plan = Fake::start(vec![(
        "/v1/confirm",
        problem_reply(StatusCode::NotFound, Code::UnknownPlan),
    )]);
    let with_plan = Fake::start(vec![("/v1/confirm", ok_reply(&Accepted { sequence: 7 }))]);
    let entries = vec![
        unused_address(),
        without_plan.address.clone(),
        with_plan.address.clone(),
    ];
    let accepted = task::block_on(Client::of(entries).confirm(plan_id()));
    expect_that!(accepted, ok(eq(&Accepted { sequence: 7 })));
    expect_that!(without_plan.asked().len(), eq(1));
}

#[googletest::test]
fn confirm_with_lost_response_is_not_sent_to_another_entry() {
    let losing = Fake::start(vec![("/v1/confirm", Reply::Lost)]);
    let other = Fake::start(vec![("/v1/confirm", ok_reply(&Accepted { sequence: 7 }))]);
    let client = Client::of(vec![losing.address.clone(), other.address.clone()]);
    let problem = task::block_on(client.confirm(plan_id())).expect_err("the response is lost");
    expect_that!(problem.code, eq(Code::AcceptUnknown));
    expect_that!(other.asked(), is_empty());
}

#[googletest::test]
fn confirm_stale_plan_is_not_sent_to_another_entry() {
    let stale = Fake::start(vec![(
        "/v1/confirm",
        problem_reply(StatusCode::Conflict, Code::Stale),
    )]);
    let other = Fake::start(vec![("/v1/confirm", ok_reply(&Accepted { sequence: 7 }))]);
    let client = Client::of(vec![stale.address.clone(), other.address.clone()]);
    let problem = task::block_on(client.confirm(plan_id())).expect_err("the plan is stale");
    expect_that!(problem.code, eq(Code::Stale));
    expect_that!(other.asked(), is_empty());
}

#[googletest::test]
fn status_malformed_response_is_a_problem() {
    let malformed = Fake::start(vec![(
        "/v1/status",
        Reply::Json(StatusCode::Ok, "{".to_owned()),
    )]);
    let client = Client::of(vec![malformed.address.clone()]);
    let problem = task::block_on(client.status()).expect_err("the response is malformed");
    expect_that!(problem.message, contains_substring("malformed"));
}

#[googletest::test]
fn plan_yes_does_not_confirm_a_plan_that_displaces() {
    let entry = Fake::start(vec![
        ("/v1/plan", ok_reply(&plan(vec![displaced()]))),
        ("/v1/confirm", ok_reply(&Accepted { sequence: 7 })),
    ]);
    let output = marigold(&["plan", &intent(), "--yes", "--entry", &entry.address]);
    expect_that!(
        output.status.code(),
        some(eq(Code::NeedsConfirm.exit_status()))
    );
    let output_text = String::from_utf8_lossy(&output.stdout).into_owned();
    expect_that!(
        output_text,
        contains_substring("displaces night:3 for rain by stop")
    );
    expect_that!(entry.asked(), elements_are![eq("/v1/plan")]);
}

#[googletest::test]
fn plan_yes_confirms_a_plan_that_displaces_nothing() {
    let entry = Fake::start(vec![
        ("/v1/plan", ok_reply(&plan(Vec::new()))),
        ("/v1/confirm", ok_reply(&Accepted { sequence: 7 })),
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
    let printed: serde_json::Value =
        serde_json::from_slice(&output.stdout).expect("one JSON object");
    expect_that!(printed["accepted"]["sequence"].as_u64(), some(eq(7)));
}

#[googletest::test]
fn plan_without_yes_does_not_confirm() {
    let entry = Fake::start(vec![("/v1/plan", ok_reply(&plan(Vec::new())))]);
    let output = marigold(&["plan", &intent(), "--entry", &entry.address]);
    expect_that!(output.status.code(), some(eq(0)));
    expect_that!(entry.asked(), elements_are![eq("/v1/plan")]);
}

#[googletest::test]
fn teams_reads_and_renders_what_a_lead_knows() {
    let overview = Overview {
        entry: id::Entry::new("e1").expect("a name"),
        version: 7,
        age: Some(Millis(640)),
        peers: 2,
        teams: Some(vec![Usage {
            share: Share {
                team: id::Team::new("a").expect("a name"),
                weight: 19.0,
                limit: Limit {
                    millicores: Some(8_000),
                    ..Limit::UNLIMITED
                },
            },
            used: Amount::new(4_000, 100),
            waiting: 3,
            excess: 2,
            limited: 1,
        }]),
    };
    let entry = Fake::start(vec![("/v1/teams", ok_reply(&overview))]);
    let client = Client::of(vec![entry.address.clone()]);
    let read = task::block_on(client.teams()).expect("an overview");
    expect_that!(read, eq(&overview));
    let text = render::teams(&read);
    expect_that!(
        text,
        contains_substring("entry e1, configuration 7, confirmed 640 ms ago, 2 other entries")
    );
    expect_that!(
        text,
        contains_substring("limit 8000 millicores, uses 4000 millicores, 100 MiB")
    );
    expect_that!(
        text,
        contains_substring("3 jobs wait (2 excess), 1 steps at the limit")
    );
}

fn location(entry: &str, placement: Option<Placement>) -> Answer {
    Answer {
        entry: id::Entry::new(entry).expect("a name"),
        lead: Some(id::Entry::new("e2").expect("a name")),
        version: 7,
        config_age: Some(Millis(640)),
        admission: explain::Admission::default(),
        placement,
    }
}

/// Only the lead knows the workers, so an entry that does not lead must not end the search.
#[googletest::test]
fn where_reads_and_renders_what_the_lead_would_do() {
    let placement = Placement {
        excess: true,
        objective: Millis(1_750),
        waiting: 9,
        steps: vec![explain::Step {
            number: 0,
            tasks: 4,
            outcome: explain::Outcome::StartsInPart,
            behind: 2,
            before: Vec::new(),
            qualified: 3,
            excluded: vec![(Reason::Draining, 1), (Reason::Full, 8)],
            admitted: 2,
            worker: Some(explain::Candidate {
                worker: id::Worker::new("w1").expect("a name"),
                cost_ms: 830,
                report_age: Some(Millis(90)),
            }),
            next: None,
            places: Vec::new(),
            question: None,
        }],
        term_age: Millis(60_000),
        pass_age: Millis(8),
        report_age: Some(Millis(1_900)),
    };
    let follower = Fake::start(vec![("/v1/where", ok_reply(&location("e1", None)))]);
    let lead = location("e2", Some(placement));
    let entry = Fake::start(vec![("/v1/where", ok_reply(&lead))]);
    let job = locate::parse("j.toml", JOB).expect("a job");
    let client = Client::of(vec![follower.address.clone(), entry.address]);
    let read = task::block_on(client.locate(&job)).expect("an answer");
    expect_that!(read, eq(&lead));
    let text = render::location(&read);
    for line in [
        "entry e2, configuration 7, confirmed 640 ms ago",
        "on time within 1750 ms, beyond the rate of its team",
        "step 0, 4 tasks: some tasks start, the others wait for room; behind 2 of 9 waiting steps",
        "3 workers qualify; excluded: 1 draining, 8 without room now",
        "the team's limit admits 2 tasks",
        "first: w1, cost 830 ms, reported 90 ms ago",
    ] {
        expect_that!(text, contains_substring(line));
    }
    let alone = Client::of(vec![follower.address]);
    let read = task::block_on(alone.locate(&job)).expect("an answer");
    expect_that!(
        render::location(&read),
        contains_substring("no placement: e2 leads")
    );
}

const JOB: &str = "queue = \"fast\"\n\n[[steps]]\ncount = 4\nestimate = 800\n\
                   needs = { millicores = 2000, memory_mib = 500 }\n";

/// An operator who mistypes a field must not get the answer for another job.
#[googletest::test]
fn where_names_file_and_line_or_field_of_bad_input() {
    let error = |file: &str, text: &str| {
        let parsed = locate::parse(file, text);
        parsed.expect_err("a malformed job").to_string()
    };
    let queue = JOB.replace("queue", "queues");
    expect_that!(error("j.toml", &queue), contains_substring("j.toml:1:"));
    let label = JOB.replace("estimate = 800", "estimate = 800\nlabels = \"a\"");
    let why = error("j.toml", &label);
    expect_that!(why, contains_substring("steps[0].labels"));
    let count = JOB.replace("count = 4", "count = 0");
    expect_that!(error("j.toml", &count), contains_substring("steps.count"));
    let json = "{\"queue\": \"fast\",\n \"steps\": 7}";
    expect_that!(error("j.json", json), contains_substring("j.json:2:"));
}
