//! Who leads: the entry whose key the store holds, for as long as its lease lives.

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

/// The longest wait for news of the lead; a connection that went silent is noticed only at its end.
const WAIT: Millis = Millis(4_000);
/// The wait after a call that failed.
const RETRY: Millis = Millis(150);
/// The most that an entry waits before it stands for the lead, so that not all do at once.
const JITTER: u64 = 60;
/// After an outage of the store, an earlier lead may for this long have starts that it has not
/// recorded yet.
const OUTAGE_MEMORY: Millis = Millis(10_000);
/// The longest time for a probe of the earlier lead: one that lives and reaches the store answers within
/// some ten milliseconds.
const PING: Millis = Millis(300);
/// How long a living lead has to claim its key again.
const YIELD: Millis = Millis(600);
/// The strength that is expected of the strongest entry while no other is known.
const LARGE: u32 = 250;
/// How long an entry without strength leaves the lead to stronger ones.
const SMALL_WAIT: Millis = Millis(700);
/// How much stronger another entry is for the lead to be handed over, in percent: less would not be
/// worth the pause in which nothing starts.
const STRONGER_PERCENT: u32 = 150;
/// How long an entry leads before it hands over to a stronger one.
const SETTLED: Millis = Millis(3_000);
/// Why a term ends whose lead is about to stop.
const DRAINING: &str = "draining";
/// Renewals of the lead's lease in its time.
const RENEWALS: u64 = 4;

/// Returns how long an entry waits before it stands for the lead, so that stronger ones go first.
///
/// `largest` is the greatest strength of another entry, where one is known.
#[must_use]
pub fn hesitation(strength: u32, largest: Option<u32>) -> Millis {
    let most = largest.unwrap_or(LARGE).max(1);
    let missing = most.saturating_sub(strength);
    Millis(SMALL_WAIT.0 * u64::from(missing) / u64::from(most))
}

/// Tells whether a lead should hand over to an entry that is stronger.
///
/// Load pattern: after a loss of power or a cut whichever entry came first leads, and a weak one can't
/// keep up once traffic is back.
#[must_use]
pub fn is_worth_handing_over(own: u32, other: u32, led: Millis) -> bool {
    led >= SETTLED && u64::from(other) * 100 >= u64::from(own) * u64::from(STRONGER_PERCENT)
}

/// `Head` is the value of the chain's key: who wrote last, and which of its writes it was.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Head {
    /// The writer's claim of the lead; no two claims have the same.
    pub(crate) holder: String,
    /// The number of the write under that claim.
    pub(crate) number: u64,
}

/// `Claim` is the value of the lead's key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Claim {
    holder: String,
    known: Known,
}

/// `Holder` is what the values of both keys tell: whose claim they belong to.
#[derive(Deserialize)]
struct Holder {
    holder: String,
}

/// Tells whether the value of the lead's or the chain's key belongs to a claim.
pub(crate) fn is_held_by(item: &Item, holder: &str) -> bool {
    let held: Result<Holder, _> = serde_json::from_str(&item.value);
    held.is_ok_and(|held| held.holder == holder)
}

impl<P: Platform> Control<P> {
    /// Stands for the lead whenever there is none, and leads when it wins.
    pub(crate) async fn elect(self: Rc<Self>) {
        loop {
            if let Err(fault) = self.elect_once().await {
                log::debug!(target: "node", "event=election-retry why={fault}");
                task::sleep(RETRY.duration()).await;
            }
        }
    }

    async fn elect_once(self: &Rc<Self>) -> Result<(), Fault> {
        // A page tells the store's revision too; the key's own may be older than the history kept.
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

    /// Gives a lead whose lease lapsed with the store the time to claim it again.
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

    /// Ends the term since the process will end; work goes on until another entry is ready to lead.
    ///
    /// Load pattern: entries are told to stop in turn while the store is slow. The lead's key would be
    /// removed, the others would see it and one would stand, each a call of some hundred milliseconds
    /// in which nothing starts.
    pub(crate) async fn hand_over(self: &Rc<Self>, leading: Rc<Leading>) {
        if let Some(successor) = self.strongest() {
            self.offer_lead(&leading, &successor.known, DRAINING).await;
        }
        leading.depose(DRAINING);
    }

    /// Offers the lead to the strongest other entry if that is worth it.
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
        // It may be registered and yet not there, or without the store.
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

    /// Tells whether there is a configuration: without one nothing can be decided for a queue.
    pub(crate) fn has_config(&self) -> bool {
        self.shared.config.load().is_some()
    }

    pub(crate) fn is_draining(&self) -> bool {
        let draining = &self.shared.draining;
        draining.load(std::sync::atomic::Ordering::SeqCst)
    }

    /// Waits until the lead's key changes after `revision`, or this entry is asked to succeed.
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

    /// Tries to become the lead, and leads until the term ends.
    ///
    /// With `succeeds` also while the earlier lead's key is there, since that lead asked for it.
    async fn stand(self: &Rc<Self>, succeeds: bool) -> Result<(), Fault> {
        let key = keys::CHAIN.to_owned();
        let expect = if succeeds {
            Expect::Any
        } else {
            Expect::Absent
        };
        let span = self.settings.lead_lease;
        let confirmed = self.now();
        // Both at once: a slow store takes some hundred milliseconds for each.
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

    /// Looks whether a claim whose answer was lost has been stored.
    async fn find_claim(self: &Rc<Self>, holder: &str) -> Result<Option<u64>, Fault> {
        let key = keys::LEAD.to_owned();
        let Answer::Item(item) = self.store(Call::Get { key }).await? else {
            return Err(Fault::Unknown);
        };
        let own = item.filter(|item| is_held_by(item, holder));
        Ok(own.map(|item| item.revision))
    }

    /// Claims the lead's key again after its lease has ended, unless another has led since.
    ///
    /// The term and the state go on: the chain has not moved.
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

    /// Renews the lead's lease and notes when the term was last confirmed.
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
        // Others need not wait for the lease's end.
        let lease = leading.lease.get();
        if let Err(fault) = self.store(Call::Revoke { lease }).await {
            log::debug!(target: "node", "event=lead-key-left why={fault}");
        }
    }
}
