//! Probes of the store during an outage, and polls of the other entries on whether they reach it.
//!
//! A request must not wait for a store that is known to be unreachable: it is refused at once, or forwarded
//! to an entry that reaches the store.

use std::pin::pin;
use std::rc::Rc;
use std::sync::atomic::Ordering;

use async_std::task;
use futures::StreamExt;
use futures::future::{Either, select};
use futures::stream::FuturesUnordered;
use marigoldpick_core::prelude::*;
use marigoldpick_core::work::peer;
use marigoldpick_wire as wire;
use rand::Rng;

use crate::control::Control;
use crate::member::Member;
use crate::peer_reports::PeerReports;
use crate::platform::Platform;
use crate::retry;

/// The minimum pause between two probes of a store that does not answer.
const PROBE_PAUSE: Millis = Millis(150);
/// The maximum random addition to the pause in milliseconds, which spreads the entries' probes.
const MAX_JITTER_MS: u64 = 75;
/// The minimum time between two polls of the other entries by an entry that does not lead.
const POLL_GAP: Millis = Millis(600);
/// The timeout of a ping to another entry, which checks the store before it answers.
const PING_TIMEOUT: Millis = Millis(700);

impl<P: Platform> Control<P> {
    /// Probes the store until it answers again, and polls the other entries meanwhile.
    pub(crate) async fn probe_until_answered(self: Rc<Self>) {
        let mut consulted = None;
        while !self.can_reach_store() {
            self.publish_retry_after(Some(self.store_state_age()));
            let due = consulted.is_none_or(|at| self.now().since(at) >= POLL_GAP);
            // The call itself records the outcome of the probe.
            let probe = pin!(self.probe_store());
            if due || self.leadership().is_some() {
                consulted = Some(self.now());
                // An answer of the store ends the wait for entries that are cut off and do not answer.
                match select(probe, pin!(self.consult_peers())).await {
                    Either::Left((Ok(_), _)) => continue,
                    Either::Left((Err(_), consult)) => consult.await,
                    Either::Right(((), probe)) => drop(probe.await),
                }
            } else {
                drop(probe.await);
            }
            let pause = PROBE_PAUSE + Millis(rand::rng().random_range(0..=MAX_JITTER_MS));
            task::sleep(pause.duration()).await;
        }
        self.publish_retry_after(None);
        *self.peer_reports.borrow_mut() = PeerReports::default();
    }

    /// Polls the other entries on whether they reach the store, and applies their reports.
    async fn consult_peers(self: &Rc<Self>) {
        let reports = self.poll_peers().await;
        if let Some(leadership) = self.leadership() {
            self.apply_peer_reports(&leadership, &reports);
        }
        self.publish_connection(&reports);
        *self.peer_reports.borrow_mut() = reports;
    }

    /// Publishes whether this entry is connected, which readiness checks use.
    ///
    /// An entry counts as cut off if no other entry reports that it reaches the store and fewer than half of
    /// the others answer at all: callers are better served elsewhere. During an outage of the store for all
    /// entries, sending callers elsewhere would help no one.
    fn publish_connection(&self, reports: &PeerReports) {
        let connected = !reports.reaching.is_empty() || 2 * reports.cut_off >= reports.known;
        if self.shared.connected.swap(connected, Ordering::SeqCst) != connected {
            log::warn!(
                target: "node",
                "event=connection connected={connected} others_cut_off={} others_known={}",
                reports.cut_off, reports.known
            );
        }
    }

    /// Publishes the delay after which callers that are refused should retry.
    pub(crate) fn publish_retry_after(&self, outage: Option<Millis>) {
        let wait = retry::delay(outage);
        self.shared.retry_after.store(wait.0, Ordering::SeqCst);
    }

    /// Polls the other entries on whether they reach the store.
    ///
    /// Once one of the strongest entries reports that it does, the remaining answers are not awaited.
    pub(crate) async fn poll_peers(&self) -> PeerReports {
        let asked = self.now();
        let peers = self.peers.borrow().clone();
        let strongest = peers.iter().map(|member| member.strength).max();
        let mut answers: FuturesUnordered<_> = peers
            .iter()
            .map(|member| async move {
                let sent = self.now();
                let answer = self
                    .call_peer(&member.known, peer::Call::Ping, PING_TIMEOUT)
                    .await;
                if let Ok(peer::Answer::Pong { config, .. }) = &answer {
                    self.record_confirmation(*config, sent);
                }
                (member, answer)
            })
            .collect();
        let mut reports = PeerReports {
            asked,
            known: peers.len(),
            ..PeerReports::default()
        };
        let mut reaching: Vec<&Member> = Vec::new();
        while let Some((member, answer)) = answers.next().await {
            if let Ok(peer::Answer::Pong { term, .. }) = &answer {
                reports.term = reports.term.max(*term);
            }
            match answer {
                Ok(peer::Answer::Pong { store: true, .. }) => {
                    reaching.push(member);
                    if Some(member.strength) == strongest {
                        break;
                    }
                }
                Ok(peer::Answer::Pong { store: false, .. }) => reports.cut_off += 1,
                Ok(_) | Err(wire::Error::Away | wire::Error::Unknown | wire::Error::Refused(_)) => {
                }
            }
        }
        // The first of them is asked to take over the lead, so the strongest goes first.
        reaching.sort_by_key(|member| u32::MAX - member.strength);
        reports.reaching = reaching.iter().map(|member| member.known.clone()).collect();
        reports
    }
}
