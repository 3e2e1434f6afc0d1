//! The control thread: its state, its access to the store and to other entries, and the configuration.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use async_channel::{Receiver, Sender};
use async_std::future::timeout;
use async_std::sync::Mutex;
use async_std::task;
use marigoldpick_core::control::Known;
use marigoldpick_core::prelude::*;
use marigoldpick_core::store::{Answer, Call, Fault, Store};
use marigoldpick_core::work::peer;
use marigoldpick_job::Lead;
use marigoldpick_wire as wire;

use crate::admission;
use crate::config::{Active, confirmation_interval};
use crate::election::Claim;
use crate::handover::Remainder;
use crate::keys;
use crate::leadership::Leadership;
use crate::member::Member;
use crate::peer_reports::PeerReports;
use crate::platform::{Platform, Source};
use crate::reachability::Reachability;
use crate::relay::Session;
use crate::request::{Request, Shared};
use crate::settings::Settings;
use crate::standby;
use crate::succession::Succession;

/// The timeout of a watch on the configuration. Changes that a watch does not bring are found by the
/// confirmations, which are more frequent.
const CONFIG_WATCH_TIMEOUT: Millis = Millis(3_000);
/// The store is not checked again if it answered a call that was sent within this time.
const STORE_FRESH: Millis = Millis(100);
/// The timeout of a store check; a slow store takes a few hundred milliseconds.
const STORE_CHECK_TIMEOUT: Millis = Millis(500);
/// The delay before a failed read of the configuration is retried.
const CONFIG_RETRY: Millis = Millis(200);
/// The factor in percent by which another entry's age of a confirmation is extended.
const AGE_FACTOR_PERCENT: u64 = 105;

/// `Control` is the state of the control thread.
pub(crate) struct Control<P: Platform> {
    pub(crate) platform: P,
    pub(crate) settings: Settings,
    pub(crate) client: wire::Client,
    pub(crate) shared: Arc<Shared>,
    /// The lead, as last read from the store.
    pub(crate) lead: RefCell<Option<Known>>,
    /// The state of this entry's own term while it leads.
    pub(crate) leadership: RefCell<Option<Rc<Leadership>>>,
    /// The same from the claim on, thus also while the lead still reads what is stored.
    pub(crate) tenure: RefCell<Option<Rc<Leadership>>>,
    /// What this entry's last ended term knew of the workers' leases.
    pub(crate) remainder: RefCell<Option<Remainder>>,
    /// The last claim to the lead that was read from the store, also after its key was removed.
    pub(crate) last_claim: RefCell<Option<Claim>>,
    /// The highest term that this entry knows of, which fences the orders of earlier leads.
    pub(crate) newest_term: Cell<u64>,
    /// The other live entries, as last read from the store.
    pub(crate) peers: RefCell<Vec<Member>>,
    /// Whether they have been read since the start of the process.
    pub(crate) knows_members: Cell<bool>,
    /// What this entry knows of the lead as its standby.
    pub(crate) standby: standby::State,
    /// The sessions in which this entry relays orders for a lead.
    pub(crate) sessions: RefCell<Vec<Rc<Session>>>,
    /// What this entry knows for the admission of jobs.
    pub(crate) admission: admission::State,
    /// The reports of the other entries on the store, gathered while this entry does not reach it.
    pub(crate) peer_reports: RefCell<PeerReports>,
    /// Whether the store answers this entry.
    reachability: Cell<Reachability>,
    /// When this entry last told another one that it does not reach the store.
    denied: Cell<Option<Millis>>,
    /// When the store last answered a call on the configuration.
    config_answered: Cell<Millis>,
    /// Held during a check of the store, so that concurrent checks share one call.
    store_check: Mutex<()>,
    /// Tells the election to campaign although there is a lead, since that lead asked to be replaced.
    pub(crate) succession_sender: Sender<Succession>,
    pub(crate) succession_receiver: Receiver<Succession>,
    /// Held while what is stored is read for a request to take over.
    pub(crate) preparation: Mutex<()>,
    /// When that was last done, unless a campaign has ended since.
    pub(crate) prepared: Cell<Option<Millis>>,
}

impl<P: Platform> Control<P> {
    pub(crate) fn new(
        platform: P,
        settings: Settings,
        client: wire::Client,
        shared: Arc<Shared>,
    ) -> Rc<Self> {
        let (succession_sender, succession_receiver) = async_channel::bounded(1);
        Rc::new(Self {
            platform,
            settings,
            client,
            shared,
            lead: RefCell::default(),
            leadership: RefCell::default(),
            tenure: RefCell::default(),
            remainder: RefCell::default(),
            last_claim: RefCell::default(),
            newest_term: Cell::new(0),
            peers: RefCell::default(),
            knows_members: Cell::default(),
            standby: standby::State::default(),
            sessions: RefCell::default(),
            admission: admission::State::default(),
            peer_reports: RefCell::default(),
            reachability: Cell::default(),
            denied: Cell::default(),
            config_answered: Cell::default(),
            store_check: Mutex::new(()),
            succession_sender,
            succession_receiver,
            preparation: Mutex::new(()),
            prepared: Cell::default(),
        })
    }

    /// Handles requests until the last sender is dropped.
    pub(crate) async fn run(self: Rc<Self>, requests: Receiver<Request>) {
        self.publish_retry_after(None);
        task::spawn_local(Rc::clone(&self).follow_config());
        task::spawn_local(Rc::clone(&self).confirm_config());
        task::spawn_local(Rc::clone(&self).register());
        task::spawn_local(Rc::clone(&self).follow_members());
        task::spawn_local(Rc::clone(&self).elect());
        while let Ok(request) = requests.recv().await {
            task::spawn_local(Rc::clone(&self).serve(request));
        }
    }

    /// Returns the monotonic time.
    pub(crate) fn now(&self) -> Millis {
        self.shared.clock.now()
    }

    /// Calls the store and records whether it answers.
    pub(crate) async fn call_store(self: &Rc<Self>, call: Call) -> Result<Answer, Fault> {
        let sent = self.now();
        let answer = self.platform.store().call(call).await;
        self.record_store_outcome(sent, answer.as_ref().err().copied());
        if let Some(revision) = answer.as_ref().ok().and_then(Answer::revision) {
            let seen = &self.shared.seen_revision;
            seen.fetch_max(revision, Ordering::SeqCst);
        }
        answer
    }

    /// Returns whether the store answers now; probes it unless it has answered within `STORE_FRESH`.
    ///
    /// Load pattern: during an outage all entries ping each other, and each ping checks the store. While the
    /// store is known to be unreachable, the running probe loop decides the answer; concurrent checks of a
    /// reachable store share one call.
    pub(crate) async fn check_store(self: &Rc<Self>) -> bool {
        let _one_at_a_time = self.store_check.lock().await;
        if !self.can_reach_store() {
            return false;
        }
        if self
            .now()
            .since(self.reachability.get().last_answered_send())
            < STORE_FRESH
        {
            return true;
        }
        let answer = timeout(STORE_CHECK_TIMEOUT.duration(), self.probe_store()).await;
        matches!(answer, Ok(Ok(_)))
    }

    /// Makes the cheapest call that shows whether the store answers.
    pub(crate) async fn probe_store(self: &Rc<Self>) -> Result<Answer, Fault> {
        let call = Call::Range {
            prefix: keys::LEAD.to_owned(),
            after: String::new(),
            stale: true,
            large: false,
        };
        self.call_store(call).await
    }

    /// Records the outcome of a store call sent at `sent`, and reacts if the store is lost or regained.
    fn record_store_outcome(self: &Rc<Self>, sent: Millis, fault: Option<Fault>) {
        let mut reachability = self.reachability.get();
        // Without a change so far, the state has lasted since the start.
        let before = reachability.state_age(self.now()).min(self.now());
        let changed = reachability.record(sent, fault, self.now());
        self.reachability.set(reachability);
        if fault.is_none() {
            self.shared.connected.store(true, Ordering::SeqCst);
        }
        if !changed {
            return;
        }
        if reachability.is_answering() {
            log::info!(target: "store", "event=store-regained after_ms={}", before.0);
            // Another entry may lead by now, so from here on a start needs a record in the store.
            if let Some(leadership) = self.leadership() {
                leadership.update(Lead::forbid_unrecorded);
            }
        } else {
            log::warn!(target: "store", "event=store-lost after_ms={}", before.0);
            task::spawn_local(Rc::clone(self).probe_until_answered());
        }
    }

    /// Returns whether the store answers.
    pub(crate) fn can_reach_store(&self) -> bool {
        self.reachability.get().is_answering()
    }

    /// Returns whether the store answered a call that was sent at `since` or later.
    pub(crate) fn has_store_answered_since(&self, since: Millis) -> bool {
        self.reachability.get().last_answered_send() >= since
    }

    /// Returns how long the store has been in its current state, answering or not.
    pub(crate) fn store_state_age(&self) -> Millis {
        self.reachability.get().state_age(self.now())
    }

    /// Records that this entry tells another one that it does not reach the store.
    pub(crate) fn record_denial(&self) {
        self.denied.set(Some(self.now()));
    }

    /// Returns how long this process has run and reached the store without a break, as it told others.
    pub(crate) fn steady_time(&self) -> Millis {
        if !self.can_reach_store() {
            return Millis::ZERO;
        }
        let now = self.now();
        let denied = self.denied.get().map_or(now, |at| now.since(at));
        now.min(self.store_state_age()).min(denied)
    }

    /// Returns the state of this entry's term if it leads.
    pub(crate) fn leadership(&self) -> Option<Rc<Leadership>> {
        self.leadership.borrow().clone()
    }

    /// Calls another entry.
    pub(crate) async fn call_peer(
        &self,
        to: &Known,
        call: peer::Call,
        limit: Millis,
    ) -> Result<peer::Answer, wire::Error> {
        match self.client.call(to, wire::Call::Jobs(call), limit).await? {
            wire::Answer::Jobs(answer) => Ok(answer),
            wire::Answer::Control(_) | wire::Answer::Traffic(_) => Err(wire::Error::Unknown),
        }
    }

    /// Watches the configuration and applies its changes.
    async fn follow_config(self: Rc<Self>) {
        let mut revision = 0;
        loop {
            let wait = if self.shared.config.load().is_some() {
                CONFIG_WATCH_TIMEOUT
            } else {
                Millis(1_000)
            };
            let sent = self.now();
            match self.platform.source().follow(revision, wait).await {
                Ok(update) => {
                    self.record_store_outcome(sent, None);
                    revision = update.revision;
                    if let Some(config) = update.config {
                        let read = config.revision;
                        let via = if update.is_current { "read" } else { "watch" };
                        self.apply_config(config, via);
                        if update.is_current {
                            self.confirm_revision(read, sent);
                        }
                    }
                    self.config_answered.set(self.now());
                }
                Err(fault) => {
                    self.record_store_outcome(sent, Some(fault));
                    let silent = self.now().since(self.config_answered.get());
                    log::info!(
                        target: "node",
                        "event=config-unread why={fault} waited_ms={} silent_ms={}",
                        self.now().since(sent).0,
                        silent.0
                    );
                    task::sleep(CONFIG_RETRY.duration()).await;
                }
            }
        }
    }

    /// Confirms the configuration at regular intervals, so that a change is in force and a key that was taken
    /// away is refused in time.
    ///
    /// A watch without events confirms nothing: its connection may be dead, or the store may have dropped the
    /// history that it waits on.
    async fn confirm_config(self: Rc<Self>) {
        let bound = match self.settings.access.bounds {
            Some(bounds) => bounds.serve.min(bounds.reject),
            None => self.settings.config_bound,
        };
        let interval = confirmation_interval(bound);
        let mut pause = interval;
        loop {
            task::sleep(pause.duration()).await;
            pause = interval;
            let Some(active) = self.shared.config.load_full() else {
                continue;
            };
            let known = active.config.revision;
            let sent = self.now();
            // A failure counts against the age alone, since an answer with a large configuration may take
            // longer than a call.
            match self.platform.source().confirm(known).await {
                Ok(confirmed) => {
                    self.record_store_outcome(sent, None);
                    if let Some(config) = confirmed.config {
                        self.apply_config(config, "confirmation");
                    }
                    self.confirm_revision(confirmed.revision, sent);
                    self.config_answered.set(self.now());
                }
                Err(fault) => {
                    log::debug!(target: "node", "event=config-unconfirmed why={fault}");
                    // While the store is lost, a faster retry would only add calls.
                    if self.can_reach_store() {
                        pause = CONFIG_RETRY;
                    }
                }
            }
        }
    }

    /// Records that `revision` of the configuration was the newest at `sent` or later.
    fn confirm_revision(&self, revision: u64, sent: Millis) {
        if let Some(active) = self.shared.config.load().as_ref()
            && active.config.revision == revision
        {
            active.confirm(sent);
        }
    }

    /// Returns the version of the configuration in force and the time since its last confirmation.
    pub(crate) fn confirmation(&self) -> peer::Confirmation {
        let active = self.shared.config.load();
        active.as_ref().map_or_else(Default::default, |active| {
            let age = active.age(self.now());
            peer::Confirmation {
                version: active.config.version,
                age,
            }
        })
    }

    /// Records another entry's confirmation of the configuration, from its answer to a call sent at
    /// `sent`.
    ///
    /// Load pattern: this entry is cut off from the store, and others are not. While another entry
    /// confirms the configuration that is in force here, keys can be served here as well.
    pub(crate) fn record_confirmation(&self, confirmation: peer::Confirmation, sent: Millis) {
        if let Some(active) = self.shared.config.load().as_ref()
            && active.config.version == confirmation.version
        {
            // Both entries' clocks may drift.
            let age = confirmation.age.times(AGE_FACTOR_PERCENT);
            let age = Millis(age.0.div_ceil(100));
            if let Some(at) = sent.0.checked_sub(age.0) {
                active.confirm(Millis(at));
            }
        }
    }

    /// Puts a configuration in force, unless the present one is as new; `via` names the call that returned it.
    fn apply_config(&self, config: crate::Config, via: &'static str) {
        let current = self.shared.config.load();
        if current
            .as_ref()
            .is_some_and(|current| current.config.version >= config.version)
        {
            return;
        }
        log::info!(
            target: "node",
            "event=config-in-force version={} revision={} via={via} silent_ms={} routes={} queues={} teams={} keys={}",
            config.version,
            config.revision,
            self.now().since(self.config_answered.get()).0,
            config.routes.len(),
            config.queues.len(),
            config.teams.shares().len(),
            config.teams.key_count()
        );
        metrics::counter!("marigold_config_updates_total", "via" => via).increment(1);
        metrics::gauge!("marigold_config_version").set(config.version as f64);
        let config = Arc::new(config);
        let confirmed = current.as_ref().and_then(|current| current.confirmed());
        let active = Active::new(Arc::clone(&config), confirmed);
        self.shared.config.store(Some(Arc::new(active)));
        if let Some(leadership) = self.leadership() {
            leadership.configure(&config);
        }
    }
}
