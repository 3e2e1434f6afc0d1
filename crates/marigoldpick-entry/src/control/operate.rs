//! Operators' calls: plan, confirm, cancel, drain, status, explain.

use async_channel::Sender;
use marigoldpick_core::config::Change;
use marigoldpick_core::control::{Answer, Call, Known};
use marigoldpick_core::intent::{self, Intent};
use marigoldpick_core::operator::{Accepted, Ask, Explain, Problem, Status};
use marigoldpick_core::plan::Plan;
use marigoldpick_core::prelude::*;
use marigoldpick_place::planner;
use marigoldpick_shard::shards;

use crate::control::Control;
use crate::control::local::Local;
use crate::control::message::{Message, Reply};
use crate::control::planning::{self, Answering, Question, Surveyed};
use crate::recorder::{Cause, Note};

/// When to ask again while a shard has no lead or the store is away.
const LATER: Millis = Millis(2_000);
/// The longest wait for another entry's word on a plan or a task.
const ASK: Millis = Millis(1_000);

/// `Ticket` is a proposed change that an operator waits for.
#[derive(Debug)]
pub struct Ticket {
    /// The proposal's number.
    pub number: u64,
    /// The plan, when the change confirms one.
    pub plan: Option<Box<Plan>>,
    /// Where the answer goes; none for the entry's own changes.
    pub reply: Option<Reply<Accepted>>,
}

impl Control {
    pub(super) fn plan(&mut self, ask: &Ask, reply: Reply<Plan>) {
        match Intent::parse(&ask.file, &ask.text) {
            Ok(intent) => self.survey_all(intent, Answering::Plan(reply)),
            Err(error) => answer(&reply, Err(Problem::new(error.code, error.to_string()))),
        }
    }

    fn survey_all(&mut self, intent: Intent, reply: Answering) {
        if self.config_old() {
            let mut problem = Problem::new(Code::ConfigOld, "");
            problem.retry_after_ms = Some(LATER);
            refuse(reply, problem);
            return;
        }
        let now = self.now();
        let needed = self.needed_shards(&intent.job);
        let unready = |local: &&Local| needed.contains(local.shard()) && !self.is_ready(local, now);
        if let Some(local) = self.shards.iter().find(unready) {
            return refuse(reply, unled(local.shard(), "does not know its workers yet"));
        }
        let own = self.own_offers(&intent.job);
        let questions = self.questions();
        let asked = questions.iter().map(|question| &question.shard);
        let led: Vec<&id::Shard> = own.iter().map(|(shard, _)| shard).chain(asked).collect();
        if let Some(shard) = needed.iter().find(|shard| !led.contains(shard)) {
            return refuse(reply, unled(shard, "has no lead that this entry knows"));
        }
        planning::gather(&self.io, intent, own, questions, reply);
    }

    /// Returns the shards that have to be asked about jobs: all those of the failure domains that the
    /// jobs may use. A plan without one of them would put its share on the others.
    ///
    /// A failure domain whose entries are all silent counts as away, and is done without.
    fn needed_shards(&self, jobs: &[intent::Job]) -> Vec<id::Shard> {
        let ownership = &self.start.settings.ownership;
        let may_use = |domain: &id::Domain| {
            let allows = |job: &intent::Job| {
                job.place.domains.is_empty() || job.place.domains.contains(domain)
            };
            jobs.iter().any(allows)
        };
        let domains = self.peers.domains(self.now()).into_iter();
        domains
            .filter(may_use)
            .flat_map(|domain| shards::all(ownership, &domain))
            .collect()
    }

    fn questions(&self) -> Vec<Question> {
        let leads = self.peers.leads();
        leads
            .map(|(shard, lead)| Question {
                shard: shard.clone(),
                lead: lead.clone(),
            })
            .collect()
    }

    pub(super) fn surveyed(&mut self, surveyed: Surveyed) {
        let Surveyed {
            intent,
            surveys,
            silent,
            reply,
        } = surveyed;
        let needed = self.needed_shards(&intent.job);
        if let Some(shard) = silent.iter().find(|shard| needed.contains(shard)) {
            return refuse(reply, unled(shard, "did not answer the survey"));
        }
        if surveys.is_empty() && !intent.job.is_empty() {
            let mut problem = Problem::new(Code::NoLead, "no shard answered the survey");
            problem.retry_after_ms = Some(LATER);
            return refuse(reply, problem);
        }
        let plan = planner::plan(self.config.state(), intent, &surveys);
        let note = Note::new(
            "place",
            "plan-made",
            &plan.id,
            format!("base={}", plan.base),
        );
        let made = self.start.recorder.record(self.now(), note);
        let held = Plan {
            made: Some(made),
            ..plan.clone()
        };
        self.plans.hold(held, self.now());
        match reply {
            Answering::Plan(reply) => answer(&reply, Ok(plan)),
            Answering::Stale(mut problem, reply) => {
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

    /// Asks the other entries for a plan, since the balancer may lead a confirm to any of them.
    fn fetch_plan(&mut self, id: id::Plan, reply: Reply<Accepted>) {
        let peers: Vec<Known> = self.peers.alive().cloned().collect();
        let io = self.io.clone();
        self.io.send(async move {
            let asked = peers
                .iter()
                .map(|peer| io.ask(peer, Call::Plan(id.clone()), ASK));
            let answers = futures::future::join_all(asked).await;
            let plan = answers.into_iter().find_map(|answer| match answer {
                Ok(Answer::Plan(plan)) => plan,
                _ => None,
            });
            Message::Fetched { plan, reply }
        });
    }

    pub(super) fn fetched(&mut self, plan: Option<Box<Plan>>, reply: Reply<Accepted>) {
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
        // The log needs no more of it than the confirm's own event.
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

    /// The result of a proposed change has come.
    pub(super) fn decided(&mut self, number: u64, result: Result<u64, Code>) {
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
                self.survey_all(plan.intent, Answering::Stale(problem, reply));
            }
            // Another operator's drain came first.
            (Err(Code::Stale), None) => answer(&reply, Err(Problem::new(Code::NoChange, ""))),
            (Err(code), _) => {
                let mut problem = Problem::new(code, "");
                let later = matches!(code, Code::NotAccepted | Code::AcceptUnknown);
                problem.retry_after_ms = later.then_some(LATER);
                answer(&reply, Err(problem));
            }
        }
    }

    pub(super) fn explain(&mut self, task: id::Task, reply: Reply<Explain>) {
        if let Some(explained) = self.explain_here(&task) {
            answer(&reply, Ok(explained));
            return;
        }
        let home = self.home(&task);
        let lead = self
            .peers
            .leads()
            .find(|(shard, _)| Some(*shard) == home.as_ref());
        match lead.map(|(_, lead)| lead.clone()) {
            Some(lead) => self.explain_there(lead, task, reply),
            None => answer(&reply, Err(self.explain_without_lead(&task, home.as_ref()))),
        }
    }

    fn explain_there(&mut self, lead: Known, task: id::Task, reply: Reply<Explain>) {
        let io = self.io.clone();
        async_std::task::spawn_local(async move {
            let explained = match io.ask(&lead, Call::Explain(task), ASK).await {
                Ok(Answer::Explain(explained)) => Ok(explained),
                Ok(_) => Err(Problem::new(Code::BadRequest, "")),
                Err(code) => Err(Problem::new(code, "")),
            };
            answer(&reply, explained);
        });
    }

    /// Returns the shard that is responsible for a task.
    pub(super) fn home(&self, task: &id::Task) -> Option<id::Shard> {
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
                problem.retry_after_ms = Some(LATER);
                problem
            }
            None => Problem::new(
                Code::UnknownTask,
                format!("no task '{task}' that has not ended"),
            ),
        }
    }

    pub(super) fn status(&mut self, reply: Reply<Status>) {
        let mut status = self.own_status();
        let mut told = self.progress();
        let state = self.config.state();
        let accepted: Vec<_> = state.jobs.iter().chain(&state.ended).cloned().collect();
        let leads: Vec<Known> = self.peers.leads().map(|(_, lead)| lead.clone()).collect();
        let io = self.io.clone();
        async_std::task::spawn_local(async move {
            let asked = leads.iter().map(|lead| io.ask(lead, Call::Progress, ASK));
            let answers = futures::future::join_all(asked).await;
            for (lead, answer) in leads.iter().zip(answers) {
                match answer {
                    Ok(Answer::Progress(more)) => told.extend(more),
                    // The status names the jobs that lack this lead's part.
                    Ok(_) => not_told(lead, Code::BadRequest),
                    Err(code) => not_told(lead, code),
                }
            }
            status.add(accepted.iter().map(AsRef::as_ref), told);
            answer(&reply, Ok(status));
        });
    }
}

fn not_told(lead: &Known, code: Code) {
    log::info!(target: "entry", "No progress from a lead; entry={} code={}.", lead.entry, code.number());
}

fn unled(shard: &id::Shard, how: &str) -> Problem {
    let message = format!("shard {shard} {how}; a plan without it would use the others alone");
    let mut problem = Problem::new(Code::NoLead, message);
    problem.retry_after_ms = Some(LATER);
    problem
}

fn refuse(reply: Answering, problem: Problem) {
    match reply {
        Answering::Plan(reply) => answer(&reply, Err(problem)),
        // The confirm was stale; that stays true without a fresh plan.
        Answering::Stale(stale, reply) => answer(&reply, Err(stale)),
    }
}

/// Answers; somebody who no longer waits is no fault.
pub(super) fn answer<T>(reply: &Sender<T>, outcome: T) {
    drop(reply.try_send(outcome));
}
