//! The order in which commits take changed jobs, without a lead.

use googletest::prelude::*;
use marigoldpick_core::prelude::*;
use marigoldpick_job::lead::backlog::{Backlog, Reason};

fn job_id(number: u32) -> id::Job {
    id::Job::new(&format!("{number:016x}")).expect("a name")
}

/// Adds jobs at one time.
fn add(backlog: &mut Backlog, at: u64, jobs: impl Iterator<Item = u32>, reason: Reason) {
    backlog.advance(Millis(at));
    jobs.for_each(|number| backlog.add(&job_id(number), reason));
}

/// Guards against records in the order of ids, by which ended jobs with high ids waited for the whole backlog, and
/// against ends that keep pending starts waiting.
#[googletest::test]
fn next_commit_has_ends_and_starts_of_high_ids() {
    let mut backlog = Backlog::new(Millis(0));
    add(&mut backlog, 10, 0..100, Reason::Other);
    add(&mut backlog, 20, 9_000..9_020, Reason::Ended);
    add(&mut backlog, 30, 8_000..8_030, Reason::Start);
    backlog.advance(Millis(40));
    let taken = backlog.take(30);
    let starts = (8_000..8_030).map(job_id).filter(|id| taken.contains(id));
    let ends = (9_000..9_020).map(job_id).filter(|id| taken.contains(id));
    expect_that!((starts.count(), ends.count()), eq((15, 15)));
}

/// A job that changes all the time must not starve the others, nor must urgent jobs that arrive without end.
#[googletest::test]
fn each_change_is_taken_under_a_steady_load_of_urgent_ones() {
    let mut backlog = Backlog::new(Millis(0));
    add(&mut backlog, 0, 0..90, Reason::Other);
    let mut open: Vec<id::Job> = (0..90).map(job_id).collect();
    for commit in 1..60_u32 {
        let at = u64::from(commit) * 20;
        let taken = backlog.take(30);
        open.retain(|id| !taken.contains(id));
        // 20 new ends and 10 jobs that change during every commit fill each commit.
        let first = 1_000 + commit * 20;
        add(&mut backlog, at, first..first + 20, Reason::Ended);
        add(&mut backlog, at, 500..510, Reason::Start);
        backlog.confirm();
    }
    expect_that!(open, is_empty());
}

/// A failed commit, or a change during the commit of an end, must not send a job to the end of the queue.
#[googletest::test]
fn place_is_kept_over_failed_commits_and_further_changes() {
    let mut backlog = Backlog::new(Millis(0));
    add(&mut backlog, 1, 7..9, Reason::Ended);
    expect_that!(backlog.take(2), eq(&vec![job_id(7), job_id(8)]));
    add(&mut backlog, 50, 7..9, Reason::Ended);
    add(&mut backlog, 20, 1..6, Reason::Ended);
    backlog.restore();
    expect_that!(backlog.count(Reason::Ended), eq(7));
    expect_that!(backlog.take(1), eq(&vec![job_id(7)]));
    add(&mut backlog, 60, 7..8, Reason::Ended);
    backlog.confirm();
    expect_that!(backlog.take(1), eq(&vec![job_id(7)]));
    backlog.confirm();
    expect_that!(backlog.take(1), eq(&vec![job_id(8)]));
}
