//! Provides claims: room on busy workers that is kept for the tasks that displace others there.

use marigoldpick_core::prelude::*;

use super::Scheduler;
use crate::action::Action;
use crate::kind::Waiter;
use crate::score::Policy;
use crate::size::Size;

/// `Claim` is the room that displaced runs free for one task.
#[derive(Clone, Copy, Debug)]
pub(super) struct Claim {
    /// The job of the task.
    pub waiter: Waiter,
    /// The worker.
    pub worker: u32,
    /// The room.
    pub request: Size,
    /// When the claim expires.
    pub until: Millis,
}

impl<P: Policy> Scheduler<P> {
    pub(super) fn adjust_claimed(&mut self, worker: u32, request: &Size, on: bool) {
        self.fleet.update(worker, |w| {
            w.claimed = if on {
                w.claimed.plus(request)
            } else {
                w.claimed.minus(request)
            };
        });
    }

    /// Starts tasks whose claimed or reserved room has become free, and drops claims that are no longer
    /// valid.
    pub(super) fn fulfil_claims_and_reservation(&mut self, now: Millis, out: &mut Vec<Action>) {
        if !self.claims.is_empty() {
            self.fulfil_claims(now, out);
        }
        if self.reservation.is_some() {
            self.fulfil_reservation(now, out);
        }
    }

    fn fulfil_claims(&mut self, now: Millis, out: &mut Vec<Action>) {
        for claim in std::mem::take(&mut self.claims) {
            let known = self
                .jobs
                .find(claim.waiter.job, claim.waiter.order)
                .is_some();
            let next = known.then(|| self.jobs.get_mut(claim.waiter.job).next_waiting());
            let worker = self.fleet.get(claim.worker);
            let (Some(index), true) = (next.flatten(), worker.is_usable() && now < claim.until)
            else {
                self.drop_claim(&claim);
                continue;
            };
            if !worker.free_with_claims().can_hold(&claim.request) {
                self.claims.push(claim);
                continue;
            }
            let team = self.jobs.get(claim.waiter.job).team;
            let within = self.teams.get(team).has_quota_for(&claim.request);
            self.drop_claim(&claim);
            if within {
                let job = claim.waiter.job;
                self.start_task(job, index, claim.worker, &claim.request, now, out);
            }
        }
    }

    fn drop_claim(&mut self, claim: &Claim) {
        self.adjust_claimed(claim.worker, &claim.request, false);
        if self
            .jobs
            .find(claim.waiter.job, claim.waiter.order)
            .is_some()
        {
            let kind = self.jobs.get(claim.waiter.job).kind;
            self.kinds.get_mut(kind).block = None;
        }
        self.unblock(claim.worker);
    }

    /// Returns whether every waiting task of a job has a claim.
    pub(super) fn has_claims_for_all(&self, waiter: Waiter) -> bool {
        let have = self
            .claims
            .iter()
            .filter(|claim| claim.waiter == waiter)
            .count();
        have >= self.jobs.get(waiter.job).waiting as usize
    }

    /// Drops a claim of a job that has fewer waiting tasks than claims.
    pub(super) fn trim_claims(&mut self, waiter: Waiter) {
        let have = self
            .claims
            .iter()
            .filter(|claim| claim.waiter == waiter)
            .count();
        if have <= self.jobs.get(waiter.job).waiting as usize {
            return;
        }
        if let Some(at) = self.claims.iter().rposition(|claim| claim.waiter == waiter) {
            let claim = self.claims.remove(at);
            self.drop_claim(&claim);
        }
    }
}

/// Returns a size multiplied by `count`.
pub(super) fn times(size: &Size, count: u32) -> Size {
    let mut sum = *size;
    sum.millicores *= u64::from(count);
    sum.memory *= u64::from(count);
    for accelerators in &mut sum.accelerators {
        *accelerators *= count;
    }
    sum
}
