//! Following the log through a watch of the store and the heartbeats of peers.

use marigoldpick_core::prelude::*;
use marigoldpick_core::store::{Answer, Call, Fault};

use super::{Log, Output, PREFIX};
use crate::journal::log_prefix;

impl Log {
    pub(super) fn set_watcher(&mut self, on: bool) {
        if on && !self.watcher {
            self.journal.refresh();
        }
        self.watcher = on;
    }

    /// Starts a watch for the next change once the log was read to its end.
    pub(super) fn start_watch(&mut self, now: Millis, out: &mut Vec<Output>) {
        if self.watch_call.is_some() || !self.journal.is_idle() || !self.backoff.has_elapsed(now) {
            return;
        }
        let revision = self.watched_revision.max(self.journal.revision());
        let request = Call::Watch {
            prefix: log_prefix(PREFIX),
            revision,
            wait: self.settings.watch_ms,
        };
        self.watch_call = Some(self.send_store_call(request, out));
    }

    pub(super) fn handle_watch_answer(&mut self, result: Result<Answer, Fault>, now: Millis) {
        match result {
            Ok(Answer::Items { items, revision }) => {
                self.backoff.record_success();
                if items.is_empty() {
                    self.watched_revision = revision;
                    self.fresh_at = Some(now);
                } else {
                    self.journal.refresh();
                }
            }
            Ok(_) => self.journal.refresh(),
            Err(_fault) => {
                self.backoff.record_failure(now);
                self.journal.refresh();
            }
        }
    }

    /// Compares sequence numbers with a peer.
    ///
    /// An entry that is behind requests the missing entries. Otherwise it may rely on the peer's
    /// knowledge of the store.
    pub(super) fn compare_with_peer(
        &mut self,
        sequence: u64,
        age: Millis,
        now: Millis,
        out: &mut Vec<Output>,
    ) {
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
        if self.peer_asked_at.is_some_and(|at| now < at + pause) {
            return;
        }
        self.peer_asked_at = Some(now);
        out.push(Output::NeedEntries { after });
    }
}
