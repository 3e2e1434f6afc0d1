//! Renders plans, states and events as text: short lines with one fact each.

use std::fmt::Write;

use marigoldpick_core::operator::{Explain, Status};
use marigoldpick_core::plan::{Part, Plan};
use marigoldpick_core::team::Overview;
use marigoldpick_core::timeline::Event;
use marigoldpick_core::work::explain::{self, Answer};

/// Renders what an entry knows of the teams.
#[must_use]
pub fn teams(overview: &Overview) -> String {
    let mut out = String::new();
    let age = overview.age.map_or("never confirmed".to_owned(), |age| {
        format!("confirmed {age} ago")
    });
    write_line(
        &mut out,
        format_args!(
            "entry {}, configuration {}, {age}, {} other entries",
            overview.entry, overview.version, overview.peers
        ),
    );
    let Some(teams) = &overview.teams else {
        write_line(&mut out, format_args!("  does not lead"));
        return out;
    };
    for usage in teams {
        let share = &usage.share;
        write_line(
            &mut out,
            format_args!(
                "  {}: weight {}, limit {}, uses {}; {} jobs wait ({} excess), {} steps at the limit",
                share.team,
                share.weight,
                share.limit,
                usage.used,
                usage.waiting,
                usage.excess,
                usage.limited
            ),
        );
    }
    out
}

/// Renders where a job would go.
#[must_use]
pub fn location(answer: &Answer) -> String {
    let mut out = String::new();
    let age = answer
        .config_age
        .map_or("never confirmed".to_owned(), |age| {
            format!("confirmed {age} ago")
        });
    write_line(
        &mut out,
        format_args!(
            "entry {}, configuration {}, {age}",
            answer.entry, answer.version
        ),
    );
    match (&answer.admission.rejected_by, answer.admission.retry_after) {
        (None, _) => write_line(&mut out, format_args!("accepted")),
        (Some(bound), None) => write_line(&mut out, format_args!("rejected: {bound}")),
        (Some(bound), Some(wait)) => write_line(
            &mut out,
            format_args!("rejected: {bound}; come back after {wait}"),
        ),
    }
    let Some(placement) = &answer.placement else {
        match &answer.lead {
            Some(lead) => write_line(&mut out, format_args!("no placement: {lead} leads")),
            None => write_line(&mut out, format_args!("no placement: no lead is known")),
        }
        return out;
    };
    let excess = if placement.excess {
        ", beyond the rate of its team"
    } else {
        ""
    };
    write_line(
        &mut out,
        format_args!("on time within {}{excess}", placement.objective),
    );
    for step in &placement.steps {
        locate_step(&mut out, step, placement.waiting);
    }
    let report = placement
        .report_age
        .map_or("none".to_owned(), |age| format!("{age} old"));
    write_line(
        &mut out,
        format_args!(
            "term {} old, last pass {} ago, oldest report {report}",
            placement.term_age, placement.pass_age
        ),
    );
    out
}

fn locate_step(out: &mut String, step: &explain::Step, waiting: usize) {
    write_line(
        out,
        format_args!(
            "step {}, {} tasks: {}; behind {} of {waiting} waiting steps",
            step.number, step.tasks, step.outcome, step.behind
        ),
    );
    for ahead in &step.before {
        let team = ahead.team.as_ref();
        let team = team.map_or(String::new(), |team| format!(" of {team}"));
        write_line(
            out,
            format_args!(
                "  behind {} {}{team}: {}",
                ahead.job, ahead.queue, ahead.claim
            ),
        );
    }
    let excluded: Vec<String> = step
        .excluded
        .iter()
        .map(|(r, n)| format!("{n} {r}"))
        .collect();
    write_line(
        out,
        format_args!(
            "  {} workers qualify; excluded: {}",
            step.qualified,
            if excluded.is_empty() {
                "none".to_owned()
            } else {
                excluded.join(", ")
            }
        ),
    );
    if step.admitted < step.tasks {
        write_line(
            out,
            format_args!("  the team's limit admits {} tasks", step.admitted),
        );
    }
    if let Some(question) = &step.question {
        write_line(
            out,
            format_args!(
                "  the adviser would be asked about {} workers, which takes {}",
                question.workers, question.span
            ),
        );
    }
    for (rank, candidate) in [("first", &step.worker), ("next best", &step.next)] {
        if let Some(candidate) = candidate {
            let age = candidate.report_age.unwrap_or_default();
            write_line(
                out,
                format_args!(
                    "  {rank}: {}, cost {} ms, reported {age} ago",
                    candidate.worker, candidate.cost_ms
                ),
            );
        }
    }
}

/// Renders a plan.
#[must_use]
pub fn plan(plan: &Plan) -> String {
    let mut out = String::new();
    write_line(
        &mut out,
        format_args!("plan {} on configuration {}", plan.id, plan.base),
    );
    for part in &plan.parts {
        write_line(&mut out, format_args!("  {}", describe_part(part)));
    }
    for displaced in &plan.displaced {
        let how = format!("{:?}", displaced.how).to_lowercase();
        write_line(
            &mut out,
            format_args!(
                "  displaces {} for {} by {how}",
                displaced.task, displaced.by
            ),
        );
    }
    for quota in &plan.quotas {
        write_line(
            &mut out,
            format_args!("  team {}: {} of {}", quota.team, quota.after, quota.quota),
        );
    }
    if let Some(code) = plan.blocked {
        write_line(
            &mut out,
            format_args!(
                "  can't be confirmed: {} {}: {}",
                code.number(),
                code.name(),
                plan.reason
            ),
        );
    }
    out
}

fn describe_part(part: &Part) -> String {
    if let Some(never) = &part.never {
        return format!("job {} can never run: {never}", part.job);
    }
    let homes: Vec<String> = part
        .homes
        .iter()
        .map(|home| format!("{} {}", home.shard, home.to - home.from))
        .collect();
    let mut text = format!("job {}: {} start at once", part.job, part.starts);
    if part.waits > 0 {
        text += &format!(", {} wait about {}", part.waits, part.wait);
    }
    if !homes.is_empty() {
        text += &format!(" ({})", homes.join(", "));
    }
    text
}

/// Renders the state of an entry.
#[must_use]
pub fn status(status: &Status) -> String {
    let mut out = String::new();
    let draining = if status.draining { ", draining" } else { "" };
    write_line(
        &mut out,
        format_args!("entry {} in {}{draining}", status.entry, status.domain),
    );
    let stale = if status.config_old {
        ", may be old"
    } else {
        ""
    };
    write_line(
        &mut out,
        format_args!(
            "configuration {}{stale}; the store answered {} ago",
            status.sequence, status.store_age
        ),
    );
    write_shards(&mut out, status);
    write_jobs(&mut out, status);
    write_services(&mut out, status);
    write_peers(&mut out, status);
    out
}

fn write_shards(out: &mut String, status: &Status) {
    for shard in &status.shards {
        let lead = shard.lead.as_ref().map_or("nobody", |lead| lead.as_str());
        write_line(
            out,
            format_args!(
                "shard {}: led by {lead}, workers {} (silent {}), running {}, waiting {}, unrecorded {}",
                shard.shard,
                shard.workers,
                shard.silent,
                shard.running,
                shard.waiting,
                shard.unrecorded
            ),
        );
    }
}

fn write_jobs(out: &mut String, status: &Status) {
    for job in &status.jobs {
        let cancelled = if job.cancelled { ", cancelled" } else { "" };
        write_line(
            out,
            format_args!(
                "job {}: tasks {}, running {}, waiting {}, completed {}, failed {}{cancelled}",
                job.job, job.count, job.running, job.waiting, job.completed, job.failed
            ),
        );
    }
    for job in &status.partial {
        write_line(
            out,
            format_args!("job {job}: some shards did not answer; the counts are lower bounds"),
        );
    }
}

fn write_services(out: &mut String, status: &Status) {
    for service in &status.services {
        write_line(
            out,
            format_args!(
                "service {}: endpoints {} (set aside {}), slots {}, in flight {}, queued {}",
                service.service,
                service.endpoints,
                service.ejected,
                service.slots,
                service.in_flight,
                service.queued
            ),
        );
    }
}

fn write_peers(out: &mut String, status: &Status) {
    for peer in &status.peers {
        write_line(
            out,
            format_args!(
                "peer {} in {}: heard {} ago, configuration {}",
                peer.entry, peer.domain, peer.age, peer.sequence
            ),
        );
    }
}

/// Renders the state of a task and the reasons for it.
#[must_use]
pub fn explain(explain: &Explain) -> String {
    let mut out = String::new();
    let place = match &explain.worker {
        Some(worker) => format!(" on {worker}"),
        None => String::new(),
    };
    write_line(
        &mut out,
        format_args!("task {}: {}{place}", explain.task, explain.state),
    );
    for reason in &explain.reasons {
        write_line(&mut out, format_args!("  {reason}"));
    }
    out
}

/// Renders an event of a time line as one line.
#[must_use]
pub fn event(event: &Event) -> String {
    let mark = &event.mark;
    let mut text = format!(
        "{:>8} {} {}.{} {} {} {}",
        event.at.0,
        mark.process,
        mark.incarnation,
        mark.sequence,
        event.part,
        event.what,
        event.about
    );
    if !event.note.is_empty() {
        text += &format!(" ({})", event.note);
    }
    if let Some(cause) = &event.cause {
        text += &format!(
            " after {} {}.{}",
            cause.process, cause.incarnation, cause.sequence
        );
    }
    text
}

/// Renders an event of a job's history as one line.
#[must_use]
pub fn history_event(event: &Event) -> String {
    let seconds = event.at.0 / 1_000;
    let (hours, minutes) = (seconds / 3_600 % 24, seconds / 60 % 60);
    format!(
        "{hours:02}:{minutes:02}:{:02}.{:03} {:<20} {} {}",
        seconds % 60,
        event.at.0 % 1_000,
        event.mark.process.as_str(),
        event.what,
        event.note
    )
}

fn write_line(out: &mut String, text: std::fmt::Arguments<'_>) {
    writeln!(out, "{text}").expect("writing to a string does not fail");
}
