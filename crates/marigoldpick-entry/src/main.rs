//! The daemon that runs one entry.

use std::process::ExitCode;

use gumdrop::Options;
use marigoldpick_entry::daemon;

/// The command line of `marigold-entry`.
#[derive(Debug, Options)]
struct Arguments {
    /// Prints this help.
    help: bool,
    /// The settings file, in TOML.
    #[options(required, meta = "FILE")]
    settings: String,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    match daemon::run(&arguments.settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("marigold-entry: {error}");
            ExitCode::from(u8::try_from(error.code().exit_status()).unwrap_or(u8::MAX))
        }
    }
}
