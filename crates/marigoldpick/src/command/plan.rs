//! `plan` and `confirm`: nothing changes before the confirm.

use marigoldpick_core::code::Code;
use marigoldpick_core::id;
use marigoldpick_core::intent::Intent;
use marigoldpick_core::operator::{Accepted, Ask, Problem};
use marigoldpick_core::plan::Plan;
use serde::Serialize;

use super::{Outcome, only, print_json, usage};
use crate::arguments;
use crate::client::Client;
use crate::{files, render};

/// How often `--yes` asks for a fresh plan when the configuration changes in between.
const FRESH_PLANS: u32 = 5;

/// `Planned` is what `plan --json` prints.
#[derive(Debug, Serialize)]
struct Planned {
    plan: Plan,
    accepted: Option<Accepted>,
}

pub(super) async fn plan(arguments: &arguments::Plan) -> Outcome {
    let path = only(&arguments.words, "the intent's file")?;
    let text = files::read(path)?;
    Intent::parse(path, &text).map_err(|error| Problem::new(error.code, error.to_string()))?;
    let client = Client::new(&arguments.entry)?;
    let ask = Ask {
        file: path.to_owned(),
        text,
    };
    let planned = if arguments.yes {
        plan_and_confirm(&client, &ask).await?
    } else {
        Planned {
            plan: client.plan(&ask).await?,
            accepted: None,
        }
    };
    show(&planned, arguments);
    Ok(result(&planned, arguments.yes))
}

pub(super) async fn confirm(arguments: &arguments::Confirm) -> Outcome {
    let word = only(&arguments.words, "the plan's name")?;
    let plan = id::Plan::new(word).map_err(|error| usage(&format!("'{word}': {error}")))?;
    let client = Client::new(&arguments.entry)?;
    let accepted = client.confirm(plan).await?;
    if arguments.json {
        print_json(&accepted);
    } else {
        say!("accepted as configuration {}", accepted.sequence);
    }
    Ok(Code::Done)
}

async fn plan_and_confirm(client: &Client, ask: &Ask) -> Result<Planned, Problem> {
    let mut left = FRESH_PLANS;
    loop {
        left -= 1;
        let plan = client.plan(ask).await?;
        if plan.blocked.is_some() || !plan.displaced.is_empty() {
            let accepted = None;
            return Ok(Planned { plan, accepted });
        }
        match client.confirm(plan.id.clone()).await {
            Ok(accepted) => {
                let accepted = Some(accepted);
                return Ok(Planned { plan, accepted });
            }
            Err(problem) if problem.code == Code::Stale && left > 0 => {}
            Err(problem) => return Err(problem),
        }
    }
}

fn show(planned: &Planned, arguments: &arguments::Plan) {
    if arguments.json {
        print_json(planned);
        return;
    }
    say!("{}", render::plan(&planned.plan).trim_end());
    match planned.accepted {
        Some(accepted) => say!("accepted as configuration {}", accepted.sequence),
        None if planned.plan.blocked.is_none() => {
            say!(
                "nothing has changed; to accept: marigold confirm {}",
                planned.plan.id
            );
        }
        None => {}
    }
}

fn result(planned: &Planned, yes: bool) -> Code {
    if let Some(code) = planned.plan.blocked {
        return code;
    }
    if yes && planned.accepted.is_none() {
        return Code::NeedsConfirm;
    }
    Code::Done
}
