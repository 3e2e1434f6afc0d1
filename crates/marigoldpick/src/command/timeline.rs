//! `timeline`: the events of several entries in causal order.

use marigoldpick_core::code::Code;
use marigoldpick_core::id;
use marigoldpick_core::operator::Problem;
use marigoldpick_core::timeline::Event;

use super::{Outcome, none, print_json, usage};
use crate::arguments;
use crate::client::Client;
use crate::{render, timeline};

pub(super) async fn timeline(arguments: &arguments::Timeline) -> Outcome {
    none(&arguments.words)?;
    let about = about(arguments)?;
    let client = Client::new(&arguments.entry)?;
    let mut events = Vec::new();
    let mut answered = false;
    let mut last = None;
    for entry in client.entries() {
        match read_all(&Client::of(vec![entry.clone()]), &mut events).await {
            Ok(()) => answered = true,
            Err(problem) => {
                eprintln!("{entry}: {}; its events are missing", problem.message);
                last = Some(problem);
            }
        }
    }
    if let (false, Some(problem)) = (answered, last) {
        return Err(problem);
    }
    let mut events = timeline::merge(events);
    if let Some(about) = about {
        events = timeline::follow(events, &about);
    }
    show(&events, arguments.json);
    Ok(Code::Done)
}

fn about(arguments: &arguments::Timeline) -> Result<Option<String>, Problem> {
    match (&arguments.task, &arguments.request) {
        (Some(_), Some(_)) => Err(usage("--task and --request exclude each other")),
        (Some(task), None) => {
            let parsed: Result<id::Task, _> = task.parse();
            parsed
                .map(|task| Some(task.to_string()))
                .map_err(|error| usage(&format!("--task '{task}': {error}")))
        }
        (None, Some(request)) => id::Request::new(request)
            .map(|request| Some(request.to_string()))
            .map_err(|error| usage(&format!("--request '{request}': {error}"))),
        (None, None) => Ok(None),
    }
}

async fn read_all(client: &Client, events: &mut Vec<Event>) -> Result<(), Problem> {
    let mut after = 0;
    loop {
        let page = client.timeline(after).await?;
        if page.dropped > 0 {
            eprintln!("{} events were dropped before they were read", page.dropped);
        }
        let last = page.events.is_empty() || page.next <= after;
        events.extend(page.events);
        if last {
            return Ok(());
        }
        after = page.next;
    }
}

fn show(events: &[Event], json: bool) {
    for event in events {
        if json {
            print_json(event);
        } else {
            say!("{}", render::event(event));
        }
    }
}
