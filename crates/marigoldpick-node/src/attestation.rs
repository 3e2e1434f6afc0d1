//! Attestations by the other entries that there was no outage in which an earlier lead could start tasks without
//! records.
//!
//! A lead starts tasks without records only while most entries tell it that they do not reach the store. If most
//! entries have reached the store all the while, none did so. An entry that has restarted or has lost the store
//! attests nothing, so that a lead which finds no majority expects such starts.
//!
//! Load pattern: the lead crashes beside workers that do not answer. Without attestations, all waiting tasks would
//! wait until these workers' leases have lapsed.

use std::rc::Rc;

use async_std::task;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use marigoldpick_core::prelude::*;
use marigoldpick_core::work::peer;

use crate::control::Control;
use crate::leadership::Leadership;
use crate::platform::Platform;

/// The time without an outage that an entry has to attest.
///
/// It covers the time from the last start without a record to the next claim to the lead. Claims and commits tell
/// whether there may be such starts from before.
const ATTESTED_TIME: Millis = Millis(10_000);
/// The timeout of a request for an attestation; the other entry may check the store before it answers.
const ATTESTATION_TIMEOUT: Millis = Millis(700);
/// The delay before the entries are asked again.
const ATTESTATION_RETRY: Millis = Millis(150);
/// The number of times that the entries are asked; a single answer can be lost.
const MAX_ROUNDS: usize = 2;

/// Returns whether `attested` entries are most of those that may have told the earlier lead that they do not reach
/// the store: `known` now, or `recorded` by that lead.
#[must_use]
pub fn is_majority(attested: usize, known: usize, recorded: usize) -> bool {
    2 * attested > known.max(recorded)
}

impl<P: Platform> Control<P> {
    /// Lets the lead rule out unrecorded starts if most entries attest that there was no outage before its claim.
    ///
    /// `recorded` is the number of entries that the earlier lead knew.
    pub(crate) async fn rule_out_unrecorded_starts(
        self: Rc<Self>,
        leadership: Rc<Leadership>,
        recorded: usize,
    ) {
        for _ in 0..MAX_ROUNDS {
            let (attested, known) = self.count_attestations(&leadership, recorded).await;
            let is_ruled_out = is_majority(attested, known, recorded);
            log::info!(
                target: "node",
                "event=outage-attestations term={} attested={attested} known={known} recorded={recorded} ruled_out={is_ruled_out}",
                leadership.term()
            );
            if is_ruled_out {
                leadership.update(|lead| lead.rule_out_unrecorded_starts());
                return;
            }
            task::sleep(ATTESTATION_RETRY.duration()).await;
        }
    }

    /// Returns the number of entries that attest, this one included, and the number of known entries.
    ///
    /// The answers that a majority does not need are not awaited.
    async fn count_attestations(&self, leadership: &Leadership, recorded: usize) -> (usize, usize) {
        let peers = self.peers.borrow().clone();
        let known = peers.len() + 1;
        // The time since the claim counts too, since starts without records ended with it.
        let attests =
            |steady: Millis| steady >= ATTESTED_TIME + self.now().since(leadership.began());
        let mut attested = usize::from(attests(self.steady_time()));
        let mut asked: FuturesUnordered<_> = peers
            .iter()
            .map(|member| self.call_peer(&member.known, peer::Call::Ping, ATTESTATION_TIMEOUT))
            .collect();
        while !is_majority(attested, known, recorded)
            && let Some(answer) = asked.next().await
        {
            if let Ok(peer::Answer::Pong { steady, .. }) = answer {
                attested += usize::from(attests(steady));
            }
        }
        (attested, known)
    }
}
