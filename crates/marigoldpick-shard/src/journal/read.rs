//! Reading a log: the snapshot, the entries behind it, and the floor.

use marigoldpick_core::store::Item;

use super::{Entry, Head, Journal, PAGE, Stage, State, Step, head_of, parse};

impl<S: State> Journal<S> {
    pub(super) fn loaded_head(&mut self, item: Option<Item>) -> Vec<Step<S::Entry>> {
        let head = head_of(item);
        let newer = head.sequence > self.state.sequence();
        if self.gap && !newer {
            return self.broken();
        }
        self.stage = if newer {
            Stage::Parts {
                head,
                text: String::new(),
                got: 0,
            }
        } else {
            Stage::List
        };
        Vec::new()
    }

    pub(super) fn loaded_part(
        &mut self,
        head: Head,
        mut text: String,
        mut got: u32,
        items: Vec<Item>,
    ) -> Vec<Step<S::Entry>> {
        if items.is_empty() {
            // A newer snapshot has replaced this one.
            self.stage = Stage::Head;
            return Vec::new();
        }
        for item in items {
            text.push_str(&item.value);
            got += 1;
        }
        if got < head.count {
            self.stage = Stage::Parts { head, text, got };
            return Vec::new();
        }
        match serde_json::from_str(&text) {
            Ok(state) => {
                self.take_state(state);
                self.stage = Stage::List;
                Vec::new()
            }
            Err(_source) => self.broken(),
        }
    }

    pub(super) fn listed(&mut self, items: &[Item], revision: u64) -> Vec<Step<S::Entry>> {
        self.page_revision = revision;
        self.full = items.len() >= PAGE as usize;
        self.page = items.iter().filter_map(parse).collect();
        if self.page.len() < items.len() {
            return self.broken();
        }
        // Peers may have brought some of it meanwhile.
        let known = self.state.sequence();
        self.page.retain(|entry| entry.sequence() > known);
        if self.page.is_empty() {
            return self.fresh();
        }
        self.gap = !(known + 1..)
            .zip(&self.page)
            .all(|(n, entry)| entry.sequence() == n);
        self.stage = if self.gap { Stage::Head } else { Stage::Floor };
        Vec::new()
    }

    pub(super) fn checked(&mut self, item: Option<Item>) -> Vec<Step<S::Entry>> {
        let head = head_of(item);
        let page = std::mem::take(&mut self.page);
        if page
            .first()
            .is_some_and(|entry| head.floor >= entry.sequence())
        {
            self.stage = Stage::Head;
            return Vec::new();
        }
        self.take_entries(&page);
        if self.full {
            self.stage = Stage::List;
            return Vec::new();
        }
        self.fresh()
    }

    pub(super) fn fresh(&mut self) -> Vec<Step<S::Entry>> {
        self.revision = self.page_revision;
        self.refresh = false;
        self.ready = true;
        let mut steps = vec![Step::Fresh];
        // What was to be appended has lost its number to what was read.
        let overtaken = |entry: &S::Entry| entry.sequence() <= self.state.sequence();
        if !self.doubtful && self.append.as_ref().is_some_and(overtaken) {
            let entry = self.append.take().expect("it was just looked at");
            steps.push(Step::Lost(entry));
        }
        steps
    }
}
