//! The answers to proposals.

use googletest::prelude::*;
use marigoldpick_core::config::{Change, Target};
use marigoldpick_core::prelude::*;
use marigoldpick_shard::Settings;
use marigoldpick_shard::config::Input;

use crate::cluster::{check_end, cluster};
use crate::specification::job;
use crate::support::FaultRates;

#[googletest::test]
fn propose_races_one_wins_the_other_is_stale() {
    let mut cluster = cluster(1, &Settings::default());
    let one = cluster.propose(0, job(1, 7, 1));
    let two = cluster.propose(3, job(1, 7, 2));
    cluster.run(2_000);
    let mut answers = [cluster.answers[&one].is_ok(), cluster.answers[&two].is_ok()];
    answers.sort_unstable();
    expect_that!(answers, eq([false, true]));
    check_end(&mut cluster);
}

#[googletest::test]
fn propose_repeated_confirm_has_the_first_number() {
    let mut cluster = cluster(2, &Settings::default());
    let one = cluster.propose(0, job(1, 7, 1));
    cluster.run(1_000);
    cluster.feed(
        3,
        Input::Propose {
            ticket: 99,
            change: job(1, 7, 1),
        },
    );
    cluster.run(1_000);
    expect_that!(cluster.answers.get(&99), some(eq(&cluster.answers[&one])));
}

#[googletest::test]
fn propose_store_away_is_not_accepted_at_once() {
    let mut cluster = cluster(3, &Settings::default());
    cluster.rates = FaultRates::AWAY;
    let ticket = cluster.propose(1, job(1, 1, 0));
    cluster.run(100);
    expect_that!(
        cluster.answers.get(&ticket),
        some(eq(&Err(Code::NotAccepted)))
    );
    check_end(&mut cluster);
}

#[googletest::test]
fn propose_answer_lost_for_long_is_unknown_and_then_settled() {
    let mut cluster = cluster(4, &Settings::default());
    cluster.rates.answer_lost = 1_000;
    let ticket = cluster.propose(1, job(1, 1, 0));
    cluster.run(6_000);
    expect_that!(
        cluster.answers.get(&ticket),
        some(eq(&Err(Code::AcceptUnknown)))
    );
    // The operator proposes the change again, and gets the number of the first write.
    cluster.rates = FaultRates::default();
    cluster.run(8_000);
    cluster.feed(
        2,
        Input::Propose {
            ticket: 99,
            change: job(1, 1, 0),
        },
    );
    cluster.run(1_000);
    expect_that!(cluster.answers.get(&99), some(eq(&Ok(2))));
    cluster.answers.remove(&99);
    check_end(&mut cluster);
}

#[googletest::test]
fn propose_many_at_once_share_entries() {
    let mut cluster = cluster(5, &Settings::default());
    let before = cluster.logs[0].store_calls().get("put");
    for name in 0..200 {
        cluster.propose(0, job(1, name, 0));
    }
    cluster.run(500);
    expect_that!(cluster.answers.len(), eq(200));
    expect_that!(cluster.in_force[0], le(4));
    expect_that!(cluster.logs[0].store_calls().get("put") - before, le(3));
    check_end(&mut cluster);
}

#[googletest::test]
fn drain_refused_when_it_is_on_already() {
    let mut cluster = cluster(8, &Settings::default());
    let target = Target::Entry(id::Entry::new("e1").expect("a name"));
    let change = Change::Drain { target, on: true };
    cluster.feed(
        0,
        Input::Propose {
            ticket: 500,
            change: change.clone(),
        },
    );
    cluster.run(1_000);
    cluster.feed(
        3,
        Input::Propose {
            ticket: 501,
            change,
        },
    );
    cluster.run(1_000);
    expect_that!(cluster.answers.get(&500), some(eq(&Ok(2))));
    expect_that!(cluster.answers.get(&501), some(eq(&Err(Code::Stale))));
}
