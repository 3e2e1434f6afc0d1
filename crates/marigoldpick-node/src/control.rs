//! The control thread: what this entry knows of the others and of the store.

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

/// The longest wait for a change of the configuration. A connection that went silent is noticed only
/// at its end, and a change has to be in force two seconds after an entry's links work again.
const CONFIG_WAIT: Millis = Millis(3_000);
/// A store that answered a call sent within this time needs no check.
const STORE_FRESH: Millis = Millis(100);
/// The longest time of a check of the store: a slow one takes some hundred milliseconds.
const STORE_CHECK: Millis = Millis(500);
/// The wait after a look at the configuration that failed.
const CONFIG_RETRY: Millis = Millis(200);

/// `Control` is the state of the control thread.
pub(crate) struct Control<P: Platform> {
    pub(crate) platform: P,
    pub(crate) settings: Settings,
    pub(crate) client: wire::Client,
    pub(crate) shared: Arc<Shared>,
    clock: System,
    /// The entry that leads, as the store last said.
    pub(crate) lead: RefCell<Option<Known>>,
    /// The lead's state when this entry leads.
    pub(crate) leading: RefCell<Option<Rc<Leading>>>,
    /// The latest term of which this entry has heard from a lead.
    pub(crate) newest_term: Cell<u64>,
    /// The other entries that were seen last.
    pub(crate) peers: RefCell<Vec<Member>>,
    /// The sessions in which this entry carries out orders for a lead.
    pub(crate) sessions: RefCell<Vec<Rc<Session>>>,
    /// What the other entries said while this one did not reach the store.
    pub(crate) others: RefCell<Others>,
    /// Whether the store answers.
    reach: Cell<Reach>,
    /// Held while the store is being checked.
    checking: Mutex<()>,
    /// Asks the election to stand although there is a lead, which wants to be succeeded.
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

    /// Runs until no one can ask any more.
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

    /// Returns the steady time.
    pub(crate) fn now(&self) -> Millis {
        self.clock.now()
    }

    /// Calls the store and notes whether it answers.
    pub(crate) async fn store(self: &Rc<Self>, call: Call) -> Result<Answer, Fault> {
        let sent = self.now();
        let answer = self.platform.store().call(call).await;
        self.note_store(sent, answer.as_ref().err().copied());
        answer
    }

    /// Tells whether the store answers now; asks it unless it has answered just before.
    ///
    /// Load pattern: in an outage all entries ask each other. While the store is known to be away, the
    /// probe that goes on answers all of them, and those that ask at once share one call.
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

    /// Makes the cheapest call that tells whether the store answers.
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
        // What has not changed yet has been so since the start.
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
            // Another entry may lead since: from here on a start needs the store's record.
            if let Some(leading) = self.leads() {
                leading.change(Lead::forbid_unrecorded);
            }
        } else {
            log::warn!(target: "store", "event=store-lost after_ms={}", before.0);
            task::spawn_local(Rc::clone(self).probe());
        }
    }

    /// Tells whether the store answers.
    pub(crate) fn reaches_store(&self) -> bool {
        self.reach.get().answers()
    }

    /// Tells whether the store answered a call that was sent since then.
    pub(crate) fn has_answered_since(&self, since: Millis) -> bool {
        self.reach.get().seen() >= since
    }

    /// Returns how long the store has answered, or has not.
    pub(crate) fn store_age(&self) -> Millis {
        self.reach.get().age(self.now())
    }

    /// Tells whether this entry leads.
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
