//! Conversion of calls between traffic threads and of their answers.

use marigoldpick_core::peer::{
    Answer, Call, Class, Demand, Forward, Forwarded, Grant, Lease, Once, Outcome, Record, State,
    Step, Want,
};
use marigoldpick_core::prelude::*;

use super::{Converted, list_len, read_code, read_name, read_text};
use crate::peer_capnp as schema;

/// The value in the schema that stands for no advised retry.
const NO_RETRY: u64 = u64::MAX;

/// Writes a call.
pub(crate) fn write_call(call: &Call, to: schema::traffic_call::Builder<'_>) -> Converted<()> {
    match call {
        Call::Demand(demand) => write_demand(demand, to.init_demand()),
        Call::Once(once) => {
            write_once(once, to.init_once());
            Ok(())
        }
        Call::Forward(forward) => {
            write_forward(forward, to.init_forward());
            Ok(())
        }
    }
}

/// Reads a call.
pub(crate) fn read_call(from: schema::traffic_call::Reader<'_>) -> Converted<Call> {
    use schema::traffic_call::Which;
    match from.which()? {
        Which::Demand(demand) => Ok(Call::Demand(read_demand(demand?)?)),
        Which::Once(once) => Ok(Call::Once(read_once(once?)?)),
        Which::Forward(forward) => Ok(Call::Forward(Box::new(read_forward(forward?)?))),
    }
}

/// Writes an answer.
pub(crate) fn write_answer(
    answer: &Answer,
    mut to: schema::traffic_answer::Builder<'_>,
) -> Converted<()> {
    match answer {
        Answer::Grant(grant) => write_grant(grant, to.init_grant())?,
        Answer::Record(record) => write_record(record, to.init_record()),
        Answer::Forward(forwarded) => write_forwarded(forwarded, to.init_forward()),
        Answer::Refused(code) => to.set_refused(code.number()),
    }
    Ok(())
}

/// Reads an answer.
pub(crate) fn read_answer(from: schema::traffic_answer::Reader<'_>) -> Converted<Answer> {
    use schema::traffic_answer::Which;
    match from.which()? {
        Which::Grant(grant) => Ok(Answer::Grant(read_grant(grant?)?)),
        Which::Record(record) => Ok(Answer::Record(read_record(record?)?)),
        Which::Forward(from) => Ok(Answer::Forward(Box::new(read_forwarded(from?)?))),
        Which::Refused(number) => Ok(Answer::Refused(read_code(number)?)),
    }
}

fn write_demand(demand: &Demand, mut to: schema::demand::Builder<'_>) -> Converted<()> {
    to.set_entry(demand.entry.as_str());
    to.set_incarnation(demand.incarnation);
    to.set_sequence(demand.sequence);
    to.set_whole(demand.whole);
    let mut list = to.init_wants(list_len(&demand.wants)?);
    for (at, want) in (0..).zip(&demand.wants) {
        let mut to = list.reborrow().get(at);
        to.set_endpoint(want.endpoint.as_str());
        to.set_held(want.held);
        to.set_used(want.used);
        to.set_want(want.want);
        to.set_cover(want.cover.0);
    }
    Ok(())
}

fn read_demand(from: schema::demand::Reader<'_>) -> Converted<Demand> {
    Ok(Demand {
        entry: read_name(from.get_entry())?,
        incarnation: from.get_incarnation(),
        sequence: from.get_sequence(),
        whole: from.get_whole(),
        wants: from
            .get_wants()?
            .iter()
            .map(read_want)
            .collect::<Converted<_>>()?,
    })
}

fn read_want(from: schema::want::Reader<'_>) -> Converted<Want> {
    Ok(Want {
        endpoint: read_name(from.get_endpoint())?,
        held: from.get_held(),
        used: from.get_used(),
        want: from.get_want(),
        cover: Millis(from.get_cover()),
    })
}

fn write_grant(grant: &Grant, mut to: schema::grant::Builder<'_>) -> Converted<()> {
    to.set_resend(grant.resend);
    to.set_span(grant.span.0);
    let mut list = to.init_leases(list_len(&grant.leases)?);
    for (at, lease) in (0..).zip(&grant.leases) {
        let mut to = list.reborrow().get(at);
        to.set_endpoint(lease.endpoint.as_str());
        to.set_slots(lease.slots);
    }
    Ok(())
}

fn read_grant(from: schema::grant::Reader<'_>) -> Converted<Grant> {
    Ok(Grant {
        resend: from.get_resend(),
        span: Millis(from.get_span()),
        leases: from
            .get_leases()?
            .iter()
            .map(read_lease)
            .collect::<Converted<_>>()?,
    })
}

fn read_lease(from: schema::lease::Reader<'_>) -> Converted<Lease> {
    Ok(Lease {
        endpoint: read_name(from.get_endpoint())?,
        slots: from.get_slots(),
    })
}

fn write_once(once: &Once, mut to: schema::once_::Builder<'_>) {
    to.set_request(once.request.as_str());
    to.set_attempt(once.attempt);
    to.set_entry(once.entry.as_str());
    to.set_token(once.token);
    match &once.step {
        Step::Register { within } => to.set_register(within.0),
        Step::Close => to.set_close(()),
        Step::Settle(outcome) => write_outcome(outcome, to.init_settle()),
    }
}

fn read_once(from: schema::once_::Reader<'_>) -> Converted<Once> {
    use schema::once_::Which;
    let step = match from.which()? {
        Which::Register(within) => Step::Register {
            within: Millis(within),
        },
        Which::Close(()) => Step::Close,
        Which::Settle(outcome) => Step::Settle(read_outcome(outcome?)?),
    };
    Ok(Once {
        request: read_name(from.get_request())?,
        attempt: from.get_attempt(),
        entry: read_name(from.get_entry())?,
        token: from.get_token(),
        step,
    })
}

fn write_outcome(outcome: &Outcome, mut to: schema::outcome::Builder<'_>) {
    match outcome {
        Outcome::NotRun => to.set_not_run(()),
        Outcome::Unknown(code) => to.set_unknown(code.number()),
        Outcome::Done { status, body } => {
            let mut done = to.init_done();
            done.set_status(*status);
            done.set_kept(body.is_some());
            done.set_body(body.as_deref().unwrap_or_default());
        }
    }
}

fn read_outcome(from: schema::outcome::Reader<'_>) -> Converted<Outcome> {
    use schema::outcome::Which;
    match from.which()? {
        Which::NotRun(()) => Ok(Outcome::NotRun),
        Which::Unknown(number) => Ok(Outcome::Unknown(read_code(number)?)),
        Which::Done(done) => {
            let body = done.get_body()?;
            Ok(Outcome::Done {
                status: done.get_status(),
                body: done.get_kept().then(|| body.to_vec()),
            })
        }
    }
}

fn write_record(record: &Record, mut to: schema::record::Builder<'_>) {
    to.set_age(record.age.0);
    match &record.state {
        State::Never => to.set_never(()),
        State::Yours => to.set_yours(()),
        State::Taken => to.set_taken(()),
        State::Ended(outcome) => write_outcome(outcome, to.init_ended()),
        State::Full => to.set_full(()),
    }
}

fn read_record(from: schema::record::Reader<'_>) -> Converted<Record> {
    use schema::record::Which;
    let state = match from.which()? {
        Which::Never(()) => State::Never,
        Which::Yours(()) => State::Yours,
        Which::Taken(()) => State::Taken,
        Which::Ended(outcome) => State::Ended(read_outcome(outcome?)?),
        Which::Full(()) => State::Full,
    };
    Ok(Record {
        state,
        age: Millis(from.get_age()),
    })
}

fn write_forward(forward: &Forward, mut to: schema::forward::Builder<'_>) {
    to.set_request(forward.request.as_str());
    to.set_attempt(forward.attempt);
    to.set_service(forward.service.as_str());
    to.set_team(forward.team.as_str());
    to.set_class(match forward.class {
        Class::Urgent => schema::Class::Urgent,
        Class::Normal => schema::Class::Normal,
        Class::Low => schema::Class::Low,
    });
    to.set_idempotent(forward.idempotent);
    to.set_deadline(forward.deadline.0);
    to.set_body(&forward.body);
}

fn read_forward(from: schema::forward::Reader<'_>) -> Converted<Forward> {
    Ok(Forward {
        request: read_name(from.get_request())?,
        attempt: from.get_attempt(),
        service: read_name(from.get_service())?,
        team: read_name(from.get_team())?,
        class: match from.get_class()? {
            schema::Class::Urgent => Class::Urgent,
            schema::Class::Normal => Class::Normal,
            schema::Class::Low => Class::Low,
        },
        idempotent: from.get_idempotent(),
        deadline: Millis(from.get_deadline()),
        body: from.get_body()?.to_vec(),
    })
}

fn write_forwarded(forwarded: &Forwarded, mut to: schema::forwarded::Builder<'_>) {
    to.set_code(forwarded.code.number());
    to.set_status(forwarded.status);
    to.set_content(&forwarded.content);
    to.set_body(&forwarded.body);
    to.set_retry(forwarded.retry_after.map_or(NO_RETRY, |retry| retry.0));
}

fn read_forwarded(from: schema::forwarded::Reader<'_>) -> Converted<Forwarded> {
    let retry = from.get_retry();
    Ok(Forwarded {
        code: read_code(from.get_code())?,
        status: from.get_status(),
        content: read_text(from.get_content())?.to_owned(),
        body: from.get_body()?.to_vec(),
        retry_after: (retry != NO_RETRY).then_some(Millis(retry)),
    })
}
