//! Tests of jobs that are rejected since they can't end in time.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_std::task::{block_on, sleep};
use futures::future::join;
use googletest::prelude::*;
use marigoldpick_core::clock::time_of_day;
use marigoldpick_core::prelude::*;
use marigoldpick_core::work::peer::Receipt;
use marigoldpick_core::work::{Access, Job, Phase, Step};
use marigoldpick_node::submission::is_marker;

use crate::cluster::{Cluster, lock, name, wait_until};

/// The time that a lead needs until its summaries decide.
const NEW_LEAD: Duration = Duration::from_millis(3_500);

fn job_id(number: u32) -> id::Job {
    id::Job::new(&format!("{number:016x}")).expect("a name")
}

/// Returns a job that fills the only worker for a second, and may take about five. The fake workers report no progress,
/// so longer tasks would count as stalled.
fn job() -> Arc<Job> {
    Arc::new(Job {
        queue: name("q"),
        payload: "1000".to_owned(),
        steps: vec![Step {
            count: 8,
            needs: Amount::new(1_000, 100),
            estimate: Millis(1_000),
            ..Step::default()
        }],
        schedule: None,
        accepted: time_of_day(),
        team: None,
    })
}

impl Cluster {
    fn hand_in(&self, at: usize, id: &id::Job) -> Receipt {
        block_on(self.nodes[at].handle().submit(id.clone(), job()))
    }

    fn phase_at(&self, at: usize, id: &id::Job) -> Option<Phase> {
        let phase = self.nodes[at].handle().phase(id.clone(), Access::default());
        block_on(phase).expect("an answer")
    }

    fn has_marker(&self, id: &id::Job) -> bool {
        let value = self.read_key(&format!("marigold/in/job/{id}"));
        value.is_some_and(|value| is_marker(&value))
    }

    /// Submits three times as much work as fits; returns the ids of the stored jobs.
    fn overload(&self) -> Vec<id::Job> {
        block_on(sleep(NEW_LEAD));
        let ids = (1_000..1_024).map(job_id);
        let stored: Vec<id::Job> = ids
            .filter(|id| self.hand_in(0, id) == Receipt::Stored)
            .collect();
        wait_until("the lead has the jobs", || {
            let waiting = block_on(self.nodes[0].handle().waiting(name("q")));
            waiting.is_ok_and(|jobs| jobs + 2 >= stored.len() as u64)
        });
        stored
    }

    /// Submits jobs at an entry until one is rejected; returns its id, and adds those of the others to `stored`.
    fn submit_until_rejected(&self, at: usize, first: u32, stored: &mut Vec<id::Job>) -> id::Job {
        let mut number = first;
        wait_until("a job is rejected", || {
            number += 1;
            matches!(self.hand_in(at, &job_id(number)), Receipt::Rejected { .. })
        });
        stored.extend((first + 1..number).map(job_id));
        job_id(number)
    }
}

/// Guards against a rejected job that an entry or a lead takes for a job, against a stored job that is rejected when its
/// submission is repeated, and against a rejection that is told although the store's answer was lost.
#[googletest::test]
fn rejected_job_is_unknown_and_runs_only_if_it_is_submitted_again() {
    let mut cluster = Cluster::start_with_admission(3, 1);
    let mut stored = cluster.overload();
    let lead = cluster.lead();
    let at = (lead + 1) % 3;
    let rejected = cluster.submit_until_rejected(at, 2_000, &mut stored);
    let (at_once, lost) = (job_id(5_000), job_id(5_001));
    let submit = || cluster.nodes[at].handle().submit(at_once.clone(), job());
    let (one, other) = block_on(join(submit(), submit()));
    expect_that!(one, pat!(Receipt::Rejected { .. }));
    expect_that!(other, pat!(Receipt::Rejected { .. }));
    cluster.lost_answers[at].store(1, Ordering::SeqCst);
    expect_that!(cluster.hand_in(at, &lost), eq(Receipt::Unknown));
    for id in [&rejected, &at_once, &lost] {
        expect_that!(cluster.has_marker(id), eq(true));
        for at in 0..3 {
            expect_that!(cluster.phase_at(at, id), none());
            expect_that!(cluster.cancel(at, id), eq(Receipt::Absent));
        }
    }
    for at in 0..3 {
        expect_that!(cluster.hand_in(at, &stored[0]), eq(Receipt::Stored));
    }
    // A new lead reads the markers, and knows too little to reject anything.
    cluster.kill(lead);
    wait_until("the job is admitted", || {
        cluster.hand_in(1, &rejected) == Receipt::Stored
    });
    for id in &stored {
        expect_that!(cluster.cancel(1, id), eq(Receipt::Stored));
    }
    cluster.wait_for_phase(0, &rejected, Phase::Completed);
    let fake_workers = lock(&cluster.fake_workers);
    expect_that!(fake_workers.violations, is_empty());
    let has_run = |id: &id::Job| {
        let mut starts = fake_workers.starts.iter();
        starts.any(|(task, _)| task.part.job == *id)
    };
    expect_that!(has_run(&rejected), eq(true));
    expect_that!(has_run(&at_once) || has_run(&lost), eq(false));
}
