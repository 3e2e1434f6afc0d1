//! Plans: gathers the surveys of all shards, and holds the plans that are made from them.

use std::collections::VecDeque;

use marigoldpick_core::control::{Answer, Call, Known};
use marigoldpick_core::intent::Intent;
use marigoldpick_core::operator::Problem;
use marigoldpick_core::plan::Plan;
use marigoldpick_core::prelude::*;
use marigoldpick_place::survey::Offer;

use crate::control::io::Io;
use crate::control::message::{Message, Reply};

/// The maximum number of plans that are held for a confirm.
const MAX_HELD_PLANS: usize = 256;
/// How long a plan is held.
const PLAN_LIFETIME: Millis = Millis::from_secs(900);

/// `GatheredSurveys` is an intent with the shards' offers for it.
#[derive(Debug)]
pub struct GatheredSurveys {
    /// The intent.
    pub intent: Intent,
    /// The offers of each shard.
    pub surveys: Vec<(id::Shard, Vec<Offer>)>,
    /// The shards whose leads did not answer.
    pub silent: Vec<id::Shard>,
    /// The channel for the plan, or for the problem.
    pub reply: Requester,
}

/// `Requester` is the operator who waits for the plan.
#[derive(Debug)]
pub enum Requester {
    /// An operator who asked for the plan.
    Plan(Reply<Plan>),
    /// An operator whose confirm was stale; the problem gets the fresh plan's id.
    Stale(Problem, Reply<marigoldpick_core::operator::Accepted>),
}

/// `RemoteSurvey` is a survey to request from another entry.
#[derive(Clone, Debug)]
pub struct RemoteSurvey {
    /// The shard.
    pub shard: id::Shard,
    /// Its lead.
    pub lead: Known,
}

/// Requests the `remote` surveys concurrently and sends them, with `own`, to the control thread.
pub fn gather_surveys(
    io: &Io,
    intent: Intent,
    own: Vec<(id::Shard, Vec<Offer>)>,
    remote: Vec<RemoteSurvey>,
    reply: Requester,
) {
    let asker = io.clone();
    io.spawn(async move {
        let jobs = intent.job.clone();
        let asked = remote.into_iter().map(|survey| {
            let call = Call::Survey {
                shard: survey.shard.clone(),
                jobs: jobs.clone(),
            };
            let asker = asker.clone();
            async move { (survey.shard, asker.request_survey(&survey.lead, call).await) }
        });
        let answers = futures::future::join_all(asked).await;
        let mut surveys = own;
        let mut silent = Vec::new();
        for (shard, answer) in answers {
            match offers(answer) {
                Ok(offers) => surveys.push((shard, offers)),
                Err(code) => {
                    log::info!(target: "place", "A shard did not answer the survey; shard={shard} code={}.", code.number());
                    silent.push(shard);
                }
            }
        }
        surveys.sort_by(|a, b| a.0.cmp(&b.0));
        Message::SurveysGathered(Box::new(GatheredSurveys {
            intent,
            surveys,
            silent,
            reply,
        }))
    });
}

fn offers(answer: Result<Answer, Code>) -> Result<Vec<Offer>, Code> {
    match answer? {
        Answer::Offers(text) => serde_json::from_str(&text).map_err(|_source| Code::BadRequest),
        _ => Err(Code::BadRequest),
    }
}

/// `Plans` holds the plans that were made here and may still be confirmed.
#[derive(Debug, Default)]
pub struct Plans {
    held: VecDeque<(Millis, Plan)>,
}

impl Plans {
    /// Holds a plan; the oldest is removed if there are too many.
    pub fn hold(&mut self, plan: Plan, now: Millis) {
        self.held
            .retain(|(at, held)| now.since(*at) < PLAN_LIFETIME && held.id != plan.id);
        if self.held.len() >= MAX_HELD_PLANS {
            self.held.pop_front();
        }
        self.held.push_back((now, plan));
    }

    /// Returns a held plan that has not expired.
    #[must_use]
    pub fn get(&self, id: &id::Plan, now: Millis) -> Option<&Plan> {
        let held = self
            .held
            .iter()
            .find(|(at, plan)| now.since(*at) < PLAN_LIFETIME && plan.id == *id);
        held.map(|(_, plan)| plan)
    }
}
