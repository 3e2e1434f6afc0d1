//! The operators' commands: each one is a module with one function.

mod change;
mod check;
mod plan;
mod read;
mod timeline;

use gumdrop::Options;
use marigoldpick_core::code::Code;
use marigoldpick_core::operator::Problem;
use serde::Serialize;

use crate::arguments::{Arguments, Command};
use crate::dev;

/// The result of a command: the code to end with, after what it printed.
type Outcome = Result<Code, Problem>;

/// Runs a command and returns its result code; a problem is printed.
#[must_use]
pub fn run(arguments: Arguments) -> Code {
    if arguments.help_requested() {
        say!("{}", help(&arguments));
        return Code::Done;
    }
    let Some(command) = arguments.command else {
        eprintln!("no command; try `marigold --help`");
        return Code::BadRequest;
    };
    let json = wants_json(&command);
    match async_std::task::block_on(dispatch(command)) {
        Ok(code) => code,
        Err(problem) => {
            tell(&problem, json);
            problem.code
        }
    }
}

fn help(arguments: &Arguments) -> String {
    match &arguments.command {
        Some(command) => {
            let name = command.command_name().unwrap_or_default();
            format!("Usage: marigold {name} ...\n\n{}", command.self_usage())
        }
        None => {
            let commands = Arguments::command_list().unwrap_or_default();
            format!(
                "Usage: marigold COMMAND ...\n\n{}\n\nCommands:\n{commands}",
                Arguments::usage()
            )
        }
    }
}

async fn dispatch(command: Command) -> Outcome {
    match command {
        Command::Plan(arguments) => plan::plan(&arguments).await,
        Command::Confirm(arguments) => plan::confirm(&arguments).await,
        Command::Cancel(arguments) => change::cancel(&arguments).await,
        Command::Drain(arguments) => change::drain(&arguments).await,
        Command::Status(arguments) => read::status(&arguments).await,
        Command::Explain(arguments) => read::explain(&arguments).await,
        Command::Timeline(arguments) => timeline::timeline(&arguments).await,
        Command::Check(arguments) => check::check(&arguments),
        Command::Dev(arguments) => {
            none(&arguments.words)?;
            dev::run(&arguments).await
        }
    }
}

const fn wants_json(command: &Command) -> bool {
    match command {
        Command::Plan(arguments) => arguments.json,
        Command::Confirm(arguments) => arguments.json,
        Command::Cancel(arguments) => arguments.json,
        Command::Drain(arguments) => arguments.json,
        Command::Status(arguments) => arguments.json,
        Command::Explain(arguments) => arguments.json,
        Command::Timeline(arguments) => arguments.json,
        Command::Check(arguments) => arguments.json,
        Command::Dev(arguments) => arguments.json,
    }
}

fn tell(problem: &Problem, json: bool) {
    if json {
        print_json(problem);
        return;
    }
    let code = problem.code;
    eprintln!(
        "error {} {}: {}",
        code.number(),
        code.name(),
        problem.message
    );
    if let Some(wait) = problem.retry_after_ms {
        eprintln!("ask again in {wait}");
    }
    if let Some(plan) = &problem.plan {
        eprintln!("a fresh plan is held: {plan}");
    }
}

pub(crate) fn print_json<T: Serialize>(value: &T) {
    match serde_json::to_string(value) {
        Ok(text) => say!("{text}"),
        Err(error) => eprintln!("error {}: {error}", Code::Internal.number()),
    }
}

/// Returns the only free word of a command line.
fn only<'a>(words: &'a [String], what: &str) -> Result<&'a str, Problem> {
    match words {
        [word] => Ok(word),
        [] => Err(usage(&format!("{what} is missing"))),
        [_, more, ..] => Err(usage(&format!("'{more}' is one word too many"))),
    }
}

/// Refuses free words.
fn none(words: &[String]) -> Result<(), Problem> {
    match words.first() {
        Some(word) => Err(usage(&format!("'{word}' is one word too many"))),
        None => Ok(()),
    }
}

fn usage(details: &str) -> Problem {
    Problem::new(Code::BadRequest, details)
}
