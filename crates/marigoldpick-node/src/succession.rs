//! Planned handover of the lead.
//!
//! Load pattern: a lead stops, or finds a stronger entry, while 2,000 jobs are stored. The successor reads them before
//! its claim, and the earlier lead goes on until then. From the successor's answer on it holds its commits back, since
//! each commit changes the key that the claim is conditioned on. If the claim does not come, it goes on.

use std::rc::Rc;

use async_std::task;
use marigoldpick_core::control::Known;
use marigoldpick_core::prelude::*;
use marigoldpick_core::work::peer;

use crate::control::Control;
use crate::leadership::Leadership;
use crate::platform::Platform;
use crate::snapshot::Snapshot;

/// The timeout of a request to take over the lead; its receiver checks the store and reads what is stored first.
const SUCCEED_TIMEOUT: Millis = Millis(800);
/// How long after the request the successor reads before it claims without having read all.
const READ_AHEAD_LIMIT: Millis = Millis(500);
/// How long a lead waits for the claim after its successor has answered; it needs two calls to the store, of a few
/// hundred milliseconds each if that is slow.
const CLAIM_LIMIT: Millis = Millis(500);
/// The interval at which a lead that waits for its successor's claim checks whether its term is over.
const CLAIM_POLL: Millis = Millis(5);
/// The age after which a request to take over is void; the lead that sent it no longer waits for the claim.
const SUCCESSION_EXPIRY: Millis = Millis(1_000);

/// `Succession` is a request to take over the lead, for which this entry is prepared.
#[derive(Debug)]
pub(crate) struct Succession {
    pub(crate) snapshot: Snapshot,
    /// When the snapshot was read.
    prepared: Millis,
}

impl<P: Platform> Control<P> {
    /// Reads what is stored and lets the election claim the lead, as requested at `asked`.
    ///
    /// Returns when the claim is about to be made. Requests that arrive meanwhile wait for the same claim.
    pub(crate) async fn prepare_succession(self: &Rc<Self>, asked: Millis) {
        let _one_at_a_time = self.preparation.lock().await;
        let is_prepared = self
            .prepared
            .get()
            .is_some_and(|at| self.now().since(at) < SUCCESSION_EXPIRY);
        if is_prepared || self.tenure.borrow().is_some() {
            return;
        }
        let limit = (asked + READ_AHEAD_LIMIT).since(self.now());
        let snapshot = self.read_ahead(limit).await;
        let prepared = self.now();
        self.prepared.set(Some(prepared));
        log::info!(
            target: "node",
            "event=succession-prepared items={} took_ms={}",
            snapshot.count(), prepared.since(asked).0
        );
        // A full channel means that a succession request is already pending.
        let _is_asked = self
            .succession_sender
            .try_send(Succession { snapshot, prepared });
    }

    /// Returns what was read for a request to take over, if the request still holds.
    pub(crate) fn check_succession(&self, succession: Succession) -> Option<Snapshot> {
        let is_current = self.now().since(succession.prepared) < SUCCESSION_EXPIRY;
        (is_current && !self.is_draining()).then_some(succession.snapshot)
    }

    /// Asks another entry to take over, for the reason `why`, and waits for its claim if it agrees.
    ///
    /// The claim ends the term. Returns whether the other entry has agreed.
    pub(crate) async fn offer_lead(
        self: &Rc<Self>,
        leadership: &Rc<Leadership>,
        successor: &Known,
        why: &'static str,
    ) -> bool {
        if leadership.is_over() {
            return false;
        }
        leadership.begin_offer(why);
        let asked = self
            .call_peer(successor, peer::Call::Succeed, SUCCEED_TIMEOUT)
            .await;
        log::info!(
            target: "node",
            "event=lead-offered term={} to={} answered={}",
            leadership.term(), successor.entry, asked.is_ok()
        );
        if asked.is_ok() {
            leadership.hold_commits_until(self.now() + CLAIM_LIMIT);
            self.wait_for_commits(leadership).await;
            if !leadership.is_over() {
                log::info!(
                    target: "node",
                    "event=lead-kept term={} to={}",
                    leadership.term(), successor.entry
                );
            }
        }
        leadership.end_offer();
        asked.is_ok()
    }

    /// Waits until commits are no longer held back, or the term is over.
    pub(crate) async fn wait_for_commits(&self, leadership: &Leadership) {
        while !leadership.is_over() && leadership.holds_commits(self.now()) {
            task::sleep(CLAIM_POLL.duration()).await;
        }
    }
}
