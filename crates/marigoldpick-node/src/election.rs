//! Leader election: the lead is the entry that holds a leased key in the store.

use std::rc::Rc;

use async_std::task;
use futures::future::join;
use marigoldpick_core::control::Known;
use marigoldpick_core::prelude::*;
use marigoldpick_core::store::{Answer, Call, Condition, Expect, Fault, Item, Write};
use marigoldpick_core::work::lease::Bound;
use marigoldpick_core::work::peer;
use marigoldpick_job::Lead;
use rand::Rng;
use serde::{Deserialize, Serialize};

use crate::control::Control;
use crate::keys;
use crate::leadership::Leadership;
use crate::member::Member;
use crate::platform::Platform;
use crate::standby::Shelf;

/// The delay before a failed call is retried, and before an entry that may not campaign checks again
/// whether there is a lead.
const STORE_RETRY: Millis = Millis(150);
/// The maximum random delay before a campaign in milliseconds, so that candidates do not all start at once.
const MAX_JITTER_MS: u64 = 60;
/// The timeout of a ping to another entry; one that is alive and reaches the store answers within about
/// ten milliseconds.
pub(crate) const PING_TIMEOUT: Millis = Millis(300);
/// How long a lead that is still alive has to claim its lapsed key again.
const RECLAIM_GRACE: Millis = Millis(600);
/// The strength assumed for the strongest entry while no other entry is known.
const EXPECTED_STRENGTH: u32 = 250;
/// The campaign delay of an entry without any strength.
const MAX_CAMPAIGN_DELAY: Millis = Millis(700);
/// The strength, in percent of the lead's own, that another entry needs for a hand-over; a smaller gain
/// is not worth the pause in which nothing starts.
const STRONGER_PERCENT: u32 = 150;
/// How long an entry leads before it may hand over to a stronger one.
const MIN_LEAD_TIME: Millis = Millis(3_000);
/// The most entries that a lead which is about to stop asks to take over; one that is about to stop itself refuses.
const MAX_OFFERS: usize = 3;
/// The reason for the end of a term whose lead is about to stop.
const DRAINING_REASON: &str = "draining";
/// How often a successor claims the lead. A lead that has not yet heard of it commits at most each 20 ms, so that a
/// claim fails for about one in three if its entry is 9 ms away from the store.
const MAX_CLAIMS: usize = 8;

/// Returns how long an entry waits before it campaigns, so that stronger entries go first.
///
/// `largest` is the greatest strength of another entry, if one is known.
#[must_use]
pub fn campaign_delay(strength: u32, largest: Option<u32>) -> Millis {
    let strongest = largest.unwrap_or(EXPECTED_STRENGTH).max(1);
    let missing = strongest.saturating_sub(strength);
    Millis(MAX_CAMPAIGN_DELAY.0 * u64::from(missing) / u64::from(strongest))
}

/// Returns whether a lead should hand over to a stronger entry.
///
/// Load pattern: after a power loss or a network partition, the first entry to return leads. If that is a
/// weak one, it cannot keep up once the traffic is back.
#[must_use]
pub fn is_worth_handing_over(own: u32, other: u32, led_for: Millis) -> bool {
    led_for >= MIN_LEAD_TIME
        && u64::from(other) * 100 >= u64::from(own) * u64::from(STRONGER_PERCENT)
}

/// `Head` is the value of the chain's key: the last writer and the number of its write.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Head {
    /// The unique name of the writer's claim to the lead.
    pub(crate) holder: String,
    /// The number of the write, counted for each claim.
    pub(crate) number: u64,
    /// The silent workers whose leases the writer does not renew before a later write leaves them out.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub(crate) waivers: Vec<Bound>,
    /// Whether the records had all runs of the writer and of earlier leads when it wrote.
    #[serde(default)]
    pub(crate) settled: bool,
    /// The number of entries that the writer knew, itself included.
    #[serde(default)]
    pub(crate) entries: usize,
}

/// `Claim` is the value of the lead's key: the unique name of the claim and the entry that made it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Claim {
    pub(crate) holder: String,
    pub(crate) known: Known,
}

/// `Holder` is the part that the values of both keys share: the name of the claim.
#[derive(Deserialize)]
struct Holder {
    holder: String,
}

/// Reads the value of the chain's key, if it can be read.
fn read_head(item: &Item) -> Option<Head> {
    match serde_json::from_str(&item.value) {
        Ok(head) => Some(head),
        Err(error) => {
            log::warn!(target: "node", "event=chain-unread why={error}");
            None
        }
    }
}

/// Returns the name of the claim to which the value of the lead's or the chain's key belongs.
fn holder_of(item: &Item) -> Option<String> {
    let held: Result<Holder, _> = serde_json::from_str(&item.value);
    held.ok().map(|held| held.holder)
}

/// Returns whether the value of the lead's or the chain's key belongs to the claim `holder`.
pub(crate) fn is_held_by(item: &Item, holder: &str) -> bool {
    holder_of(item).is_some_and(|held| held == holder)
}

impl<P: Platform> Control<P> {
    /// Campaigns whenever there is no lead, and leads after winning.
    pub(crate) async fn elect(self: Rc<Self>) {
        let mut shelf = Shelf::default();
        loop {
            if let Err(fault) = self.elect_once(&mut shelf).await {
                shelf.expire(self.now());
                log::debug!(target: "node", "event=election-retry why={fault}");
                task::sleep(STORE_RETRY.duration()).await;
            }
        }
    }

    /// Campaigns once if there is no lead, or else waits until the lead's key is removed.
    ///
    /// `shelf` is what was read ahead of a campaign.
    async fn elect_once(self: &Rc<Self>, shelf: &mut Shelf) -> Result<(), Fault> {
        // A range read also returns the store's current revision. A watch from the key's own revision could
        // fail, since that may be older than the history that the store retains.
        let page = Call::Range {
            prefix: keys::LEAD.to_owned(),
            after: String::new(),
            stale: false,
            large: false,
        };
        let Answer::Page {
            items, revision, ..
        } = self.call_store(page).await?
        else {
            return Err(Fault::Unknown);
        };
        self.prepared.set(None);
        if let Some(item) = items.first() {
            self.record_lead(Some(item));
            let succession = self.await_vacancy(revision, shelf).await?;
            if let Some(snapshot) = succession {
                shelf.clear();
                let mut planned = Shelf::new(snapshot, self.now());
                return self.campaign(true, &mut planned).await;
            }
            return Ok(());
        }
        let succession = self.succession_receiver.try_recv().ok();
        if let Some(snapshot) = succession.and_then(|s| self.check_succession(s)) {
            // The lead has asked for a successor and has ended its term since.
            self.record_lead(None);
            shelf.clear();
            let mut planned = Shelf::new(snapshot, self.now());
            return self.campaign(false, &mut planned).await;
        }
        self.yield_to_earlier_lead().await;
        self.record_lead(None);
        if self.is_draining() || !self.has_config() {
            shelf.clear();
            task::sleep(STORE_RETRY.duration()).await;
            return Ok(());
        }
        let wait = campaign_delay(self.settings.strength, self.largest_strength());
        let jitter = if self.now() > self.settings.lead_lease {
            rand::rng().random_range(0..=MAX_JITTER_MS)
        } else {
            0
        };
        task::sleep((wait + Millis(jitter)).duration()).await;
        self.campaign(false, shelf).await
    }

    /// Gives an earlier lead whose lease lapsed during a store outage the time to claim its key again.
    async fn yield_to_earlier_lead(&self) {
        let Some(lead) = self.lead.borrow().clone() else {
            return;
        };
        if lead.entry == self.settings.entry {
            return;
        }
        if self.standby.watch.borrow().is_missing(self.now()) {
            return;
        }
        let pong = self.call_peer(&lead, peer::Call::Ping, PING_TIMEOUT).await;
        if matches!(pong, Ok(peer::Answer::Pong { term, store: true, .. }) if term > 0) {
            task::sleep(RECLAIM_GRACE.duration()).await;
        }
    }

    /// Returns the greatest strength of another entry, if one is known.
    pub(crate) fn largest_strength(&self) -> Option<u32> {
        let peers = self.peers.borrow();
        peers.iter().map(|member| member.strength).max()
    }

    /// Returns the strongest other entry.
    fn strongest_peer(&self) -> Option<Member> {
        let peers = self.peers.borrow();
        peers.iter().max_by_key(|member| member.strength).cloned()
    }

    /// Ends the term of a process that is about to stop, after asking another entry to take over.
    ///
    /// Load pattern: a rolling restart while the store is slow. Without a hand-over, the lead's key would be
    /// removed, the other entries would see that, and one would campaign: each step is a call of a few
    /// hundred milliseconds in which nothing starts. The lead goes on scheduling until the other entry has
    /// claimed the lead or the request to it has failed, at most for 2.9 s: three requests and one claim.
    pub(crate) async fn hand_over(self: &Rc<Self>, leadership: Rc<Leadership>) {
        let mut peers = self.peers.borrow().clone();
        peers.sort_by_key(|member| std::cmp::Reverse(member.strength));
        for successor in peers.iter().take(MAX_OFFERS) {
            let is_agreed = self
                .offer_lead(&leadership, &successor.known, DRAINING_REASON)
                .await;
            if is_agreed || leadership.is_over() {
                break;
            }
        }
        leadership.end(DRAINING_REASON);
    }

    /// Offers the lead to the strongest other entry if its strength justifies the pause in scheduling.
    pub(crate) async fn offer_lead_to_stronger(self: &Rc<Self>, leadership: &Rc<Leadership>) {
        let led_for = self.now().since(leadership.began());
        let Some(strongest) = self.strongest_peer() else {
            return;
        };
        if !self.can_reach_store()
            || !is_worth_handing_over(self.settings.strength, strongest.strength, led_for)
        {
            return;
        }
        // A registered entry may be down or cut off from the store.
        let pong = self
            .call_peer(&strongest.known, peer::Call::Ping, PING_TIMEOUT)
            .await;
        if matches!(pong, Ok(peer::Answer::Pong { store: true, .. })) {
            log::info!(
                target: "node",
                "event=stronger-entry entry={} strength={} own={}",
                strongest.known.entry, strongest.strength, self.settings.strength
            );
            let _is_agreed = self
                .offer_lead(leadership, &strongest.known, "handed-over")
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

    /// Tries to become the lead, and if successful leads until the term ends.
    ///
    /// With `replaces_lead` the claim replaces the key of the present lead, which asked for it. `shelf` holds what has
    /// been read of the store so far; it is kept if the claim fails.
    async fn campaign(
        self: &Rc<Self>,
        replaces_lead: bool,
        shelf: &mut Shelf,
    ) -> Result<(), Fault> {
        let key = keys::CHAIN.to_owned();
        let expect = if replaces_lead {
            Expect::Any
        } else {
            Expect::Absent
        };
        let span = self.settings.lead_lease;
        let confirmed = self.now();
        // Both calls run at once, since a slow store takes a few hundred milliseconds for each.
        let (chain, lease) = join(
            self.call_store(Call::Get { key }),
            self.call_store(Call::Grant { span }),
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
        let earlier = chain.as_ref().and_then(holder_of);
        let claimed = self.claim(&holder, expect, chain, lease).await?;
        let Some((term, chain)) = claimed else {
            return Ok(());
        };
        let head = chain.as_ref().and_then(read_head);
        let is_first = chain.is_none();
        log::info!(target: "node", "event=lead-taken term={term}");
        self.record_term(term);
        *self.lead.borrow_mut() = Some(self.own_entry());
        let now = self.now();
        let leadership = Leadership::new(&self.settings, term, holder, lease, confirmed, now);
        match &head {
            None if is_first => {}
            Some(head) if head.settled => {
                leadership.update(|lead| lead.expect_unrecorded_starts());
            }
            _ => leadership.update(|lead| lead.expect_unrecorded_stops()),
        }
        // The claim has replaced exactly the write with these waivers.
        if let Some(head) = &head {
            leadership.update(|lead| lead.inherit_waivers(&head.waivers, now));
        }
        let leadership = Rc::new(leadership);
        *self.tenure.borrow_mut() = Some(Rc::clone(&leadership));
        task::spawn_local(Rc::clone(self).renew_term(Rc::clone(&leadership)));
        task::spawn_local(Rc::clone(self).inherit_leases(Rc::clone(&leadership), earlier));
        if let Some(head) = head.filter(|head| head.settled) {
            let (this, leadership) = (Rc::clone(self), Rc::clone(&leadership));
            task::spawn_local(this.rule_out_unrecorded_starts(leadership, head.entries));
        }
        let snapshot = shelf.take(self.now());
        let outcome = self.run_term(&leadership, snapshot).await;
        leadership.end("ended");
        self.keep_remainder(&leadership);
        *self.tenure.borrow_mut() = None;
        *self.leadership.borrow_mut() = None;
        *self.lead.borrow_mut() = None;
        let confirmed = leadership.confirmed();
        let extended = leadership.read(Lead::last_extension);
        log::info!(
            target: "node",
            "event=lead-ended term={term} why={outcome:?} confirmed_ms={} extended_ms={}",
            self.now().since(confirmed).0,
            extended.since(confirmed).0
        );
        Ok(())
    }

    /// Makes the claim `holder`; returns its term and the value of the chain's key that it has replaced, if it succeeds.
    ///
    /// A lead that asked for its replacement may commit until it knows that the claim is under way. The claim is then
    /// repeated on condition of that commit, unless another claim has replaced the lead's.
    async fn claim(
        self: &Rc<Self>,
        holder: &str,
        lead: Expect,
        mut chain: Option<Item>,
        lease: u64,
    ) -> Result<Option<(u64, Option<Item>)>, Fault> {
        let earlier = chain.as_ref().and_then(holder_of);
        for _ in 0..MAX_CLAIMS {
            let expect = chain.as_ref().map(|item| Expect::Revision(item.revision));
            let commit = self.build_claim(holder, lead, expect.unwrap_or(Expect::Absent), lease);
            match self.call_store(commit).await {
                Ok(Answer::Written(term)) => return Ok(Some((term, chain))),
                Ok(Answer::Rivals(items)) if lead == Expect::Any => {
                    chain = items.into_iter().find(|item| item.key == keys::CHAIN);
                    if chain.as_ref().and_then(holder_of) != earlier {
                        return Ok(None);
                    }
                }
                Ok(_) => return Ok(None),
                Err(Fault::Unknown) => {
                    let term = self.find_claim(holder).await?;
                    return Ok(term.map(|term| (term, chain)));
                }
                Err(fault) => return Err(fault),
            }
        }
        Ok(None)
    }

    /// Builds the commit that writes the keys of the lead and the chain for the claim `holder`.
    pub(crate) fn build_claim(
        &self,
        holder: &str,
        lead: Expect,
        chain: Expect,
        lease: u64,
    ) -> Call {
        let claim = Claim {
            holder: holder.to_owned(),
            known: self.own_entry(),
        };
        let head = Head {
            holder: holder.to_owned(),
            number: 0,
            waivers: Vec::new(),
            settled: false,
            entries: self.count_entries(),
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
        let Answer::Item(item) = self.call_store(Call::Get { key }).await? else {
            return Err(Fault::Unknown);
        };
        let own = item.filter(|item| is_held_by(item, holder));
        Ok(own.map(|item| item.revision))
    }
}
