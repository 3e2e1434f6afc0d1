//! Calls to the store and the workers, beats, and their fates.

use marigoldpick_core::prelude::*;
use marigoldpick_core::{store, worker};
use marigoldpick_shard::lead::{Homed, Input, Output};
use marigoldpick_shard::membership::Led;

use super::super::{Fate, Odds};
use super::{Event, LATE, Site, TIMEOUT};

impl Site {
    pub(super) fn output(&mut self, at: usize, output: Output) {
        match output {
            Output::Store { call, request } => {
                let odds = if self.cut_store.contains(&at) {
                    Odds::AWAY
                } else {
                    self.store_odds
                };
                let fate = odds.draw(&mut self.rng);
                let done = |fault| Event::StoreDone(at, call, Err(fault));
                let lost = done(store::Fault::Unknown);
                let away = done(store::Fault::Away);
                self.send(fate, Event::Store(at, call, request, fate), away, lost);
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
                let odds = if cut { Odds::AWAY } else { self.worker_odds };
                let fate = odds.draw(&mut self.rng);
                let done = |fault| Event::WorkerDone(at, call, to, Err(fault));
                let lost = done(worker::Fault::Unknown);
                let away = done(worker::Fault::Away);
                self.send(fate, Event::Worker(at, call, to, request, fate), away, lost);
            }
            Output::Notice(notice) => self.notice(at, notice),
            Output::Event(_) => {}
        }
    }

    pub(super) fn send(&mut self, fate: Fate, call: Event, away: Event, lost: Event) {
        match fate {
            Fate::Answered => self.deliver(3, call),
            Fate::Away => self.deliver(3, away),
            Fate::CallLost => self.push(self.now + TIMEOUT, lost),
            Fate::AnswerLost => {
                self.deliver(3, call);
                self.push(self.now + TIMEOUT, lost);
            }
            Fate::Late => {
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
            let deaf = self.entries[to].dead || self.now < self.entries[to].paused_until;
            if to != at && !cut && !deaf {
                let heard = self.time(to);
                self.entries[to].membership.heard(beat.clone(), heard);
            }
        }
    }

    /// Hands an answer to an entry, after its pause if it is paused.
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
