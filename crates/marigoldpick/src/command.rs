//! Runs the operators' commands; each command is a function in one of the submodules.

mod change;
mod check;
pub mod locate;
mod plan;
mod read;
mod timeline;

use gumdrop::Options;
use marigoldpick_core::code::Code;
use marigoldpick_core::operator::Problem;
use serde::Serialize;

use crate::arguments::{Arguments, Command};
use crate::dev;

/// The result of a command: its result code, or a problem that is still to be printed.
type Outcome = Result<Code, Problem>;

/// Runs a command, prints its problem if it fails, and returns the result code.
#[must_use]
pub fn run(arguments: Arguments) -> Code {
    if arguments.help_requested() {
        print_line!("{}", usage_text(&arguments));
        return Code::Done;
    }
    let Some(command) = arguments.command else {
        eprintln!("no command given; try `marigold --help`");
        return Code::BadRequest;
    };
    let json = wants_json(&command);
    match async_std::task::block_on(dispatch(command)) {
        Ok(code) => code,
        Err(problem) => {
            print_problem(&problem, json);
            problem.code
        }
    }
}

fn usage_text(arguments: &Arguments) -> String {
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
        Command::Teams(arguments) => read::teams(&arguments).await,
        Command::Where(arguments) => locate::locate(&arguments).await,
        Command::Explain(arguments) => read::explain(&arguments).await,
        Command::Timeline(arguments) => timeline::timeline(&arguments).await,
        Command::Check(arguments) => check::check(&arguments),
        Command::Dev(arguments) => {
            no_words(&arguments.words)?;
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
        Command::Teams(arguments) => arguments.json,
        Command::Where(arguments) => arguments.json,
        Command::Explain(arguments) => arguments.json,
        Command::Timeline(arguments) => arguments.json,
        Command::Check(arguments) => arguments.json,
        Command::Dev(arguments) => arguments.json,
    }
}

fn print_problem(problem: &Problem, json: bool) {
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
        eprintln!("retry after {wait}");
    }
    if let Some(plan) = &problem.plan {
        eprintln!("a new plan is ready to confirm: {plan}");
    }
}

pub(crate) fn print_json<T: Serialize>(value: &T) {
    match serde_json::to_string(value) {
        Ok(text) => print_line!("{text}"),
        Err(error) => eprintln!("error {}: {error}", Code::Internal.number()),
    }
}

/// Returns the only positional argument of a command.
fn single_word<'a>(words: &'a [String], what: &str) -> Result<&'a str, Problem> {
    match words {
        [word] => Ok(word),
        [] => Err(usage_error(&format!("{what} is missing"))),
        [_, extra, ..] => Err(usage_error(&format!("'{extra}' is an unexpected argument"))),
    }
}

/// Rejects positional arguments.
fn no_words(words: &[String]) -> Result<(), Problem> {
    match words.first() {
        Some(word) => Err(usage_error(&format!("'{word}' is an unexpected argument"))),
        None => Ok(()),
    }
}

fn usage_error(details: &str) -> Problem {
    Problem::new(Code::BadRequest, details)
}
