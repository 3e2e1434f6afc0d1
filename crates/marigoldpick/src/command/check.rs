//! `check`: settings, intents and faults files are checked offline.

use std::fmt;
use std::str::FromStr;

use marigoldpick_core::code::Code;
use marigoldpick_core::document::Error;
use marigoldpick_core::intent::Intent;
use marigoldpick_core::operator::Problem;

use super::{Outcome, print_json, usage};
use crate::{arguments, entry, faults, files, standin};

/// `Kind` is what a file holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    Entry,
    Standin,
    Intent,
    Faults,
}

pub(super) fn check(arguments: &arguments::Check) -> Outcome {
    if arguments.words.is_empty() {
        return Err(usage("the file is missing"));
    }
    let named = arguments.kind.as_deref().map(str::parse).transpose()?;
    let mut worst = Code::Done;
    for path in &arguments.words {
        let text = files::read(path)?;
        let kind = named.unwrap_or_else(|| guess(&text));
        match verify(kind, path, &text) {
            Ok(()) => tell_good(path, kind, arguments.json),
            Err(error) => {
                worst = error.code;
                tell_bad(&error, arguments.json);
            }
        }
    }
    Ok(worst)
}

/// Tells a file's kind by the fields that only one kind has.
fn guess(text: &str) -> Kind {
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

fn verify(kind: Kind, path: &str, text: &str) -> Result<(), Error> {
    match kind {
        Kind::Entry => entry::settings::Settings::parse(path, text).map(drop),
        Kind::Standin => standin::Settings::parse(path, text).map(drop),
        Kind::Intent => Intent::parse(path, text).map(drop),
        Kind::Faults => faults::parse(path, text).map(drop),
    }
}

fn tell_good(path: &str, kind: Kind, json: bool) {
    if json {
        print_json(&serde_json::json!({ "file": path, "kind": kind.to_string(), "code": 0 }));
    } else {
        say!("{path}: good {kind}");
    }
}

fn tell_bad(error: &Error, json: bool) {
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
            _ => Err(usage(&format!(
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
