//! Claims: room set aside on busy workers for tasks that others give way to.

use marigoldpick_core::prelude::*;

use super::Scheduler;
use crate::action::Action;
use crate::kind::Waiter;
use crate::score::Policy;
use crate::size::Size;

/// `Claim` is room for one task that others give way to.
#[derive(Clone, Copy, Debug)]
pub(super) struct Claim {
    /// The job.
    pub waiter: Waiter,
    /// The worker.
    pub worker: u32,
    /// The room.
    pub ask: Size,
    /// When the claim ends without effect.
    pub until: Millis,
}

impl<P: Policy> Scheduler<P> {
    pub(super) fn claim(&mut self, worker: u32, ask: &Size, on: bool) {
        self.fleet.change(worker, |w| {
            w.claimed = if on {
                w.claimed.plus(ask)
            } else {
                w.claimed.minus(ask)
            };
        });
    }

    /// Starts what its claimed room has come for, and drops claims that are void.
    pub(super) fn fulfil(&mut self, now: Millis, out: &mut Vec<Action>) {
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
            let (Some(index), true) = (next.flatten(), worker.usable() && now < claim.until) else {
                self.drop_claim(&claim);
                continue;
            };
            if !worker.unheld().holds(&claim.ask) {
                self.claims.push(claim);
                continue;
            }
            let team = self.jobs.get(claim.waiter.job).team;
            let within = self.teams.get(team).allows(&claim.ask);
            self.drop_claim(&claim);
            if within {
                let job = claim.waiter.job;
                self.start(job, index, claim.worker, &claim.ask, now, out);
            }
        }
    }

    fn drop_claim(&mut self, claim: &Claim) {
        self.claim(claim.worker, &claim.ask, false);
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

    /// Tells whether every waiting task of a job has a claim.
    pub(super) fn claimed_all(&self, waiter: Waiter) -> bool {
        let have = self
            .claims
            .iter()
            .filter(|claim| claim.waiter == waiter)
            .count();
        have >= self.jobs.get(waiter.job).waiting as usize
    }

    /// Drops claims of a job that has fewer waiting tasks than claims.
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

/// Returns a size `count` times.
pub(super) fn times(size: &Size, count: u32) -> Size {
    let mut sum = *size;
    sum.millicores *= u64::from(count);
    sum.memory *= u64::from(count);
    for accelerators in &mut sum.accelerators {
        *accelerators *= count;
    }
    sum
}
