//! Provides `marigold`, the command line for operators.

use gumdrop::{Options, ParsingStyle};
use marigoldpick::arguments::Arguments;
use marigoldpick::command;
use marigoldpick::core::code::Code;

fn main() {
    let command_line: Vec<String> = std::env::args().skip(1).collect();
    let code = match Arguments::parse_args(&command_line, ParsingStyle::AllOptions) {
        Ok(arguments) => command::run(arguments),
        Err(error) => {
            eprintln!("error {}: {error}", Code::BadRequest.number());
            eprintln!("try `marigold --help`");
            Code::BadRequest
        }
    };
    std::process::exit(code.exit_status());
}
