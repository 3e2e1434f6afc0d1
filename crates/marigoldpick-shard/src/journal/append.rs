//! Appending to a log: whose entry the number has, and whether the number still counts.

use marigoldpick_core::store::Item;

use super::{Entry, Journal, Stage, State, Step, head_of, parse};

impl<S: State> Journal<S> {
    pub(super) fn written(&mut self) -> Vec<Step<S::Entry>> {
        let entry = self.append.as_ref().expect("an entry is being written");
        if entry.needs_floor() {
            // It is in the log unless the number had been removed before.
            self.doubtful = true;
            self.stage = Stage::PutFloor;
            return Vec::new();
        }
        self.appended()
    }

    pub(super) fn floor_after_put(&mut self, item: Option<Item>) -> Vec<Step<S::Entry>> {
        let head = head_of(item);
        let entry = self.append.as_ref().expect("an entry is being written");
        if head.floor >= entry.sequence() {
            return self.lost();
        }
        self.appended()
    }

    pub(super) fn appended(&mut self) -> Vec<Step<S::Entry>> {
        let entry = self.append.take().expect("an entry is being written");
        self.doubtful = false;
        self.apply(&entry);
        vec![Step::Appended(entry)]
    }

    pub(super) fn conflict(&mut self, item: Option<&Item>) -> Vec<Step<S::Entry>> {
        let own = self.append.as_ref().expect("an entry is being written");
        let there: Option<S::Entry> = item.and_then(parse);
        if there.is_some_and(|entry| entry.writer() == own.writer()) {
            return self.written();
        }
        self.lost()
    }

    /// The own entry is void for good. What won is read before the owner is told.
    pub(super) fn lost(&mut self) -> Vec<Step<S::Entry>> {
        self.doubtful = false;
        self.refresh = true;
        self.stage = Stage::List;
        Vec::new()
    }
}
