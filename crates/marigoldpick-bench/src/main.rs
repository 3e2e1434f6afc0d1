//! `marigold-bench`: measures the decisions and the processes of marigoldpick.

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
    #[options(help = "task placement: packing, decision time, waiting")]
    Place(place::Arguments),
}

fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    match arguments.command {
        Some(Command::Place(arguments)) => place::run(&arguments),
        None => {
            println!("{}", Arguments::usage());
            ExitCode::FAILURE
        }
    }
}
