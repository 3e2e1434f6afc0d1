//! Tests of the order of waiting work.

use std::sync::Arc;

use googletest::prelude::*;
use marigoldpick_core::prelude::*;
use marigoldpick_core::work::{self, Step};
use marigoldpick_job::Queue;
use marigoldpick_job::job::Job;
use marigoldpick_job::rank::{Order, Rank, objective, rank, time_left};

const WALL: u64 = 1_780_000_000_000;
const NOW: Millis = Millis(100_000);

fn queue() -> Queue {
    let name = |text| Name::new(text).expect("a name");
    Queue {
        name: name("q"),
        service: name("s"),
        priority: 1,
        attempts: 3,
        stretch: 2.0,
        target: Millis(1_000),
        policy: None,
    }
}

/// Returns a job of one step that was submitted `age` milliseconds ago and has `done` finished
/// tasks.
fn job(number: u32, tasks: u32, done: u32, age: u64) -> Job {
    let step = Step {
        count: tasks,
        needs: Amount::new(4_000, 1_000),
        estimate: Millis(2_000),
        ..Step::default()
    };
    let spec = work::Job {
        queue: queue().name,
        payload: "text".to_owned(),
        steps: vec![step],
        schedule: None,
        accepted: WALL - age,
        team: None,
    };
    let id = id::Job::new(&format!("{number:016x}")).expect("a name");
    let mut job = Job::new(id, Arc::new(spec), WALL, NOW);
    (0..done).for_each(|index| {
        let stage = job.stage_mut(0, 0).expect("a step");
        stage.finish_task(index);
    });
    job.objective = objective(&job.spec, &queue());
    job.occurrences[0].time_left = time_left(&job.spec, &job.occurrences[0], &queue());
    job
}

fn rank_of(job: &Job) -> Rank {
    rank(Order::Priority, job, 0, &job.occurrences[0], &queue(), NOW)
}

/// Load pattern: there is more work than can be on time. If deadlines decided, jobs that are nearly
/// done would wait for their last tasks while new ones with nearer deadlines begin, and neither
/// would be on time.
#[googletest::test]
fn rank_puts_the_least_work_left_before_a_nearer_deadline() {
    let nearly_done = job(1, 8, 7, 0);
    let nearer = job(2, 8, 0, 500);
    expect_that!(
        rank_of(&nearer).deadline,
        lt(rank_of(&nearly_done).deadline)
    );
    expect_that!(rank_of(&nearly_done), lt(rank_of(&nearer)));
}

/// Late work must not delay work that can be on time, however little of the late work remains.
#[googletest::test]
fn rank_puts_work_that_can_be_on_time_before_late_work() {
    let late = job(1, 2, 1, 4_000);
    let expired = job(2, 2, 1, 60_000);
    let fresh = job(3, 8, 0, 0);
    expect_that!(rank_of(&fresh), lt(rank_of(&late)));
    expect_that!(rank_of(&late), lt(rank_of(&expired)));
}

/// Load pattern: a wide job waits behind smaller ones until it has expired. It was accepted, so it
/// must run once there is capacity.
#[googletest::test]
fn rank_puts_the_oldest_expired_work_first() {
    let wide = job(1, 40, 0, 60_000);
    let small = job(2, 2, 1, 50_000);
    expect_that!(rank_of(&wide), lt(rank_of(&small)));
}

fn cost_rank_of(job: &Job, priority: u32) -> Rank {
    let queue = Queue {
        priority,
        ..queue()
    };
    rank(Order::Cost, job, 0, &job.occurrences[0], &queue, NOW)
}

/// Expired work of an urgent queue must not take room from other work that can be on time.
#[googletest::test]
fn rank_by_cost_puts_expired_work_behind_useful_work_of_less_priority() {
    let expired = job(1, 2, 1, 60_000);
    let fresh = job(2, 8, 0, 0);
    expect_that!(cost_rank_of(&fresh, 2), lt(cost_rank_of(&expired, 0)));
}

/// Accepted work must run in the end although overload lasts, here after five minutes.
#[googletest::test]
fn rank_by_cost_lets_expired_work_go_first_in_the_end() {
    let (expired, mut fresh) = (job(1, 400, 0, 0), job(2, 400, 0, 0));
    let now = NOW + Millis(300_000);
    fresh.occurrences[0].due = now;
    let queue = Queue {
        priority: 2,
        ..queue()
    };
    let rank_of = |job: &Job| rank(Order::Cost, job, 0, &job.occurrences[0], &queue, now);
    expect_that!(rank_of(&expired), lt(rank_of(&fresh)));
}

/// A job that lacks one of eight tasks needs little to be of use to its caller.
#[googletest::test]
fn rank_by_cost_puts_nearly_done_work_before_new_work_of_higher_priority() {
    let nearly_done = job(1, 8, 7, 0);
    let new = job(2, 8, 0, 0);
    expect_that!(cost_rank_of(&nearly_done, 1), lt(cost_rank_of(&new, 0)));
}

/// Work that has slack loses nothing while work that becomes late soon goes first.
#[googletest::test]
fn rank_by_cost_puts_work_that_is_late_soon_before_work_with_slack() {
    let (hurried, mut relaxed) = (job(1, 8, 0, 500), job(2, 8, 0, 0));
    relaxed.objective = Millis(20_000);
    expect_that!(cost_rank_of(&hurried, 1), lt(cost_rank_of(&relaxed, 1)));
}

/// Excess work goes after like work, and before work that needs far more.
#[googletest::test]
fn rank_by_cost_puts_excess_work_behind_like_work() {
    let (mut excess, like, large) = (job(1, 2, 0, 0), job(2, 2, 0, 0), job(3, 400, 0, 0));
    excess.excess = true;
    expect_that!(cost_rank_of(&like, 0), lt(cost_rank_of(&excess, 0)));
    expect_that!(cost_rank_of(&excess, 0), lt(cost_rank_of(&large, 2)));
}
