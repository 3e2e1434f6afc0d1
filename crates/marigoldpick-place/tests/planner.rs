//! Tests plans from the surveys of several shards, and surveys of one shard.

mod support;

use googletest::prelude::*;
use marigoldpick_core::config::State;
use marigoldpick_core::intent::{Intent, Team};
use marigoldpick_core::plan::{Displaced, Plan};
use marigoldpick_core::prelude::*;
use marigoldpick_place::planner;
use marigoldpick_place::survey::Offer;
use support::{Harness, batch, job, name};

const NEEDS: &str = "needs = { millicores = 1000, memory_mib = 1000 }";

fn team(quota: Amount) -> Team {
    Team {
        name: id::Team(name("t")),
        quota,
        weight: 1,
    }
}

fn state() -> State {
    State {
        teams: vec![team(Amount::new(1_000_000, 1_000_000))],
        ..State::default()
    }
}

fn offer(job: &str, domain: &str, now: u32, ever: u32) -> Offer {
    Offer {
        job: id::Job(name(job)),
        domain: Some(id::Domain(name(domain))),
        now,
        displacing: now,
        ever,
        wait: Millis(1_000),
        displaced: Vec::new(),
        never: (ever == 0).then(|| "needs 4 gpu on one worker; the largest has 2".to_owned()),
    }
}

fn plan(job: marigoldpick_core::intent::Job, offers: &[(&str, Offer)]) -> Plan {
    let intent = Intent {
        job: vec![job],
        ..Intent::default()
    };
    let surveys: Vec<(id::Shard, Vec<Offer>)> = offers
        .iter()
        .map(|(shard, offer)| (id::Shard(name(shard)), vec![offer.clone()]))
        .collect();
    planner::plan(&state(), intent, &surveys)
}

fn counts(plan: &Plan) -> Vec<u32> {
    let homes = plan.parts[0].homes.iter();
    homes.map(|home| home.to - home.from).collect()
}

#[googletest::test]
fn plan_gang_takes_the_one_shard_that_holds_it_now() {
    let gang = job("g", "gang", &format!("count = 6\n{NEEDS}"));
    let plan = plan(
        gang,
        &[
            ("a0", offer("g", "a", 4, 20)),
            ("b0", offer("g", "b", 8, 8)),
        ],
    );
    expect_that!(plan.parts[0].homes.len(), eq(1));
    expect_that!(plan.parts[0].homes[0].shard.as_str(), eq("b0"));
    expect_that!(plan.parts[0].starts, eq(6));
}

#[googletest::test]
fn plan_gang_larger_than_any_shard_never_runs() {
    let gang = job("g", "gang", &format!("count = 30\n{NEEDS}"));
    let plan = plan(
        gang,
        &[
            ("a0", offer("g", "a", 4, 20)),
            ("b0", offer("g", "b", 8, 16)),
        ],
    );
    expect_that!(plan.blocked, some(eq(Code::NeverFits)));
    expect_that!(plan.reason, contains_substring("the largest, a0, holds 20"));
}

#[googletest::test]
fn plan_spread_service_is_even_over_domains() {
    let rest = format!("count = 6\n{NEEDS}\nwhere = {{ spread = \"domain\" }}");
    let offers = [
        ("a0", offer("s", "a", 50, 50)),
        ("a1", offer("s", "a", 50, 50)),
        ("b0", offer("s", "b", 50, 50)),
    ];
    let plan = plan(job("s", "service", &rest), &offers);
    let on_b = plan.parts[0]
        .homes
        .iter()
        .filter(|h| h.shard.as_str() == "b0");
    expect_that!(on_b.map(|h| h.to - h.from).sum::<u32>(), eq(3));
    expect_that!(counts(&plan).iter().sum::<u32>(), eq(6));
}

#[googletest::test]
fn plan_batch_beyond_capacity_is_shared_in_proportion() {
    let offers = [
        ("a0", offer("b", "a", 2, 10)),
        ("b0", offer("b", "b", 0, 30)),
    ];
    let plan = plan(batch("b", 100, 1), &offers);
    expect_that!(counts(&plan), elements_are![eq(&25), eq(&75)]);
    expect_that!((plan.parts[0].starts, plan.parts[0].waits), eq((2, 98)));
    expect_that!(plan.blocked, none());
}

#[googletest::test]
fn plan_homes_cover_each_task_once() {
    let offers = [("a0", offer("b", "a", 3, 7)), ("b0", offer("b", "b", 5, 9))];
    let plan = plan(batch("b", 11, 1), &offers);
    let mut next = 0;
    for home in &plan.parts[0].homes {
        expect_that!(home.from, eq(next));
        next = home.to;
    }
    expect_that!(next, eq(11));
}

#[googletest::test]
fn plan_names_the_unmet_need() {
    let plan = plan(batch("b", 1, 1), &[("a0", offer("b", "a", 0, 0))]);
    expect_that!(plan.blocked, some(eq(Code::NeverFits)));
    let reason = "b: needs 4 gpu on one worker; the largest has 2";
    expect_that!(plan.reason, eq(reason));
}

#[googletest::test]
fn plan_above_the_quota_is_blocked() {
    let mut excessive = batch("b", 10, 1);
    excessive.needs.millicores = 200_000;
    let plan = plan(excessive, &[("a0", offer("b", "a", 10, 10))]);
    expect_that!(plan.blocked, some(eq(Code::OverQuota)));
}

#[googletest::test]
fn plan_of_an_unknown_team_is_blocked() {
    let mut orphan = batch("b", 1, 1);
    orphan.team = id::Team(name("nobody"));
    let plan = plan(orphan, &[("a0", offer("b", "a", 1, 1))]);
    expect_that!(plan.blocked, some(eq(Code::UnknownName)));
}

#[googletest::test]
fn plan_displaces_only_without_free_room() {
    let rest = format!(
        "count = 2\n{NEEDS}\ndisplace = {{ classes = [\"batch\"], how = \"stop\", tasks = 5 }}"
    );
    let mut offer = offer("u", "a", 1, 9);
    offer.displacing = 2;
    offer.displaced = vec![Displaced {
        task: id::Task::new(id::Job(name("old")), 3),
        by: id::Job(name("u")),
        how: marigoldpick_core::intent::Yield::Checkpoint,
    }];
    let crowded = plan(job("u", "batch", &rest), &[("a0", offer.clone())]);
    expect_that!(crowded.displaced.len(), eq(1));
    offer.now = 2;
    let roomy = plan(job("u", "batch", &rest), &[("a0", offer)]);
    expect_that!(roomy.displaced.len(), eq(0));
}

#[googletest::test]
fn survey_counts_jobs_one_after_the_other() {
    let harness = Harness::new(2, 4);
    let jobs = [batch("a", 6, 1), batch("b", 6, 1)];
    let offers = harness.scheduler.survey(&jobs, harness.now);
    expect_that!((offers[0].now, offers[1].now), eq((6, 2)));
    expect_that!((offers[0].ever, offers[1].ever), eq((6, 6)));
}

#[googletest::test]
fn survey_expects_the_wait_until_runs_end() {
    let mut harness = Harness::new(1, 2);
    harness.accept(job(
        "a",
        "batch",
        &format!("count = 2\nrun_ms = 60000\n{NEEDS}"),
    ));
    harness.run_starts();
    let offer = harness
        .scheduler
        .survey(&[batch("b", 1, 1)], harness.now)
        .remove(0);
    expect_that!(offer.now, eq(0));
    expect_that!(offer.wait, eq(Millis(60_000)));
}
