//! Queries and actions of tests on the site.

use marigoldpick_core::prelude::*;
use marigoldpick_shard::lead::Input;

use super::Site;

impl Site {
    /// Returns whether the lead's log has the end of every task of every finite job.
    pub fn is_complete(&self) -> bool {
        self.leader().is_some() && self.missing().is_empty()
    }

    /// Returns the tasks of finite jobs whose end is not in the lead's log.
    pub fn missing(&self) -> Vec<id::Task> {
        let Some(lead) = self.leader() else {
            return Vec::new();
        };
        let record = self.entries[lead].lead.record();
        let ending = self.jobs.iter().filter(|job| job.run.is_some());
        ending
            .flat_map(|job| (0..job.count).map(|index| id::Task::new(job.id.clone(), index)))
            .filter(|task| !record.is_over(task) && !self.maybe_started.contains(task))
            .collect()
    }

    /// Returns whether all instances of all services run.
    pub fn is_serving(&self) -> bool {
        let wanted: u32 = self
            .jobs
            .iter()
            .filter(|j| j.run.is_none())
            .map(|j| j.count)
            .sum();
        let live = (0..self.workers.len()).filter(|at| !self.dead_workers.contains(at));
        let running: usize = live
            .map(|at| {
                let service = |run: &&id::Run| {
                    self.jobs
                        .iter()
                        .any(|j| j.id == run.task.job && j.run.is_none())
                };
                self.workers[at].running().filter(service).count()
            })
            .sum();
        running == wanted as usize
    }

    /// Ends one running instance as failed.
    pub fn end_instance(&mut self) {
        let now = Millis(self.now);
        let worker = self.workers.iter_mut().find(|w| w.running().count() > 0);
        worker.expect("something runs").fail_one(now);
    }

    /// Clears the schedulers' lists of ended tasks, as for a new job.
    pub fn forget_ends(&mut self) {
        for entry in &mut self.entries {
            entry.scheduler.over.clear();
        }
    }

    /// Requests a checkpoint of a running task from the lead.
    pub fn checkpoint_one(&mut self) -> id::Run {
        let lead = self.leader().expect("somebody leads");
        let run = self
            .workers
            .iter()
            .find_map(|w| w.running().next().cloned());
        let run = run.expect("something runs");
        self.feed(lead, Input::Checkpoint { run: run.clone() });
        run
    }

    /// Checks that no non-idempotent task was started twice.
    pub fn check_at_most_once(&self) {
        for (task, starts) in &self.once_starts {
            assert!(
                *starts <= 1,
                "seed {}: {task} was started {starts} times",
                self.seed
            );
        }
    }
}
