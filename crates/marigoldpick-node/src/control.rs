//! The control thread: its state, its access to the store and to other entries, and the configuration.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use async_channel::{Receiver, Sender};
use async_std::future::timeout;
use async_std::sync::Mutex;
use async_std::task;
use marigoldpick_core::clock::System;
use marigoldpick_core::control::Known;
use marigoldpick_core::prelude::*;
use marigoldpick_core::store::{Answer, Call, Fault, Store};
use marigoldpick_core::work::peer;
use marigoldpick_job::Lead;
use marigoldpick_wire as wire;

use crate::ask::{Ask, Shared};
use crate::keys;
use crate::leading::Leading;
use crate::member::Member;
use crate::others::Others;
use crate::platform::{Platform, Source};
use crate::reach::Reach;
use crate::relay::Session;
use crate::settings::Settings;

/// The timeout of a watch on the configuration. A dead connection is noticed only when the watch times
/// out, and a change has to be in force two seconds after an entry's links work again.
const CONFIG_WAIT: Millis = Millis(3_000);
/// The store is not checked again if it answered a call that was sent within this time.
const STORE_FRESH: Millis = Millis(100);
/// The timeout of a store check; a slow store takes a few hundred milliseconds.
const STORE_CHECK: Millis = Millis(500);
/// The delay before a failed read of the configuration is retried.
const CONFIG_RETRY: Millis = Millis(200);

/// `Control` is the state of the control thread.
pub(crate) struct Control<P: Platform> {
    pub(crate) platform: P,
    pub(crate) settings: Settings,
    pub(crate) client: wire::Client,
    pub(crate) shared: Arc<Shared>,
    clock: System,
    /// The lead, as last read from the store.
    pub(crate) lead: RefCell<Option<Known>>,
    /// The state of this entry's own term while it leads.
    pub(crate) leading: RefCell<Option<Rc<Leading>>>,
    /// The highest term that this entry knows of, which fences the orders of earlier leads.
    pub(crate) newest_term: Cell<u64>,
    /// The other live entries, as last read from the store.
    pub(crate) peers: RefCell<Vec<Member>>,
    /// The sessions in which this entry relays orders for a lead.
    pub(crate) sessions: RefCell<Vec<Rc<Session>>>,
    /// The reports of the other entries on the store, gathered while this entry does not reach it.
    pub(crate) others: RefCell<Others>,
    /// Whether the store answers this entry.
    reach: Cell<Reach>,
    /// Held during a check of the store, so that concurrent checks share one call.
    checking: Mutex<()>,
    /// Tells the election to campaign although there is a lead, since that lead asked to be replaced.
    pub(crate) succeed: Sender<()>,
    pub(crate) succession: Receiver<()>,
}

impl<P: Platform> Control<P> {
    pub(crate) fn new(
        platform: P,
        settings: Settings,
        client: wire::Client,
        shared: Arc<Shared>,
    ) -> Rc<Self> {
        let (succeed, succession) = async_channel::bounded(1);
        Rc::new(Self {
            platform,
            settings,
            client,
            shared,
            clock: System::new(),
            lead: RefCell::default(),
            leading: RefCell::default(),
            newest_term: Cell::new(0),
            peers: RefCell::default(),
            sessions: RefCell::default(),
            others: RefCell::default(),
            reach: Cell::default(),
            checking: Mutex::new(()),
            succeed,
            succession,
        })
    }

    /// Handles requests until the last sender is dropped.
    pub(crate) async fn run(self: Rc<Self>, asks: Receiver<Ask>) {
        self.tell_retry(None);
        task::spawn_local(Rc::clone(&self).follow_config());
        task::spawn_local(Rc::clone(&self).register());
        task::spawn_local(Rc::clone(&self).follow_members());
        task::spawn_local(Rc::clone(&self).elect());
        while let Ok(ask) = asks.recv().await {
            task::spawn_local(Rc::clone(&self).serve(ask));
        }
    }

    /// Returns the monotonic time.
    pub(crate) fn now(&self) -> Millis {
        self.clock.now()
    }

    /// Calls the store and records whether it answers.
    pub(crate) async fn store(self: &Rc<Self>, call: Call) -> Result<Answer, Fault> {
        let sent = self.now();
        let answer = self.platform.store().call(call).await;
        self.note_store(sent, answer.as_ref().err().copied());
        answer
    }

    /// Returns whether the store answers now; probes it unless it has answered within `STORE_FRESH`.
    ///
    /// Load pattern: during an outage all entries ping each other, and each ping checks the store. While the
    /// store is known to be unreachable, the running probe loop decides the answer; concurrent checks of a
    /// reachable store share one call.
    pub(crate) async fn check_store(self: &Rc<Self>) -> bool {
        let _one_at_a_time = self.checking.lock().await;
        if !self.reaches_store() {
            return false;
        }
        if self.now().since(self.reach.get().seen()) < STORE_FRESH {
            return true;
        }
        let answer = timeout(STORE_CHECK.duration(), self.probe_store()).await;
        matches!(answer, Ok(Ok(_)))
    }

    /// Makes the cheapest call that shows whether the store answers.
    pub(crate) async fn probe_store(self: &Rc<Self>) -> Result<Answer, Fault> {
        let call = Call::Range {
            prefix: keys::LEAD.to_owned(),
            after: String::new(),
            stale: true,
        };
        self.store(call).await
    }

    fn note_store(self: &Rc<Self>, sent: Millis, fault: Option<Fault>) {
        let mut reach = self.reach.get();
        // Without a change so far, the state has lasted since the start.
        let before = reach.age(self.now()).min(self.now());
        let changed = reach.note(sent, fault, self.now());
        self.reach.set(reach);
        if fault.is_none() {
            self.shared.connected.store(true, Ordering::SeqCst);
        }
        if !changed {
            return;
        }
        if reach.answers() {
            log::info!(target: "store", "event=store-regained after_ms={}", before.0);
            // Another entry may lead by now, so from here on a start needs a record in the store.
            if let Some(leading) = self.leads() {
                leading.change(Lead::forbid_unrecorded);
            }
        } else {
            log::warn!(target: "store", "event=store-lost after_ms={}", before.0);
            task::spawn_local(Rc::clone(self).probe());
        }
    }

    /// Returns whether the store answers.
    pub(crate) fn reaches_store(&self) -> bool {
        self.reach.get().answers()
    }

    /// Returns whether the store answered a call that was sent at `since` or later.
    pub(crate) fn has_answered_since(&self, since: Millis) -> bool {
        self.reach.get().seen() >= since
    }

    /// Returns how long the store has been in its current state, answering or not.
    pub(crate) fn store_age(&self) -> Millis {
        self.reach.get().age(self.now())
    }

    /// Returns the state of this entry's term if it leads.
    pub(crate) fn leads(&self) -> Option<Rc<Leading>> {
        self.leading.borrow().clone()
    }

    /// Calls another entry.
    pub(crate) async fn call(
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
                CONFIG_WAIT
            } else {
                Millis(1_000)
            };
            let sent = self.now();
            match self.platform.source().follow(revision, wait).await {
                Ok(news) => {
                    self.note_store(sent, None);
                    revision = news.revision;
                    if let Some(config) = news.config {
                        self.adopt(config);
                    }
                }
                Err(fault) => {
                    self.note_store(sent, Some(fault));
                    log::debug!(target: "node", "event=config-unread why={fault}");
                    task::sleep(CONFIG_RETRY.duration()).await;
                }
            }
        }
    }

    /// Puts a configuration in force, unless the present one is as new.
    fn adopt(&self, config: crate::Config) {
        let have = self.shared.config.load();
        if have
            .as_ref()
            .is_some_and(|have| have.version >= config.version)
        {
            return;
        }
        log::info!(
            target: "node",
            "event=config-in-force version={} routes={} queues={}",
            config.version,
            config.routes.len(),
            config.queues.len()
        );
        let config = Arc::new(config);
        self.shared.config.store(Some(Arc::clone(&config)));
        if let Some(leading) = self.leads() {
            leading.configure(&config);
        }
    }
}
