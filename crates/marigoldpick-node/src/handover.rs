//! Handover of the workers' leases from an earlier lead to its successor.
//!
//! Load pattern: an entry takes over while a worker is lost. Without a handover the successor would wait for
//! the longest lease that any earlier lead may have granted, and again after each take-over. It therefore
//! asks the earlier lead, which ends its term before it answers, so that no later order extends a lease.
//! Without an answer the successor waits.

use std::rc::Rc;

use async_std::task;
use displaydoc::Display;
use marigoldpick_core::control::Known;
use marigoldpick_core::prelude::*;
use marigoldpick_core::work::lease::Handover;
use marigoldpick_core::work::peer;
use marigoldpick_wire as wire;

use crate::control::Control;
use crate::leadership::Leadership;
use crate::platform::Platform;

/// The timeout of one request to an earlier lead, which answers without a call of its own.
const YIELD_TIMEOUT: Millis = Millis(500);
/// The delay before a request to an earlier lead that failed is repeated.
const YIELD_RETRY: Millis = Millis(150);
/// The maximum number of requests to an earlier lead.
///
/// They take at most about three seconds, for which an entry that is told to stop still answers.
const MAX_YIELD_REQUESTS: u32 = 5;
/// The reason for the end of a term whose lead was asked by its successor to end it.
const REPLACED_REASON: &str = "replaced";

/// `Failure` is the reason why an earlier lead's leases are unknown.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
enum Failure {
    /// no earlier claim is known
    NoClaim,
    /// the process has restarted since
    Restarted,
    /// its address is unknown
    NoAddress,
    /// its last term was under another claim
    OtherClaim,
    /// it sent an answer of another kind
    OtherAnswer,
    /// {0}
    Call(wire::Error),
}

/// `Remainder` is what an ended term of this entry knew of the workers' leases.
#[derive(Clone, Debug)]
pub(crate) struct Remainder {
    /// The unique name of the term's claim to the lead.
    holder: String,
    /// When the handover was made.
    made: Millis,
    handover: Handover,
}

/// Returns a handover as it is after `elapsed`.
#[must_use]
pub fn remaining_after(handover: &Handover, elapsed: Millis) -> Handover {
    let bounds = handover.bounds.iter().map(|bound| bound.after(elapsed));
    Handover {
        longest: handover.longest.since(elapsed),
        bounds: bounds.collect(),
        settled: handover.settled,
    }
}

/// Returns the entry that made the claim `holder`.
#[must_use]
pub fn claimant(holder: &str) -> Option<id::Entry> {
    let (entry, _) = holder.rsplit_once('/')?;
    id::Entry::new(entry).ok()
}

impl<P: Platform> Control<P> {
    /// Keeps what a term that is over knew of the workers' leases.
    pub(crate) fn keep_remainder(&self, leadership: &Leadership) {
        let made = self.now();
        let remainder = Remainder {
            holder: leadership.holder.clone(),
            made,
            handover: leadership.read(|lead| lead.handover(made)),
        };
        *self.remainder.borrow_mut() = Some(remainder);
    }

    /// Ends the term under the claim `holder` if it is not over, and returns what remains of its leases.
    ///
    /// Returns nothing if this entry's last term was not under that claim.
    pub(crate) fn yield_term(&self, holder: &str) -> Option<Handover> {
        let tenure = self.tenure.borrow().clone();
        if let Some(leadership) = tenure.filter(|leadership| leadership.holder == holder) {
            leadership.end_as_replaced(REPLACED_REASON);
            self.keep_remainder(&leadership);
        }
        self.remaining_leases(holder)
    }

    /// Returns what remains of the leases of this entry's last ended term if that was under the claim `holder`.
    fn remaining_leases(&self, holder: &str) -> Option<Handover> {
        let remainder = self.remainder.borrow();
        let remainder = remainder
            .as_ref()
            .filter(|remainder| remainder.holder == holder)?;
        let elapsed = self.now().since(remainder.made);
        Some(remaining_after(&remainder.handover, elapsed))
    }

    /// Passes the leases that the earlier lead granted to the lead, if they can be learned.
    ///
    /// `earlier` is the name of the claim that the one of this term has replaced.
    pub(crate) async fn inherit_leases(
        self: Rc<Self>,
        leadership: Rc<Leadership>,
        earlier: Option<String>,
    ) {
        let term = leadership.term();
        let found = self.find_handover(&leadership, earlier.as_deref()).await;
        let entry = earlier.as_deref().and_then(claimant);
        let from = entry.as_ref().map_or("none", id::Entry::as_str);
        let outcome = match found {
            Ok(handover) => {
                let now = self.now();
                leadership.update(|lead| lead.inherit(&handover, now));
                log::info!(
                    target: "node",
                    "event=leases-inherited term={term} from={from} workers={} longest_ms={}",
                    handover.bounds.len(), handover.longest.0
                );
                "inherited"
            }
            Err(why) => {
                log::info!(target: "node", "event=leases-unknown term={term} from={from} why={why}");
                "unknown"
            }
        };
        metrics::counter!("marigold_lease_handovers_total", "outcome" => outcome).increment(1);
    }

    /// Returns the handover of the earlier lead: this process itself in an earlier term, or another entry.
    async fn find_handover(
        &self,
        leadership: &Leadership,
        earlier: Option<&str>,
    ) -> Result<Handover, Failure> {
        let holder = earlier.ok_or(Failure::NoClaim)?;
        if let Some(handover) = self.remaining_leases(holder) {
            return Ok(handover);
        }
        if claimant(holder).is_some_and(|entry| entry == self.settings.entry) {
            return Err(Failure::Restarted);
        }
        let known = self.find_claimant(holder).ok_or(Failure::NoAddress)?;
        let mut requests = 1;
        loop {
            match self.request_leases(&known, holder).await {
                Err(Failure::Call(_)) if requests < MAX_YIELD_REQUESTS && !leadership.is_over() => {
                    requests += 1;
                    task::sleep(YIELD_RETRY.duration()).await;
                }
                result => return result,
            }
        }
    }

    /// Asks an earlier lead once to end its term and to tell which leases it has granted.
    async fn request_leases(&self, known: &Known, holder: &str) -> Result<Handover, Failure> {
        let call = peer::Call::Yield {
            holder: holder.to_owned(),
        };
        match self.call_peer(known, call, YIELD_TIMEOUT).await {
            Ok(peer::Answer::Leases(handover)) => handover.ok_or(Failure::OtherClaim),
            Ok(_) => Err(Failure::OtherAnswer),
            Err(error) => Err(Failure::Call(error)),
        }
    }

    /// Returns the address and identity of the entry that made the claim `holder`.
    ///
    /// An entry that is told to stop is no longer among the live ones, so the claim itself goes first.
    fn find_claimant(&self, holder: &str) -> Option<Known> {
        let last_claim = self.last_claim.borrow();
        match last_claim.as_ref() {
            Some(claim) if claim.holder == holder => Some(claim.known.clone()),
            _ => self.peer(&claimant(holder)?),
        }
    }
}
