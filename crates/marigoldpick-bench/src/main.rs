//! `marigold-bench`: measures the decisions and the running processes of marigoldpick.

mod cost;
mod load;
mod locate;
mod place;
mod route;

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

/// `Command` selects what is measured.
#[derive(Debug, Options)]
enum Command {
    #[options(help = "control cost: slopes over sizes")]
    Cost(cost::Arguments),
    #[options(help = "task placement: packing, decision time, waiting")]
    Place(place::Arguments),
    #[options(help = "request placement: entries and endpoints over loopback")]
    Load(load::Arguments),
    #[options(help = "request placement: decisions against plain balancers")]
    Route(route::Arguments),
    #[options(help = "job placement: the time to explain where a job would go")]
    Where(locate::Arguments),
}

fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    match arguments.command {
        Some(Command::Cost(arguments)) => cost::run(&arguments),
        Some(Command::Place(arguments)) => place::run(&arguments),
        Some(Command::Load(arguments)) => load::run(&arguments),
        Some(Command::Route(arguments)) => route::run(&arguments),
        Some(Command::Where(arguments)) => locate::run(&arguments),
        None => {
            println!("{}", Arguments::usage());
            ExitCode::FAILURE
        }
    }
}
