//! The placement of a step's tasks on its candidates.

use marigoldpick_core::prelude::*;
use marigoldpick_core::work::{Part, Step};

use super::backlog::Reason;
use super::schedule::Candidate;
use super::{Lead, PendingStart};
use crate::job::Place;
use crate::worker::Phase;

impl Lead {
    /// Places tasks one by one and stops at the first that does not fit, since all have the same
    /// claim.
    pub(super) fn place_each(
        &mut self,
        part: &Part,
        step: &Step,
        waiting: &[u32],
        candidates: &mut [Candidate],
        now: Millis,
    ) -> usize {
        for (placed, index) in waiting.iter().enumerate() {
            let Some(best) = self.best_candidate(part, step, *index, candidates, now) else {
                return placed;
            };
            candidates[best].left -= 1;
            self.next_run += 1;
            let run = self.next_run;
            self.place_task(part, *index, candidates[best].worker, run, now);
        }
        waiting.len()
    }

    /// Places all members of a gang under one run number, or none of them.
    pub(super) fn place_gang(
        &mut self,
        part: &Part,
        step: &Step,
        waiting: &[u32],
        candidates: &[Candidate],
        now: Millis,
    ) -> usize {
        self.next_run += 1;
        let run = self.next_run;
        let racks = self.racks(step, candidates);
        for rack in racks {
            let mut usable: Vec<Candidate> = candidates
                .iter()
                .filter(|candidate| {
                    rack.is_none() || self.workers[candidate.worker].node.rack == rack
                })
                .cloned()
                .collect();
            let mut placed = Vec::new();
            for index in waiting {
                let Some(best) = self.best_candidate(part, step, *index, &usable, now) else {
                    break;
                };
                usable[best].left -= 1;
                let worker = usable[best].worker;
                self.place_task(part, *index, worker, run, now);
                placed.push((*index, worker));
            }
            if placed.len() == waiting.len() {
                return placed.len();
            }
            for (index, worker) in placed {
                self.undo_placement(part, index, worker, run);
            }
        }
        0
    }

    /// Returns the racks to try for a gang; single racks first if the step prefers one rack.
    ///
    /// `None` stands for the workers of all racks.
    pub(super) fn racks(&self, step: &Step, candidates: &[Candidate]) -> Vec<Option<Name>> {
        if !step.one_rack {
            return vec![None];
        }
        let mut racks: Vec<Option<Name>> = candidates
            .iter()
            .map(|candidate| self.workers[candidate.worker].node.rack.clone())
            .filter(Option::is_some)
            .collect();
        racks.sort();
        racks.dedup();
        racks.push(None);
        racks
    }

    /// Places a task on a worker; its start is ordered once the placement is recorded.
    pub(super) fn place_task(
        &mut self,
        part: &Part,
        index: u32,
        worker: usize,
        run: u64,
        now: Millis,
    ) {
        let task = part.task(index);
        let Some(mut entry) = self.new_run(&task, run, Phase::Recording, now) else {
            return;
        };
        let Some(at) = self.job_index(&part.job) else {
            return;
        };
        entry.on_trial = self.is_suspect(&task);
        entry.recorded_by = self.jobs[at].revision + 1;
        self.add_run(worker, entry);
        let id = self.workers[worker].node.id.clone();
        if let Some(state) = self.jobs[at].task_mut(&task) {
            state.places.push(Place {
                worker: id.clone(),
                run,
            });
        }
        self.mark_changed_for(at, Reason::Start);
        let revision = self.jobs[at].revision;
        self.pending_starts.push(PendingStart {
            worker: id,
            task,
            run,
            revision,
        });
    }

    /// Undoes a placement; its pending start is dropped when it is due, because its run is gone.
    fn undo_placement(&mut self, part: &Part, index: u32, worker: usize, run: u64) {
        let task = part.task(index);
        self.remove_run(worker, &task, run);
        let Some(at) = self.job_index(&part.job) else {
            return;
        };
        if let Some(state) = self.jobs[at].task_mut(&task) {
            state.places.retain(|place| place.run != run);
        }
        self.jobs[at].settle(&task);
    }
}
