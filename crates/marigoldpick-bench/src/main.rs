//! `marigold-bench`: measures the decisions and the processes of marigoldpick.

mod cost;
mod place;

use std::process::ExitCode;

use gumdrop::Options;

/// `Arguments` is the command line.
#[derive(Debug, Options)]
struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(command)]
    command: Option<Command>,
}

/// `Command` is what is measured.
#[derive(Debug, Options)]
enum Command {
    #[options(help = "control cost: slopes over sizes")]
    Cost(cost::Arguments),
    #[options(help = "task placement: packing, decision time, waiting")]
    Place(place::Arguments),
}

fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    match arguments.command {
        Some(Command::Cost(arguments)) => cost::run(&arguments),
        Some(Command::Place(arguments)) => place::run(&arguments),
        None => {
            println!("{}", Arguments::usage());
            ExitCode::FAILURE
        }
    }
}
