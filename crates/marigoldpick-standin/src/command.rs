//! What a task's command tells the stand-in to do.
//!
//! A command is words such as `run_ms=500 fail_percent=10 work_ms=20 forever`. Words that mean
//! nothing here are left to others.

use marigoldpick_core::prelude::*;

/// `Command` is what a command says; what it leaves open is drawn.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Command {
    /// The true run time.
    pub(crate) run: Option<Millis>,
    /// Whether the task runs until it is stopped.
    pub(crate) forever: bool,
    /// How many of a hundred runs fail.
    pub(crate) fail_percent: u32,
    /// The time for a request at the fastest endpoint.
    pub(crate) work: Option<Millis>,
    /// The true size in hundredths of the declared one.
    pub(crate) size_percent: Option<u32>,
}

impl Command {
    /// Reads the words that the stand-in knows.
    pub(crate) fn read(text: &str) -> Self {
        let mut command = Self::default();
        for word in text.split_whitespace() {
            command.read_word(word);
        }
        command
    }

    fn read_word(&mut self, word: &str) {
        let (key, value) = word.split_once('=').unwrap_or((word, ""));
        match key {
            "forever" => self.forever = true,
            "run_ms" => self.run = value.parse().ok().map(Millis),
            "work_ms" => self.work = value.parse().ok().map(Millis),
            "fail_percent" => self.fail_percent = value.parse().unwrap_or_default(),
            "size_percent" => self.size_percent = value.parse().ok(),
            _ => {}
        }
    }
}
