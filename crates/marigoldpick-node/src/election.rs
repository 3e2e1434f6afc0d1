//! Leader election: the lead is the entry that holds a leased key in the store.

use std::rc::Rc;

use async_std::task;
use futures::future::{Either, join, select};
use marigoldpick_core::control::Known;
use marigoldpick_core::prelude::*;
use marigoldpick_core::store::{Answer, Call, Change, Condition, Expect, Fault, Item, Write};
use marigoldpick_core::work::peer;
use rand::Rng;
use serde::{Deserialize, Serialize};

use crate::control::Control;
use crate::keys;
use crate::leading::Leading;
use crate::member::Member;
use crate::platform::Platform;

/// The timeout of a watch on the lead's key; a dead connection is noticed only when the watch times out.
const WAIT: Millis = Millis(4_000);
/// The delay before a failed call is retried.
const RETRY: Millis = Millis(150);
/// The maximum random delay before a campaign in milliseconds, so that candidates do not all start at once.
const JITTER: u64 = 60;
/// For this long after a store outage, an earlier lead may have starts that it has not recorded yet.
const OUTAGE_MEMORY: Millis = Millis(10_000);
/// The timeout of a ping to another entry; one that is alive and reaches the store answers within about
/// ten milliseconds.
const PING: Millis = Millis(300);
/// How long a lead that is still alive has to claim its lapsed key again.
const YIELD: Millis = Millis(600);
/// The strength assumed for the strongest entry while no other entry is known.
const LARGE: u32 = 250;
/// The campaign delay of an entry without any strength.
const SMALL_WAIT: Millis = Millis(700);
/// The strength, in percent of the lead's own, that another entry needs for a hand-over; a smaller gain
/// is not worth the pause in which nothing starts.
const STRONGER_PERCENT: u32 = 150;
/// How long an entry leads before it may hand over to a stronger one.
const SETTLED: Millis = Millis(3_000);
/// The reason for the end of a term whose lead is about to stop.
const DRAINING: &str = "draining";
/// The number of renewals during the duration of the lead's lease.
const RENEWALS: u64 = 4;

/// Returns how long an entry waits before it campaigns, so that stronger entries go first.
///
/// `largest` is the greatest strength of another entry, if one is known.
#[must_use]
pub fn hesitation(strength: u32, largest: Option<u32>) -> Millis {
    let most = largest.unwrap_or(LARGE).max(1);
    let missing = most.saturating_sub(strength);
    Millis(SMALL_WAIT.0 * u64::from(missing) / u64::from(most))
}

/// Returns whether a lead should hand over to a stronger entry.
///
/// Load pattern: after a power loss or a network partition, the first entry to return leads. If that is a
/// weak one, it cannot keep up once the traffic is back.
#[must_use]
pub fn is_worth_handing_over(own: u32, other: u32, led: Millis) -> bool {
    led >= SETTLED && u64::from(other) * 100 >= u64::from(own) * u64::from(STRONGER_PERCENT)
}

/// `Head` is the value of the chain's key: the last writer and the number of its write.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Head {
    /// The unique name of the writer's claim to the lead.
    pub(crate) holder: String,
    /// The number of the write, counted for each claim.
    pub(crate) number: u64,
}

/// `Claim` is the value of the lead's key: the unique name of the claim and the entry that made it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Claim {
    holder: String,
    known: Known,
}

/// `Holder` is the part that the values of both keys share: the name of the claim.
#[derive(Deserialize)]
struct Holder {
    holder: String,
}

/// Returns whether the value of the lead's or the chain's key belongs to the claim `holder`.
pub(crate) fn is_held_by(item: &Item, holder: &str) -> bool {
    let held: Result<Holder, _> = serde_json::from_str(&item.value);
    held.is_ok_and(|held| held.holder == holder)
}

impl<P: Platform> Control<P> {
    /// Campaigns whenever there is no lead, and leads after winning.
    pub(crate) async fn elect(self: Rc<Self>) {
        loop {
            if let Err(fault) = self.elect_once().await {
                log::debug!(target: "node", "event=election-retry why={fault}");
                task::sleep(RETRY.duration()).await;
            }
        }
    }

    /// Waits until there is no lead, then campaigns once.
    async fn elect_once(self: &Rc<Self>) -> Result<(), Fault> {
        // A page also carries the store's revision; the key's own may be older than the retained history.
        let page = Call::Range {
            prefix: keys::LEAD.to_owned(),
            after: String::new(),
            stale: false,
        };
        let Answer::Page {
            items, revision, ..
        } = self.store(page).await?
        else {
            return Err(Fault::Unknown);
        };
        if let Some(item) = items.first() {
            self.note_lead(Some(item));
            return self.await_vacancy(revision).await;
        }
        self.yield_to_earlier_lead().await;
        self.note_lead(None);
        if self.is_draining() || !self.has_config() {
            task::sleep(RETRY.duration()).await;
            return Ok(());
        }
        let largest = self
            .peers
            .borrow()
            .iter()
            .map(|member| member.strength)
            .max();
        let wait = hesitation(self.settings.strength, largest);
        let jitter = if self.now() > self.settings.lead_lease {
            rand::rng().random_range(0..=JITTER)
        } else {
            0
        };
        task::sleep((wait + Millis(jitter)).duration()).await;
        self.stand(false).await
    }

    /// Gives an earlier lead whose lease lapsed during a store outage the time to claim its key again.
    async fn yield_to_earlier_lead(&self) {
        let Some(lead) = self.lead.borrow().clone() else {
            return;
        };
        if lead.entry == self.settings.entry {
            return;
        }
        let pong = self.call(&lead, peer::Call::Ping, PING).await;
        if matches!(pong, Ok(peer::Answer::Pong { term, store: true }) if term > 0) {
            task::sleep(YIELD.duration()).await;
        }
    }

    /// Returns the strongest other entry.
    fn strongest(&self) -> Option<Member> {
        let peers = self.peers.borrow();
        peers.iter().max_by_key(|member| member.strength).cloned()
    }

    /// Ends the term of a process that is about to stop, after asking another entry to take over.
    ///
    /// Load pattern: a rolling restart while the store is slow. Without a hand-over, the lead's key would be
    /// removed, the other entries would see that, and one would campaign: each step is a call of a few
    /// hundred milliseconds in which nothing starts.
    pub(crate) async fn hand_over(self: &Rc<Self>, leading: Rc<Leading>) {
        if let Some(successor) = self.strongest() {
            self.offer_lead(&leading, &successor.known, DRAINING).await;
        }
        leading.depose(DRAINING);
    }

    /// Offers the lead to the strongest other entry if that is strong enough to justify the pause.
    pub(crate) async fn offer_to_stronger(self: &Rc<Self>, leading: &Rc<Leading>) {
        let led = self.now().since(leading.began());
        let Some(strongest) = self.strongest() else {
            return;
        };
        if !self.reaches_store()
            || !is_worth_handing_over(self.settings.strength, strongest.strength, led)
        {
            return;
        }
        // A registered entry may be down or cut off from the store.
        let pong = self.call(&strongest.known, peer::Call::Ping, PING).await;
        if matches!(pong, Ok(peer::Answer::Pong { store: true, .. })) {
            log::info!(
                target: "node",
                "event=stronger-entry entry={} strength={} own={}",
                strongest.known.entry, strongest.strength, self.settings.strength
            );
            self.offer_lead(leading, &strongest.known, "handed-over")
                .await;
        }
    }

    /// Returns whether there is a configuration; without one no queue can be scheduled.
    pub(crate) fn has_config(&self) -> bool {
        self.shared.config.load().is_some()
    }

    /// Returns whether the process is about to end.
    pub(crate) fn is_draining(&self) -> bool {
        let draining = &self.shared.draining;
        draining.load(std::sync::atomic::Ordering::SeqCst)
    }

    /// Watches the lead's key from `revision` until it is removed, or campaigns if asked to take over.
    async fn await_vacancy(self: &Rc<Self>, mut revision: u64) -> Result<(), Fault> {
        loop {
            let follow = Call::Follow {
                prefix: keys::LEAD.to_owned(),
                revision,
                wait: WAIT,
            };
            let asked = std::pin::pin!(self.succession.recv());
            let news = match select(std::pin::pin!(self.store(follow)), asked).await {
                Either::Left((news, _)) => news?,
                Either::Right(_) => return self.stand(true).await,
            };
            match news {
                Answer::Changes {
                    changes,
                    revision: now,
                } => {
                    revision = now;
                    match changes.last() {
                        Some(Change::Removed { .. }) => return Ok(()),
                        Some(Change::Written(item)) => self.note_lead(Some(item)),
                        None => {}
                    }
                }
                _ => return Ok(()),
            }
        }
    }

    /// Records the lead that the store names, and logs a change.
    fn note_lead(&self, item: Option<&Item>) {
        let known = item.and_then(|item| match serde_json::from_str::<Claim>(&item.value) {
            Ok(claim) => Some(claim.known),
            Err(error) => {
                log::warn!(target: "node", "event=lead-unread why={error}");
                None
            }
        });
        let mut lead = self.lead.borrow_mut();
        if *lead != known {
            let name = known.as_ref().map_or("none", |known| known.entry.as_str());
            let revision = item.map_or(0, |item| item.revision);
            log::info!(target: "node", "event=lead-seen lead={name} term={revision}");
            *lead = known;
        }
    }

    /// Tries to become the lead, and if successful leads until the term ends.
    ///
    /// With `succeeds` the claim replaces the key of the present lead, which asked for it.
    async fn stand(self: &Rc<Self>, succeeds: bool) -> Result<(), Fault> {
        let key = keys::CHAIN.to_owned();
        let expect = if succeeds {
            Expect::Any
        } else {
            Expect::Absent
        };
        let span = self.settings.lead_lease;
        let confirmed = self.now();
        // Both calls run at once, since a slow store takes a few hundred milliseconds for each.
        let (chain, lease) = join(
            self.store(Call::Get { key }),
            self.store(Call::Grant { span }),
        )
        .await;
        let (Answer::Item(chain), Answer::Lease(lease)) = (chain?, lease?) else {
            return Err(Fault::Unknown);
        };
        let holder = format!(
            "{}/{:016x}",
            self.settings.entry,
            rand::rng().random::<u64>()
        );
        let chain = chain.map_or(Expect::Absent, |item| Expect::Revision(item.revision));
        let commit = self.claim(&holder, expect, chain, lease);
        let term = match self.store(commit).await {
            Ok(Answer::Written(term)) => term,
            Ok(_) => return Ok(()),
            Err(Fault::Unknown) => match self.find_claim(&holder).await? {
                Some(term) => term,
                None => return Ok(()),
            },
            Err(fault) => return Err(fault),
        };
        log::info!(target: "node", "event=lead-taken term={term}");
        self.note_term(term);
        *self.lead.borrow_mut() = Some(self.own());
        let now = self.now();
        let unsure = self.store_age() < OUTAGE_MEMORY;
        let leading = Leading::new(&self.settings, term, holder, lease, confirmed, now);
        if unsure {
            leading.change(|lead| lead.doubt_records());
        }
        let leading = Rc::new(leading);
        task::spawn_local(Rc::clone(self).renew_term(Rc::clone(&leading)));
        let outcome = self.drive(&leading).await;
        leading.depose("ended");
        *self.leading.borrow_mut() = None;
        *self.lead.borrow_mut() = None;
        log::info!(target: "node", "event=lead-ended term={term} why={outcome:?}");
        Ok(())
    }

    /// Builds the commit that writes the lead's key and starts the chain under a new claim.
    fn claim(&self, holder: &str, lead: Expect, chain: Expect, lease: u64) -> Call {
        let claim = Claim {
            holder: holder.to_owned(),
            known: self.own(),
        };
        let head = Head {
            holder: holder.to_owned(),
            number: 0,
        };
        Call::Commit {
            expect: vec![
                Condition {
                    key: keys::LEAD.to_owned(),
                    expect: lead,
                },
                Condition {
                    key: keys::CHAIN.to_owned(),
                    expect: chain,
                },
            ],
            puts: vec![
                Write {
                    key: keys::LEAD.to_owned(),
                    value: serde_json::to_string(&claim).expect("a claim is plain JSON"),
                    lease: Some(lease),
                },
                Write {
                    key: keys::CHAIN.to_owned(),
                    value: serde_json::to_string(&head).expect("a head is plain JSON"),
                    lease: None,
                },
            ],
            deletes: Vec::new(),
        }
    }

    /// Returns the term of a claim whose answer was lost, if the store carried it out.
    async fn find_claim(self: &Rc<Self>, holder: &str) -> Result<Option<u64>, Fault> {
        let key = keys::LEAD.to_owned();
        let Answer::Item(item) = self.store(Call::Get { key }).await? else {
            return Err(Fault::Unknown);
        };
        let own = item.filter(|item| is_held_by(item, holder));
        Ok(own.map(|item| item.revision))
    }

    /// Claims the lead's key again after its lease has ended, unless another entry has led since.
    ///
    /// The term and the state continue, since the condition ensures that the chain has not moved.
    async fn reclaim(self: &Rc<Self>, leading: &Rc<Leading>) {
        let span = self.settings.lead_lease;
        let sent = self.now();
        let Ok(Answer::Lease(lease)) = self.store(Call::Grant { span }).await else {
            return;
        };
        let chain = Expect::Revision(leading.chain());
        let commit = self.claim(&leading.holder, Expect::Absent, chain, lease);
        match self.store(commit).await {
            Ok(Answer::Written(revision)) => {
                log::info!(target: "node", "event=lead-reclaimed term={}", leading.term());
                leading.set_chain(revision);
                leading.lease.set(lease);
                leading.confirm(sent);
            }
            Ok(Answer::Rivals(items)) => {
                let other = items.iter().any(|item| !is_held_by(item, &leading.holder));
                if other {
                    leading.depose("another-leads");
                }
            }
            Ok(_) | Err(_) => {}
        }
    }

    /// Renews the lead's lease and records when the term was last confirmed.
    async fn renew_term(self: Rc<Self>, leading: Rc<Leading>) {
        let pause = Millis(self.settings.lead_lease.0 / RENEWALS);
        while !leading.is_over() {
            let sent = self.now();
            let lease = leading.lease.get();
            match self.store(Call::Renew { lease }).await {
                Ok(Answer::Lease(_)) => leading.confirm(sent),
                Ok(_) => self.reclaim(&leading).await,
                Err(_) => {}
            }
            if self.now().since(leading.confirmed()) > self.settings.job.term_grace {
                leading.depose("term-unconfirmed");
            }
            task::sleep(pause.duration()).await;
        }
        // The revocation spares the other entries the wait for the lease's end.
        let lease = leading.lease.get();
        if let Err(fault) = self.store(Call::Revoke { lease }).await {
            log::debug!(target: "node", "event=lead-key-left why={fault}");
        }
    }
}
