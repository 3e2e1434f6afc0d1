//! Implements `cancel` and `drain`, the changes that need no plan.

use marigoldpick_core::code::Code;
use marigoldpick_core::config::Target;
use marigoldpick_core::id;
use marigoldpick_core::operator::{Accepted, Drain, Problem};

use super::{Outcome, print_json, usage_error};
use crate::arguments;
use crate::client::Client;

pub(super) async fn cancel(arguments: &arguments::Cancel) -> Outcome {
    if arguments.words.is_empty() {
        return Err(usage_error("the jobs' names are missing"));
    }
    let mut jobs = Vec::with_capacity(arguments.words.len());
    for word in &arguments.words {
        jobs.push(id::Job::new(word).map_err(|error| usage_error(&format!("'{word}': {error}")))?);
    }
    let client = Client::new(&arguments.entry)?;
    let accepted = client.cancel(jobs).await?;
    print_accepted(accepted, arguments.json);
    Ok(Code::Done)
}

pub(super) async fn drain(arguments: &arguments::Drain) -> Outcome {
    let drain = Drain {
        target: parse_target(&arguments.words)?,
        on: !arguments.off,
    };
    let client = Client::new(&arguments.entry)?;
    let accepted = client.drain(&drain).await?;
    print_accepted(accepted, arguments.json);
    Ok(Code::Done)
}

fn parse_target(words: &[String]) -> Result<Target, Problem> {
    let [kind, name] = words else {
        return Err(usage_error(
            "a kind and a name are needed, such as: worker w1",
        ));
    };
    let target = match kind.as_str() {
        "worker" => id::Worker::new(name).map(Target::Worker),
        "endpoint" => id::Endpoint::new(name).map(Target::Endpoint),
        "entry" => id::Entry::new(name).map(Target::Entry),
        "rack" => id::Rack::new(name).map(Target::Rack),
        "domain" => id::Domain::new(name).map(Target::Domain),
        _ => {
            let kinds = "worker, endpoint, entry, rack or domain";
            return Err(usage_error(&format!(
                "'{kind}' can't be drained; the kind must be {kinds}"
            )));
        }
    };
    target.map_err(|error| usage_error(&format!("'{name}': {error}")))
}

fn print_accepted(accepted: Accepted, json: bool) {
    if json {
        print_json(&accepted);
    } else {
        print_line!("accepted as configuration {}", accepted.sequence);
    }
}
