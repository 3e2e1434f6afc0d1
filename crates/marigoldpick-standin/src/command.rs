//! Parses the behaviour of a simulated task from its command.
//!
//! A command is a list of words such as `run_ms=500 fail_percent=10 work_ms=20 forever`. Unknown
//! words are ignored, so that a command may carry words for other programs too.

use marigoldpick_core::prelude::*;

/// `Command` is the behaviour that a command sets; values that it does not set are drawn.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Command {
    /// The actual run time.
    pub(crate) run_time: Option<Millis>,
    /// Whether the task runs until it is stopped.
    pub(crate) forever: bool,
    /// The percentage of runs that fail.
    pub(crate) fail_percent: u32,
    /// The time that the fastest endpoint takes for a request.
    pub(crate) work_time: Option<Millis>,
    /// The actual size in percent of the declared one.
    pub(crate) size_percent: Option<u32>,
}

impl Command {
    /// Parses the words that the stand-in knows.
    pub(crate) fn parse(text: &str) -> Self {
        let mut command = Self::default();
        for word in text.split_whitespace() {
            command.parse_word(word);
        }
        command
    }

    fn parse_word(&mut self, word: &str) {
        let (key, value) = word.split_once('=').unwrap_or((word, ""));
        match key {
            "forever" => self.forever = true,
            "run_ms" => self.run_time = value.parse().ok().map(Millis),
            "work_ms" => self.work_time = value.parse().ok().map(Millis),
            "fail_percent" => self.fail_percent = value.parse().unwrap_or_default(),
            "size_percent" => self.size_percent = value.parse().ok(),
            _ => {}
        }
    }
}
