//! Calls to the store and the workers, heartbeats, and the faults of both.

use marigoldpick_core::prelude::*;
use marigoldpick_core::{store, worker};
use marigoldpick_shard::lead::{Homed, Input, Output};
use marigoldpick_shard::membership::Led;

use super::super::{Effect, FaultRates};
use super::{Event, LATE, Site, TIMEOUT};

impl Site {
    pub(super) fn output(&mut self, at: usize, output: Output) {
        match output {
            Output::Store { call, request } => {
                let rates = if self.cut_store.contains(&at) {
                    FaultRates::AWAY
                } else {
                    self.store_faults
                };
                let effect = rates.draw(&mut self.rng);
                let done = |fault| Event::StoreDone(at, call, Err(fault));
                let lost = done(store::Fault::Unknown);
                let away = done(store::Fault::Away);
                self.send(effect, Event::Store(at, call, request, effect), away, lost);
            }
            Output::Worker {
                call,
                worker,
                request,
                ..
            } => {
                let to = self
                    .vms
                    .iter()
                    .position(|vm| vm.id == worker)
                    .expect("a worker");
                let cut = self.cut_workers.contains(&(at, to)) || self.dead_workers.contains(&to);
                let rates = if cut {
                    FaultRates::AWAY
                } else {
                    self.worker_faults
                };
                let effect = rates.draw(&mut self.rng);
                let done = |fault| Event::WorkerDone(at, call, to, Err(fault));
                let lost = done(worker::Fault::Unknown);
                let away = done(worker::Fault::Away);
                self.send(
                    effect,
                    Event::Worker(at, call, to, request, effect),
                    away,
                    lost,
                );
            }
            Output::Notice(notice) => self.handle_notice(at, notice),
            Output::Event(_) => {}
        }
    }

    pub(super) fn send(&mut self, effect: Effect, call: Event, away: Event, lost: Event) {
        match effect {
            Effect::Answered => self.deliver(3, call),
            Effect::Away => self.deliver(3, away),
            Effect::CallLost => self.push(self.now + TIMEOUT, lost),
            Effect::AnswerLost => {
                self.deliver(3, call);
                self.push(self.now + TIMEOUT, lost);
            }
            Effect::Late => {
                self.deliver(LATE, call);
                self.push(self.now + TIMEOUT, lost);
            }
        }
    }

    pub(super) fn beat(&mut self, at: usize) {
        let now = self.time(at);
        let entry = &mut self.entries[at];
        entry.membership.tick(now);
        let shard = entry.lead.shard().clone();
        let leads = entry.lead.epoch().map(|epoch| Led { shard, epoch });
        let beat = entry
            .membership
            .beat(0, Millis::ZERO, false, leads.into_iter().collect())
            .clone();
        for to in 0..self.entries.len() {
            let cut = self.cut_entries.contains(&(at, to)) || self.cut_entries.contains(&(to, at));
            let unreachable = self.entries[to].dead || self.now < self.entries[to].paused_until;
            if to != at && !cut && !unreachable {
                let heard = self.time(to);
                self.entries[to].membership.record_beat(beat.clone(), heard);
            }
        }
    }

    /// Delivers an answer to an entry, or defers it until the end of the entry's pause.
    pub(super) fn input(&mut self, at: usize, input: Input, _retry: Event) {
        if self.entries[at].dead {
            return;
        }
        if self.now < self.entries[at].paused_until {
            let until = self.entries[at].paused_until;
            let event = match input {
                Input::Store { call, result } => Event::StoreDone(at, call, result),
                Input::Worker {
                    call,
                    worker,
                    result,
                } => {
                    let to = self.vms.iter().position(|vm| vm.id == worker);
                    Event::WorkerDone(at, call, to.expect("a worker"), result)
                }
                _ => return,
            };
            return self.push(until, event);
        }
        self.feed(at, input);
        self.schedule(at);
    }

    pub(super) fn homed(&self) -> Vec<Homed> {
        let mut jobs: Vec<Homed> = self
            .jobs
            .iter()
            .map(|job| Homed {
                job: job.id.clone(),
                class: job.class,
                accepted: job.accepted,
            })
            .collect();
        jobs.sort_by(|a, b| a.job.cmp(&b.job));
        jobs
    }
}
