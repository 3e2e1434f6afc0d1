//! The loop of a term: executes the lead's decisions and reports the outcomes back to it.

use std::pin::pin;
use std::rc::Rc;

use async_std::future::timeout;
use async_std::task;
use futures::future::{Either, join, select};
use marigoldpick_core::control::Known;
use marigoldpick_core::prelude::*;
use marigoldpick_core::store::{Answer, Call, Condition, Expect, Fault, Item, Write};
use marigoldpick_core::work::port::{Advice, Adviser, Order, Refusal, Target};
use marigoldpick_core::work::{Part, peer};
use marigoldpick_job::Lead;
use marigoldpick_job::action::{Action, Batch};
use marigoldpick_job::lead::Count;
use marigoldpick_job::lead::commit::Outcome;

use crate::control::Control;
use crate::election::{Head, is_held_by};
use crate::keys;
use crate::leading::Leading;
use crate::others::Others;
use crate::platform::{Platform, Registry};

/// The maximum time between two steps of the lead.
const TICK: Millis = Millis(20);
/// The minimum time between two steps of the lead, in which events are gathered, since each step looks
/// at all workers.
const GATHER: Millis = Millis(3);
/// The delay before a failed call to the store is retried.
const RETRY: Millis = Millis(150);
/// How long the store must be unreachable before the lead acts on it; a connection that was reset is
/// restored within this time.
const PATIENCE: Millis = Millis(300);
/// How long a commit may take before the lead asks whether other entries reach the store; a healthy
/// store answers in about ten milliseconds.
const SUSPICION: Millis = Millis(200);
/// The timeout of a probe by a lead whose commit is slow. A healthy store answers in about ten
/// milliseconds, or a little more on a busy machine.
const PROBE: Millis = Millis(150);
/// The timeout of a request to take over the lead; its receiver checks the store first.
const SUCCEED: Millis = Millis(800);
/// How long starts without records are allowed after most entries reported that they do not reach the
/// store. It covers the pause between two polls of the entries and the timeout of one poll.
const UNRECORDED: Millis = Millis(1_200);
/// The reason for the end of a term whose lead does not reach the store.
const STORE_LOST: &str = "store-lost-here";
/// How long a worker is kept whose registration was lost during a store outage; live workers register
/// again within two seconds of the store's return.
const REGISTRY_GRACE: Millis = Millis(2_500);

impl<P: Platform> Control<P> {
    /// Runs the lead until the term ends, and returns the reason.
    pub(crate) async fn drive(self: &Rc<Self>, leading: &Rc<Leading>) -> &'static str {
        let Some(revision) = self.load(leading).await else {
            return leading.over().unwrap_or("not-loaded");
        };
        if let Some(config) = self.shared.config.load_full() {
            leading.configure(&config);
        }
        leading.set_askers(&self.askers());
        *self.leading.borrow_mut() = Some(Rc::clone(leading));
        self.choose_relays(leading);
        task::spawn_local(Rc::clone(self).follow_inbox(Rc::clone(leading), revision));
        task::spawn_local(Rc::clone(self).follow_registry(Rc::clone(leading)));
        let mut counted = Count::default();
        loop {
            if leading.look(Lead::is_deposed) {
                leading.depose("fenced");
            }
            if let Some(why) = leading.over() {
                return why;
            }
            let began = self.now();
            let actions = leading.decide(|lead| lead.step(self.now()));
            for action in actions {
                self.act(leading, action);
            }
            self.log_notes(leading);
            counted = publish(leading, counted);
            // A timeout starts the next regular step.
            let wait = leading
                .look(|lead| lead.next_pass().since(self.now()))
                .min(TICK);
            let _is_tick = timeout(wait.duration(), leading.woken()).await;
            let early = (began + GATHER).since(self.now());
            if early > Millis::ZERO {
                task::sleep(early.duration()).await;
            }
        }
    }

    /// Logs the lead's decisions since the last call.
    fn log_notes(&self, leading: &Leading) {
        for note in leading.decide(Lead::notes) {
            log::info!(
                target: "lead",
                "event={} id={} term={} {}",
                note.event, note.about, leading.term(), note.detail
            );
        }
    }

    /// Starts a task that executes one action of the lead.
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

    /// Delivers an order and reports the answer to the lead.
    async fn give(self: Rc<Self>, leading: Rc<Leading>, target: Target, order: Order) {
        let sent = self.now();
        let domain = leading.look(|lead| lead.domain_of(&target.id).cloned());
        let answer = self.order(&leading, domain.as_ref(), &target, &order).await;
        let now = self.now();
        leading.change(|lead| lead.answered(&target.id, &order, answer, sent, now));
    }

    /// Queries the adviser through the entry `asker` and reports the answer to the lead.
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

    /// Queries the adviser through another entry.
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

    /// Lets the lead act on the other entries' reports while it does not reach the store.
    ///
    /// If another entry reaches the store, that entry is asked to take over. If most entries are alive and
    /// none reaches the store, nobody can take over, and starts go on without records.
    pub(crate) fn advise_lead(self: &Rc<Self>, leading: &Rc<Leading>, others: &Others) {
        // The store may have answered while the other entries were polled.
        if self.reaches_store() || self.store_age() < PATIENCE {
            return;
        }
        if let Some(successor) = others.reaching.first() {
            let (this, leading, successor) =
                (Rc::clone(self), Rc::clone(leading), successor.clone());
            task::spawn_local(async move {
                this.offer_lead(&leading, &successor, STORE_LOST).await;
            });
            return;
        }
        if others.most_are_cut_off() {
            let now = self.now();
            leading.confirm(now);
            leading.change(|lead| lead.allow_unrecorded(now + UNRECORDED));
        } else {
            leading.change(Lead::forbid_unrecorded);
        }
    }

    /// Asks another entry to take over, and ends the term with the reason `why` if that entry agrees.
    pub(crate) async fn offer_lead(
        self: &Rc<Self>,
        leading: &Rc<Leading>,
        successor: &Known,
        why: &'static str,
    ) {
        if leading.is_over() {
            return;
        }
        let asked = self.call(successor, peer::Call::Succeed, SUCCEED).await;
        log::info!(
            target: "node",
            "event=lead-offered term={} to={} answered={}",
            leading.term(), successor.entry, asked.is_ok()
        );
        if asked.is_ok() {
            leading.depose(why);
        }
    }

    /// Calls the store, and seeks a successor for the lead while the call is not answered.
    ///
    /// Load pattern: only the lead is cut off from the store. Nothing starts until another entry leads,
    /// so the lead must notice before the call times out.
    async fn store_or_succession(
        self: &Rc<Self>,
        leading: &Rc<Leading>,
        call: Call,
    ) -> Result<Answer, Fault> {
        let answer = pin!(self.store(call));
        let doubt = pin!(async {
            task::sleep(SUSPICION.duration()).await;
            self.seek_successor(leading).await;
        });
        match select(answer, doubt).await {
            Either::Left((answer, _)) => answer,
            Either::Right(((), answer)) => answer.await,
        }
    }

    /// Offers the lead to an entry that reaches the store, unless the store answers this one meanwhile.
    async fn seek_successor(self: &Rc<Self>, leading: &Rc<Leading>) {
        let since = self.now();
        // A single lost answer to a write is no outage: the probe is answered then. A store that is slow
        // for all entries has answered by the time that the others do, or answers nobody.
        let probe = timeout(PROBE.duration(), self.probe_store());
        // The call itself records the outcome of the probe.
        let (others, _probe) = join(self.ask_others(), probe).await;
        if let Some(successor) = others.reaching.first()
            && !self.has_answered_since(since)
        {
            self.offer_lead(leading, successor, STORE_LOST).await;
        }
    }

    /// Returns the address and identity of another entry, if it is live.
    pub(crate) fn peer(&self, entry: &id::Entry) -> Option<Known> {
        let peers = self.peers.borrow();
        let found = peers.iter().find(|member| member.known.entry == *entry);
        found.map(|member| member.known.clone())
    }

    /// Commits a batch of records under the condition that the chain has not moved since the last write.
    async fn commit(self: Rc<Self>, leading: Rc<Leading>, batch: Batch) {
        let head = Head {
            holder: leading.holder.clone(),
            number: leading.next_number(),
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
                expect: Expect::Revision(leading.chain()),
            }],
            puts,
            deletes,
        };
        let sent = self.now();
        let outcome = match self.store_or_succession(&leading, call).await {
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

    /// Reads the list of workers periodically and passes it to the lead.
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

/// Adds the lead's counts since `before` to the metrics.
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
        ("marigold_schedule_passes_total", now.passes, before.passes),
        ("marigold_schedule_looks_total", now.looks, before.looks),
    ];
    for (name, now, before) in counts {
        if now > before {
            metrics::counter!(name).increment(now - before);
        }
    }
    now
}

/// Returns the outcome of a commit whose condition did not hold.
fn settle(leading: &Leading, items: &[Item]) -> Outcome {
    let chain = items.iter().find(|item| item.key == keys::CHAIN);
    let own = chain.filter(|item| is_held_by(item, &leading.holder));
    match own {
        // The chain was moved by an earlier commit of this lead whose answer was lost.
        Some(item) => {
            leading.set_chain(item.revision);
            Outcome::Retry
        }
        None => Outcome::Deposed,
    }
}
