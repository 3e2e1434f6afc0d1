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
use marigoldpick_job::lead::Counters;
use marigoldpick_job::lead::backlog::Reason;
use marigoldpick_job::lead::commit::Outcome;
use marigoldpick_job::lead::withheld::Resource;

use crate::control::Control;
use crate::election::{Head, is_held_by};
use crate::keys;
use crate::leadership::Leadership;
use crate::peer_reports::PeerReports;
use crate::platform::{Platform, Registry};
use crate::snapshot::Snapshot;

/// The maximum time between two steps of the lead.
const MAX_STEP_GAP: Millis = Millis(20);
/// The minimum time between two steps of the lead, in which events are gathered, since each step looks
/// at all workers.
const MIN_STEP_GAP: Millis = Millis(3);
/// The delay before a failed call to the store is retried.
const STORE_RETRY: Millis = Millis(150);
/// How long the store must be unreachable before the lead acts on it; a connection that was reset is
/// restored within this time.
const MIN_OUTAGE: Millis = Millis(300);
/// How long a commit may take before the lead asks whether other entries reach the store; a healthy
/// store answers in about ten milliseconds.
const SLOW_COMMIT: Millis = Millis(200);
/// The timeout of a probe by a lead whose commit is slow. A healthy store answers in about ten
/// milliseconds, or a little more on a busy machine.
const PROBE_TIMEOUT: Millis = Millis(150);
/// The reason for the end of a term whose lead does not reach the store.
const STORE_LOST_REASON: &str = "store-lost-here";
/// How long after a failed read of the registry a worker is kept that is no longer listed. Its
/// registration may have been lost in a store outage; live workers register again within two seconds of
/// the store's return.
const REGISTRY_GRACE: Millis = Millis(2_500);

/// The time between two updates of the metrics of tasks and teams, each of which looks at all jobs.
const WORK_METRICS_INTERVAL: Millis = Millis(5_000);
/// The most teams with metrics of their own; further ones are left out.
const MAX_TEAM_LABELS: usize = 200;
/// The unit of processor time in the metrics is a core.
const MILLICORES_PER_CORE: f64 = 1_000.0;

impl<P: Platform> Control<P> {
    /// Runs the lead until the term ends, and returns the reason.
    ///
    /// `snapshot` is what was read of the store before the claim.
    pub(crate) async fn run_term(
        self: &Rc<Self>,
        leadership: &Rc<Leadership>,
        snapshot: Snapshot,
    ) -> &'static str {
        // The teams' rates apply to the jobs as these are loaded.
        self.configure_lead(leadership);
        if self.load_inbox(leadership, snapshot).await.is_none() {
            return leadership.end_reason().unwrap_or("not-loaded");
        }
        self.configure_lead(leadership);
        leadership.set_askers(&self.askers());
        *self.leadership.borrow_mut() = Some(Rc::clone(leadership));
        self.choose_relays(leadership);
        task::spawn_local(Rc::clone(self).follow_inbox(Rc::clone(leadership)));
        task::spawn_local(Rc::clone(self).confirm_inbox(Rc::clone(leadership)));
        task::spawn_local(Rc::clone(self).follow_registry(Rc::clone(leadership)));
        let mut published = Counters::default();
        let mut work_published = Millis::ZERO;
        loop {
            if leadership.read(Lead::is_deposed) {
                leadership.end_as_replaced("fenced");
            }
            if let Some(why) = leadership.end_reason() {
                return why;
            }
            let began = self.now();
            let actions = leadership.update_quietly(|lead| lead.tick(began));
            for action in actions {
                self.execute(leadership, action);
            }
            self.log_notes(leadership);
            published = publish_counts(leadership, published);
            publish_end_waits(leadership);
            leadership.report_phases(&published, self.now());
            if began.since(work_published) >= WORK_METRICS_INTERVAL {
                self.publish_work(leadership);
                work_published = began;
            }
            // A timeout starts the next regular step.
            let wait = leadership
                .read(|lead| lead.next_pass().since(self.now()))
                .min(MAX_STEP_GAP);
            let _is_tick = timeout(wait.duration(), leadership.wait_for_update()).await;
            let remaining = (began + MIN_STEP_GAP).since(self.now());
            if remaining > Millis::ZERO {
                task::sleep(remaining.duration()).await;
            }
        }
    }

    /// Publishes the number of interrupted tasks, and what the teams of the configuration hold and have waiting.
    fn publish_work(&self, leadership: &Leadership) {
        let interrupted = leadership.read(Lead::interrupted_tasks);
        metrics::gauge!("marigold_interrupted_tasks").set(interrupted as f64);
        for reason in Reason::ALL {
            let count = leadership.read(|lead| lead.waiting_records(reason));
            metrics::gauge!("marigold_waiting_records", "why" => reason.name()).set(count as f64);
        }
        for resource in Resource::ALL {
            let count = leadership.read(|lead| lead.withheld(resource));
            metrics::gauge!("marigold_withheld", "resource" => resource.name()).set(count as f64);
        }
        let Some(active) = self.shared.config.load_full() else {
            return;
        };
        let shares = active.config.teams.shares();
        let usage = leadership.read(|lead| lead.team_usage(shares));
        for usage in usage.into_iter().take(MAX_TEAM_LABELS) {
            let team = usage.share.team.to_string();
            let millicores = usage.used.millicores as f64;
            metrics::gauge!("marigold_team_cores", "team" => team.clone())
                .set(millicores / MILLICORES_PER_CORE);
            metrics::gauge!("marigold_team_waiting_jobs", "team" => team).set(usage.waiting as f64);
        }
    }

    /// Passes the configuration in force to the lead.
    fn configure_lead(&self, leadership: &Leadership) {
        if let Some(active) = self.shared.config.load_full() {
            leadership.configure(&active.config);
        }
    }

    /// Logs the lead's decisions since the last call.
    fn log_notes(&self, leadership: &Leadership) {
        for note in leadership.update_quietly(Lead::take_decisions) {
            log::info!(
                target: "lead",
                "event={} id={} term={} {}",
                note.event, note.about, leadership.term(), note.detail
            );
        }
    }

    /// Starts a task that executes one action of the lead.
    fn execute(self: &Rc<Self>, leadership: &Rc<Leadership>, action: Action) {
        let (this, leadership) = (Rc::clone(self), Rc::clone(leadership));
        match action {
            Action::Order {
                target,
                order,
                number,
                is_retry,
            } => {
                task::spawn_local(this.deliver(leadership, target, (order, number), is_retry));
            }
            Action::Ask {
                asker,
                part,
                workers,
                limit,
            } => {
                task::spawn_local(this.query_adviser(leadership, asker, part, workers, limit));
            }
            Action::Commit(batch) => {
                task::spawn_local(this.commit(leadership, batch));
            }
        }
    }

    /// Delivers an order, given with its number, and reports the answer to the lead.
    async fn deliver(
        self: Rc<Self>,
        leadership: Rc<Leadership>,
        target: Target,
        (order, number): (Order, u64),
        is_retry: bool,
    ) {
        let sent = self.now();
        let domain = leadership.read(|lead| lead.domain_of(&target.id).cloned());
        let answer = self
            .send_order(&leadership, domain.as_ref(), &target, (&order, is_retry))
            .await;
        let now = self.now();
        leadership
            .update(|lead| lead.handle_reply(&target.id, (&order, number), answer, sent, now));
    }

    /// Queries the adviser through the entry `asker` and reports the answer to the lead.
    async fn query_adviser(
        self: Rc<Self>,
        leadership: Rc<Leadership>,
        asker: id::Entry,
        part: Part,
        workers: Vec<id::Worker>,
        limit: Millis,
    ) {
        let answer = if asker == self.settings.entry {
            let adviser = self.platform.adviser();
            adviser.advise(&part, &workers, limit).await
        } else {
            self.query_adviser_through(&asker, &part, &workers, limit)
                .await
        };
        let now = self.now();
        leadership.update(|lead| lead.handle_advice(&asker, &part, &workers, answer, now));
    }

    /// Queries the adviser through another entry.
    async fn query_adviser_through(
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
        match self.call_peer(&known, call, limit).await {
            Ok(peer::Answer::Advice(advice)) => Ok(advice),
            Ok(peer::Answer::Busy) => Err(Refusal::Busy),
            Ok(_) | Err(_) => Err(Refusal::Away),
        }
    }

    /// Lets the lead act on the other entries' reports while it does not reach the store.
    ///
    /// If another entry reaches the store, that entry is asked to take over. If most entries are alive and
    /// none reaches the store, nobody can take over, and starts go on without records. If too
    /// few entries answer to show this, starts need records.
    pub(crate) fn apply_peer_reports(
        self: &Rc<Self>,
        leadership: &Rc<Leadership>,
        reports: &PeerReports,
    ) {
        // The store may have answered while the other entries were polled.
        if self.can_reach_store() || self.store_state_age() < MIN_OUTAGE {
            return;
        }
        if let Some(successor) = reports.reaching.first() {
            let (this, leadership, successor) =
                (Rc::clone(self), Rc::clone(leadership), successor.clone());
            task::spawn_local(async move {
                let _is_agreed = this
                    .offer_lead(&leadership, &successor, STORE_LOST_REASON)
                    .await;
            });
            return;
        }
        if reports.term > leadership.term() {
            leadership.end_as_replaced("another-leads");
            return;
        }
        if let Some(outage) = reports.outage() {
            // A term that has expired is confirmed by the store alone: another entry may have led and ended since.
            if let Some(at) = outage.confirmed
                && !leadership.read(|lead| lead.has_expired(self.now()))
            {
                leadership.confirm(at);
            }
            leadership.update(|lead| lead.allow_unrecorded(outage.unrecorded_until));
        } else {
            leadership.update(Lead::forbid_unrecorded);
        }
    }

    /// Calls the store, and seeks a successor for the lead while the call is not answered.
    ///
    /// Load pattern: only the lead is cut off from the store. Nothing starts until another entry leads,
    /// so the lead must notice before the call times out.
    async fn call_store_or_offer_lead(
        self: &Rc<Self>,
        leadership: &Rc<Leadership>,
        call: Call,
    ) -> Result<Answer, Fault> {
        let answer = pin!(self.call_store(call));
        let failover = pin!(async {
            task::sleep(SLOW_COMMIT.duration()).await;
            self.seek_successor(leadership).await;
        });
        match select(answer, failover).await {
            Either::Left((answer, _)) => answer,
            Either::Right(((), answer)) => answer.await,
        }
    }

    /// Offers the lead to an entry that reaches the store, unless the store answers this one meanwhile.
    async fn seek_successor(self: &Rc<Self>, leadership: &Rc<Leadership>) {
        let since = self.now();
        // If only the answer to a write was lost, the store answers the probe. A store that is slow for all
        // entries answers this one before their reports arrive, or answers none of them.
        let probe = timeout(PROBE_TIMEOUT.duration(), self.probe_store());
        // The call itself records the outcome of the probe.
        let (reports, _probe) = join(self.poll_peers(), probe).await;
        if let Some(successor) = reports.reaching.first()
            && !self.has_store_answered_since(since)
        {
            let _is_agreed = self
                .offer_lead(leadership, successor, STORE_LOST_REASON)
                .await;
        }
    }

    /// Returns the address and identity of another entry, if it is live.
    pub(crate) fn peer(&self, entry: &id::Entry) -> Option<Known> {
        let peers = self.peers.borrow();
        let found = peers.iter().find(|member| member.known.entry == *entry);
        found.map(|member| member.known.clone())
    }

    /// Commits a batch of records, unless the chain's key has changed since this lead's last write.
    ///
    /// While a successor is about to claim the lead, the batch waits; if the term ends meanwhile it is not sent.
    async fn commit(self: Rc<Self>, leadership: Rc<Leadership>, batch: Batch) {
        self.wait_for_commits(&leadership).await;
        if leadership.is_over() {
            return;
        }
        let head = Head {
            holder: leadership.holder.clone(),
            number: leadership.next_write_number(),
            waivers: batch.waivers,
            settled: batch.settled,
            entries: self.count_entries(),
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
        puts.extend(batch.roster.into_iter().map(|(part, workers)| Write {
            key: keys::roster(part),
            value: serde_json::to_string(&workers).expect("a list is plain JSON"),
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
                expect: Expect::Revision(leadership.chain()),
            }],
            puts,
            deletes,
        };
        let sent = self.now();
        let outcome = match self.call_store_or_offer_lead(&leadership, call).await {
            Ok(Answer::Written(revision)) => {
                leadership.set_chain(revision);
                leadership.confirm(sent);
                Outcome::Stored
            }
            Ok(Answer::Rivals(items)) => resolve_conflict(&leadership, &items),
            Ok(_) | Err(_) => Outcome::Retry,
        };
        let now = self.now();
        leadership.update(|lead| lead.handle_commit(outcome, now));
    }

    /// Reads the list of workers periodically and passes it to the lead.
    async fn follow_registry(self: Rc<Self>, leadership: Rc<Leadership>) {
        let mut previous: Vec<marigoldpick_core::work::port::Node> = Vec::new();
        let mut failed: Option<Millis> = None;
        while !leadership.is_over() {
            match self.platform.registry().nodes().await {
                Ok(mut nodes) => {
                    let now = self.now();
                    let is_recovering = failed.is_some_and(|at| now.since(at) < REGISTRY_GRACE);
                    if is_recovering {
                        for old in previous {
                            if let Err(at) = nodes.binary_search_by(|node| node.id.cmp(&old.id)) {
                                nodes.insert(at, old);
                            }
                        }
                    }
                    leadership.update(|lead| lead.update_workers(&nodes, now));
                    previous = nodes;
                    task::sleep(self.settings.registry_interval.duration()).await;
                }
                Err(fault) => {
                    log::debug!(target: "node", "event=registry-unread why={fault}");
                    failed = Some(self.now());
                    task::sleep(STORE_RETRY.duration()).await;
                }
            }
        }
    }
}

/// Adds the lead's counts since `before` to the metrics, and returns the present counts.
fn publish_counts(leadership: &Leadership, before: Counters) -> Counters {
    let now = leadership.read(Lead::counters);
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
        (
            "marigold_worker_restarts_total",
            now.worker_restarts,
            before.worker_restarts,
        ),
        (
            "marigold_outdated_answers_total",
            now.outdated_answers,
            before.outdated_answers,
        ),
        (
            "marigold_lease_releases_total",
            now.lease_releases,
            before.lease_releases,
        ),
        ("marigold_schedule_passes_total", now.passes, before.passes),
        ("marigold_schedule_looks_total", now.looks, before.looks),
    ];
    for (name, now, before) in counts {
        if now > before {
            metrics::counter!(name).increment(now - before);
        }
    }
    let retries = [
        ("start", now.start_retries, before.start_retries),
        ("stop", now.stop_retries, before.stop_retries),
        ("hold", now.hold_retries, before.hold_retries),
        ("early_hold", now.early_probes, before.early_probes),
        ("probe", now.probe_retries, before.probe_retries),
    ];
    for (order, now, before) in retries {
        if now > before {
            metrics::counter!("marigold_order_retries_total", "order" => order)
                .increment(now - before);
        }
    }
    now
}

/// Publishes how long the ends of jobs waited for their records.
fn publish_end_waits(leadership: &Leadership) {
    for wait in leadership.update_quietly(Lead::take_end_waits) {
        metrics::histogram!("marigold_end_record_seconds").record(wait.duration().as_secs_f64());
    }
}

/// Returns the outcome of a commit whose condition did not hold.
fn resolve_conflict(leadership: &Leadership, items: &[Item]) -> Outcome {
    let chain = items.iter().find(|item| item.key == keys::CHAIN);
    let own = chain.filter(|item| is_held_by(item, &leadership.holder));
    match own {
        // An earlier commit of this lead, whose answer was lost, changed the chain's key.
        Some(item) => {
            leadership.set_chain(item.revision);
            Outcome::Retry
        }
        None => Outcome::Deposed,
    }
}
