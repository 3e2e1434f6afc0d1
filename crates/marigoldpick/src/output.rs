//! Prints to standard output and handles a closed pipe.

use std::fmt;
use std::io::{self, ErrorKind, Write};

use marigoldpick_core::code::Code;

/// Prints a line to standard output.
macro_rules! print_line {
    ($($text:tt)*) => {
        $crate::output::print_line(format_args!($($text)*))
    };
}

/// The exit code that shells report for a program ended by SIGPIPE.
const BROKEN_PIPE: i32 = 128 + 13;

/// Prints a line to standard output.
///
/// When the reader has closed the pipe, the program exits without a message, as is usual.
pub(crate) fn print_line(text: fmt::Arguments<'_>) {
    let mut output = io::stdout().lock();
    match writeln!(output, "{text}").and_then(|()| output.flush()) {
        Ok(()) => {}
        Err(error) if error.kind() == ErrorKind::BrokenPipe => std::process::exit(BROKEN_PIPE),
        Err(error) => {
            eprintln!("error {}: {error}", Code::Internal.number());
            std::process::exit(Code::Internal.exit_status());
        }
    }
}
