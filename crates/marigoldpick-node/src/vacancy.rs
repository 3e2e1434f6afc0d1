//! The wait for the end of the lead's key, and the record of the lead that the store names.

use std::pin::pin;
use std::rc::Rc;

use async_std::task;
use futures::future::{Either, select};
use marigoldpick_core::excerpt::Excerpt;
use marigoldpick_core::prelude::*;
use marigoldpick_core::store::{Answer, Call, Change, Fault, Item};

use crate::control::Control;
use crate::election::Claim;
use crate::keys;
use crate::platform::Platform;
use crate::snapshot::Snapshot;
use crate::standby::Shelf;

/// The timeout of a watch on the lead's key. An entry that is no standby notices a dead connection only then.
const WATCH_TIMEOUT: Millis = Millis(4_000);

/// The time between two looks at whether the lead is suspect.
const SUSPICION_POLL: Millis = Millis(250);

impl<P: Platform> Control<P> {
    /// Watches the lead's key from `revision` until it is removed or has to be read again, or until this entry is asked to
    /// take over: then returns what was read for that. Reads ahead into `shelf` meanwhile if this entry is a standby.
    pub(crate) async fn await_vacancy(
        self: &Rc<Self>,
        mut revision: u64,
        shelf: &mut Shelf,
    ) -> Result<Option<Snapshot>, Fault> {
        let reader = pin!(self.stand_by(shelf));
        let suspicion = pin!(self.await_suspicion());
        let mut standby = select(reader, suspicion);
        loop {
            let follow = Call::Follow {
                prefix: keys::LEAD.to_owned(),
                revision,
                wait: WATCH_TIMEOUT,
            };
            let follow = pin!(self.call_store(follow));
            let succession = pin!(self.succession_receiver.recv());
            let event = select(follow, select(succession, &mut standby)).await;
            let answer = match event {
                Either::Left((answer, _)) => answer?,
                Either::Right((Either::Left((succession, _)), _)) => {
                    let succession = succession.ok();
                    match succession.and_then(|s| self.check_succession(s)) {
                        Some(snapshot) => return Ok(Some(snapshot)),
                        None => continue,
                    }
                }
                // A standby does not end by itself, so that the lead is suspect.
                Either::Right((Either::Right(_), _)) => return Ok(None),
            };
            match answer {
                Answer::Changes {
                    changes,
                    revision: now,
                } => {
                    revision = now;
                    match changes.last() {
                        Some(Change::Removed { .. }) => return Ok(None),
                        Some(Change::Written(item)) => self.record_lead(Some(item)),
                        None => {}
                    }
                }
                _ => return Ok(None),
            }
        }
    }

    /// Waits until the lead has been suspect to this standby for the time of its lease, within which its key lapses.
    ///
    /// Load pattern: the lead is killed after the connections on which the watches of its key wait have gone silent.
    async fn await_suspicion(&self) {
        let mut suspect_since = None;
        loop {
            task::sleep(SUSPICION_POLL.duration()).await;
            let now = self.now();
            if self.standby.watch.borrow().suspicion().is_none() {
                suspect_since = None;
                continue;
            }
            let since = *suspect_since.get_or_insert(now);
            if now.since(since) >= self.settings.lead_lease {
                return;
            }
        }
    }

    /// Records the lead that the store names, and logs a change.
    pub(crate) fn record_lead(&self, item: Option<&Item>) {
        let known = item.and_then(|item| match serde_json::from_str::<Claim>(&item.value) {
            Ok(claim) => {
                let known = claim.known.clone();
                let is_own = claim.known.entry == self.settings.entry;
                self.standby.see_claim(&claim.holder, is_own, self.now());
                *self.last_claim.borrow_mut() = Some(claim);
                Some(known)
            }
            Err(error) => {
                log::warn!(target: "node", "event=lead-unread why=\"{}\"", Excerpt(error));
                None
            }
        });
        if item.is_none() {
            self.standby.watch.borrow_mut().see_vacancy();
        }
        let mut lead = self.lead.borrow_mut();
        if *lead != known {
            let name = known.as_ref().map_or("none", |known| known.entry.as_str());
            let revision = item.map_or(0, |item| item.revision);
            log::info!(target: "node", "event=lead-seen lead={name} term={revision}");
            *lead = known;
        }
    }
}
