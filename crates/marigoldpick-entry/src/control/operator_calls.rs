//! Operators' calls: plan, confirm, cancel, status and explain.

use async_channel::Sender;
use marigoldpick_core::config::Change;
use marigoldpick_core::control::{Answer, Call, Known};
use marigoldpick_core::intent::{self, Intent};
use marigoldpick_core::operator::{Accepted, Explain, PlanRequest, Problem, Status};
use marigoldpick_core::plan::Plan;
use marigoldpick_core::prelude::*;
use marigoldpick_place::planner;
use marigoldpick_shard::shards;

use crate::control::Control;
use crate::control::local_shard::LocalShard;
use crate::control::message::{Message, Reply};
use crate::control::planning::{self, GatheredSurveys, RemoteSurvey, Requester};
use crate::recorder::{Cause, Note};

/// The retry delay that operators are given while a shard has no lead or the store is unavailable.
const RETRY_AFTER: Millis = Millis(2_000);
/// The timeout for a peer's answer about a plan, a task or progress.
const PEER_TIMEOUT: Millis = Millis(1_000);

/// `Ticket` is a proposed change whose result is pending.
#[derive(Debug)]
pub struct Ticket {
    /// The number of the event that recorded the proposal.
    pub number: u64,
    /// The plan, if the change confirms one.
    pub plan: Option<Box<Plan>>,
    /// The channel for the answer; `None` for the entry's own changes.
    pub reply: Option<Reply<Accepted>>,
}

impl Control {
    pub(super) fn plan(&mut self, ask: &PlanRequest, reply: Reply<Plan>) {
        match Intent::parse(&ask.file, &ask.text) {
            Ok(intent) => self.survey_all(intent, Requester::Plan(reply)),
            Err(error) => answer(&reply, Err(Problem::new(error.code, error.to_string()))),
        }
    }

    /// Requests a survey of all shards, or refuses if not all needed ones can be surveyed.
    fn survey_all(&mut self, intent: Intent, reply: Requester) {
        if self.is_config_old() {
            let mut problem = Problem::new(Code::ConfigOld, "");
            problem.retry_after_ms = Some(RETRY_AFTER);
            refuse(reply, problem);
            return;
        }
        let now = self.now();
        let needed = self.needed_shards(&intent.job);
        let unready =
            |local: &&LocalShard| needed.contains(local.shard()) && !self.is_ready(local, now);
        if let Some(local) = self.shards.iter().find(unready) {
            return refuse(
                reply,
                no_lead_problem(local.shard(), "does not know its workers yet"),
            );
        }
        let own = self.survey_own_shards(&intent.job);
        let remote = self.remote_surveys();
        let asked = remote.iter().map(|survey| &survey.shard);
        let led: Vec<&id::Shard> = own.iter().map(|(shard, _)| shard).chain(asked).collect();
        if let Some(shard) = needed.iter().find(|shard| !led.contains(shard)) {
            return refuse(
                reply,
                no_lead_problem(shard, "has no lead that this entry knows"),
            );
        }
        planning::gather_surveys(&self.io, intent, own, remote, reply);
    }

    /// Returns the shards that have to be surveyed for a plan.
    ///
    /// These are all shards of the failure domains that the jobs may use. A plan without one of them
    /// would put its share of the tasks on the others. A failure domain of which no entry is heard counts
    /// as unavailable and is left out, except shortly after this entry's start.
    fn needed_shards(&self, jobs: &[intent::Job]) -> Vec<id::Shard> {
        let ownership = &self.setup.settings.ownership;
        let may_use = |domain: &id::Domain| {
            let allows = |job: &intent::Job| {
                job.place.domains.is_empty() || job.place.domains.contains(domain)
            };
            jobs.iter().any(allows)
        };
        let domains = self.peers.counted_domains(self.now()).into_iter();
        domains
            .filter(may_use)
            .flat_map(|domain| shards::all(ownership, &domain))
            .collect()
    }

    /// Returns the surveys to request from the leads of shards that other entries lead.
    fn remote_surveys(&self) -> Vec<RemoteSurvey> {
        let leads = self.peers.leads();
        leads
            .map(|(shard, lead)| RemoteSurvey {
                shard: shard.clone(),
                lead: lead.clone(),
            })
            .collect()
    }

    pub(super) fn handle_surveys(&mut self, surveyed: GatheredSurveys) {
        let GatheredSurveys {
            intent,
            surveys,
            silent,
            reply,
        } = surveyed;
        let needed = self.needed_shards(&intent.job);
        if let Some(shard) = silent.iter().find(|shard| needed.contains(shard)) {
            return refuse(reply, no_lead_problem(shard, "did not answer the survey"));
        }
        if surveys.is_empty() && !intent.job.is_empty() {
            let mut problem = Problem::new(Code::NoLead, "no shard answered the survey");
            problem.retry_after_ms = Some(RETRY_AFTER);
            return refuse(reply, problem);
        }
        let plan = planner::plan(self.config.state(), intent, &surveys);
        let note = Note::new(
            "place",
            "plan-made",
            &plan.id,
            format!("base={}", plan.base),
        );
        let made = self.setup.recorder.record(self.now(), note);
        let held = Plan {
            made: Some(made),
            ..plan.clone()
        };
        self.plans.hold(held, self.now());
        match reply {
            Requester::Plan(reply) => answer(&reply, Ok(plan)),
            Requester::Stale(mut problem, reply) => {
                problem.plan = Some(plan.id);
                answer(&reply, Err(problem));
            }
        }
    }

    pub(super) fn confirm(&mut self, id: &id::Plan, reply: Reply<Accepted>) {
        if let Some(sequence) = self.config.state().confirmed(id) {
            answer(&reply, Ok(Accepted { sequence }));
            return;
        }
        match self.plans.get(id, self.now()) {
            Some(plan) => {
                let plan = Box::new(plan.clone());
                self.confirm_plan(plan, reply);
            }
            None => self.fetch_plan(id.clone(), reply),
        }
    }

    /// Asks the peers for a plan, since the load balancer may send the confirm to another entry.
    fn fetch_plan(&mut self, id: id::Plan, reply: Reply<Accepted>) {
        let peers: Vec<Known> = self.peers.alive().cloned().collect();
        let io = self.io.clone();
        self.io.spawn(async move {
            let asked = peers
                .iter()
                .map(|peer| io.call_peer(peer, Call::Plan(id.clone()), PEER_TIMEOUT));
            let answers = futures::future::join_all(asked).await;
            let plan = answers.into_iter().find_map(|answer| match answer {
                Ok(Answer::Plan(plan)) => plan,
                _ => None,
            });
            Message::PlanFetched { plan, reply }
        });
    }

    pub(super) fn handle_fetched_plan(&mut self, plan: Option<Box<Plan>>, reply: Reply<Accepted>) {
        match plan {
            Some(plan) => self.confirm_plan(plan, reply),
            None => answer(&reply, Err(Problem::new(Code::UnknownPlan, ""))),
        }
    }

    fn confirm_plan(&mut self, mut plan: Box<Plan>, reply: Reply<Accepted>) {
        if let Some(code) = plan.blocked {
            answer(&reply, Err(Problem::new(code, plan.reason)));
            return;
        }
        // The log stores the event of the confirm, which has the plan's event as its cause.
        let cause = plan.made.take().map_or(Cause::None, Cause::Mark);
        let change = Change::Confirm(plan.clone());
        self.propose(change, cause, Some(plan), Some(reply));
    }

    pub(super) fn cancel(&mut self, jobs: Vec<id::Job>, reply: Reply<Accepted>) {
        if jobs.is_empty() {
            answer(
                &reply,
                Err(Problem::new(Code::BadValue, "jobs: must not be empty")),
            );
            return;
        }
        let state = self.config.state();
        if let Some(unknown) = jobs.iter().find(|job| state.job(job).is_none()) {
            let message = format!("no job '{unknown}' that has not ended");
            answer(&reply, Err(Problem::new(Code::UnknownTask, message)));
            return;
        }
        self.propose(Change::Cancel { jobs }, Cause::None, None, Some(reply));
    }

    /// Answers the operator who waits for the result of a proposed change.
    pub(super) fn handle_decision(&mut self, number: u64, result: Result<u64, Code>) {
        let Ok(at) = self
            .tickets
            .binary_search_by_key(&number, |ticket| ticket.number)
        else {
            return;
        };
        let Ticket { plan, reply, .. } = self.tickets.remove(at);
        let Some(reply) = reply else { return };
        match (result, plan) {
            (Ok(sequence), _) => answer(&reply, Ok(Accepted { sequence })),
            (Err(Code::Stale), Some(plan)) => {
                let details = format!("{}; a fresh plan was made", Code::Stale.text());
                let problem = Problem::new(Code::Stale, details);
                self.survey_all(plan.intent, Requester::Stale(problem, reply));
            }
            // Another operator started or ended the same drain first.
            (Err(Code::Stale), None) => answer(&reply, Err(Problem::new(Code::NoChange, ""))),
            (Err(code), _) => {
                let mut problem = Problem::new(code, "");
                let retryable = matches!(code, Code::NotAccepted | Code::AcceptUnknown);
                problem.retry_after_ms = retryable.then_some(RETRY_AFTER);
                answer(&reply, Err(problem));
            }
        }
    }

    pub(super) fn explain(&mut self, task: id::Task, reply: Reply<Explain>) {
        if let Some(explained) = self.explain_locally(&task) {
            answer(&reply, Ok(explained));
            return;
        }
        let home = self.home_shard(&task);
        let lead = self
            .peers
            .leads()
            .find(|(shard, _)| Some(*shard) == home.as_ref());
        match lead.map(|(_, lead)| lead.clone()) {
            Some(lead) => self.explain_remotely(lead, task, reply),
            None => answer(&reply, Err(self.explain_without_lead(&task, home.as_ref()))),
        }
    }

    fn explain_remotely(&mut self, lead: Known, task: id::Task, reply: Reply<Explain>) {
        let io = self.io.clone();
        async_std::task::spawn_local(async move {
            let explained = match io.call_peer(&lead, Call::Explain(task), PEER_TIMEOUT).await {
                Ok(Answer::Explain(explained)) => Ok(explained),
                Ok(_) => Err(Problem::new(Code::BadRequest, "")),
                Err(code) => Err(Problem::new(code, "")),
            };
            answer(&reply, explained);
        });
    }

    /// Returns the shard that the configuration assigns a task to.
    pub(super) fn home_shard(&self, task: &id::Task) -> Option<id::Shard> {
        let accepted = self.config.state().job(&task.job)?;
        let holds = |from: u32, to: u32| (from..to).contains(&task.index);
        let home = accepted.homes.iter().find(|home| holds(home.from, home.to));
        home.map(|home| home.shard.clone())
    }

    fn explain_without_lead(&self, task: &id::Task, home: Option<&id::Shard>) -> Problem {
        match home {
            Some(shard) => {
                let message = format!("shard {shard} has no lead that this entry knows");
                let mut problem = Problem::new(Code::NoLead, message);
                problem.retry_after_ms = Some(RETRY_AFTER);
                problem
            }
            None => Problem::new(
                Code::UnknownTask,
                format!("no task '{task}' that has not ended"),
            ),
        }
    }

    pub(super) fn status(&mut self, reply: Reply<Status>) {
        let mut status = self.build_status();
        let mut progress = self.progress();
        let state = self.config.state();
        let accepted: Vec<_> = state.jobs.iter().chain(&state.ended).cloned().collect();
        let leads: Vec<Known> = self.peers.leads().map(|(_, lead)| lead.clone()).collect();
        let io = self.io.clone();
        async_std::task::spawn_local(async move {
            let asked = leads
                .iter()
                .map(|lead| io.call_peer(lead, Call::Progress, PEER_TIMEOUT));
            let answers = futures::future::join_all(asked).await;
            for (lead, answer) in leads.iter().zip(answers) {
                match answer {
                    Ok(Answer::Progress(more)) => progress.extend(more),
                    // `Status::partial` names the jobs whose counts lack this lead's share.
                    Ok(_) => log_missing_progress(lead, Code::BadRequest),
                    Err(code) => log_missing_progress(lead, code),
                }
            }
            status.add(accepted.iter().map(AsRef::as_ref), progress);
            answer(&reply, Ok(status));
        });
    }
}

fn log_missing_progress(lead: &Known, code: Code) {
    log::info!(target: "entry", "A lead did not report job progress; entry={} code={}.", lead.entry, code.number());
}

/// Returns the problem of a plan that lacks the survey of a shard; `how` says why.
fn no_lead_problem(shard: &id::Shard, how: &str) -> Problem {
    let message = format!("shard {shard} {how}; a plan without it would use the others alone");
    let mut problem = Problem::new(Code::NoLead, message);
    problem.retry_after_ms = Some(RETRY_AFTER);
    problem
}

/// Answers that no plan was made.
fn refuse(reply: Requester, problem: Problem) {
    match reply {
        Requester::Plan(reply) => answer(&reply, Err(problem)),
        // The confirm is stale whether or not a fresh plan could be made.
        Requester::Stale(stale, reply) => answer(&reply, Err(stale)),
    }
}

/// Sends an answer; a receiver that no longer waits is not an error.
pub(super) fn answer<T>(reply: &Sender<T>, outcome: T) {
    drop(reply.try_send(outcome));
}
