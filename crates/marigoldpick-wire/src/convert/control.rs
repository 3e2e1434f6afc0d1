//! Conversion of calls between control threads and of their answers.

use marigoldpick_core::config::Entry;
use marigoldpick_core::control::{Answer, Beat, Call, Endpoint, Known, Led};
use marigoldpick_core::operator::{Explain, Job, Progress, Shard};
use marigoldpick_core::prelude::*;
use marigoldpick_core::worker::Epoch;

use super::{Converted, from_json, list_len, read_name, read_optional_name, read_text, to_json};
use crate::peer_capnp as schema;

/// Writes a call.
pub(crate) fn write_call(call: &Call, mut to: schema::control_call::Builder<'_>) -> Converted<()> {
    match call {
        Call::Beat(beat) => write_beat(beat, to.init_beat())?,
        Call::Entries { after } => to.set_entries(*after),
        Call::Push(entries) => write_entries(entries, to.init_push(list_len(entries)?))?,
        Call::Survey { shard, jobs } => {
            let mut survey = to.init_survey();
            survey.set_shard(shard.as_str());
            survey.set_jobs(&to_json(jobs)?);
        }
        Call::Plan(plan) => to.set_plan(plan.as_str()),
        Call::Explain(task) => to.set_explain(task.to_string()),
        Call::Progress => to.set_progress(()),
        Call::Endpoints(shard) => to.set_endpoints(shard.as_str()),
    }
    Ok(())
}

/// Reads a call.
pub(crate) fn read_call(from: schema::control_call::Reader<'_>) -> Converted<Call> {
    use schema::control_call::Which;
    match from.which()? {
        Which::Beat(beat) => Ok(Call::Beat(read_beat(beat?)?)),
        Which::Entries(after) => Ok(Call::Entries { after }),
        Which::Push(entries) => Ok(Call::Push(read_entries(entries?)?)),
        Which::Survey(survey) => Ok(Call::Survey {
            shard: read_name(survey.get_shard())?,
            jobs: from_json(survey.get_jobs())?,
        }),
        Which::Plan(plan) => Ok(Call::Plan(read_name(plan)?)),
        Which::Explain(task) => Ok(Call::Explain(read_name(task)?)),
        Which::Progress(()) => Ok(Call::Progress),
        Which::Endpoints(shard) => Ok(Call::Endpoints(read_name(shard)?)),
    }
}

/// Writes an answer.
pub(crate) fn write_answer(
    answer: &Answer,
    mut to: schema::control_answer::Builder<'_>,
) -> Converted<()> {
    match answer {
        Answer::Beat(beat) => write_beat(beat, to.init_beat())?,
        Answer::Entries(entries) => write_entries(entries, to.init_entries(list_len(entries)?))?,
        Answer::State(state) => to.set_state(&to_json(state)?),
        Answer::Sequence(sequence) => to.set_sequence(*sequence),
        Answer::Offers(offers) => to.set_offers(offers),
        Answer::Plan(Some(plan)) => to.set_plan(&to_json(plan)?),
        Answer::Plan(None) => to.set_plan(&[]),
        Answer::Explain(explain) => write_explain(explain, to.init_explain())?,
        Answer::Progress(shards) => {
            let mut list = to.init_progress(list_len(shards)?);
            for (at, progress) in (0..).zip(shards) {
                write_progress(progress, list.reborrow().get(at))?;
            }
        }
        Answer::Endpoints {
            epoch,
            version,
            endpoints,
        } => {
            let mut to = to.init_endpoints();
            write_epoch(*epoch, to.reborrow().init_epoch());
            to.set_version(*version);
            let mut list = to.init_endpoints(list_len(endpoints)?);
            for (at, endpoint) in (0..).zip(endpoints) {
                write_endpoint(endpoint, list.reborrow().get(at));
            }
        }
    }
    Ok(())
}

/// Reads an answer.
pub(crate) fn read_answer(from: schema::control_answer::Reader<'_>) -> Converted<Answer> {
    use schema::control_answer::Which;
    match from.which()? {
        Which::Beat(beat) => Ok(Answer::Beat(read_beat(beat?)?)),
        Which::Entries(entries) => Ok(Answer::Entries(read_entries(entries?)?)),
        Which::State(state) => Ok(Answer::State(from_json(state)?)),
        Which::Sequence(sequence) => Ok(Answer::Sequence(sequence)),
        Which::Offers(offers) => Ok(Answer::Offers(read_text(offers)?.to_owned())),
        Which::Plan(plan) => match plan? {
            [] => Ok(Answer::Plan(None)),
            plan => Ok(Answer::Plan(Some(from_json(Ok(plan))?))),
        },
        Which::Explain(explain) => Ok(Answer::Explain(read_explain(explain?)?)),
        Which::Progress(shards) => Ok(Answer::Progress(
            shards?
                .iter()
                .map(read_progress)
                .collect::<Converted<_>>()?,
        )),
        Which::Endpoints(from) => Ok(Answer::Endpoints {
            epoch: read_epoch(from.get_epoch()?),
            version: from.get_version(),
            endpoints: from
                .get_endpoints()?
                .iter()
                .map(read_endpoint)
                .collect::<Converted<_>>()?,
        }),
    }
}

fn write_entries(entries: &[Entry], mut to: capnp::data_list::Builder<'_>) -> Converted<()> {
    for (at, entry) in (0..).zip(entries) {
        to.set(at, &to_json(entry)?);
    }
    Ok(())
}

fn read_entries(from: capnp::data_list::Reader<'_>) -> Converted<Vec<Entry>> {
    from.iter().map(from_json).collect()
}

fn write_epoch(epoch: Epoch, mut to: schema::epoch::Builder<'_>) {
    to.set_tenure(epoch.tenure);
    to.set_interim(epoch.interim);
    to.set_lead(epoch.lead);
}

fn read_epoch(from: schema::epoch::Reader<'_>) -> Epoch {
    Epoch {
        tenure: from.get_tenure(),
        interim: from.get_interim(),
        lead: from.get_lead(),
    }
}

fn write_known(known: &Known, mut to: schema::known::Builder<'_>) {
    to.set_entry(known.entry.as_str());
    to.set_domain(known.domain.as_str());
    to.set_address(&known.address);
}

fn read_known(from: schema::known::Reader<'_>) -> Converted<Known> {
    Ok(Known {
        entry: read_name(from.get_entry())?,
        domain: read_name(from.get_domain())?,
        address: read_text(from.get_address())?.to_owned(),
    })
}

fn write_beat(beat: &Beat, mut to: schema::beat::Builder<'_>) -> Converted<()> {
    write_known(&beat.known, to.reborrow().init_known());
    to.set_incarnation(beat.incarnation);
    to.set_age(beat.age.0);
    to.set_draining(beat.draining);
    to.set_sequence(beat.sequence);
    to.set_store_age(beat.store_age.0);
    let mut list = to.reborrow().init_led(list_len(&beat.led)?);
    for (at, led) in (0..).zip(&beat.led) {
        write_led(led, list.reborrow().get(at));
    }
    let mut list = to.init_others(list_len(&beat.others)?);
    for (at, known) in (0..).zip(&beat.others) {
        write_known(known, list.reborrow().get(at));
    }
    Ok(())
}

fn read_beat(from: schema::beat::Reader<'_>) -> Converted<Beat> {
    Ok(Beat {
        known: read_known(from.get_known()?)?,
        incarnation: from.get_incarnation(),
        age: Millis(from.get_age()),
        draining: from.get_draining(),
        sequence: from.get_sequence(),
        store_age: Millis(from.get_store_age()),
        led: from
            .get_led()?
            .iter()
            .map(read_led)
            .collect::<Converted<_>>()?,
        others: from
            .get_others()?
            .iter()
            .map(read_known)
            .collect::<Converted<_>>()?,
    })
}

fn write_led(led: &Led, mut to: schema::led::Builder<'_>) {
    write_epoch(led.epoch, to.reborrow().init_epoch());
    let shard = &led.shard;
    to.set_shard(shard.shard.as_str());
    to.set_lead(shard.lead.as_ref().map_or("", id::Entry::as_str));
    to.set_workers(shard.workers);
    to.set_silent(shard.silent);
    to.set_running(shard.running);
    to.set_waiting(shard.waiting);
    to.set_unrecorded(shard.unrecorded);
    to.set_endpoints(led.endpoints);
}

fn read_led(from: schema::led::Reader<'_>) -> Converted<Led> {
    Ok(Led {
        epoch: read_epoch(from.get_epoch()?),
        shard: Shard {
            shard: read_name(from.get_shard())?,
            lead: read_optional_name(from.get_lead())?,
            workers: from.get_workers(),
            silent: from.get_silent(),
            running: from.get_running(),
            waiting: from.get_waiting(),
            unrecorded: from.get_unrecorded(),
        },
        endpoints: from.get_endpoints(),
    })
}

fn write_explain(explain: &Explain, mut to: schema::explain::Builder<'_>) -> Converted<()> {
    to.set_task(explain.task.to_string());
    to.set_state(&explain.state);
    to.set_worker(explain.worker.as_ref().map_or("", id::Worker::as_str));
    let mut list = to.init_reasons(list_len(&explain.reasons)?);
    for (at, reason) in (0..).zip(&explain.reasons) {
        list.set(at, reason);
    }
    Ok(())
}

fn read_explain(from: schema::explain::Reader<'_>) -> Converted<Explain> {
    let reason = |reason| Ok(read_text(reason)?.to_owned());
    Ok(Explain {
        task: read_name(from.get_task())?,
        state: read_text(from.get_state())?.to_owned(),
        worker: read_optional_name(from.get_worker())?,
        reasons: from
            .get_reasons()?
            .iter()
            .map(reason)
            .collect::<Converted<_>>()?,
    })
}

fn write_progress(
    progress: &Progress,
    mut to: schema::shard_progress::Builder<'_>,
) -> Converted<()> {
    to.set_shard(progress.shard.as_str());
    write_epoch(progress.epoch, to.reborrow().init_epoch());
    let mut list = to.init_jobs(list_len(&progress.jobs)?);
    for (at, job) in (0..).zip(&progress.jobs) {
        write_job(job, list.reborrow().get(at));
    }
    Ok(())
}

fn read_progress(from: schema::shard_progress::Reader<'_>) -> Converted<Progress> {
    Ok(Progress {
        shard: read_name(from.get_shard())?,
        epoch: read_epoch(from.get_epoch()?),
        jobs: from
            .get_jobs()?
            .iter()
            .map(read_job)
            .collect::<Converted<_>>()?,
    })
}

fn write_job(job: &Job, mut to: schema::progress::Builder<'_>) {
    to.set_job(job.job.as_str());
    to.set_count(job.count);
    to.set_running(job.running);
    to.set_waiting(job.waiting);
    to.set_completed(job.completed);
    to.set_failed(job.failed);
    to.set_cancelled(job.cancelled);
}

fn read_job(from: schema::progress::Reader<'_>) -> Converted<Job> {
    Ok(Job {
        job: read_name(from.get_job())?,
        count: from.get_count(),
        running: from.get_running(),
        waiting: from.get_waiting(),
        completed: from.get_completed(),
        failed: from.get_failed(),
        cancelled: from.get_cancelled(),
    })
}

fn write_endpoint(endpoint: &Endpoint, mut to: schema::endpoint::Builder<'_>) {
    to.set_id(endpoint.id.as_str());
    to.set_service(endpoint.service.as_str());
    to.set_worker(endpoint.worker.as_str());
    to.set_address(&endpoint.address);
    to.set_leaving(endpoint.leaving);
}

fn read_endpoint(from: schema::endpoint::Reader<'_>) -> Converted<Endpoint> {
    Ok(Endpoint {
        id: read_name(from.get_id())?,
        service: read_name(from.get_service())?,
        worker: read_name(from.get_worker())?,
        address: read_text(from.get_address())?.to_owned(),
        leaving: from.get_leaving(),
    })
}
