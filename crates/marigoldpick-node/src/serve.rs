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
use marigoldpick_core::work::{Access, Job, Phase, explain};
use marigoldpick_job::quota;
use marigoldpick_job::record::Record;
use rand::seq::IndexedRandom;

use crate::config::Config;
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
            Request::Submit(id, job, reply) => {
                let receipt = self.submit(&id, &job, true).await;
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
            Request::Explain(job, reply) => send_answer(reply, self.explain(job)),
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

    /// Returns where a job would go, without accepting it.
    ///
    /// The admission is that of the configuration that this entry knows; the placement is the lead's.
    fn explain(&self, job: Arc<Job>) -> explain::Answer {
        let active = self.shared.config.load_full();
        let config = active.as_ref().map(|active| &active.config);
        let now = self.now();
        let lead = self.lead.borrow().clone();
        explain::Answer {
            entry: self.settings.entry.clone(),
            lead: lead.map(|lead| lead.entry),
            version: config.map_or(0, |config| config.version),
            config_age: active
                .as_ref()
                .and_then(|active| active.confirmed())
                .map(|at| now.since(at)),
            admission: explain::Admission {
                rejected_by: config.map_or_else(
                    || Some("no configuration yet".to_owned()),
                    |config| find_bound(config, &job),
                ),
                retry_after: None,
            },
            placement: self.leadership().and_then(|leadership| {
                leadership.read(|lead| lead.explain(job, time_of_day(), now))
            }),
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
                peer::Answer::Receipt(self.submit(&job, &spec, false).await)
            }
            peer::Call::Cancel { job, access } => {
                peer::Answer::Receipt(self.cancel(&job, &access, false).await)
            }
            peer::Call::Succeed => {
                // An entry that is about to stop would have to hand the lead over again.
                if self.is_draining() {
                    return Err(Code::NotRunDraining);
                }
                if !self.has_config() || !self.check_store().await {
                    return Err(Code::StoreAway);
                }
                log::info!(target: "node", "event=succession-asked");
                // A full channel means that a succession request is already pending.
                let _is_asked = self.succession_sender.try_send(());
                self.build_pong(true)
            }
            peer::Call::Yield { holder } => peer::Answer::Leases(self.yield_term(&holder)),
            peer::Call::Relay(batch) => peer::Answer::Relayed(self.relay_orders(batch).await),
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

    /// Stores a job; with `may_forward` through another entry if this one does not reach the store.
    async fn submit(self: &Rc<Self>, id: &id::Job, job: &Arc<Job>, may_forward: bool) -> Receipt {
        let active = self.shared.config.load_full();
        let queue = active
            .as_ref()
            .and_then(|active| active.config.queue(&job.queue));
        // Only the settings of its queue tell a lead how to run the job.
        let Some(queue) = queue else {
            return Receipt::Refused;
        };
        let value = submission::write(job, queue);
        let call = may_forward.then(|| peer::Call::Submit {
            job: id.clone(),
            spec: Arc::clone(job),
        });
        let is_same_team = |item: &Item| belongs_to(item, job.team.as_ref());
        self.write_or_forward(keys::job(id), value, is_same_team, call)
            .await
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
                let value = String::from("1");
                self.write_or_forward(keys::cancel(id), value, |_| true, call)
                    .await
            }
        }
    }

    /// Writes a key; if that fails and there is a `call`, has another entry write it.
    async fn write_or_forward(
        self: &Rc<Self>,
        key: String,
        value: String,
        is_same: impl Fn(&Item) -> bool,
        call: Option<peer::Call>,
    ) -> Receipt {
        let own = self.create_key(key, value, is_same).await;
        match (own, call) {
            (Receipt::Stored | Receipt::Taken, _) | (_, None) => own,
            (_, Some(call)) => merge_receipts(own, self.forward(call).await),
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

    /// Creates a key; one that exists already counts as written if `is_same` holds for it, and as taken
    /// otherwise.
    async fn create_key(
        self: &Rc<Self>,
        key: String,
        value: String,
        is_same: impl Fn(&Item) -> bool,
    ) -> Receipt {
        let call = Call::Commit {
            expect: vec![Condition {
                key: key.clone(),
                expect: Expect::Absent,
            }],
            puts: vec![Write {
                key,
                value,
                lease: None,
            }],
            deletes: Vec::new(),
        };
        let mut receipt = Receipt::Refused;
        let limit = self.settings.store_timeout;
        let end = self.now() + limit;
        // A store that is known to be unreachable is not tried, so the caller is refused at once.
        while self.can_reach_store() && self.now() + WRITE_RETRY < end {
            let remaining = end.since(self.now());
            let answer = timeout(remaining.duration(), self.call_store(call.clone())).await;
            match answer.unwrap_or(Err(Fault::Unknown)) {
                Ok(Answer::Written(_)) => return Receipt::Stored,
                Ok(Answer::Rivals(items)) if items.iter().all(&is_same) => return Receipt::Stored,
                Ok(Answer::Rivals(_)) => return Receipt::Taken,
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
            Answer::Item(item) => Ok(item.map(|_| Phase::Queued)),
            _ => Err(Fault::Unknown),
        }
    }

    /// Reads from the store whether there is a job that the caller may see.
    async fn is_visible(self: &Rc<Self>, id: &id::Job, access: &Access) -> Result<bool, Fault> {
        let key = keys::job(id);
        let Answer::Item(item) = self.call_store(Call::Get { key }).await? else {
            return Err(Fault::Unknown);
        };
        let Some(item) = item else { return Ok(false) };
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
    async fn ask_lead(&self, call: peer::Call) -> Option<peer::Answer> {
        let lead = self.lead.borrow().clone()?;
        if lead.entry == self.settings.entry {
            return None;
        }
        self.call_peer(&lead, call, self.settings.lead_timeout)
            .await
            .ok()
    }
}

/// Returns the bound of the configuration that rejects a job, if there is one.
fn find_bound(config: &Config, job: &Job) -> Option<String> {
    if config.queue(&job.queue).is_none() {
        return Some(format!("no queue {}", job.queue));
    }
    let team = job.team.as_ref()?;
    let mut shares = config.teams.shares().iter();
    let Some(share) = shares.find(|share| share.team == *team) else {
        return Some(format!("no team {team}"));
    };
    let step = quota::find_unservable(&share.limit, job)?;
    let limit = share.limit;
    Some(format!(
        "step {step} can never run within the limit of {limit}"
    ))
}

/// Combines the outcomes of two attempts at the same write.
const fn merge_receipts(first: Receipt, second: Receipt) -> Receipt {
    match (first, second) {
        (_, Receipt::Stored) | (Receipt::Stored, _) => Receipt::Stored,
        (_, Receipt::Taken) | (Receipt::Taken, _) => Receipt::Taken,
        (Receipt::Unknown, _) | (_, Receipt::Unknown) => Receipt::Unknown,
        (Receipt::Refused, other) => other,
        (first, _) => first,
    }
}

/// Returns whether the value of a job's key is a job of `team`.
fn belongs_to(item: &Item, team: Option<&id::Team>) -> bool {
    let job = serde_json::from_str::<Job>(&item.value);
    job.is_ok_and(|job| job.team.as_ref() == team)
}

/// Sends an answer; a caller that no longer waits for it is ignored.
fn send_answer<T>(reply: oneshot::Sender<T>, answer: T) {
    let _is_gone = reply.send(answer);
}
