//! Tests of the configuration state: which changes it accepts, and that no entry is applied twice.

use googletest::prelude::*;
use marigoldpick_core::config::{Change, Entry, State, Target};
use marigoldpick_core::intent::Intent;
use marigoldpick_core::plan::{Home, Part, Plan};
use marigoldpick_core::prelude::*;

const TEAM: &str = r#"
[[team]]
name = "maps"
quota = { millicores = 8000, memory_mib = 8192 }
"#;

fn job(name: &str, count: u32) -> String {
    format!(
        "[[job]]\nname = \"{name}\"\nclass = \"batch\"\nteam = \"maps\"\ncount = {count}\n\
         needs = {{ millicores = 1000, memory_mib = 512 }}\n"
    )
}

fn plan(state: &State, text: &str) -> Plan {
    let intent = Intent::parse("test.toml", text).expect("the intent is well formed");
    let parts = intent
        .job
        .iter()
        .map(|job| Part {
            job: job.name.clone(),
            homes: vec![Home {
                shard: id::Shard::new("north/0").expect("a name"),
                from: 0,
                to: job.count,
            }],
            starts: job.count,
            waits: 0,
            wait: Millis::ZERO,
            never: None,
        })
        .collect();
    Plan::new(state.sequence, intent, parts, Vec::new(), Vec::new())
}

fn entry(state: &State, change: Change) -> Entry {
    Entry {
        sequence: state.sequence + 1,
        writer: "test".to_owned(),
        changes: vec![change],
    }
}

fn with_team() -> State {
    let mut state = State::default();
    let plan = plan(&state, TEAM);
    assert!(state.apply(&entry(&state, Change::Confirm(Box::new(plan)))));
    state
}

#[googletest::test]
fn apply_entry_after_a_gap_has_no_effect() {
    let mut state = with_team();
    let before = state.clone();
    let mut next = entry(&state, Change::Cancel { jobs: Vec::new() });
    next.sequence += 1;
    expect_that!(state.apply(&next), eq(false));
    expect_that!(state, eq(&before));
}

#[googletest::test]
fn apply_old_never_reverts() {
    let mut state = with_team();
    let first = entry(
        &state,
        Change::Confirm(Box::new(plan(&state, &job("a", 2)))),
    );
    assert!(state.apply(&first));
    let before = state.clone();
    expect_that!(state.apply(&first), eq(false));
    expect_that!(state, eq(&before));
}

#[googletest::test]
fn allows_same_job_twice_is_stale() {
    let mut state = with_team();
    let one = plan(&state, &job("a", 2));
    let two = plan(&state, &job("a", 3));
    assert!(state.apply(&entry(&state, Change::Confirm(Box::new(one.clone())))));
    expect_that!(
        state.allows(&Change::Confirm(Box::new(two))),
        err(eq(Code::Stale))
    );
    expect_that!(state.confirmed(&one.id), some(eq(2)));
}

#[googletest::test]
fn allows_unrelated_job_is_not_stale() {
    let mut state = with_team();
    let one = plan(&state, &job("a", 2));
    let two = plan(&state, &job("b", 2));
    assert!(state.apply(&entry(&state, Change::Confirm(Box::new(one)))));
    expect_that!(
        state.allows(&Change::Confirm(Box::new(two))),
        ok(anything())
    );
}

#[googletest::test]
fn allows_two_plans_share_a_quota() {
    let mut state = with_team();
    let one = plan(&state, &job("a", 5));
    let two = plan(&state, &job("b", 5));
    assert!(state.apply(&entry(&state, Change::Confirm(Box::new(one)))));
    let late = Change::Confirm(Box::new(two));
    expect_that!(state.allows(&late), err(eq(Code::OverQuota)));
    let next = entry(&state, late);
    assert!(state.apply(&next));
    expect_that!(state.job(&id::Job::new("b").expect("a name")), none());
}

fn drain(state: &mut State, target: Target) {
    let change = Change::Drain { target, on: true };
    assert!(state.apply(&entry(state, change)));
}

#[googletest::test]
fn allows_drain_of_rack_or_domain_in_between_is_stale() {
    let targets = [
        Target::Rack(id::Rack::new("r1").expect("a name")),
        Target::Domain(id::Domain::new("north").expect("a name")),
    ];
    for target in targets {
        let mut state = with_team();
        let one = plan(&state, &job("a", 1));
        drain(&mut state, target.clone());
        let late = Change::Confirm(Box::new(one));
        expect_that!(state.allows(&late), err(eq(Code::Stale)));
        let again = Change::Drain { target, on: true };
        expect_that!(state.allows(&again), err(eq(Code::Stale)));
    }
}

#[googletest::test]
fn allows_drain_of_worker_in_between_is_not_stale() {
    let mut state = with_team();
    let one = plan(&state, &job("a", 1));
    let target = Target::Worker(id::Worker::new("w1").expect("a name"));
    drain(&mut state, target.clone());
    let late = Change::Confirm(Box::new(one));
    expect_that!(state.allows(&late), ok(anything()));
    let again = Change::Drain { target, on: true };
    expect_that!(state.allows(&again), err(eq(Code::Stale)));
}

#[googletest::test]
fn allows_settings_of_others_in_between() {
    let mut state = with_team();
    let jobs = plan(&state, &job("a", 1));
    let settings = plan(&state, TEAM);
    let other = TEAM.replace("maps", "other");
    let other = plan(&state, &other);
    assert!(state.apply(&entry(&state, Change::Confirm(Box::new(other)))));
    let jobs = Change::Confirm(Box::new(jobs));
    expect_that!(state.allows(&jobs), ok(anything()));
    let settings = Change::Confirm(Box::new(settings));
    expect_that!(state.allows(&settings), err(eq(Code::Stale)));
}

#[googletest::test]
fn ended_job_frees_its_quota() {
    let mut state = with_team();
    let one = plan(&state, &job("a", 8));
    assert!(state.apply(&entry(&state, Change::Confirm(Box::new(one)))));
    let ended = Change::Ended {
        job: id::Job::new("a").expect("a name"),
        accepted: state.sequence,
        shard: id::Shard::new("north/0").expect("a name"),
        completed: 8,
        failed: 0,
    };
    assert!(state.apply(&entry(&state, ended)));
    expect_that!(
        state
            .used(&id::Team::new("maps").expect("a name"))
            .is_zero(),
        eq(true)
    );
    expect_that!(state.ended.len(), eq(1));
}

#[googletest::test]
fn cause_of_entry_is_the_event_that_the_writer_names() {
    let me = id::Entry::new("turku/b-1").expect("a name");
    let writer = Entry::writer_name(&me, 0xfe, 3, Some(17));
    let cause = written(&writer).cause().expect("a cause");
    expect_that!(cause.process.as_str(), eq("turku/b-1"));
    expect_that!((cause.incarnation, cause.sequence), eq((0xfe, 17)));
}

#[googletest::test]
fn cause_of_old_or_foreign_entry_is_unknown() {
    let me = id::Entry::new("turku-1").expect("a name");
    for writer in [
        &Entry::writer_name(&me, 0xfe, 3, None),
        "test",
        "@",
        "@7",
        "turku-1/fe@7",
        "turku-1/xy/1@7",
        "turku-1/fe/1@x",
        "a b/fe/1@7",
    ] {
        expect_that!(written(writer).cause(), none());
    }
}

fn written(writer: &str) -> Entry {
    Entry {
        sequence: 1,
        writer: writer.to_owned(),
        changes: Vec::new(),
    }
}

#[googletest::test]
fn ended_of_an_earlier_job_leaves_a_later_one_of_its_name() {
    let mut state = with_team();
    let ended = |accepted: u64| Change::Ended {
        job: id::Job::new("a").expect("a name"),
        accepted,
        shard: id::Shard::new("north/0").expect("a name"),
        completed: 8,
        failed: 0,
    };
    let mut accepted = Vec::new();
    for _ in 0..2 {
        let one = plan(&state, &job("a", 8));
        assert!(state.apply(&entry(&state, Change::Confirm(Box::new(one)))));
        accepted.push(state.sequence);
        // The lead proposes the end again, since it did not receive the answer.
        let late = ended(accepted[0]);
        if accepted.len() == 2 {
            expect_that!(state.allows(&late), err(eq(Code::Stale)));
        }
        assert!(state.apply(&entry(&state, late)));
    }
    let name = id::Job::new("a").expect("a name");
    expect_that!(state.job(&name).is_some(), eq(true));
    assert!(state.apply(&entry(&state, ended(accepted[1]))));
    expect_that!(state.job(&name).is_none(), eq(true));
}
