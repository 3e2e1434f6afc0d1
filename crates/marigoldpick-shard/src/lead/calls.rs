//! Calls to the workers: one in flight per worker, with renewals before all other calls.

use marigoldpick_core::prelude::*;
use marigoldpick_core::vm;
use marigoldpick_core::worker::{Call, Fault};

use super::member::{Command, Member};
use super::start::Stage;
use super::takeover::Role;
use super::{Lead, Notice, Output};
use crate::record::Record;

/// A candidate queries each worker this many times per [`Settings::idle_ms`].
///
/// [`Settings::idle_ms`]: crate::Settings::idle_ms
const PROBES_PER_IDLE_SPAN: u64 = 3;

/// `Purpose` is the reason for a call.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Purpose {
    /// A claim, or a query of the worker's state.
    Query,
    /// A renewal with these acknowledgements.
    Renew(Vec<id::Run>),
    /// A start.
    Start(id::Run),
    /// A stop, checkpoint or throttle, which is retried when the call gets no answer.
    Command(Command),
}

/// `InFlight` is a call that has not been answered yet.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct InFlight {
    pub(super) worker: id::Worker,
    pub(super) at: Millis,
    pub(super) purpose: Purpose,
}

impl Lead {
    /// Applies the platform's list of workers.
    ///
    /// A worker that is missing from the list does not count as gone.
    pub(super) fn apply_worker_list(&mut self, workers: Vec<vm::Worker>, out: &mut Vec<Output>) {
        for vm in workers {
            match self.members.binary_search_by(|m| m.id.cmp(&vm.id)) {
                Ok(at) => self.update_listed_worker(at, vm, out),
                Err(at) => self
                    .members
                    .insert(at, Member::new(vm.id.clone(), Some(vm))),
            }
        }
    }

    fn update_listed_worker(&mut self, at: usize, vm: vm::Worker, out: &mut Vec<Output>) {
        let member = &mut self.members[at];
        if member.vm.as_ref() == Some(&vm) {
            return;
        }
        let back = member.is_gone() && vm.state != vm::State::Gone;
        member.vm = Some(vm.clone());
        if back {
            let id = member.id.clone();
            *member = Member::new(id, Some(vm));
        } else if member.up {
            Self::push_notice(out, Notice::WorkerChanged(vm));
        }
    }

    /// Adds the workers that are in the log but not in the platform's list.
    pub(super) fn add_logged_workers(&mut self) {
        for worker in &self.journal.state().workers {
            if let Err(at) = self.members.binary_search_by(|m| m.id.cmp(worker)) {
                self.members.insert(at, Member::new(worker.clone(), None));
            }
        }
    }

    /// Admits the claimed workers that have sent a whole report.
    ///
    /// A worker that is in the log is reported to the scheduler; any other is first recorded there.
    pub(super) fn admit_workers(&mut self, out: &mut Vec<Output>) {
        for at in 0..self.members.len() {
            let member = &self.members[at];
            if member.up || member.lost || !member.known || !member.claimed {
                continue;
            }
            let id = member.id.clone();
            if self.journal.state().workers.binary_search(&id).is_err() {
                self.record_worker(id);
                continue;
            }
            let member = &mut self.members[at];
            member.up = true;
            member.silent = false;
            let running = std::mem::take(&mut member.initial_runs);
            let worker = member.vm.clone().expect("a worker that answers is listed");
            Self::push_notice(out, Notice::WorkerUp { worker, running });
        }
    }

    fn record_worker(&mut self, worker: id::Worker) {
        let record = Record::Worker(worker);
        let written = self
            .journal
            .appending()
            .is_some_and(|entry| entry.records.contains(&record));
        if !written && !self.outbox.contains(&record) {
            self.outbox.push(record);
        }
    }

    /// Sends the calls to workers that are due.
    pub(super) fn send_due_calls(&mut self, now: Millis, out: &mut Vec<Output>) {
        if self.role == Role::Follow {
            return;
        }
        let can_act = self.can_act(now);
        for at in 0..self.members.len() {
            let member = &self.members[at];
            let Some(vm) = &member.vm else {
                continue;
            };
            if member.call.is_some() || member.is_gone() {
                continue;
            }
            let address = vm.address.clone();
            if let Some((purpose, request)) = self.next_due_call(at, can_act, now) {
                self.send(at, address, purpose, request, now, out);
            }
        }
    }

    fn next_due_call(&mut self, at: usize, can_act: bool, now: Millis) -> Option<(Purpose, Call)> {
        let epoch = self.epoch;
        let renew = self.settings.renew_ms;
        let member = &mut self.members[at];
        let due = now >= member.due;
        if !matches!(self.role, Role::Claim { .. } | Role::Lead) {
            if !due {
                return None;
            }
            member.due = now + Millis(self.settings.idle_ms.0 / PROBES_PER_IDLE_SPAN);
            return Some((Purpose::Query, Call::List));
        }
        if !member.claimed {
            if !due {
                return None;
            }
            member.due = now + renew;
            return Some((Purpose::Query, Call::Claim { epoch }));
        }
        if due && can_act {
            let next = self.next_renewal(at, now);
            let span = self.timeouts().lease_ms;
            let member = &mut self.members[at];
            member.due = next;
            let acknowledged = member.acks.clone();
            let request = Call::Renew {
                epoch,
                stamp: member.stamp,
                span,
                acknowledged: acknowledged.clone(),
            };
            return Some((Purpose::Renew(acknowledged), request));
        }
        if due {
            member.due = now + renew;
            return Some((Purpose::Query, Call::List));
        }
        if member.failing {
            return None;
        }
        if member.needs_whole_report && now >= member.whole_report_due {
            member.whole_report_due = now + renew;
            return Some((Purpose::Query, Call::List));
        }
        if can_act { self.next_command(at) } else { None }
    }

    fn next_command(&mut self, at: usize) -> Option<(Purpose, Call)> {
        let epoch = self.epoch;
        loop {
            let command = self.members[at].commands.pop_front()?;
            let request = match command.clone() {
                Command::Start(run) => match self.start_call(at, &run) {
                    Some(request) => return Some((Purpose::Start(run), request)),
                    None => continue,
                },
                Command::Stop(run, grace) => Call::Stop { epoch, run, grace },
                Command::Checkpoint(run) => Call::Checkpoint { epoch, run },
                Command::Throttle(run, millicores) => Call::Throttle {
                    epoch,
                    run,
                    millicores,
                },
            };
            return Some((Purpose::Command(command), request));
        }
    }

    fn start_call(&mut self, at: usize, run: &id::Run) -> Option<Call> {
        let stamp = self.members[at].stamp;
        let span = self.timeouts().majority_ms;
        let pending = self.pending(run)?;
        let pending = &mut self.starts[pending];
        pending.stage = Stage::Sent(stamp + span);
        Some(Call::Start {
            epoch: self.epoch,
            stamp,
            span,
            spec: pending.spec.clone(),
        })
    }

    fn send(
        &mut self,
        at: usize,
        address: String,
        purpose: Purpose,
        request: Call,
        now: Millis,
        out: &mut Vec<Output>,
    ) {
        self.next_call += 1;
        let call = self.next_call;
        self.worker_calls.add(request.kind());
        let member = &mut self.members[at];
        member.call = Some(call);
        if matches!(purpose, Purpose::Start(_) | Purpose::Command(_)) {
            member.note_activity(now, now, self.settings.renew_ms);
        }
        let worker = self.members[at].id.clone();
        let sent = InFlight {
            worker: worker.clone(),
            at: now,
            purpose,
        };
        self.calls.insert(call, sent);
        out.push(Output::Worker {
            call,
            worker,
            address,
            request,
        });
    }

    /// Handles a call without an answer.
    ///
    /// A whole report later shows the outcome of a start that may have been carried out; any other
    /// start is refused. Commands are retried unless the call was invalid.
    pub(super) fn handle_worker_fault(
        &mut self,
        at: usize,
        sent: InFlight,
        fault: Fault,
        now: Millis,
        out: &mut Vec<Output>,
    ) {
        let member = &mut self.members[at];
        member.failing = true;
        member.due = member.due.min(now + self.settings.renew_ms);
        member.needs_whole_report |= fault == Fault::Unknown;
        match sent.purpose {
            Purpose::Start(run) if fault == Fault::Unknown => self.doubt_start(&run, Millis::ZERO),
            Purpose::Start(run) => self.refuse_start(&run, Code::WorkerAway, out),
            Purpose::Command(retry) if fault != Fault::Invalid => member.commands.push_front(retry),
            _ => {}
        }
    }
}
