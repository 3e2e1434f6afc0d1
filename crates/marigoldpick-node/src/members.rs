//! Membership: each live entry keeps a leased key in the store, and reads those of the others.

use std::rc::Rc;

use async_std::task;
use marigoldpick_core::control::Known;
use marigoldpick_core::excerpt::Excerpt;
use marigoldpick_core::prelude::*;
use marigoldpick_core::store::{Answer, Call, Expect};
use marigoldpick_job::askers;

use crate::control::Control;
use crate::keys;
use crate::member::Member;
use crate::platform::Platform;

/// The delay before a failed registration or read of the members is retried, and before the members are
/// read again while no other entry is listed.
const STORE_RETRY: Millis = Millis(300);
/// The maximum time between two reads of the members by the lead, which gives work to them. An entry that
/// is told to stop answers for three seconds more, so the lead has to notice within that time.
const LEAD_INTERVAL: Millis = Millis(1_000);
/// The number of renewals during the duration of a lease.
const RENEWALS_PER_LEASE: u64 = 3;
/// How long an entry that the store no longer lists is kept, since its lease may have lapsed in an outage.
const MEMBER_EXPIRY: Millis = Millis(12_000);

impl<P: Platform> Control<P> {
    /// Returns this entry's own name, failure domain and address.
    pub(crate) fn own_entry(&self) -> Known {
        Known {
            entry: self.settings.entry.clone(),
            domain: self.settings.domain.clone(),
            address: self.settings.inner.clone(),
        }
    }

    /// Writes this entry's key to the store and renews its lease; writes it again if the lease has ended.
    pub(crate) async fn register(self: Rc<Self>) {
        let pause = Millis(self.settings.entry_lease.0 / RENEWALS_PER_LEASE);
        let mut lease = None;
        loop {
            let renewal = match lease {
                Some(lease) => self.call_store(Call::Renew { lease }).await,
                None => self.write_registration().await,
            };
            lease = match renewal {
                Ok(Answer::Lease(number)) => Some(number),
                Ok(_) => None,
                Err(_) => lease,
            };
            let wait = if matches!(renewal, Ok(Answer::Lease(_))) {
                pause
            } else {
                STORE_RETRY
            };
            task::sleep(wait.duration()).await;
        }
    }

    /// Writes to this entry's key that its process is about to end.
    pub(crate) async fn announce_drain(self: Rc<Self>) {
        while let Err(fault) = self.write_registration().await {
            log::debug!(target: "node", "event=drain-untold why={fault}");
            task::sleep(STORE_RETRY.duration()).await;
        }
    }

    /// Writes this entry's key under a new lease, which it returns.
    async fn write_registration(
        self: &Rc<Self>,
    ) -> Result<Answer, marigoldpick_core::store::Fault> {
        let span = self.settings.entry_lease;
        let Answer::Lease(lease) = self.call_store(Call::Grant { span }).await? else {
            return Ok(Answer::Gone);
        };
        let member = Member {
            known: self.own_entry(),
            strength: self.settings.strength,
            draining: self.is_draining(),
        };
        let value = serde_json::to_string(&member).expect("a member is plain JSON");
        let put = Call::Put {
            key: format!("{}{}", keys::ENTRIES, self.settings.entry),
            value,
            expect: Expect::Any,
            lease: Some(lease),
        };
        match self.call_store(put).await? {
            Answer::Written(_) => Ok(Answer::Lease(lease)),
            other => Ok(other),
        }
    }

    /// Reads the members periodically and keeps the list of the other entries.
    pub(crate) async fn follow_members(self: Rc<Self>) {
        let mut seen: Vec<(Member, Millis)> = Vec::new();
        loop {
            let page = Call::Range {
                prefix: keys::ENTRIES.to_owned(),
                after: String::new(),
                stale: true,
                large: false,
            };
            let mut wait = STORE_RETRY;
            if let Ok(Answer::Page { items, .. }) = self.call_store(page).await {
                let tenure = self.tenure.borrow().clone();
                wait = if tenure.is_some() {
                    self.settings.members_interval.min(LEAD_INTERVAL)
                } else {
                    self.settings.members_interval
                };
                let now = self.now();
                for item in items {
                    match serde_json::from_str::<Member>(&item.value) {
                        Ok(member) => {
                            seen.retain(|(have, _)| have.known.entry != member.known.entry);
                            if !member.draining {
                                seen.push((member, now));
                            }
                        }
                        Err(error) => {
                            let (key, why) = (Excerpt(&item.key), Excerpt(error));
                            log::warn!(target: "node", "event=entry-unread key=\"{key}\" why=\"{why}\"");
                        }
                    }
                }
                seen.retain(|(_, at)| now.since(*at) < MEMBER_EXPIRY);
                seen.sort_by(|(a, _), (b, _)| a.known.cmp(&b.known));
                let others = seen
                    .iter()
                    .map(|(member, _)| member)
                    .filter(|member| member.known.entry != self.settings.entry);
                *self.peers.borrow_mut() = others.cloned().collect();
                self.knows_members.set(true);
                if let Some(leadership) = self.leadership() {
                    leadership.set_askers(&self.askers());
                    self.choose_relays(&leadership);
                }
                // A lead that can't load what is stored is replaced as well.
                if let Some(tenure) = tenure {
                    self.offer_lead_to_stronger(&tenure).await;
                }
                if seen.len() < 2 {
                    wait = STORE_RETRY;
                }
            }
            task::sleep(wait.duration()).await;
        }
    }

    /// Returns the number of known entries, this one included.
    pub(crate) fn count_entries(&self) -> usize {
        self.peers.borrow().len() + 1
    }

    /// Returns all entries that can query the adviser, sorted by name.
    pub(crate) fn askers(&self) -> Vec<askers::Member> {
        let own = askers::Member {
            entry: self.settings.entry.clone(),
            domain: self.settings.domain.clone(),
        };
        let peers = self.peers.borrow();
        let others = peers.iter().map(|member| askers::Member {
            entry: member.known.entry.clone(),
            domain: member.known.domain.clone(),
        });
        let mut askers: Vec<askers::Member> = others.chain([own]).collect();
        askers.sort();
        askers
    }
}
