//! Implements `plan` and `confirm`; a plan changes nothing until it is confirmed.

use marigoldpick_core::code::Code;
use marigoldpick_core::id;
use marigoldpick_core::intent::Intent;
use marigoldpick_core::operator::{Accepted, PlanRequest, Problem};
use marigoldpick_core::plan::Plan;
use serde::Serialize;

use super::{Outcome, print_json, single_word, usage_error};
use crate::arguments;
use crate::client::Client;
use crate::{files, render};

/// The number of plans that `--yes` requests at most. A plan is stale, and a new one is requested,
/// when the configuration changed since it was made.
const MAX_PLAN_ATTEMPTS: u32 = 5;

/// `Planned` is the output of `plan --json`.
#[derive(Debug, Serialize)]
struct Planned {
    plan: Plan,
    accepted: Option<Accepted>,
}

pub(super) async fn plan(arguments: &arguments::Plan) -> Outcome {
    let path = single_word(&arguments.words, "the intent's file")?;
    let text = files::read(path)?;
    Intent::parse(path, &text).map_err(|error| Problem::new(error.code, error.to_string()))?;
    let client = Client::new(&arguments.entry)?;
    let ask = PlanRequest {
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
    print_planned(&planned, arguments);
    Ok(result_code(&planned, arguments.yes))
}

pub(super) async fn confirm(arguments: &arguments::Confirm) -> Outcome {
    let word = single_word(&arguments.words, "the plan's name")?;
    let plan = id::Plan::new(word).map_err(|error| usage_error(&format!("'{word}': {error}")))?;
    let client = Client::new(&arguments.entry)?;
    let accepted = client.confirm(plan).await?;
    if arguments.json {
        print_json(&accepted);
    } else {
        print_line!("accepted as configuration {}", accepted.sequence);
    }
    Ok(Code::Done)
}

async fn plan_and_confirm(client: &Client, ask: &PlanRequest) -> Result<Planned, Problem> {
    let mut attempts_left = MAX_PLAN_ATTEMPTS;
    loop {
        attempts_left -= 1;
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
            Err(problem) if problem.code == Code::Stale && attempts_left > 0 => {}
            Err(problem) => return Err(problem),
        }
    }
}

fn print_planned(planned: &Planned, arguments: &arguments::Plan) {
    if arguments.json {
        print_json(planned);
        return;
    }
    print_line!("{}", render::plan(&planned.plan).trim_end());
    match planned.accepted {
        Some(accepted) => print_line!("accepted as configuration {}", accepted.sequence),
        None if planned.plan.blocked.is_none() => {
            print_line!(
                "nothing has changed; to accept the plan: marigold confirm {}",
                planned.plan.id
            );
        }
        None => {}
    }
}

fn result_code(planned: &Planned, yes: bool) -> Code {
    if let Some(code) = planned.plan.blocked {
        return code;
    }
    if yes && planned.accepted.is_none() {
        return Code::NeedsConfirm;
    }
    Code::Done
}
