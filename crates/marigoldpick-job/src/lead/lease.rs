//! What is known of the leases under which earlier leads started runs.
//!
//! Load pattern: entries are told to stop or crash one after the other while workers leave. A lead that knows
//! nothing of the earlier ones waits for the longest lease that they may have granted, from the start of its own
//! term. What the earlier lead knew keeps that wait from starting anew with each term. A lead that ends its term
//! hands it over. One that crashes has left waivers in the store: for each silent worker the time in which its
//! lease lapses, and with it the promise not to renew that lease while the waiver is in the store.

use marigoldpick_core::prelude::*;
use marigoldpick_core::work::lease::{Bound, Handover};

use super::registry::FORGET_DELAY;
use super::{Lead, roster};
use crate::lease::Lease;
use crate::settings::Settings;
use crate::worker::Worker;

/// The number of unanswered holds in a row after which a worker's lease is waived; a single hold can be lost on
/// its own.
const WAIVER_UNANSWERED_HOLDS: u32 = 2;
/// How long a worker is silent before its lease is waived. A waiver can't be withdrawn in an outage of the store, in
/// which a worker that answers again would lose its runs.
const WAIVER_DELAY: Millis = Millis(1_000);
/// The most waivers in a batch, which bounds what each commit writes while a failure domain is cut off.
const MAX_WAIVERS: usize = 64;
/// The longest time between two batches while there are waivers. What remains of a lease is as old as the batch.
const WAIVER_INTERVAL: Millis = Millis(500);

/// `Inherited` is what a lead knows of the leases that earlier leads granted.
#[derive(Clone, Debug)]
pub(super) struct Inherited {
    /// When all runs of earlier leads have ended on a worker that `bounds` does not name.
    longest: Millis,
    /// The same for a worker that may have carried out their orders to a former incarnation, but none of those that
    /// were late when it first reported.
    longest_after_report: Millis,
    /// The same for a worker that may have restarted since its last report.
    longest_after_restart: Millis,
    /// What is known of single workers, as of the start of the term; sorted by worker.
    bounds: Vec<Known>,
}

/// `Known` is when all runs of earlier leads have ended on one incarnation of a worker.
#[derive(Clone, Debug)]
struct Known {
    worker: id::Worker,
    /// The start of the incarnation; zero if unknown.
    born: u64,
    has_restarted: bool,
    lapse: Millis,
}

impl Inherited {
    /// Creates the state of a lead that knows nothing of the earlier ones.
    pub(super) fn unknown(settings: &Settings, now: Millis) -> Self {
        let last_order = now + settings.term_grace.max(settings.order_delay);
        Self {
            longest: now + settings.term_grace + settings.inherited_lease(),
            longest_after_report: now + settings.term_grace + settings.restart_lease(),
            longest_after_restart: last_order + settings.restart_lease(),
            bounds: Vec::new(),
        }
    }

    /// Limits the time on the workers that `bounds` names, which count from `now`.
    fn limit(&mut self, bounds: &[Bound], now: Millis) {
        for bound in bounds {
            let mut lapse = bound.lapse(now);
            // Leads grant no longer leases, but orders to a former incarnation may extend one for longer.
            if !bound.has_restarted {
                lapse = lapse.min(self.longest);
            }
            let known = Known {
                worker: bound.worker.clone(),
                born: bound.born,
                has_restarted: bound.has_restarted,
                lapse,
            };
            match self.find(&bound.worker) {
                Ok(at) if self.bounds[at].born == bound.born => {
                    let have = &mut self.bounds[at];
                    have.lapse = have.lapse.min(lapse);
                    have.has_restarted |= bound.has_restarted;
                }
                Ok(at) if self.bounds[at].born < bound.born => self.bounds[at] = known,
                Ok(_) => {}
                Err(at) => self.bounds.insert(at, known),
            }
        }
    }

    fn find(&self, worker: &id::Worker) -> Result<usize, usize> {
        self.bounds
            .binary_search_by(|known| known.worker.cmp(worker))
    }

    /// Returns when all runs of earlier leads have ended on every worker that has not restarted.
    pub(super) const fn longest(&self) -> Millis {
        self.longest
    }

    /// Returns when all runs of earlier leads have ended on every worker, restarted or not.
    pub(super) const fn longest_after_restart(&self) -> Millis {
        self.longest_after_restart
    }

    /// Returns what is known of the lease of a worker's incarnation that began at `born`, zero if unknown.
    ///
    /// `entry` is the worker's entry on the roster.
    pub(super) fn lease_of(
        &self,
        worker: &id::Worker,
        born: u64,
        entry: Option<&roster::Entry>,
    ) -> Lease {
        let known = self.find(worker).ok().map(|at| &self.bounds[at]);
        let told = known.map(|known| known.born);
        let last = told.into_iter().chain(entry.map(|entry| entry.born)).max();
        if last.is_some_and(|last| last < born) {
            return Lease::after_restart(self.longest_after_restart);
        }
        let has_restarted = entry.is_some_and(|entry| entry.has_restarted);
        match known {
            Some(known) if known.has_restarted || has_restarted => {
                Lease::after_restart(known.lapse)
            }
            Some(known) => Lease::inherited(known.lapse),
            None if has_restarted => Lease::after_restart(self.longest_after_report),
            None => Lease::inherited(self.longest),
        }
    }
}

impl Lead {
    /// Returns what this lead knows of the workers' leases at `now`, for its successor.
    ///
    /// It holds only if the lead gives no order after `now`.
    #[must_use]
    pub fn handover(&self, now: Millis) -> Handover {
        let lapses = self.workers.iter().map(|worker| worker.lease.lapse());
        let longest = lapses.fold(self.inherited.longest(), Millis::max);
        let own = self.workers.iter().filter(|worker| {
            let is_awaited = self.is_awaited(worker, now) && worker.lease.lapse() < longest;
            is_awaited || (worker.lease.has_restarted() && now < worker.lease.lapse())
        });
        // A lead that still loads knows some workers by their inherited bounds alone.
        let inherited = self.inherited.bounds.iter();
        let unknown = inherited.filter(|known| self.worker_index(&known.worker).is_none());
        let unknown = unknown.map(|known| {
            Bound::new(known.worker.clone(), known.lapse, now)
                .of_incarnation(known.born, known.has_restarted)
        });
        let mut bounds: Vec<Bound> = own
            .map(|worker| bound_of(worker, now))
            .chain(unknown)
            .collect();
        bounds.sort_by(|a, b| a.worker.cmp(&b.worker));
        Handover {
            bounds,
            longest: longest.since(now),
            settled: self.is_settled(&[], now),
        }
    }

    /// Applies what the lead before this one knew of the leases, received at `now`.
    ///
    /// It only shortens the wait for workers that are silent, and for those that may have unrecorded runs.
    pub fn inherit(&mut self, handover: &Handover, now: Millis) {
        self.inherited.longest = self.inherited.longest.min(now + handover.longest);
        self.inherit_settled(handover.settled);
        self.inherit_waivers(&handover.bounds, now);
    }

    /// Applies the waivers in the last commit of the lead before this one, read at `now` or earlier.
    pub fn inherit_waivers(&mut self, waivers: &[Bound], now: Millis) {
        self.inherited.limit(waivers, now);
        let settings = self.settings;
        for worker in &mut self.workers {
            if worker.has_restarted() {
                continue;
            }
            let entry = self.roster.entry(&worker.node.id);
            let lease = self
                .inherited
                .lease_of(&worker.node.id, worker.node.born, entry);
            if worker.lease.has_report() {
                worker.lease.limit(lease.lapse(), &settings);
            } else {
                worker.lease = lease;
            }
        }
        self.needs_pass = true;
    }

    /// Returns what is known of the lease of a worker's incarnation that has not reported in this term.
    pub(super) fn inherited_lease(&self, worker: &id::Worker, born: u64) -> Lease {
        let entry = self.roster.entry(worker);
        self.inherited.lease_of(worker, born, entry)
    }

    /// Returns the waivers for the next batch, sorted by worker; workers with lasting runs go first if there are
    /// too many.
    pub(super) fn waivers(&self, now: Millis) -> Vec<Bound> {
        let waived = self
            .workers
            .iter()
            .filter(|worker| self.can_waive(worker, now));
        let mut waived: Vec<&Worker> = waived.collect();
        if waived.len() > MAX_WAIVERS {
            waived.sort_by_key(|worker| !worker.runs.iter().any(|run| run.lasting));
            waived.truncate(MAX_WAIVERS);
            waived.sort_by(|a, b| a.node.id.cmp(&b.node.id));
        }
        let bounds = waived.into_iter();
        bounds.map(|worker| bound_of(worker, now)).collect()
    }

    /// Returns whether a worker has been silent for long enough to waive its lease, and something depends on that.
    fn can_waive(&self, worker: &Worker, now: Millis) -> bool {
        let is_absent = self.has_list && !worker.is_registered && !worker.has_reported;
        let silence = worker.silent_since.map(|since| now.since(since));
        let is_silent = worker.unanswered_holds >= WAIVER_UNANSWERED_HOLDS
            && silence.is_some_and(|silence| silence >= WAIVER_DELAY);
        self.is_awaited(worker, now) && (is_absent || is_silent)
    }

    /// Returns whether something depends on the end of a worker's lease: its runs, or the verdict on tasks that may
    /// have crashed it.
    fn is_awaited(&self, worker: &Worker, now: Millis) -> bool {
        let verdict = worker.lease.lapse() + FORGET_DELAY + self.settings.lease;
        !worker.runs.is_empty() || (!worker.crash_suspects.is_empty() && now < verdict)
    }

    /// Returns whether the waivers are for other workers than those that may be in the store, or were last
    /// written long ago.
    pub(super) fn has_new_waivers(&self, waivers: &[Bound], now: Millis) -> bool {
        let is_old = now.since(self.commit.sent_at) >= WAIVER_INTERVAL;
        let mut workers = self.workers.iter();
        (is_old && !waivers.is_empty())
            || workers.any(|worker| worker.is_waived != names(waivers, &worker.node.id))
    }

    /// Stops to renew the leases of the workers with waivers, and returns these workers.
    pub(super) fn waive(&mut self, waivers: &[Bound], now: Millis) -> Vec<id::Worker> {
        for at in 0..self.workers.len() {
            let worker = &mut self.workers[at];
            if worker.is_waived || !names(waivers, &worker.node.id) {
                continue;
            }
            worker.is_waived = true;
            let detail = format!(
                "lapse_in_ms={} bound={}",
                worker.lease.lapse().since(now).0,
                worker.lease.source()
            );
            let id = worker.node.id.to_string();
            self.log("lease-waived", id, detail);
        }
        waivers.iter().map(|bound| bound.worker.clone()).collect()
    }

    /// Renews leases again for which a stored batch has no waiver; `waived` names the workers for which it has one.
    pub(super) fn withdraw_waivers(&mut self, waived: &[id::Worker], now: Millis) {
        for worker in &mut self.workers {
            if worker.is_waived && waived.binary_search(&worker.node.id).is_err() {
                worker.is_waived = false;
                worker.hold_soon(now);
                self.needs_pass = true;
            }
        }
    }
}

/// Returns when all runs on a worker's incarnation end, as it is at `now`.
fn bound_of(worker: &Worker, now: Millis) -> Bound {
    Bound::new(worker.node.id.clone(), worker.lease.lapse(), now)
        .of_incarnation(worker.node.born, worker.lease.has_restarted())
}

/// Returns whether the waivers, which are sorted, name a worker.
fn names(waivers: &[Bound], worker: &id::Worker) -> bool {
    let found = waivers.binary_search_by(|bound| bound.worker.cmp(worker));
    found.is_ok()
}
