//! Tests that each kind of call and answer between control and traffic threads arrives as it was
//! sent.

use async_std::task::block_on;
use googletest::prelude::*;
use marigoldpick_core::config::{Change, Entry, State, Target};
use marigoldpick_core::control::{self, Beat, Endpoint, Known, Led};
use marigoldpick_core::intent::Intent;
use marigoldpick_core::operator;
use marigoldpick_core::peer::{
    self, Class, Demand, Forward, Forwarded, Grant, Lease, Once, Outcome, Record, Step, Want,
};
use marigoldpick_core::plan::Plan;
use marigoldpick_core::prelude::*;
use marigoldpick_core::worker::Epoch;
use marigoldpick_wire::{Answer, Call, Error, Settings};

use crate::common::{LONG, Script, client, close, known, serve};

const INTENT: &str = "[[team]]\nname = \"t\"\nquota = { millicores = 9, memory_mib = 9 }\n\
                      [[job]]\nname = \"j\"\nclass = \"batch\"\nteam = \"t\"\n\
                      needs = { millicores = 1, memory_mib = 1 }\n";

fn name<T: std::str::FromStr<Err: std::fmt::Debug>>(text: &str) -> T {
    text.parse().expect("a name")
}

fn intent() -> Intent {
    Intent::parse("i.toml", INTENT).expect("an intent")
}

fn plan() -> Plan {
    Plan::new(3, intent(), Vec::new(), Vec::new(), Vec::new())
}

fn entry(sequence: u64) -> Entry {
    let target = Target::Rack(name("north/r0"));
    Entry {
        sequence,
        writer: "n0 \"quoted\" \u{e9}".to_owned(),
        changes: vec![Change::Drain { target, on: true }],
    }
}

fn epoch() -> Epoch {
    Epoch {
        tenure: 1,
        interim: u64::MAX,
        lead: 3,
    }
}

fn beat() -> Beat {
    let led = |lead| Led {
        epoch: epoch(),
        shard: operator::Shard {
            shard: name("north/0"),
            lead,
            workers: 1,
            silent: 2,
            running: 3,
            waiting: 4,
            unrecorded: 5,
        },
        endpoints: 6,
    };
    let other = Known {
        entry: name("n1"),
        ..known("127.0.0.1:9")
    };
    Beat {
        known: known("127.0.0.1:1"),
        incarnation: 7,
        age: Millis(8),
        draining: true,
        sequence: 9,
        store_age: Millis(10),
        led: vec![led(Some(name("n0"))), led(None)],
        others: vec![other],
    }
}

fn control_calls() -> Vec<control::Call> {
    vec![
        control::Call::Beat(beat()),
        control::Call::Push(vec![entry(1), entry(2)]),
        control::Call::Push(Vec::new()),
        control::Call::Survey {
            shard: name("north/0"),
            jobs: intent().job,
        },
        control::Call::Plan(plan().id),
        control::Call::Explain(name("j:7")),
        control::Call::Endpoints(name("north/0")),
    ]
}

fn traffic_calls() -> Vec<peer::Call> {
    let once = |step| {
        peer::Call::Once(Once {
            request: name("r1"),
            attempt: 1,
            entry: name("s0"),
            token: u64::MAX,
            step,
        })
    };
    let want = Want {
        endpoint: name("j.0.1"),
        held: 1,
        used: 2,
        want: 3,
        cover: Millis(4),
    };
    let forward = |class| {
        peer::Call::Forward(Box::new(Forward {
            request: name("r1"),
            attempt: 2,
            service: name("booking"),
            team: name("t"),
            class,
            idempotent: true,
            deadline: Millis(5),
            body: vec![0, 255, 10],
        }))
    };
    vec![
        peer::Call::Demand(Demand {
            entry: name("s0"),
            incarnation: 1,
            sequence: 2,
            whole: true,
            wants: vec![want.clone(), want],
        }),
        once(Step::Register { within: Millis(3) }),
        once(Step::Close),
        once(Step::Settle(Outcome::NotRun)),
        once(Step::Settle(Outcome::Unknown(Code::UnknownTimeout))),
        forward(Class::Urgent),
        forward(Class::Normal),
        forward(Class::Low),
    ]
}

fn control_answers() -> Vec<control::Answer> {
    let mut state = State::default();
    state.apply(&entry(1));
    vec![
        control::Answer::Beat(beat()),
        control::Answer::Entries(vec![entry(4)]),
        control::Answer::State(Box::new(state)),
        control::Answer::Sequence(5),
        control::Answer::Offers("[{}]".to_owned()),
        control::Answer::Plan(None),
        control::Answer::Plan(Some(Box::new(plan()))),
        control::Answer::Explain(operator::Explain {
            task: name("j:0"),
            state: "waiting".to_owned(),
            worker: None,
            reasons: vec!["one".to_owned(), String::new()],
        }),
        control::Answer::Progress(vec![operator::Progress {
            shard: name("r0"),
            epoch: epoch(),
            jobs: vec![operator::Job {
                job: name("j"),
                count: 1,
                running: 2,
                waiting: 3,
                completed: 4,
                failed: 5,
                cancelled: true,
            }],
        }]),
        control::Answer::Endpoints {
            epoch: epoch(),
            version: 6,
            endpoints: vec![Endpoint {
                id: name("j.0.1"),
                service: name("booking"),
                worker: name("r0/w1"),
                address: "127.0.0.1:2".to_owned(),
                leaving: true,
            }],
        },
    ]
}

fn traffic_answers() -> Vec<peer::Answer> {
    let record = |state| {
        peer::Answer::Record(Record {
            state,
            age: Millis(1),
        })
    };
    let done = |body| peer::State::Ended(Outcome::Done { status: 200, body });
    let forwarded = |retry_after| {
        peer::Answer::Forward(Box::new(Forwarded {
            code: Code::NotRunTooLate,
            status: 0,
            content: "text/plain".to_owned(),
            body: vec![1; 100_000],
            retry_after,
        }))
    };
    vec![
        peer::Answer::Grant(Grant {
            resend: true,
            span: Millis(2),
            leases: vec![Lease {
                endpoint: name("j.0.1"),
                slots: 3,
            }],
        }),
        record(peer::State::Never),
        record(peer::State::Yours),
        record(peer::State::Taken),
        record(peer::State::Full),
        record(done(None)),
        record(done(Some(Vec::new()))),
        record(done(Some(vec![7]))),
        forwarded(None),
        forwarded(Some(Millis(9))),
        peer::Answer::Refused(Code::NotRunDraining),
    ]
}

#[googletest::test]
fn call_of_each_kind_arrives_as_sent() {
    let script = Script::new();
    let (_server, to) = serve(&script);
    let client = client(Settings::default());
    script.set(Err(Code::NotLead));
    let control = control_calls().into_iter().map(Call::Control);
    let traffic = traffic_calls().into_iter().map(Call::Traffic);
    for call in control.chain(traffic) {
        let answer = block_on(client.call(&to, call.clone(), LONG));
        expect_that!(answer, err(eq(&Error::Refused(Code::NotLead))));
        expect_that!(script.last(), some(eq(&call)));
    }
}

#[googletest::test]
fn answer_of_each_kind_arrives_as_sent() {
    let script = Script::new();
    let (_server, to) = serve(&script);
    let client = client(Settings::default());
    let explain = Call::Control(control::Call::Explain(name("j:0")));
    for answer in control_answers().into_iter().map(Answer::Control) {
        script.set(Ok(answer.clone()));
        let got = block_on(client.call(&to, explain.clone(), LONG));
        expect_that!(got, ok(eq(&answer)));
    }
    for answer in traffic_answers().into_iter().map(Answer::Traffic) {
        script.set(Ok(answer.clone()));
        let got = block_on(client.call(&to, close("r1"), LONG));
        expect_that!(got, ok(eq(&answer)));
    }
}

#[googletest::test]
fn answer_of_another_kind_is_unknown() {
    let script = Script::new();
    let (_server, to) = serve(&script);
    script.set(Ok(Answer::Control(control::Answer::Sequence(1))));
    let client = client(Settings::default());
    let got = block_on(client.call(&to, close("r1"), LONG));
    expect_that!(got, err(eq(&Error::Unknown)));
}
