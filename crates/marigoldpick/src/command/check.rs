//! Implements `check`, which validates settings, intents and faults files offline.

use std::fmt;
use std::str::FromStr;

use marigoldpick_core::code::Code;
use marigoldpick_core::document::Error;
use marigoldpick_core::intent::Intent;
use marigoldpick_core::operator::Problem;

use super::{Outcome, print_json, usage_error};
use crate::{arguments, entry, faults, files, standin};

/// `Kind` is the kind of a file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    Entry,
    Standin,
    Intent,
    Faults,
}

pub(super) fn check(arguments: &arguments::Check) -> Outcome {
    if arguments.words.is_empty() {
        return Err(usage_error("the file is missing"));
    }
    let given_kind = arguments.kind.as_deref().map(str::parse).transpose()?;
    let mut outcome = Code::Done;
    for path in &arguments.words {
        let text = files::read(path)?;
        let kind = given_kind.unwrap_or_else(|| detect_kind(&text));
        match validate(kind, path, &text) {
            Ok(()) => print_valid(path, kind, arguments.json),
            Err(error) => {
                outcome = error.code;
                print_invalid(&error, arguments.json);
            }
        }
    }
    Ok(outcome)
}

/// Detects the kind of a file by the fields that only one kind has.
fn detect_kind(text: &str) -> Kind {
    let Ok(table) = text.parse::<toml::Table>() else {
        return Kind::Intent;
    };
    if table.contains_key("fault") {
        Kind::Faults
    } else if table.contains_key("entry") || table.contains_key("inner") {
        Kind::Entry
    } else if table.contains_key("domain") || table.contains_key("listen") {
        Kind::Standin
    } else {
        Kind::Intent
    }
}

fn validate(kind: Kind, path: &str, text: &str) -> Result<(), Error> {
    match kind {
        Kind::Entry => entry::settings::Settings::parse(path, text).map(drop),
        Kind::Standin => standin::Settings::parse(path, text).map(drop),
        Kind::Intent => Intent::parse(path, text).map(drop),
        Kind::Faults => faults::parse(path, text).map(drop),
    }
}

fn print_valid(path: &str, kind: Kind, json: bool) {
    if json {
        print_json(&serde_json::json!({ "file": path, "kind": kind.to_string(), "code": 0 }));
    } else {
        print_line!("{path}: valid {kind}");
    }
}

fn print_invalid(error: &Error, json: bool) {
    if json {
        print_json(error);
    } else {
        eprintln!("error {error}");
    }
}

impl FromStr for Kind {
    type Err = Problem;
    fn from_str(text: &str) -> Result<Self, Problem> {
        match text {
            "entry" => Ok(Self::Entry),
            "standin" => Ok(Self::Standin),
            "intent" => Ok(Self::Intent),
            "faults" => Ok(Self::Faults),
            _ => Err(usage_error(&format!(
                "--kind {text}: must be entry, standin, intent or faults"
            ))),
        }
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Entry => "entry",
            Self::Standin => "standin",
            Self::Intent => "intent",
            Self::Faults => "faults",
        })
    }
}
