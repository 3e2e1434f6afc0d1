//! Reconstructs the history of one job from the log files of several entries.
//!
//! Clocks of entries may differ, so times only break ties. A line follows the line before it in its
//! file. The lines of a lead follow the line that records the start of its term, and the first line
//! of a lead about the job follows the line that records the submission of the job.

use chrono::NaiveDateTime;
use marigoldpick_core::clock::Millis;
use marigoldpick_core::name::Name;
use marigoldpick_core::timeline::{Event, Mark};

use crate::timeline;

/// The format of the time at the start of a line.
const TIME_FORMAT: &str = "%Y-%m-%dT%H:%M:%S%.3f";
/// Events of leads, which belong to the history of every job.
const LEAD_EVENTS: [&str; 4] = ["lead-taken", "lead-ended", "lead-offered", "lead-reclaimed"];
/// Events of entries, which belong to the history of each job that the entry logged lines about.
const ENTRY_EVENTS: [&str; 6] = [
    "start",
    "stop",
    "store-lost",
    "store-regained",
    "connection",
    "lines-dropped",
];
/// Events of workers, which belong to the history of each job that had tasks on the worker.
const WORKER_EVENTS: [&str; 3] = ["worker-silent", "worker-lapsed", "worker-reborn"];
/// How long before the first line about a job the events of leads, entries and workers count.
const CONTEXT_BEFORE: Millis = Millis(3_000);

/// Parses the log of a process and skips lines that are not events of an entry.
#[must_use]
pub fn parse_log(process: &Name, text: &str) -> Vec<Event> {
    let mut incarnation = 0;
    let mut events = Vec::new();
    for (sequence, line) in (1..).zip(text.lines()) {
        let Some(event) = parse_event(process, incarnation, sequence, line) else {
            continue;
        };
        incarnation += u64::from(event.what.as_str() == "start");
        events.push(event);
    }
    events
}

fn parse_event(process: &Name, incarnation: u64, sequence: u64, line: &str) -> Option<Event> {
    let (time, rest) = line.split_once(' ')?;
    let time = NaiveDateTime::parse_from_str(time, TIME_FORMAT).ok()?;
    let what = field(rest, "event")?;
    let incarnation = incarnation + u64::from(what == "start");
    let details = rest.split_once("event=")?.1;
    let note = details.split_once(' ').map_or("", |(_, note)| note);
    Some(Event {
        mark: Mark {
            process: process.clone(),
            incarnation,
            sequence,
        },
        at: Millis(u64::try_from(time.and_utc().timestamp_millis()).ok()?),
        cause: None,
        part: Name::new(field(rest, "part")?).ok()?,
        what: Name::new(what).ok()?,
        about: field(rest, "id").unwrap_or_default().to_owned(),
        note: note.to_owned(),
        message: None,
    })
}

/// Returns the value of a field in a line. Quoted values that contain spaces are not supported.
fn field<'a>(line: &'a str, key: &str) -> Option<&'a str> {
    let mut words = line.split(' ');
    words.find_map(|word| word.strip_prefix(key)?.strip_prefix('='))
}

/// Returns the events of a job and of its leads, entries and workers, in causal order.
#[must_use]
pub fn of_job(mut events: Vec<Event>, job: &str) -> Vec<Event> {
    link_causes(&mut events, job);
    let events = timeline::merge(events);
    let job_events: Vec<&Event> = events.iter().filter(|event| is_about(event, job)).collect();
    let Some(first) = job_events.iter().map(|event| event.at).min() else {
        return Vec::new();
    };
    let last = job_events
        .iter()
        .map(|event| event.at)
        .max()
        .unwrap_or(first);
    let entries: Vec<&Name> = job_events.iter().map(|event| &event.mark.process).collect();
    let workers: Vec<&str> = job_events
        .iter()
        .filter_map(|event| field(&event.note, "workers").or_else(|| field(&event.note, "worker")))
        .flat_map(|workers| workers.split(','))
        .collect();
    let is_context = |event: &Event| {
        let what = event.what.as_str();
        let is_near = first <= event.at + CONTEXT_BEFORE && event.at <= last;
        is_near
            && (LEAD_EVENTS.contains(&what)
                || (ENTRY_EVENTS.contains(&what) && entries.contains(&&event.mark.process))
                || (WORKER_EVENTS.contains(&what) && workers.contains(&event.about.as_str())))
    };
    let history = events.iter().filter(|e| is_about(e, job) || is_context(e));
    history.cloned().collect()
}

/// Returns whether an event is about a job, one of its steps or one of its tasks.
fn is_about(event: &Event, job: &str) -> bool {
    let rest = event.about.strip_prefix(job);
    rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('.'))
}

/// Sets the causes between log lines of different processes.
fn link_causes(events: &mut [Event], job: &str) {
    let terms: Vec<(String, Mark)> = events
        .iter()
        .filter(|event| event.what.as_str() == "lead-taken")
        .filter_map(|event| Some((field(&event.note, "term")?.to_owned(), event.mark.clone())))
        .collect();
    let submission = events
        .iter()
        .find(|event| event.what.as_str() == "job-handed-in" && event.about == job)
        .map(|event| event.mark.clone());
    let mut has_begun = false;
    for event in events {
        if event.part.as_str() != "lead" {
            continue;
        }
        if is_about(event, job) && !has_begun {
            has_begun = true;
            event.cause.clone_from(&submission);
            continue;
        }
        let term = field(&event.note, "term");
        let lead = terms.iter().find(|(known, _)| Some(known.as_str()) == term);
        event.cause = lead.map(|(_, mark)| mark.clone());
    }
}
