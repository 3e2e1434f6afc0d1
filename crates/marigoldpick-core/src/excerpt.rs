//! Texts from outside, in a form that fits into a line of the log.

use std::fmt::{self, Display, Write};

/// The maximum length of an excerpt, in characters of the text.
const MAX_CHARS: usize = 200;

/// `Excerpt` prints a text from outside on one line of bounded length.
///
/// Double quotes, backslashes and characters that do not print are escaped, so that the text cannot end a
/// quoted field or a line. The rest of a long text is replaced by its length in bytes.
#[derive(Clone, Copy, Debug)]
pub struct Excerpt<T>(pub T);

impl<T: Display> Display for Excerpt<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut writer = Writer {
            target: f,
            chars_left: MAX_CHARS,
            bytes_left_out: 0,
        };
        write!(writer, "{}", self.0)?;
        match writer.bytes_left_out {
            0 => Ok(()),
            bytes => write!(f, "... ({bytes} bytes more)"),
        }
    }
}

/// `Writer` escapes the start of what is written to it and counts the rest.
struct Writer<'a, 'f> {
    target: &'a mut fmt::Formatter<'f>,
    chars_left: usize,
    bytes_left_out: usize,
}

impl Write for Writer<'_, '_> {
    fn write_str(&mut self, s: &str) -> fmt::Result {
        for char in s.chars() {
            if self.chars_left == 0 {
                self.bytes_left_out += char.len_utf8();
                continue;
            }
            self.chars_left -= 1;
            if char == '\'' {
                self.target.write_char(char)?;
            } else {
                write!(self.target, "{}", char.escape_debug())?;
            }
        }
        Ok(())
    }
}
