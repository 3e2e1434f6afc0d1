//! Jobs that a new lead loads from the store.

use std::sync::Arc;

use googletest::prelude::*;
use marigoldpick_core::prelude::*;
use marigoldpick_core::work::{self, Phase, Step};
use marigoldpick_job::job::{Job, Stage, Task};
use marigoldpick_job::record::{Part, Record};

fn load(record: Option<&Record>) -> Job {
    let spec = work::Job {
        queue: Name::new("q").expect("a name"),
        payload: String::new(),
        steps: vec![Step {
            count: 3,
            ..Step::default()
        }],
        schedule: None,
        accepted: 0,
        team: None,
    };
    let id = id::Job::new("00000000000000aa").expect("a name");
    Job::load(id, Arc::new(spec), record, 1_000, Millis(1_000))
}

/// The runs of a job that has ended are stopped by the next lead only if it knows them, and its record is written
/// again when they have ended.
#[googletest::test]
fn load_keeps_what_the_record_of_an_ended_job_has() {
    let worker = id::Worker::new("w1").expect("a name");
    let part = Part {
        places: vec![(1, worker, 7)],
        ..Part::default()
    };
    for parts in [Vec::new(), vec![part]] {
        let record = Record {
            phase: Phase::Cancelled,
            finished: Vec::new(),
            parts: parts.clone(),
        };
        let job = load(Some(&record));
        expect_that!(job.phase, eq(Phase::Cancelled));
        expect_that!(job.recorded, eq(Phase::Cancelled));
        expect_that!(job.ended_at, some(eq(Millis(1_000))));
        expect_true!(job.loaded);
        expect_false!(job.is_done());
        expect_that!(job.placed().len(), eq(parts.len()));
        expect_that!(job.record(), eq(&record));
    }
}

/// Only the record shows that a job has ended.
#[googletest::test]
fn load_keeps_the_tasks_of_a_job_that_has_not_ended() {
    let running = Record {
        phase: Phase::Running,
        finished: Vec::new(),
        parts: Vec::new(),
    };
    for record in [None, Some(&running)] {
        let job = load(record);
        let stage = job.stage(0, 0).expect("a step");
        expect_that!(stage.count(), eq(3));
        expect_true!(stage.has_unplaced());
    }
}

/// What a stage tells of all tasks at once equals what it tells of each.
#[googletest::test]
fn stage_tasks_equal_single_ones() {
    let step = Step {
        count: 12,
        ..Step::default()
    };
    let mut stage = Stage::new(&step);
    stage.finish_tasks(2, 4);
    stage.finish_task(8);
    stage.finish_task(11);
    for index in [3, 6, 8] {
        let task = stage.task_mut(index).expect("a task");
        task.failed.push(u64::from(index));
    }
    let state = |task: &Task| (task.done, task.failed.clone());
    let single = (0..12).map(|index| state(stage.task(index).expect("a task")));
    let all = stage.tasks().map(|(_, task)| state(task));
    expect_that!(all.collect::<Vec<_>>(), eq(&single.collect::<Vec<_>>()));
    let unplaced = stage.tasks().filter(|(_, task)| task.is_unplaced()).count();
    expect_that!(unplaced, eq(7));
    expect_that!(stage.count_unplaced(), eq(7));
}
