//! Handling of requests: submit, cancel, job phase and queue length for callers and other entries, and for
//! other entries also adviser queries, relayed orders, pings and take-overs of the lead.

use std::rc::Rc;
use std::sync::Arc;

use async_std::future::timeout;
use futures::channel::oneshot;
use marigoldpick_core::clock::time_of_day;
use marigoldpick_core::control::Known;
use marigoldpick_core::excerpt::Excerpt;
use marigoldpick_core::prelude::*;
use marigoldpick_core::store::{Answer, Call, Condition, Expect, Fault, Item, Write};
use marigoldpick_core::team::Overview;
use marigoldpick_core::work::peer::{self, Receipt};
use marigoldpick_core::work::port::{Adviser, Refusal};
use marigoldpick_core::work::{Access, Job, Phase};
use marigoldpick_job::admission::Estimate;
use marigoldpick_job::record::Record;
use rand::seq::IndexedRandom;

use crate::admission::count_outcome;
use crate::attempt::{Attempt, Next};
use crate::control::Control;
use crate::keys;
use crate::platform::Platform;
use crate::request::Request;
use crate::submission;

/// The delay before a write that was not carried out is retried.
const WRITE_RETRY: Millis = Millis(30);

impl<P: Platform> Control<P> {
    /// Handles one request and sends the answer.
    pub(crate) async fn serve(self: Rc<Self>, request: Request) {
        // `send_answer` ignores callers that no longer wait for the answer.
        match request {
            Request::Submit(id, job, seen, reply) => {
                let receipt = self.submit(&id, &job, seen, true).await;
                log::info!(target: "node", "event=job-handed-in id={id} queue={} outcome=\"{receipt}\"", job.queue);
                send_answer(reply, receipt);
            }
            Request::Cancel(id, access, reply) => {
                let receipt = self.cancel(&id, &access, true).await;
                log::info!(target: "node", "event=job-cancel id={id} outcome=\"{receipt}\"");
                send_answer(reply, receipt);
            }
            Request::Phase(id, access, reply) => send_answer(reply, self.phase(&id, &access).await),
            Request::Waiting(queue, reply) => send_answer(reply, self.waiting(queue).await),
            Request::Teams(reply) => send_answer(reply, self.teams()),
            Request::Explain(job, reply) => send_answer(reply, self.explain(job).await),
            Request::Peer(call, reply) => send_answer(reply, self.serve_peer(call).await),
            Request::Drain => {
                log::info!(target: "node", "event=draining");
                async_std::task::spawn_local(Rc::clone(&self).announce_drain());
                let tenure = self.tenure.borrow().clone();
                if let Some(leadership) = tenure {
                    self.hand_over(leadership).await;
                }
            }
        }
    }

    /// Returns what this entry knows of the teams.
    fn teams(&self) -> Overview {
        let active = self.shared.config.load_full();
        let shares = active
            .as_ref()
            .map_or(&[][..], |active| active.config.teams.shares());
        Overview {
            entry: self.settings.entry.clone(),
            version: active.as_ref().map_or(0, |active| active.config.version),
            age: active
                .as_ref()
                .and_then(|active| active.confirmed())
                .map(|at| self.now().since(at)),
            peers: u32::try_from(self.peers.borrow().len()).unwrap_or(u32::MAX),
            teams: self
                .leadership()
                .map(|leadership| leadership.read(|lead| lead.team_usage(shares))),
        }
    }

    /// Handles a call of another entry.
    async fn serve_peer(self: &Rc<Self>, call: peer::Call) -> Result<peer::Answer, Code> {
        Ok(match call {
            peer::Call::Advise {
                part,
                workers,
                limit,
            } => {
                let adviser = self.platform.adviser();
                match adviser.advise(&part, &workers, limit).await {
                    Ok(advice) => peer::Answer::Advice(advice),
                    Err(Refusal::Busy) => peer::Answer::Busy,
                    Err(Refusal::Away) => return Err(Code::PeerAway),
                }
            }
            peer::Call::Phase { job, access } => {
                let leadership = self.leadership().ok_or(Code::NotLead)?;
                peer::Answer::Phase(leadership.read(|lead| lead.visible_phase(&job, &access)))
            }
            peer::Call::Waiting(queue) => {
                let leadership = self.leadership().ok_or(Code::NotLead)?;
                peer::Answer::Waiting(leadership.read(|lead| lead.waiting(&queue)) as u64)
            }
            peer::Call::Submit { job, spec } => {
                // It is not known what the store had when the other entry received the job.
                peer::Answer::Receipt(self.submit(&job, &spec, 0, false).await)
            }
            peer::Call::Cancel { job, access } => {
                peer::Answer::Receipt(self.cancel(&job, &access, false).await)
            }
            peer::Call::Succeed => {
                let asked = self.now();
                // An entry that is about to stop would have to hand the lead over again.
                if self.is_draining() {
                    return Err(Code::NotRunDraining);
                }
                if !self.has_config() || !self.check_store().await {
                    return Err(Code::StoreAway);
                }
                log::info!(target: "node", "event=succession-asked");
                self.prepare_succession(asked).await;
                if self.is_draining() {
                    return Err(Code::NotRunDraining);
                }
                self.build_pong(true)
            }
            peer::Call::Yield { holder } => peer::Answer::Leases(self.yield_term(&holder)),
            peer::Call::Relay(batch) => peer::Answer::Relayed(self.relay_orders(batch).await),
            peer::Call::Load => peer::Answer::Load(self.summarize_load().ok_or(Code::NotLead)?),
            peer::Call::Explain(job) => {
                peer::Answer::Placement(self.place_own(job).ok_or(Code::NotLead)?)
            }
            peer::Call::Ping => self.build_pong(self.check_store().await),
        })
    }

    /// Builds the answer to a ping, with the term in which this entry leads.
    fn build_pong(&self, store: bool) -> peer::Answer {
        if !store {
            self.record_denial();
        }
        peer::Answer::Pong {
            term: self.leadership().map_or(0, |leadership| leadership.term()),
            store,
            steady: self.steady_time(),
            config: self.confirmation(),
        }
    }

    /// Stores a job, or rejects it if it can't end in time; with `may_forward` through another entry if this one does
    /// not reach the store.
    ///
    /// `seen` is a revision that the store had before the job arrived; zero if none is known.
    async fn submit(
        self: &Rc<Self>,
        id: &id::Job,
        job: &Arc<Job>,
        seen: u64,
        may_forward: bool,
    ) -> Receipt {
        let active = self.shared.config.load_full();
        let queue = active
            .as_ref()
            .and_then(|active| active.config.queue(&job.queue));
        // Only the settings of its queue tell a lead how to run the job, and a lead has to find the job.
        let Some(queue) = queue.filter(|_| keys::is_listed(id)) else {
            return Receipt::Refused;
        };
        let value = submission::write(job, queue);
        let rejection = self.assess(id, job, queue);
        let mut attempt = Attempt::new(id, job, seen, rejection.map(|(_, after)| after));
        let own = self.write_job(id, &value, &mut attempt).await;
        report_rejection(
            id,
            job,
            rejection.map(|(estimate, _)| estimate),
            &attempt,
            own,
        );
        match own {
            Receipt::Refused | Receipt::Unknown if may_forward => {
                let call = peer::Call::Submit {
                    job: id.clone(),
                    spec: Arc::clone(job),
                };
                merge_receipts(own, self.forward(call).await)
            }
            _ => own,
        }
    }

    /// Writes a job's key: the job, or a marker that it is rejected.
    async fn write_job(
        self: &Rc<Self>,
        id: &id::Job,
        value: &str,
        attempt: &mut Attempt,
    ) -> Receipt {
        let end = self.now() + self.settings.store_timeout;
        // A store that is known to be unreachable is not tried, so the caller is refused at once.
        while self.can_reach_store() && self.now() + WRITE_RETRY < end {
            let next = match attempt.marker() {
                None => {
                    let call = conditional_write(keys::job(id), value, attempt.expect(), None);
                    attempt.apply(self.call_store_until(call, end).await)
                }
                Some(after) => match self.marker_lease().await {
                    None => attempt.give_up_marker(),
                    Some(lease) => {
                        let value =
                            submission::write_marker(&self.settings.entry, time_of_day(), after);
                        let key = keys::job(id);
                        let call = conditional_write(key, &value, attempt.expect(), Some(lease));
                        attempt.apply(self.call_store_until(call, end).await)
                    }
                },
            };
            match next {
                Next::Done(receipt) => return receipt,
                Next::Again => {}
                Next::Renew => self.drop_marker_lease(),
                Next::Retry => async_std::task::sleep(WRITE_RETRY.duration()).await,
            }
        }
        attempt.receipt()
    }

    /// Calls the store, and waits for its answer until `end`.
    async fn call_store_until(self: &Rc<Self>, call: Call, end: Millis) -> Result<Answer, Fault> {
        let remaining = end.since(self.now());
        let answer = timeout(remaining.duration(), self.call_store(call)).await;
        answer.unwrap_or(Err(Fault::Unknown))
    }

    /// Cancels a job; with `may_forward` through another entry if this one does not reach the store.
    async fn cancel(self: &Rc<Self>, id: &id::Job, access: &Access, may_forward: bool) -> Receipt {
        let phase = self.phase(id, access).await;
        let call = may_forward.then(|| peer::Call::Cancel {
            job: id.clone(),
            access: access.clone(),
        });
        match (phase, call) {
            (Ok(None), _) => Receipt::Absent,
            (Ok(Some(phase)), _) if phase.is_over() => Receipt::Stored,
            (Err(_), None) => Receipt::Refused,
            // The job may belong to another team, which only an entry that can read it can tell.
            (Err(_), Some(call)) if self.settings.access.requires_keys => self.forward(call).await,
            (_, call) => {
                let own = self.create_key(keys::cancel(id), "1").await;
                match (own, call) {
                    (Receipt::Stored, _) | (_, None) => own,
                    (_, Some(call)) => merge_receipts(own, self.forward(call).await),
                }
            }
        }
    }

    /// Forwards a write to another entry that reaches the store.
    async fn forward(&self, call: peer::Call) -> Receipt {
        let Some(peer) = self.choose_reaching_peer() else {
            return Receipt::Refused;
        };
        let limit = self.settings.store_timeout + self.settings.lead_timeout;
        match self.call_peer(&peer, call, limit).await {
            Ok(peer::Answer::Receipt(receipt)) => receipt,
            Err(marigoldpick_wire::Error::Away) => Receipt::Refused,
            Ok(_) | Err(_) => Receipt::Unknown,
        }
    }

    /// Returns a random entry that reported that it reaches the store.
    fn choose_reaching_peer(&self) -> Option<Known> {
        let peer_reports = self.peer_reports.borrow();
        peer_reports.reaching.choose(&mut rand::rng()).cloned()
    }

    /// Creates a key; one that exists already counts as written.
    async fn create_key(self: &Rc<Self>, key: String, value: &str) -> Receipt {
        let call = conditional_write(key, value, Expect::Absent, None);
        let mut receipt = Receipt::Refused;
        let end = self.now() + self.settings.store_timeout;
        // A store that is known to be unreachable is not tried, so the caller is refused at once.
        while self.can_reach_store() && self.now() + WRITE_RETRY < end {
            match self.call_store_until(call.clone(), end).await {
                Ok(Answer::Written(_) | Answer::Rivals(_)) => return Receipt::Stored,
                Ok(_) | Err(Fault::Unknown) => receipt = Receipt::Unknown,
                Err(Fault::Away | Fault::Overloaded | Fault::Invalid) => {}
            }
            async_std::task::sleep(WRITE_RETRY.duration()).await;
        }
        receipt
    }

    /// Returns the phase of a job from the lead or, failing that, from the store.
    ///
    /// A job that the caller may not see is answered like one that does not exist.
    async fn phase(self: &Rc<Self>, id: &id::Job, access: &Access) -> Result<Option<Phase>, Code> {
        let known_phase = match self.leadership() {
            Some(leadership) => leadership.read(|lead| lead.visible_phase(id, access)),
            None => {
                let call = peer::Call::Phase {
                    job: id.clone(),
                    access: access.clone(),
                };
                match self.ask_lead(call).await {
                    Some(peer::Answer::Phase(phase)) => phase,
                    _ => None,
                }
            }
        };
        match known_phase {
            Some(phase) => Ok(Some(phase)),
            None => self
                .read_phase(id, access)
                .await
                .map_err(|_fault| Code::StoreAway),
        }
    }

    /// Reads the phase of a job from the store.
    ///
    /// The job is read before its record only where it may belong to another team.
    async fn read_phase(
        self: &Rc<Self>,
        id: &id::Job,
        access: &Access,
    ) -> Result<Option<Phase>, Fault> {
        let requires_keys = self.settings.access.requires_keys;
        if requires_keys && !self.is_visible(id, access).await? {
            return Ok(None);
        }
        let key = keys::record(id);
        if let Answer::Item(Some(item)) = self.call_store(Call::Get { key }).await? {
            return match Record::parse(&item.value) {
                Ok(record) => Ok(Some(record.phase)),
                Err(error) => {
                    let (key, why) = (Excerpt(&item.key), Excerpt(error));
                    log::error!(target: "node", "event=record-unread key=\"{key}\" why=\"{why}\"");
                    Err(Fault::Unknown)
                }
            };
        }
        if requires_keys {
            return Ok(Some(Phase::Queued));
        }
        let key = keys::job(id);
        match self.call_store(Call::Get { key }).await? {
            Answer::Item(item) => Ok(item.filter(is_job).map(|_| Phase::Queued)),
            _ => Err(Fault::Unknown),
        }
    }

    /// Reads from the store whether there is a job that the caller may see.
    async fn is_visible(self: &Rc<Self>, id: &id::Job, access: &Access) -> Result<bool, Fault> {
        let key = keys::job(id);
        let Answer::Item(item) = self.call_store(Call::Get { key }).await? else {
            return Err(Fault::Unknown);
        };
        let Some(item) = item.filter(is_job) else {
            return Ok(false);
        };
        match serde_json::from_str::<Job>(&item.value) {
            Ok(job) => Ok(access.permits(&job)),
            Err(error) => {
                let (key, why) = (Excerpt(&item.key), Excerpt(error));
                log::error!(target: "node", "event=job-unread key=\"{key}\" why=\"{why}\"");
                Err(Fault::Unknown)
            }
        }
    }

    /// Returns the number of jobs of a queue that wait, as the lead counts them.
    async fn waiting(&self, queue: Name) -> Result<u64, Code> {
        if let Some(leadership) = self.leadership() {
            return Ok(leadership.read(|lead| lead.waiting(&queue)) as u64);
        }
        match self.ask_lead(peer::Call::Waiting(queue)).await {
            Some(peer::Answer::Waiting(jobs)) => Ok(jobs),
            _ => Err(Code::NoLead),
        }
    }

    /// Calls the lead; returns nothing if there is none, it is this entry, or it does not answer.
    pub(crate) async fn ask_lead(&self, call: peer::Call) -> Option<peer::Answer> {
        let lead = self.lead.borrow().clone()?;
        if lead.entry == self.settings.entry {
            return None;
        }
        self.call_peer(&lead, call, self.settings.lead_timeout)
            .await
            .ok()
    }
}

/// Combines the outcomes of two attempts at the same write.
const fn merge_receipts(first: Receipt, second: Receipt) -> Receipt {
    match (first, second) {
        (_, Receipt::Stored) | (Receipt::Stored, _) => Receipt::Stored,
        (_, Receipt::Taken) | (Receipt::Taken, _) => Receipt::Taken,
        // The other entry's marker keeps a first write without an answer from taking effect.
        (_, rejected @ Receipt::Rejected { .. }) => rejected,
        (Receipt::Unknown, _) | (_, Receipt::Unknown) => Receipt::Unknown,
        (Receipt::Refused, other) => other,
        (first, _) => first,
    }
}

/// Returns whether a job's key has a job, and not the marker of a rejected one.
fn is_job(item: &Item) -> bool {
    !submission::is_marker(&item.value)
}

/// Builds the write of one key under a condition.
fn conditional_write(key: String, value: &str, expect: Expect, lease: Option<u64>) -> Call {
    Call::Commit {
        expect: vec![Condition {
            key: key.clone(),
            expect,
        }],
        puts: vec![Write {
            key,
            value: value.to_owned(),
            lease,
        }],
        deletes: Vec::new(),
    }
}

/// Logs and counts what became of a decision to reject a job, and a rejection without such a decision.
fn report_rejection(
    id: &id::Job,
    job: &Job,
    estimate: Option<Estimate>,
    attempt: &Attempt,
    receipt: Receipt,
) {
    let queue = &job.queue;
    match (receipt, estimate) {
        (Receipt::Rejected { after }, _) if attempt.is_raced() => {
            count_outcome("raced");
            log::info!(target: "node", "event=job-raced id={id} queue={queue} after_ms={}", after.0);
        }
        (Receipt::Rejected { after }, Some(estimate)) => {
            count_outcome("rejected");
            log::info!(
                target: "node",
                "event=job-rejected id={id} queue={queue} after_ms={} {estimate}", after.0
            );
        }
        (Receipt::Stored | Receipt::Taken, Some(_)) if attempt.marker().is_some() => {
            count_outcome("known");
        }
        (_, Some(_)) => count_outcome("unmarked"),
        (_, None) => {}
    }
}

/// Sends an answer; a caller that no longer waits for it is ignored.
fn send_answer<T>(reply: oneshot::Sender<T>, answer: T) {
    let _is_gone = reply.send(answer);
}
