//! The control thread: what this entry knows of the others and of the store.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{SystemTime, UNIX_EPOCH};

use async_channel::Receiver;
use async_std::task;
use marigoldpick_core::clock::System;
use marigoldpick_core::control::Known;
use marigoldpick_core::prelude::*;
use marigoldpick_core::store::{Answer, Call, Fault, Store};
use marigoldpick_core::work::peer;
use marigoldpick_wire as wire;

use crate::driver::Leading;
use crate::face::{Ask, Shared};
use crate::platform::{Platform, Source};
use crate::settings::Settings;

/// The longest wait of a look at the configuration.
const CONFIG_WAIT: Millis = Millis(20_000);
/// The wait after a look at the configuration that failed.
const CONFIG_RETRY: Millis = Millis(200);
/// How long the store counts as reached after its last answer.
const STORE_FRESH: Millis = Millis(1_500);

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
    /// The other entries that were seen last.
    pub(crate) peers: RefCell<Vec<Known>>,
    /// When the store answered last, and when it failed to.
    store_answered: Cell<Millis>,
    store_failed: Cell<Millis>,
}

impl<P: Platform> Control<P> {
    pub(crate) fn new(
        platform: P,
        settings: Settings,
        client: wire::Client,
        shared: Arc<Shared>,
    ) -> Rc<Self> {
        Rc::new(Self {
            platform,
            settings,
            client,
            shared,
            clock: System::new(),
            lead: RefCell::default(),
            leading: RefCell::default(),
            peers: RefCell::default(),
            store_answered: Cell::default(),
            store_failed: Cell::default(),
        })
    }

    /// Runs until no one can ask any more.
    pub(crate) async fn run(self: Rc<Self>, asks: Receiver<Ask>) {
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

    /// Returns the time of day in milliseconds since 1970.
    pub(crate) fn wall(&self) -> u64 {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        since.map_or(0, |span| {
            u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
        })
    }

    /// Calls the store and notes whether it answers.
    pub(crate) async fn store(&self, call: Call) -> Result<Answer, Fault> {
        let answer = self.platform.store().call(call).await;
        self.note_store(answer.is_ok());
        answer
    }

    fn note_store(&self, answered: bool) {
        let before = self.reaches_store();
        if answered {
            self.store_answered.set(self.now());
        } else {
            self.store_failed.set(self.now());
        }
        let after = self.reaches_store();
        if before != after {
            log::info!(target: "store", "event=store-{}", if after { "regained" } else { "lost" });
        }
        if answered {
            self.shared.connected.store(true, Ordering::SeqCst);
        }
    }

    /// Tells whether the store answered after it last failed to.
    pub(crate) fn reaches_store(&self) -> bool {
        let answered = self.store_answered.get();
        answered > Millis::ZERO
            && (self.store_failed.get() <= answered
                || self.store_failed.get().since(answered) < STORE_FRESH)
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
            match self.platform.source().follow(revision, wait).await {
                Ok(news) => {
                    self.note_store(true);
                    revision = news.revision;
                    if let Some(config) = news.config {
                        self.adopt(config);
                    }
                }
                Err(fault) => {
                    self.note_store(false);
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
