//! Printing to standard output, whose reader may have gone.

use std::fmt;
use std::io::{self, ErrorKind, Write};

use marigoldpick_core::code::Code;

/// Prints a line.
macro_rules! say {
    ($($text:tt)*) => {
        $crate::output::line(format_args!($($text)*))
    };
}

/// The exit code of a program that nobody reads any more, as shells tell it.
const BROKEN_PIPE: i32 = 128 + 13;

/// Prints a line; when nobody reads any more, the program ends without a word, as is usual.
pub(crate) fn line(text: fmt::Arguments<'_>) {
    let mut output = io::stdout().lock();
    match writeln!(output, "{text}").and_then(|()| output.flush()) {
        Ok(()) => {}
        Err(error) if error.kind() == ErrorKind::BrokenPipe => std::process::exit(BROKEN_PIPE),
        Err(error) => {
            eprintln!("error {}: {error}", Code::Internal.number());
            std::process::exit(Code::Internal.exit());
        }
    }
}
