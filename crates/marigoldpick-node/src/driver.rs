//! Carries out what the lead decides, and tells it what came of it.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;

use async_channel::{Receiver, Sender};
use async_std::future::timeout;
use async_std::task;
use futures::future::join;
use marigoldpick_core::control::Known;
use marigoldpick_core::prelude::*;
use marigoldpick_core::store::{Answer, Call, Change, Condition, Expect, Fault, Item, Write};
use marigoldpick_core::work::port::{Advice, Adviser, Order, Refusal, Target, Workers};
use marigoldpick_core::work::{self, Part, peer};
use marigoldpick_job::Lead;
use marigoldpick_job::action::{Action, Batch};
use marigoldpick_job::lead::commit::Outcome;
use marigoldpick_job::lead::{Count, Origin};
use marigoldpick_job::record::Record;

use crate::config::Config;
use crate::control::Control;
use crate::election::Head;
use crate::health::Others;
use crate::keys;
use crate::platform::{Platform, Registry};
use crate::settings::Settings;

/// The longest time between two steps of the lead.
const TICK: Millis = Millis(20);
/// The wait of a look at the inbox.
const INBOX_WAIT: Millis = Millis(3_000);
/// The pause between two looks at the inbox, so that new jobs are read in groups.
const INBOX_GAP: Millis = Millis(15);
/// The wait after a call to the store that failed.
const RETRY: Millis = Millis(150);
/// How long the store has to be lost before a lead draws a conclusion.
const PATIENCE: Millis = Millis(300);
/// The longest time for the question to succeed, whose receiver checks the store first.
const SUCCEED: Millis = Millis(800);
/// How long a worker that the registry lost in an outage of the store is kept: entries of living
/// workers are back within two seconds of its return.
const REGISTRY_GRACE: Millis = Millis(2_500);

/// `Leading` is the state of a term.
pub(crate) struct Leading {
    lead: RefCell<Lead>,
    term: u64,
    pub(crate) holder: String,
    pub(crate) lease: Cell<u64>,
    /// When the term was last confirmed.
    confirmed: Cell<Millis>,
    /// The revision of the chain's key after this lead's last write.
    chain: Cell<u64>,
    number: Cell<u64>,
    over: Cell<Option<&'static str>>,
    wake: Sender<()>,
    woken: Receiver<()>,
}

impl Leading {
    pub(crate) fn new(
        settings: &Settings,
        term: u64,
        holder: String,
        lease: u64,
        confirmed: Millis,
        now: Millis,
    ) -> Self {
        let (wake, woken) = async_channel::bounded(1);
        Self {
            lead: RefCell::new(Lead::new(settings.job, term, now)),
            term,
            holder,
            lease: Cell::new(lease),
            confirmed: Cell::new(confirmed),
            chain: Cell::new(term),
            number: Cell::new(0),
            over: Cell::new(None),
            wake,
            woken,
        }
    }

    pub(crate) const fn term(&self) -> u64 {
        self.term
    }

    /// Returns the revision of the chain's key after this lead's last write.
    pub(crate) fn chain(&self) -> u64 {
        self.chain.get()
    }

    pub(crate) fn set_chain(&self, revision: u64) {
        self.chain.set(self.chain.get().max(revision));
    }

    pub(crate) fn is_over(&self) -> bool {
        self.over.get().is_some()
    }

    pub(crate) fn depose(&self, why: &'static str) {
        if self.over.get().is_none() {
            self.over.set(Some(why));
        }
        self.nudge();
    }

    pub(crate) fn end(&self) {
        self.depose("ended");
    }

    pub(crate) fn confirm(&self, at: Millis) {
        self.confirmed.set(self.confirmed.get().max(at));
    }

    pub(crate) fn confirmed(&self) -> Millis {
        self.confirmed.get()
    }

    /// Changes the lead's state and lets it decide anew.
    pub(crate) fn change<T>(&self, change: impl FnOnce(&mut Lead) -> T) -> T {
        let result = change(&mut self.lead.borrow_mut());
        self.nudge();
        result
    }

    /// Looks at the lead's state.
    pub(crate) fn look<T>(&self, look: impl FnOnce(&Lead) -> T) -> T {
        look(&self.lead.borrow())
    }

    pub(crate) fn configure(&self, config: &Config) {
        self.change(|lead| lead.configure(&config.queues));
    }

    pub(crate) fn set_askers(&self, entries: &[id::Entry]) {
        self.change(|lead| lead.set_askers(entries));
    }

    fn nudge(&self) {
        // A full channel means that it is woken already.
        let _is_woken = self.wake.try_send(());
    }
}

impl<P: Platform> Control<P> {
    /// Leads until the term ends, and returns why it did.
    pub(crate) async fn drive(self: &Rc<Self>, leading: &Rc<Leading>) -> &'static str {
        let Some(revision) = self.load(leading).await else {
            return leading.over.get().unwrap_or("not-loaded");
        };
        if let Some(config) = self.shared.config.load_full() {
            leading.configure(&config);
        }
        leading.set_askers(&self.askers());
        *self.leading.borrow_mut() = Some(Rc::clone(leading));
        task::spawn_local(Rc::clone(self).follow_inbox(Rc::clone(leading), revision));
        task::spawn_local(Rc::clone(self).follow_registry(Rc::clone(leading)));
        let mut counted = Count::default();
        loop {
            if leading.look(Lead::is_deposed) {
                leading.depose("fenced");
            }
            if let Some(why) = leading.over.get() {
                return why;
            }
            let actions = leading.lead.borrow_mut().step(self.now());
            for action in actions {
                self.act(leading, action);
            }
            self.log_notes(leading);
            counted = publish(leading, counted);
            // The time-out is the next tick.
            let _is_tick = timeout(TICK.duration(), leading.woken.recv()).await;
        }
    }

    fn log_notes(&self, leading: &Leading) {
        for note in leading.lead.borrow_mut().notes() {
            log::info!(
                target: "lead",
                "event={} id={} term={} {}",
                note.event, note.about, leading.term, note.detail
            );
        }
    }

    fn act(self: &Rc<Self>, leading: &Rc<Leading>, action: Action) {
        let (this, leading) = (Rc::clone(self), Rc::clone(leading));
        match action {
            Action::Order { target, order } => {
                task::spawn_local(this.give(leading, target, order));
            }
            Action::Ask {
                asker,
                part,
                workers,
                limit,
            } => {
                task::spawn_local(this.ask(leading, asker, part, workers, limit));
            }
            Action::Commit(batch) => {
                task::spawn_local(this.commit(leading, batch));
            }
        }
    }

    async fn give(self: Rc<Self>, leading: Rc<Leading>, target: Target, order: Order) {
        let sent = self.now();
        let workers = self.platform.workers();
        let answer = workers.order(&target, leading.term, order.clone()).await;
        let now = self.now();
        leading.change(|lead| lead.answered(&target.id, &order, answer, sent, now));
    }

    async fn ask(
        self: Rc<Self>,
        leading: Rc<Leading>,
        asker: id::Entry,
        part: Part,
        workers: Vec<id::Worker>,
        limit: Millis,
    ) {
        let answer = if asker == self.settings.entry {
            let adviser = self.platform.adviser();
            adviser.advise(&part, &workers, limit).await
        } else {
            self.ask_through(&asker, &part, &workers, limit).await
        };
        let now = self.now();
        leading.change(|lead| lead.advised(&asker, &part, &workers, answer, now));
    }

    async fn ask_through(
        &self,
        asker: &id::Entry,
        part: &Part,
        workers: &[id::Worker],
        limit: Millis,
    ) -> Result<Advice, Refusal> {
        let known = self.peer(asker).ok_or(Refusal::Away)?;
        let call = peer::Call::Advise {
            part: part.clone(),
            workers: workers.to_vec(),
            limit,
        };
        match self.call(&known, call, limit).await {
            Ok(peer::Answer::Advice(advice)) => Ok(advice),
            Ok(peer::Answer::Busy) => Err(Refusal::Busy),
            Ok(_) | Err(_) => Err(Refusal::Away),
        }
    }

    /// Lets the lead act on what the other entries say while it does not reach the store.
    ///
    /// Where others reach it, one of them leads from now on. Where most entries live and none
    /// reaches it, nobody can take over, and work goes on without records.
    pub(crate) fn advise_lead(self: &Rc<Self>, leading: &Rc<Leading>, others: &Others) {
        if self.store_age() < PATIENCE {
            return;
        }
        if let Some(successor) = others.reaching.first() {
            let (this, leading, successor) =
                (Rc::clone(self), Rc::clone(leading), successor.clone());
            task::spawn_local(async move {
                let asked = this.call(&successor, peer::Call::Succeed, SUCCEED).await;
                log::info!(
                    target: "node",
                    "event=lead-offered term={} to={} answered={}",
                    leading.term, successor.entry, asked.is_ok()
                );
                if asked.is_ok() {
                    leading.depose("store-lost-here");
                }
            });
            return;
        }
        let alone = others.most_are_cut_off();
        if alone {
            leading.confirm(self.now());
        }
        leading.change(|lead| lead.allow_unrecorded(alone));
    }

    /// Returns how another entry is reached.
    pub(crate) fn peer(&self, entry: &id::Entry) -> Option<Known> {
        let peers = self.peers.borrow();
        let found = peers.iter().find(|member| member.known.entry == *entry);
        found.map(|member| member.known.clone())
    }

    async fn commit(self: Rc<Self>, leading: Rc<Leading>, batch: Batch) {
        leading.number.set(leading.number.get() + 1);
        let head = Head {
            holder: leading.holder.clone(),
            number: leading.number.get(),
        };
        let mut puts = vec![Write {
            key: keys::CHAIN.to_owned(),
            value: serde_json::to_string(&head).expect("a head is plain JSON"),
            lease: None,
        }];
        puts.extend(batch.records.into_iter().map(|(id, value)| Write {
            key: keys::record(&id),
            value,
            lease: None,
        }));
        let deletes = batch
            .forgotten
            .iter()
            .flat_map(|id| [keys::job(id), keys::record(id), keys::cancel(id)])
            .collect();
        let call = Call::Commit {
            expect: vec![Condition {
                key: keys::CHAIN.to_owned(),
                expect: Expect::Revision(leading.chain.get()),
            }],
            puts,
            deletes,
        };
        let sent = self.now();
        let outcome = match self.store(call).await {
            Ok(Answer::Written(revision)) => {
                leading.set_chain(revision);
                leading.confirm(sent);
                Outcome::Stored
            }
            Ok(Answer::Rivals(items)) => settle(&leading, &items),
            Ok(_) | Err(_) => Outcome::Retry,
        };
        let now = self.now();
        leading.change(|lead| lead.committed(outcome, now));
    }

    /// Reads all that was handed in and what became of it; returns the revision to go on from.
    async fn load(self: &Rc<Self>, leading: &Leading) -> Option<u64> {
        loop {
            if leading.is_over() {
                return None;
            }
            match self.load_once(leading).await {
                Ok(revision) => return Some(revision),
                Err(fault) => {
                    log::warn!(target: "node", "event=load-retry why={fault}");
                    task::sleep(RETRY.duration()).await;
                }
            }
        }
    }

    async fn load_once(self: &Rc<Self>, leading: &Leading) -> Result<u64, Fault> {
        let (inbox, records) = join(self.range(keys::INBOX), self.range(keys::RECORDS)).await;
        let ((inbox, revision), (records, _)) = (inbox?, records?);
        let count = inbox.len();
        self.take_in_all(leading, &inbox, &records);
        log::info!(target: "node", "event=lead-loaded term={} items={count} records={}", leading.term, records.len());
        Ok(revision)
    }

    /// Reads all keys with a prefix, sorted, and the revision before the first page.
    async fn range(self: &Rc<Self>, prefix: &str) -> Result<(Vec<Item>, u64), Fault> {
        let mut all: Vec<Item> = Vec::new();
        let mut first = None;
        loop {
            let call = Call::Range {
                prefix: prefix.to_owned(),
                after: all.last().map(|item| item.key.clone()).unwrap_or_default(),
                stale: false,
            };
            let Answer::Page {
                items,
                more,
                revision,
            } = self.store(call).await?
            else {
                return Err(Fault::Unknown);
            };
            let first = *first.get_or_insert(revision);
            all.extend(items);
            if !more {
                return Ok((all, first));
            }
        }
    }

    /// Takes in the whole inbox: jobs go before their cancels, whose keys come first.
    fn take_in_all(&self, leading: &Leading, inbox: &[Item], records: &[Item]) {
        let is_cancel = |item: &&Item| item.key.starts_with(keys::CANCELS);
        for item in inbox.iter().filter(|item| !is_cancel(item)) {
            let id = item.key.strip_prefix(keys::JOBS);
            let record = id.and_then(|id| {
                let key = format!("{}{id}", keys::RECORDS);
                let at = records.binary_search_by(|have| have.key.cmp(&key)).ok()?;
                read_record(&records[at])
            });
            self.take_in(leading, item, Origin::Loaded(record.as_ref()));
        }
        for item in inbox.iter().filter(is_cancel) {
            self.take_in(leading, item, Origin::New);
        }
    }

    /// Takes in a key of the inbox.
    fn take_in(&self, leading: &Leading, item: &Item, origin: Origin<'_>) {
        let (now, wall) = (self.now(), self.wall());
        if let Some(id) = item.key.strip_prefix(keys::JOBS) {
            match (
                id::Job::new(id),
                serde_json::from_str::<work::Job>(&item.value),
            ) {
                (Ok(id), Ok(job)) => {
                    let job = Arc::new(job);
                    leading.change(|lead| lead.accept(id, job, origin, wall, now));
                }
                (_, Err(error)) => {
                    log::error!(target: "node", "event=job-unread key={} why={error}", item.key);
                }
                (Err(error), _) => {
                    log::error!(target: "node", "event=job-unread key={} why={error}", item.key);
                }
            }
        } else if let Some(id) = item.key.strip_prefix(keys::CANCELS)
            && let Ok(id) = id::Job::new(id)
        {
            leading.change(|lead| lead.cancel(&id, now));
        }
    }

    /// Takes in what entries write to the inbox.
    async fn follow_inbox(self: Rc<Self>, leading: Rc<Leading>, mut revision: u64) {
        while !leading.is_over() {
            let follow = Call::Follow {
                prefix: keys::INBOX.to_owned(),
                revision,
                wait: INBOX_WAIT,
            };
            match self.store(follow).await {
                Ok(Answer::Changes {
                    changes,
                    revision: now,
                }) => {
                    revision = now;
                    for change in &changes {
                        if let Change::Written(item) = change {
                            self.take_in(&leading, item, Origin::New);
                        }
                    }
                    task::sleep(INBOX_GAP.duration()).await;
                }
                Ok(_) => match self.range(keys::INBOX).await {
                    Ok((items, now)) => {
                        log::info!(target: "node", "event=inbox-reread items={}", items.len());
                        revision = now;
                        self.take_in_all(&leading, &items, &[]);
                    }
                    Err(_) => task::sleep(RETRY.duration()).await,
                },
                Err(_) => task::sleep(RETRY.duration()).await,
            }
        }
    }

    /// Takes in the list of workers.
    async fn follow_registry(self: Rc<Self>, leading: Rc<Leading>) {
        let mut have: Vec<marigoldpick_core::work::port::Node> = Vec::new();
        let mut failed: Option<Millis> = None;
        while !leading.is_over() {
            match self.platform.registry().nodes().await {
                Ok(mut nodes) => {
                    let now = self.now();
                    let is_back = failed.is_some_and(|at| now.since(at) < REGISTRY_GRACE);
                    if is_back {
                        for old in have {
                            if let Err(at) = nodes.binary_search_by(|node| node.id.cmp(&old.id)) {
                                nodes.insert(at, old);
                            }
                        }
                    }
                    leading.change(|lead| lead.fleet(&nodes, now));
                    have = nodes;
                    task::sleep(self.settings.registry_gap.duration()).await;
                }
                Err(fault) => {
                    log::debug!(target: "node", "event=registry-unread why={fault}");
                    failed = Some(self.now());
                    task::sleep(RETRY.duration()).await;
                }
            }
        }
    }
}

/// Adds what the lead did since `before` to the metrics.
fn publish(leading: &Leading, before: Count) -> Count {
    let now = leading.look(Lead::count);
    let counts = [
        ("marigold_task_starts_total", now.starts, before.starts),
        ("marigold_run_ends_total", now.ends, before.ends),
        (
            "marigold_advice_questions_total",
            now.questions,
            before.questions,
        ),
        ("marigold_worker_holds_total", now.holds, before.holds),
        ("marigold_record_commits_total", now.commits, before.commits),
    ];
    for (name, now, before) in counts {
        if now > before {
            metrics::counter!(name).increment(now - before);
        }
    }
    now
}

/// Tells what a commit whose condition did not hold means.
fn settle(leading: &Leading, items: &[Item]) -> Outcome {
    let chain = items.iter().find(|item| item.key == keys::CHAIN);
    let own = chain.filter(|item| {
        let head: Result<Head, _> = serde_json::from_str(&item.value);
        head.is_ok_and(|head| head.holder == leading.holder)
    });
    match own {
        // An earlier commit whose answer was lost was carried out.
        Some(item) => {
            leading.set_chain(item.revision);
            Outcome::Retry
        }
        None => Outcome::Deposed,
    }
}

fn read_record(item: &Item) -> Option<Record> {
    match Record::parse(&item.value) {
        Ok(record) => Some(record),
        Err(error) => {
            log::error!(target: "node", "event=record-unread key={} why={error}", item.key);
            None
        }
    }
}
