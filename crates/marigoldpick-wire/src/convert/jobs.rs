//! Conversion of calls about jobs of steps and of their answers.

use std::sync::Arc;

use marigoldpick_core::prelude::*;
use marigoldpick_core::work::peer::{Answer, Call, Confirmation, Receipt};
use marigoldpick_core::work::port::{Advice, Ticket};
use marigoldpick_core::work::{Access, Part, Phase};

use super::{
    Converted, Malformed, from_json, list_len, read_name, read_optional_name, read_text, to_json,
};
use crate::peer_capnp as schema;

/// Writes a call.
pub(crate) fn write_call(call: &Call, mut to: schema::jobs_call::Builder<'_>) -> Converted<()> {
    match call {
        Call::Advise {
            part,
            workers,
            limit,
        } => {
            let mut to = to.init_advise();
            to.set_job(part.job.as_str());
            to.set_occurrence(part.occurrence);
            to.set_step(part.step);
            to.set_limit(limit.0);
            let mut list = to.init_workers(list_len(workers)?);
            for (at, worker) in (0..).zip(workers) {
                list.set(at, worker.as_str());
            }
        }
        Call::Phase { job, access } => {
            write_access(access, to.reborrow());
            to.set_phase(job.as_str());
        }
        Call::Waiting(queue) => to.set_waiting(queue.as_str()),
        Call::Submit { job, spec } => {
            let mut to = to.init_submit();
            to.set_job(job.as_str());
            to.set_spec(&to_json(&**spec)?);
        }
        Call::Cancel { job, access } => {
            write_access(access, to.reborrow());
            to.set_cancel(job.as_str());
        }
        Call::Ping => to.set_ping(()),
        Call::Succeed => to.set_succeed(()),
        Call::Yield { holder } => to.set_yield(holder),
        Call::Relay(batch) => to.set_relay(&to_json(batch)?),
        Call::Load => to.set_load(()),
        Call::Explain(job) => to.set_explain(&to_json(&**job)?),
    }
    Ok(())
}

fn write_access(access: &Access, mut to: schema::jobs_call::Builder<'_>) {
    if let Some(team) = &access.team {
        to.set_team(team.as_str());
    }
    if let Some(queue) = &access.open_queue {
        to.set_open_queue(queue.as_str());
    }
}

/// Reads a call.
pub(crate) fn read_call(from: schema::jobs_call::Reader<'_>) -> Converted<Call> {
    use schema::jobs_call::Which;
    let read_access = || {
        Ok::<_, Malformed>(Access {
            team: read_optional_name(from.get_team())?,
            open_queue: read_optional_name(from.get_open_queue())?,
        })
    };
    Ok(match from.which()? {
        Which::Advise(from) => {
            let workers = from.get_workers()?.iter();
            Call::Advise {
                part: Part {
                    job: read_name(from.get_job())?,
                    occurrence: from.get_occurrence(),
                    step: from.get_step(),
                },
                workers: workers.map(read_name).collect::<Converted<_>>()?,
                limit: Millis(from.get_limit()),
            }
        }
        Which::Phase(job) => Call::Phase {
            job: read_name(job)?,
            access: read_access()?,
        },
        Which::Waiting(queue) => Call::Waiting(read_name(queue)?),
        Which::Submit(from) => Call::Submit {
            job: read_name(from.get_job())?,
            spec: Arc::new(from_json(from.get_spec())?),
        },
        Which::Cancel(job) => Call::Cancel {
            job: read_name(job)?,
            access: read_access()?,
        },
        Which::Ping(()) => Call::Ping,
        Which::Succeed(()) => Call::Succeed,
        Which::Yield(holder) => Call::Yield {
            holder: read_text(holder)?.to_owned(),
        },
        Which::Relay(batch) => Call::Relay(from_json(batch)?),
        Which::Load(()) => Call::Load,
        Which::Explain(job) => Call::Explain(Arc::new(from_json(job)?)),
    })
}

/// Writes an answer.
pub(crate) fn write_answer(
    answer: &Answer,
    mut to: schema::jobs_answer::Builder<'_>,
) -> Converted<()> {
    match answer {
        Answer::Advice(advice) => {
            let mut to = to.init_advice();
            to.set_valid(advice.valid.0);
            let mut list = to.init_good(list_len(&advice.good)?);
            for (at, ticket) in (0..).zip(&advice.good) {
                let mut to = list.reborrow().get(at);
                to.set_worker(ticket.worker.as_str());
                to.set_ticket(&ticket.ticket);
            }
        }
        Answer::Busy => to.set_busy(()),
        Answer::Phase(phase) => to.set_phase(match phase {
            None => schema::JobPhase::Unknown,
            Some(Phase::Queued) => schema::JobPhase::Queued,
            Some(Phase::Running) => schema::JobPhase::Running,
            Some(Phase::Completed) => schema::JobPhase::Completed,
            Some(Phase::Failed) => schema::JobPhase::Failed,
            Some(Phase::Cancelled) => schema::JobPhase::Cancelled,
        }),
        Answer::Waiting(jobs) => to.set_waiting(*jobs),
        Answer::Receipt(Receipt::Rejected { after }) => to.set_rejected(after.0),
        Answer::Receipt(receipt) => to.set_receipt(match receipt {
            Receipt::Stored => schema::JobReceipt::Stored,
            Receipt::Absent => schema::JobReceipt::Absent,
            Receipt::Taken => schema::JobReceipt::Taken,
            Receipt::Refused => schema::JobReceipt::Refused,
            // The arm above carries rejections with their delay.
            Receipt::Rejected { .. } | Receipt::Unknown => schema::JobReceipt::Unknown,
        }),
        Answer::Relayed(outcomes) => to.set_relayed(&to_json(outcomes)?),
        Answer::Load(summary) => to.set_load(&to_json(summary)?),
        Answer::Placement(None) => to.set_placement(&[]),
        Answer::Placement(Some(placement)) => to.set_placement(&to_json(placement)?),
        Answer::Leases(None) => to.set_leases(&[]),
        Answer::Leases(Some(handover)) => to.set_leases(&to_json(handover)?),
        Answer::Pong {
            term,
            store,
            steady,
            config,
        } => {
            let mut to = to.init_pong();
            to.set_term(*term);
            to.set_store(*store);
            to.set_steady(steady.0);
            to.set_config(config.version);
            to.set_config_age(config.age.0);
        }
    }
    Ok(())
}

/// Reads an answer.
pub(crate) fn read_answer(from: schema::jobs_answer::Reader<'_>) -> Converted<Answer> {
    use schema::jobs_answer::Which;
    Ok(match from.which()? {
        Which::Advice(from) => {
            let good = from.get_good()?.iter().map(|from| {
                Ok(Ticket {
                    worker: read_name(from.get_worker())?,
                    ticket: read_text(from.get_ticket())?.to_owned(),
                })
            });
            Answer::Advice(Advice {
                good: good.collect::<Converted<_>>()?,
                valid: Millis(from.get_valid()),
            })
        }
        Which::Busy(()) => Answer::Busy,
        Which::Phase(phase) => Answer::Phase(match phase? {
            schema::JobPhase::Unknown => None,
            schema::JobPhase::Queued => Some(Phase::Queued),
            schema::JobPhase::Running => Some(Phase::Running),
            schema::JobPhase::Completed => Some(Phase::Completed),
            schema::JobPhase::Failed => Some(Phase::Failed),
            schema::JobPhase::Cancelled => Some(Phase::Cancelled),
        }),
        Which::Waiting(jobs) => Answer::Waiting(jobs),
        Which::Receipt(receipt) => Answer::Receipt(match receipt? {
            schema::JobReceipt::Stored => Receipt::Stored,
            schema::JobReceipt::Absent => Receipt::Absent,
            schema::JobReceipt::Taken => Receipt::Taken,
            schema::JobReceipt::Refused => Receipt::Refused,
            schema::JobReceipt::Unknown => Receipt::Unknown,
        }),
        Which::Relayed(outcomes) => Answer::Relayed(from_json(outcomes)?),
        Which::Load(summary) => Answer::Load(from_json(summary)?),
        Which::Rejected(after) => Answer::Receipt(Receipt::Rejected {
            after: Millis(after),
        }),
        Which::Placement(placement) => Answer::Placement(match placement? {
            [] => None,
            text => from_json(Ok(text))?,
        }),
        Which::Leases(handover) => Answer::Leases(match handover? {
            [] => None,
            text => from_json(Ok(text))?,
        }),
        Which::Pong(from) => Answer::Pong {
            term: from.get_term(),
            store: from.get_store(),
            steady: Millis(from.get_steady()),
            config: Confirmation {
                version: from.get_config(),
                age: Millis(from.get_config_age()),
            },
        },
    })
}
