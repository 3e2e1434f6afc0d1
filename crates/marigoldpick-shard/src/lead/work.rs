//! Calls to the workers: one at a time to each, renewals before all else.

use marigoldpick_core::prelude::*;
use marigoldpick_core::vm;
use marigoldpick_core::worker::{Call, Fault};

use super::member::{Act, Member};
use super::start::Stage;
use super::takeover::Role;
use super::{Lead, Notice, Output};
use crate::record::Record;

/// Times a renewal's pause in which a candidate looks at each worker once.
const PROBES: u64 = 3;

/// `Kind` is what a call was for.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Kind {
    /// A claim, or a look at the worker.
    Look,
    /// A renewal with these acknowledgements.
    Renew(Vec<id::Run>),
    /// A start.
    Start(id::Run),
    /// A stop or the like, to be tried again when its answer is lost.
    Act(Act),
}

/// `Sent` is a call that was not yet answered.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Sent {
    pub(super) worker: id::Worker,
    pub(super) at: Millis,
    pub(super) kind: Kind,
}

impl Lead {
    /// Takes the platform's list; who is missing from it is not gone yet.
    pub(super) fn listed(&mut self, workers: Vec<vm::Worker>, out: &mut Vec<Output>) {
        for vm in workers {
            match self.members.binary_search_by(|m| m.id.cmp(&vm.id)) {
                Ok(at) => self.relisted(at, vm, out),
                Err(at) => self
                    .members
                    .insert(at, Member::new(vm.id.clone(), Some(vm))),
            }
        }
    }

    fn relisted(&mut self, at: usize, vm: vm::Worker, out: &mut Vec<Output>) {
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
            Self::notice(out, Notice::WorkerChanged(vm));
        }
    }

    /// Adds the workers that the log names and the list has not.
    pub(super) fn adopt_workers(&mut self) {
        for worker in &self.journal.state().workers {
            if let Err(at) = self.members.binary_search_by(|m| m.id.cmp(worker)) {
                self.members.insert(at, Member::new(worker.clone(), None));
            }
        }
    }

    /// Tells the scheduler of workers that obey and are in the log; writes down those that are not.
    pub(super) fn raise_workers(&mut self, out: &mut Vec<Output>) {
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
            let running = std::mem::take(&mut member.arrived);
            let worker = member.vm.clone().expect("a worker that answers is listed");
            Self::notice(out, Notice::WorkerUp { worker, running });
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

    /// Makes the calls to workers that are due.
    pub(super) fn work(&mut self, now: Millis, out: &mut Vec<Output>) {
        if self.role == Role::Follow {
            return;
        }
        let may = self.may(now);
        for at in 0..self.members.len() {
            let member = &self.members[at];
            let Some(vm) = &member.vm else {
                continue;
            };
            if member.call.is_some() || member.is_gone() {
                continue;
            }
            let address = vm.address.clone();
            if let Some((kind, request)) = self.next_work(at, may, now) {
                self.send(at, address, kind, request, now, out);
            }
        }
    }

    fn next_work(&mut self, at: usize, may: bool, now: Millis) -> Option<(Kind, Call)> {
        let epoch = self.epoch;
        let renew = self.settings.renew_ms;
        let member = &mut self.members[at];
        let due = now >= member.due;
        if !matches!(self.role, Role::Claim { .. } | Role::Lead) {
            if !due {
                return None;
            }
            member.due = now + Millis(self.settings.idle_ms.0 / PROBES);
            return Some((Kind::Look, Call::List));
        }
        if !member.claimed {
            if !due {
                return None;
            }
            member.due = now + renew;
            return Some((Kind::Look, Call::Claim { epoch }));
        }
        if due && may {
            let next = self.next_renewal(at, now);
            let span = self.pace().lease_ms;
            let member = &mut self.members[at];
            member.due = next;
            let acknowledged = member.acks.clone();
            let request = Call::Renew {
                epoch,
                stamp: member.stamp,
                span,
                acknowledged: acknowledged.clone(),
            };
            return Some((Kind::Renew(acknowledged), request));
        }
        if due {
            member.due = now + renew;
            return Some((Kind::Look, Call::List));
        }
        if member.failing {
            return None;
        }
        if member.want_whole && now >= member.look_at {
            member.look_at = now + renew;
            return Some((Kind::Look, Call::List));
        }
        if may { self.next_act(at) } else { None }
    }

    fn next_act(&mut self, at: usize) -> Option<(Kind, Call)> {
        let epoch = self.epoch;
        loop {
            let act = self.members[at].queue.pop_front()?;
            let request = match act.clone() {
                Act::Start(run) => match self.start_call(at, &run) {
                    Some(request) => return Some((Kind::Start(run), request)),
                    None => continue,
                },
                Act::Stop(run, grace) => Call::Stop { epoch, run, grace },
                Act::Checkpoint(run) => Call::Checkpoint { epoch, run },
                Act::Throttle(run, millicores) => Call::Throttle {
                    epoch,
                    run,
                    millicores,
                },
            };
            return Some((Kind::Act(act), request));
        }
    }

    fn start_call(&mut self, at: usize, run: &id::Run) -> Option<Call> {
        let stamp = self.members[at].stamp;
        let span = self.pace().majority_ms;
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
        kind: Kind,
        request: Call,
        now: Millis,
        out: &mut Vec<Output>,
    ) {
        self.next_call += 1;
        let call = self.next_call;
        self.worker_calls.add(request.kind());
        let member = &mut self.members[at];
        member.call = Some(call);
        if matches!(kind, Kind::Start(_) | Kind::Act(_)) {
            member.freshen(now, now, self.settings.renew_ms);
        }
        let worker = self.members[at].id.clone();
        let sent = Sent {
            worker: worker.clone(),
            at: now,
            kind,
        };
        self.calls.insert(call, sent);
        out.push(Output::Worker {
            call,
            worker,
            address,
            request,
        });
    }

    /// A call got no answer. What may have been carried out is asked for; the rest is tried again.
    pub(super) fn worker_fault(
        &mut self,
        at: usize,
        sent: Sent,
        fault: Fault,
        now: Millis,
        out: &mut Vec<Output>,
    ) {
        let member = &mut self.members[at];
        member.failing = true;
        member.due = member.due.min(now + self.settings.renew_ms);
        member.want_whole |= fault == Fault::Unknown;
        match sent.kind {
            Kind::Start(run) if fault == Fault::Unknown => self.doubt_start(&run, Millis::ZERO),
            Kind::Start(run) => self.refuse_start(&run, Code::WorkerAway, out),
            Kind::Act(act) if fault != Fault::Invalid => member.queue.push_front(act),
            _ => {}
        }
    }
}
