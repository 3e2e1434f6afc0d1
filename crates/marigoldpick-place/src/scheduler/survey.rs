//! Provides surveys: the shard's offers for jobs in planning, computed on a copy of its free capacity.

use marigoldpick_core::intent::{self, Yield};
use marigoldpick_core::plan::Displaced;
use marigoldpick_core::prelude::*;

use super::Scheduler;
use super::pick::{is_eligible, unschedulable_reason};
use crate::score::Policy;
use crate::size::Size;
use crate::survey::Offer;

impl<P: Policy> Scheduler<P> {
    /// Returns an offer for each job in planning, in the given order.
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
        let request = self.accelerators.to_size(&job.needs);
        offer.never = unschedulable_reason(&self.fleet, &job.needs, request.clone(), &job.place);
        let Some(request) = request.ok().filter(|_| offer.never.is_none()) else {
            return offer;
        };
        self.count_room(job, &request, room, &mut offer);
        self.count_displacing(job, &request, room, &mut offer, now);
        offer.wait = self.expected_wait(job, &request, &offer, now);
        offer
    }

    /// Counts the tasks that fit now, deducting them from `room`, and those that fit an empty shard.
    fn count_room(&self, job: &intent::Job, request: &Size, room: &mut [Size], offer: &mut Offer) {
        for (worker, room) in self.fleet.workers().iter().zip(room) {
            let there = worker.state != crate::fleet::State::Gone;
            let there = there && !worker.draining && !worker.leaving;
            if !there || !is_eligible(&job.place, &self.fleet, worker) {
                continue;
            }
            let left = job.count - offer.ever;
            offer.ever += worker.size.count_fitting(request, left);
            if worker.is_usable() {
                let fits = room.count_fitting(request, job.count - offer.now);
                offer.now += fits;
                *room = room.minus(&super::claim::times(request, fits));
            }
        }
        offer.displacing = offer.now;
    }

    fn count_displacing(
        &self,
        job: &intent::Job,
        request: &Size,
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
            if !worker.is_usable() || !is_eligible(&job.place, &self.fleet, worker) {
                continue;
            }
            let free = room[slot as usize];
            let Some(choice) = self.victims_on(slot, &free, request, job, budget, now) else {
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

    /// Estimates the wait of the last task from the expected run times.
    fn expected_wait(
        &self,
        job: &intent::Job,
        request: &Size,
        offer: &Offer,
        now: Millis,
    ) -> Millis {
        if offer.displacing >= job.count || offer.ever == 0 {
            return Millis::ZERO;
        }
        let openings = self.earliest_openings(request, &job.place, job.count, now);
        let found = u32::try_from(openings.len()).unwrap_or(u32::MAX).max(1);
        let last = openings
            .last()
            .map_or(self.settings.default_run_time, |opening| {
                opening.at.since(now)
            });
        let rounds = u64::from(job.count.div_ceil(found) - 1);
        last + job
            .run_ms
            .unwrap_or(self.settings.default_run_time)
            .times(rounds)
    }
}
