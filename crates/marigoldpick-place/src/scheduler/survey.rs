//! Surveys: what the shard could do for jobs that are being planned, on a copy of its free room.

use marigoldpick_core::intent::{self, Yield};
use marigoldpick_core::plan::Displaced;
use marigoldpick_core::prelude::*;

use super::Scheduler;
use super::pick::{admits, never};
use crate::score::Policy;
use crate::size::Size;
use crate::survey::Offer;

impl<P: Policy> Scheduler<P> {
    /// Tells what the shard could do for jobs that are being planned, in their order.
    #[must_use]
    pub fn survey(&self, jobs: &[intent::Job], now: Millis) -> Vec<Offer> {
        let mut room: Vec<Size> = self.fleet.workers().iter().map(|w| w.free()).collect();
        jobs.iter()
            .map(|job| self.offer(job, &mut room, now))
            .collect()
    }

    fn offer(&self, job: &intent::Job, room: &mut [Size], now: Millis) -> Offer {
        let domain = self.fleet.workers().first().map(|w| w.domain.clone());
        let mut offer = Offer {
            job: job.name.clone(),
            domain,
            now: 0,
            displacing: 0,
            ever: 0,
            wait: Millis::ZERO,
            displaced: Vec::new(),
            never: None,
        };
        let ask = self.accelerators.convert(&job.needs);
        offer.never = never(&self.fleet, &job.needs, ask.clone(), &job.place);
        let Some(ask) = ask.ok().filter(|_| offer.never.is_none()) else {
            return offer;
        };
        self.count_room(job, &ask, room, &mut offer);
        self.count_displacing(job, &ask, room, &mut offer, now);
        offer.wait = self.expected_wait(job, &ask, &offer, now);
        offer
    }

    /// Counts what fits now, taking it from `room`, and what fits an empty shard.
    fn count_room(&self, job: &intent::Job, ask: &Size, room: &mut [Size], offer: &mut Offer) {
        for (worker, room) in self.fleet.workers().iter().zip(room) {
            let there = worker.state != crate::fleet::State::Gone;
            let there = there && !worker.draining && !worker.leaving;
            if !there || !admits(&job.place, &self.fleet, worker) {
                continue;
            }
            let left = job.count - offer.ever;
            offer.ever += worker.size.fits(ask, left);
            if worker.usable() {
                let fits = room.fits(ask, job.count - offer.now);
                offer.now += fits;
                *room = room.minus(&super::claim::times(ask, fits));
            }
        }
        offer.displacing = offer.now;
    }

    fn count_displacing(
        &self,
        job: &intent::Job,
        ask: &Size,
        room: &mut [Size],
        offer: &mut Offer,
        now: Millis,
    ) {
        if job.displace.how == Yield::Never {
            return;
        }
        let count = u32::try_from(room.len()).unwrap_or(u32::MAX);
        for slot in 0..count {
            let budget = job
                .displace
                .tasks
                .saturating_sub(offer.displaced.len() as u32);
            if offer.displacing >= job.count || budget == 0 {
                return;
            }
            let worker = self.fleet.get(slot);
            if !worker.usable() || !admits(&job.place, &self.fleet, worker) {
                continue;
            }
            let free = room[slot as usize];
            let Some(choice) = self.victims(slot, &free, ask, job, budget, now) else {
                continue;
            };
            offer.displacing += 1;
            for victim in &choice.victims {
                offer.displaced.push(Displaced {
                    task: self.runs.get(victim.run).id().task,
                    by: job.name.clone(),
                    how: victim.how,
                });
            }
        }
    }

    /// Estimates the wait for the last of the tasks, by the run times that are known.
    fn expected_wait(&self, job: &intent::Job, ask: &Size, offer: &Offer, now: Millis) -> Millis {
        if offer.displacing >= job.count || offer.ever == 0 {
            return Millis::ZERO;
        }
        let slots = self.availability(ask, &job.place, job.count, now);
        let found = u32::try_from(slots.len()).unwrap_or(u32::MAX).max(1);
        let last = slots
            .last()
            .map_or(self.settings.run, |slot| slot.at.since(now));
        let rounds = u64::from(job.count.div_ceil(found) - 1);
        last + job.run_ms.unwrap_or(self.settings.run).times(rounds)
    }
}
