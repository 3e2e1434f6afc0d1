//! What a proposal is answered.

use googletest::prelude::*;
use marigoldpick_core::config::{Change, Target};
use marigoldpick_core::prelude::*;
use marigoldpick_shard::Settings;
use marigoldpick_shard::config::Input;

use crate::cell::{cell, check_end};
use crate::names::job;
use crate::support::Odds;

#[googletest::test]
fn propose_races_one_wins_the_other_is_stale() {
    let mut cell = cell(1, &Settings::default());
    let one = cell.propose(0, job(1, 7, 1));
    let two = cell.propose(3, job(1, 7, 2));
    cell.run(2_000);
    let mut answers = [cell.answers[&one].is_ok(), cell.answers[&two].is_ok()];
    answers.sort_unstable();
    expect_that!(answers, eq([false, true]));
    check_end(&mut cell);
}

#[googletest::test]
fn propose_repeated_confirm_has_the_first_number() {
    let mut cell = cell(2, &Settings::default());
    let one = cell.propose(0, job(1, 7, 1));
    cell.run(1_000);
    cell.feed(
        3,
        Input::Propose {
            ticket: 99,
            change: job(1, 7, 1),
        },
    );
    cell.run(1_000);
    expect_that!(cell.answers.get(&99), some(eq(&cell.answers[&one])));
}

#[googletest::test]
fn propose_store_away_is_not_accepted_at_once() {
    let mut cell = cell(3, &Settings::default());
    cell.odds = Odds::AWAY;
    let ticket = cell.propose(1, job(1, 1, 0));
    cell.run(100);
    expect_that!(cell.answers.get(&ticket), some(eq(&Err(Code::NotAccepted))));
    check_end(&mut cell);
}

#[googletest::test]
fn propose_answer_lost_for_long_is_unknown_and_then_settled() {
    let mut cell = cell(4, &Settings::default());
    cell.odds.answer_lost = 1_000;
    let ticket = cell.propose(1, job(1, 1, 0));
    cell.run(6_000);
    expect_that!(
        cell.answers.get(&ticket),
        some(eq(&Err(Code::AcceptUnknown)))
    );
    // The operator asks again, and gets the number of the first write.
    cell.odds = Odds::default();
    cell.run(8_000);
    cell.feed(
        2,
        Input::Propose {
            ticket: 99,
            change: job(1, 1, 0),
        },
    );
    cell.run(1_000);
    expect_that!(cell.answers.get(&99), some(eq(&Ok(2))));
    cell.answers.remove(&99);
    check_end(&mut cell);
}

#[googletest::test]
fn propose_many_at_once_share_entries() {
    let mut cell = cell(5, &Settings::default());
    let before = cell.logs[0].store_calls().get("put");
    for name in 0..200 {
        cell.propose(0, job(1, name, 0));
    }
    cell.run(500);
    expect_that!(cell.answers.len(), eq(200));
    expect_that!(cell.in_force[0], le(4));
    expect_that!(cell.logs[0].store_calls().get("put") - before, le(3));
    check_end(&mut cell);
}

#[googletest::test]
fn drain_refused_when_it_is_on_already() {
    let mut cell = cell(8, &Settings::default());
    let target = Target::Entry(id::Entry::new("e1").expect("a name"));
    let change = Change::Drain { target, on: true };
    cell.feed(
        0,
        Input::Propose {
            ticket: 500,
            change: change.clone(),
        },
    );
    cell.run(1_000);
    cell.feed(
        3,
        Input::Propose {
            ticket: 501,
            change,
        },
    );
    cell.run(1_000);
    expect_that!(cell.answers.get(&500), some(eq(&Ok(2))));
    expect_that!(cell.answers.get(&501), some(eq(&Err(Code::Stale))));
}
