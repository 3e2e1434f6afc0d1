//! The configuration log: its store calls, its proposals, and the effects of each new state.

use marigoldpick_core::config::{Change, Target};
use marigoldpick_core::control::Call;
use marigoldpick_core::operator::Accepted;
use marigoldpick_core::plan::Plan;
use marigoldpick_core::prelude::*;
use marigoldpick_core::store;
use marigoldpick_core::timeline::Mark;
use marigoldpick_shard::config::{Input, Output};

use crate::control::Control;
use crate::control::message::{Reply, StoreCaller};
use crate::control::operator_calls::Ticket;
use crate::recorder::{Cause, Note};

/// The interval at which a job's end is proposed until the configuration has it.
const JOB_END_RETRY_INTERVAL: Millis = Millis(2_000);

impl Control {
    /// Passes an input to the configuration log and performs its outputs.
    pub(super) fn handle_config_input(&mut self, input: Input) {
        let by_peer = matches!(input, Input::Entries(_) | Input::Snapshot(_));
        let before = self.config.state().sequence;
        let mut out = Vec::new();
        self.config.handle(input, self.now(), &mut out);
        for output in out {
            match output {
                Output::Store { call, request } => {
                    self.io.call_store(StoreCaller::Config, call, request)
                }
                Output::Applied => self.handle_applied(),
                Output::Answer { ticket, result } => self.handle_decision(ticket, result),
                Output::NeedEntries { after } => self.request_entries(after),
                Output::Event(event) => self.record_shard_event("shard", event),
            }
        }
        // Entries that came from a peer are not pushed on.
        if !by_peer && self.config.state().sequence > before {
            self.push_entries(before);
        }
    }

    pub(super) fn handle_store_answer(
        &mut self,
        caller: &StoreCaller,
        call: u64,
        result: Result<store::Answer, store::Fault>,
    ) {
        match caller {
            StoreCaller::Config => self.handle_config_input(Input::Store { call, result }),
            StoreCaller::Shard(shard) => self.handle_shard_store_answer(shard, call, result),
        }
    }

    /// Proposes a change; its result arrives at [`Control::handle_decision`].
    ///
    /// The ticket is the number of the event recorded here, which the log stores with the entry as
    /// the entry's cause.
    pub(super) fn propose(
        &mut self,
        change: Change,
        cause: Cause,
        plan: Option<Box<Plan>>,
        reply: Option<Reply<Accepted>>,
    ) {
        let (what, about) = describe_change(&change);
        let note = Note::new("shard", what, about, "").after(cause);
        let number = self.setup.recorder.record(self.now(), note).sequence;
        self.tickets.push(Ticket {
            number,
            plan,
            reply,
        });
        self.handle_config_input(Input::Propose {
            ticket: number,
            change,
        });
    }

    /// Requests entries above `after` from the peer that has applied the most, if it is live.
    fn request_entries(&mut self, after: u64) {
        let now = self.now();
        let statuses = self.peers.status(now);
        let best = statuses
            .iter()
            .max_by_key(|peer| (peer.sequence, std::cmp::Reverse(peer.age)));
        let Some(best) = best.filter(|peer| peer.sequence > after) else {
            return;
        };
        let known = self
            .peers
            .alive()
            .find(|known| known.entry == best.entry)
            .cloned();
        if let Some(known) = known {
            self.io.request_entries(known, after);
        }
    }

    /// Pushes the configuration entries above `after` to the peers of the failure domain.
    fn push_entries(&mut self, after: u64) {
        let Some(entries) = self.config.entries_after(after) else {
            return;
        };
        for peer in self.peers.same_domain() {
            self.io
                .push_entries(peer.clone(), Call::Push(entries.clone()));
        }
    }

    fn handle_applied(&mut self) {
        self.dirty = true;
        let sequence = self.config.state().sequence;
        metrics::gauge!("marigold_config_sequence").set(sequence as f64);
        self.record_applied_entries(sequence);
        self.update_shards();
    }

    /// Records an event for each newly applied entry.
    ///
    /// After a snapshot, entries that the log no longer keeps get no event, except the last.
    fn record_applied_entries(&mut self, last: u64) {
        let now = self.now();
        let mut marks: Vec<(u64, Mark)> = Vec::new();
        for sequence in self.recorded_sequence + 1..=last {
            let entry = self.config.entry(sequence);
            if entry.is_none() && sequence < last {
                continue;
            }
            let cause = entry.and_then(|entry| entry.cause());
            let note = Note::new("shard", "config-applied", sequence, "")
                .after(cause.map_or(Cause::None, Cause::Mark));
            marks.push((sequence, self.setup.recorder.record(now, note)));
        }
        self.recorded_sequence = last;
        let open = &self.config.state().jobs;
        self.causes.track_jobs(open, |accepted| {
            let at = marks.partition_point(|(sequence, _)| *sequence < accepted.sequence);
            marks[at.min(marks.len() - 1)].1.clone()
        });
    }

    /// Proposes the end of each job whose tasks in a shard led here have all ended.
    pub(super) fn propose_job_ends(&mut self, now: Millis) {
        let mut changes = Vec::new();
        let state = self.config.state();
        for local in &mut self.shards {
            let shard = local.shard().clone();
            local.ended_jobs.retain(|ended| {
                let open = state.job(&ended.job);
                open.is_some_and(|a| {
                    a.sequence == ended.accepted && a.homes.iter().any(|home| home.shard == shard)
                })
            });
            for ended in &mut local.ended_jobs {
                if ended
                    .proposed_at
                    .is_some_and(|at| now.since(at) < JOB_END_RETRY_INTERVAL)
                {
                    continue;
                }
                ended.proposed_at = Some(now);
                let change = Change::Ended {
                    job: ended.job.clone(),
                    accepted: ended.accepted,
                    shard: shard.clone(),
                    completed: ended.completed,
                    failed: ended.failed,
                };
                changes.push(change);
            }
        }
        changes
            .into_iter()
            .for_each(|change| self.propose(change, Cause::None, None, None));
    }

    /// Returns whether this entry gives up its leads, because it stops or an operator drains it.
    pub(super) fn is_leaving(&self) -> bool {
        let target = Target::Entry(self.setup.known.entry.clone());
        self.draining || self.config.state().is_draining(&target)
    }
}

/// Returns the event name of a proposed change and the subject of the event.
fn describe_change(change: &Change) -> (&'static str, String) {
    match change {
        Change::Confirm(plan) => ("plan-confirmed", plan.id.to_string()),
        Change::Cancel { jobs } => {
            let names: Vec<&str> = jobs.iter().map(id::Job::as_str).collect();
            ("jobs-cancelled", names.join(","))
        }
        Change::Drain { target, on: true } => ("drain-begun", target.to_string()),
        Change::Drain { target, on: false } => ("drain-ended", target.to_string()),
        Change::Ended { job, .. } => ("job-completed", job.to_string()),
    }
}
