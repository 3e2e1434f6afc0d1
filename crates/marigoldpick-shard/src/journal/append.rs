//! Appending to a log: conflicts over the number, and the check against the floor.

use marigoldpick_core::store::Item;

use super::{Entry, Journal, Stage, State, Step, parse, parse_manifest};

impl<S: State> Journal<S> {
    pub(super) fn handle_written(&mut self) -> Vec<Step<S::Entry>> {
        let entry = self.append.as_ref().expect("an entry is being written");
        if entry.has_floor_check() {
            // The entry is in the log unless its number had been removed before.
            self.uncertain = true;
            self.stage = Stage::PutFloor;
            return Vec::new();
        }
        self.finish_append()
    }

    pub(super) fn handle_floor_after_put(&mut self, item: Option<Item>) -> Vec<Step<S::Entry>> {
        let manifest = parse_manifest(item);
        let entry = self.append.as_ref().expect("an entry is being written");
        if manifest.floor >= entry.sequence() {
            return self.supersede_append();
        }
        self.finish_append()
    }

    pub(super) fn finish_append(&mut self) -> Vec<Step<S::Entry>> {
        let entry = self.append.take().expect("an entry is being written");
        self.uncertain = false;
        self.apply(&entry);
        vec![Step::Appended(entry)]
    }

    pub(super) fn handle_conflict(&mut self, item: Option<&Item>) -> Vec<Step<S::Entry>> {
        let own = self.append.as_ref().expect("an entry is being written");
        let there: Option<S::Entry> = item.and_then(parse);
        if there.is_some_and(|entry| entry.writer() == own.writer()) {
            return self.handle_written();
        }
        self.supersede_append()
    }

    /// Abandons the append because its entry is permanently void.
    ///
    /// The entry that took its number is read before the owner is notified.
    pub(super) fn supersede_append(&mut self) -> Vec<Step<S::Entry>> {
        self.uncertain = false;
        self.refresh = true;
        self.stage = Stage::List;
        Vec::new()
    }
}
