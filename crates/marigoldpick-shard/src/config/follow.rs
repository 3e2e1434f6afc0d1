//! Following the log: the watch of the store, and what peers tell.

use marigoldpick_core::prelude::*;
use marigoldpick_core::store::{Answer, Call, Fault};

use super::{Log, Output, PREFIX};
use crate::journal::log_prefix;

impl Log {
    pub(super) fn watch(&mut self, on: bool) {
        if on && !self.watcher {
            self.journal.refresh();
        }
        self.watcher = on;
    }

    /// Waits for the next change once all up to now is read.
    pub(super) fn start_watch(&mut self, now: Millis, out: &mut Vec<Output>) {
        if self.watch_call.is_some() || !self.journal.is_idle() || !self.gate.is_open(now) {
            return;
        }
        let revision = self.watched.max(self.journal.revision());
        let request = Call::Watch {
            prefix: log_prefix(PREFIX),
            revision,
            wait: self.settings.watch_ms,
        };
        self.watch_call = Some(self.call(request, out));
    }

    pub(super) fn watched(&mut self, result: Result<Answer, Fault>, now: Millis) {
        match result {
            Ok(Answer::Items { items, revision }) => {
                self.gate.success();
                if items.is_empty() {
                    self.watched = revision;
                    self.fresh_at = Some(now);
                } else {
                    self.journal.refresh();
                }
            }
            Ok(_) => self.journal.refresh(),
            Err(_fault) => {
                self.gate.failure(now);
                self.journal.refresh();
            }
        }
    }

    /// Compares numbers with a peer: the one behind catches up, and one that is level may trust the
    /// peer's knowledge of the store.
    pub(super) fn peer(&mut self, sequence: u64, age: Millis, now: Millis, out: &mut Vec<Output>) {
        let own = self.state().sequence;
        if sequence > own {
            self.ask_peer(own, now, out);
        } else if age != Millis::MAX {
            let at = Millis(now.0.saturating_sub(age.0));
            self.fresh_at = Some(self.fresh_at.unwrap_or_default().max(at));
        }
    }

    fn ask_peer(&mut self, after: u64, now: Millis, out: &mut Vec<Output>) {
        let pause = self.settings.beat_ms;
        if self.asked_at.is_some_and(|at| now < at + pause) {
            return;
        }
        self.asked_at = Some(now);
        out.push(Output::NeedEntries { after });
    }
}
