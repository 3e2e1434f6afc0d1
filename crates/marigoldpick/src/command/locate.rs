//! Implements `where`, which explains where a job would go without sending it.

use std::path::Path;

use marigoldpick_core::document::{self, Error};
use marigoldpick_core::operator::Problem;
use marigoldpick_core::prelude::*;
use marigoldpick_core::work::{self, Job, Schedule, Step};
use serde::Deserialize;

use super::{Outcome, print_json, single_word};
use crate::arguments;
use crate::client::Client;
use crate::{files, render};

/// `Draft` is a job as an operator describes it.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Draft {
    queue: Name,
    #[serde(default)]
    team: Option<id::Team>,
    #[serde(default)]
    payload: String,
    steps: Vec<Step>,
    #[serde(default)]
    schedule: Option<Schedule>,
}

/// The fields of a step; others are mistakes.
const STEP_FIELDS: [&str; 16] = [
    "count",
    "needs",
    "estimate",
    "after",
    "checkpoints",
    "gang",
    "one_rack",
    "label",
    "rack",
    "spread",
    "copies",
    "lasting",
    "image",
    "target",
    "fills",
    "may_miss",
];

pub(super) async fn locate(arguments: &arguments::Where) -> Outcome {
    let path = single_word(&arguments.words, "the job's file")?;
    let text = files::read(path)?;
    let job = parse(path, &text).map_err(|error| Problem::new(error.code, error.to_string()))?;
    let answer = Client::new(&arguments.entry)?.locate(&job).await?;
    if arguments.json {
        print_json(&answer);
    } else {
        print_line!("{}", render::location(&answer).trim_end());
    }
    Ok(Code::Done)
}

/// Parses a job in TOML, or in JSON if the file's name says so.
///
/// # Errors
/// Fails when the job is malformed; the error names the file, and the line or the field.
pub fn parse(file: &str, text: &str) -> Result<Job, Error> {
    let is_json = Path::new(file).extension().is_some_and(|e| e == "json");
    let (draft, value): (Draft, serde_json::Value) = if is_json {
        let failure = |error: serde_json::Error| Error {
            line: u32::try_from(error.line()).unwrap_or(0),
            ..Error::field(Code::BadSyntax, "", error.to_string()).in_file(file)
        };
        (
            serde_json::from_str(text).map_err(failure)?,
            serde_json::from_str(text).map_err(failure)?,
        )
    } else {
        (document::parse(file, text)?, document::parse(file, text)?)
    };
    let steps = value["steps"].as_array().into_iter().flatten();
    for (number, step) in steps.enumerate() {
        let mut fields = step.as_object().into_iter().flat_map(|step| step.keys());
        if let Some(field) = fields.find(|field| !STEP_FIELDS.contains(&field.as_str())) {
            let path = format!("steps[{number}].{field}");
            return Err(Error::field(Code::UnknownField, path, "no such field").in_file(file));
        }
    }
    let job = Job {
        queue: draft.queue,
        payload: draft.payload,
        steps: draft.steps,
        schedule: draft.schedule,
        accepted: 0,
        team: draft.team,
    };
    let field = |error| match error {
        work::Error::Payload => "payload",
        work::Error::Steps => "steps",
        work::Error::Tasks => "steps.count",
        work::Error::Order => "steps.after",
        work::Error::Interval => "schedule.every",
    };
    match job.verify() {
        Ok(()) => Ok(job),
        Err(error) => Err(Error::value(field(error), &error.to_string()).in_file(file)),
    }
}
