//! The story of one job, from the log lines of many entries.
//!
//! Clocks of entries may differ, so that times only break ties: a line comes after the one before it
//! in its file, a lead's lines after the one that says that it leads, and those about a job after the
//! one that says that it was handed in.

use chrono::NaiveDateTime;
use marigoldpick_core::clock::Millis;
use marigoldpick_core::name::Name;
use marigoldpick_core::timeline::{Event, Mark};

use crate::timeline;

/// The form of a line's time.
const TIME: &str = "%Y-%m-%dT%H:%M:%S%.3f";
/// What happened to the lead counts for every job.
const OF_LEADS: [&str; 4] = ["lead-taken", "lead-ended", "lead-offered", "lead-reclaimed"];
/// What happened to an entry counts where it has lines about the job.
const OF_ENTRIES: [&str; 6] = [
    "start",
    "stop",
    "store-lost",
    "store-regained",
    "connection",
    "lines-dropped",
];
/// What happened to a worker counts where tasks of the job ran.
const OF_WORKERS: [&str; 3] = ["worker-silent", "worker-lapsed", "worker-reborn"];
/// How long before the first line about the job its surroundings are told.
const BEFORE: Millis = Millis(3_000);

/// Reads the log of a process; lines that are none of an entry are left out.
#[must_use]
pub fn read(process: &Name, text: &str) -> Vec<Event> {
    let mut incarnation = 0;
    let mut events = Vec::new();
    for (sequence, line) in (1..).zip(text.lines()) {
        let Some(event) = event(process, incarnation, sequence, line) else {
            continue;
        };
        incarnation += u64::from(event.what.as_str() == "start");
        events.push(event);
    }
    events
}

fn event(process: &Name, incarnation: u64, sequence: u64, line: &str) -> Option<Event> {
    let (time, rest) = line.split_once(' ')?;
    let time = NaiveDateTime::parse_from_str(time, TIME).ok()?;
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

/// Returns the value of a line's field; one in quotes is not looked into.
fn field<'a>(line: &'a str, key: &str) -> Option<&'a str> {
    let mut words = line.split(' ');
    words.find_map(|word| word.strip_prefix(key)?.strip_prefix('='))
}

/// Tells what happened to a job, in causal order, with what its entries and workers went through.
#[must_use]
pub fn tell(mut events: Vec<Event>, job: &str) -> Vec<Event> {
    link(&mut events, job);
    let events = timeline::merge(events);
    let own: Vec<&Event> = events.iter().filter(|event| is_about(event, job)).collect();
    let Some(first) = own.iter().map(|event| event.at).min() else {
        return Vec::new();
    };
    let last = own.iter().map(|event| event.at).max().unwrap_or(first);
    let entries: Vec<&Name> = own.iter().map(|event| &event.mark.process).collect();
    let workers: Vec<&str> = own
        .iter()
        .filter_map(|event| field(&event.note, "workers").or_else(|| field(&event.note, "worker")))
        .flat_map(|workers| workers.split(','))
        .collect();
    let around = |event: &Event| {
        let what = event.what.as_str();
        let near = first <= event.at + BEFORE && event.at <= last;
        near && (OF_LEADS.contains(&what)
            || (OF_ENTRIES.contains(&what) && entries.contains(&&event.mark.process))
            || (OF_WORKERS.contains(&what) && workers.contains(&event.about.as_str())))
    };
    let told = events.iter().filter(|e| is_about(e, job) || around(e));
    told.cloned().collect()
}

/// Tells whether an event is about a job, one of its steps or one of its tasks.
fn is_about(event: &Event, job: &str) -> bool {
    let rest = event.about.strip_prefix(job);
    rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('.'))
}

/// Names the causes that lines of different processes tell.
fn link(events: &mut [Event], job: &str) {
    let taken: Vec<(String, Mark)> = events
        .iter()
        .filter(|event| event.what.as_str() == "lead-taken")
        .filter_map(|event| Some((field(&event.note, "term")?.to_owned(), event.mark.clone())))
        .collect();
    let handed_in = events
        .iter()
        .find(|event| event.what.as_str() == "job-handed-in" && event.about == job)
        .map(|event| event.mark.clone());
    let mut begun = false;
    for event in events {
        if event.part.as_str() != "lead" {
            continue;
        }
        if is_about(event, job) && !begun {
            begun = true;
            event.cause.clone_from(&handed_in);
            continue;
        }
        let term = field(&event.note, "term");
        let lead = taken.iter().find(|(known, _)| Some(known.as_str()) == term);
        event.cause = lead.map(|(_, mark)| mark.clone());
    }
}
