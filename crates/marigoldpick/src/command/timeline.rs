//! Implements `timeline`, which prints the events of several entries in causal order.

use marigoldpick_core::code::Code;
use marigoldpick_core::id;
use marigoldpick_core::operator::Problem;
use marigoldpick_core::timeline::Event;

use super::{Outcome, no_words, print_json, usage_error};
use crate::arguments;
use crate::client::Client;
use crate::{render, timeline};

pub(super) async fn timeline(arguments: &arguments::Timeline) -> Outcome {
    no_words(&arguments.words)?;
    let subject = parse_subject(arguments)?;
    let client = Client::new(&arguments.entry)?;
    let mut events = Vec::new();
    let mut any_answered = false;
    let mut last_problem = None;
    for entry in client.entries() {
        match read_events(&Client::of(vec![entry.clone()]), &mut events).await {
            Ok(()) => any_answered = true,
            Err(problem) => {
                eprintln!("{entry}: {}; its events are missing", problem.message);
                last_problem = Some(problem);
            }
        }
    }
    if let (false, Some(problem)) = (any_answered, last_problem) {
        return Err(problem);
    }
    let mut events = timeline::merge(events);
    if let Some(subject) = subject {
        events = timeline::follow(events, &subject);
    }
    print_events(&events, arguments.json);
    Ok(Code::Done)
}

fn parse_subject(arguments: &arguments::Timeline) -> Result<Option<String>, Problem> {
    match (&arguments.task, &arguments.request) {
        (Some(_), Some(_)) => Err(usage_error("--task and --request exclude each other")),
        (Some(task), None) => {
            let parsed: Result<id::Task, _> = task.parse();
            parsed
                .map(|task| Some(task.to_string()))
                .map_err(|error| usage_error(&format!("--task '{task}': {error}")))
        }
        (None, Some(request)) => id::Request::new(request)
            .map(|request| Some(request.to_string()))
            .map_err(|error| usage_error(&format!("--request '{request}': {error}"))),
        (None, None) => Ok(None),
    }
}

async fn read_events(client: &Client, events: &mut Vec<Event>) -> Result<(), Problem> {
    let mut after = 0;
    loop {
        let page = client.timeline(after).await?;
        if page.dropped > 0 {
            eprintln!(
                "{} events were dropped by the entry before they could be read",
                page.dropped
            );
        }
        let is_last_page = page.events.is_empty() || page.next <= after;
        events.extend(page.events);
        if is_last_page {
            return Ok(());
        }
        after = page.next;
    }
}

fn print_events(events: &[Event], json: bool) {
    for event in events {
        if json {
            print_json(event);
        } else {
            print_line!("{}", render::event(event));
        }
    }
}
