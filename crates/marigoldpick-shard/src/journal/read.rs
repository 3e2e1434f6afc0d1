//! Reading a log: the snapshot, the entries after it, and the floor.

use marigoldpick_core::store::Item;

use super::{
    ENTRIES_PER_LIST, Entry, Journal, Manifest, Stage, State, Step, parse, parse_manifest,
};

impl<S: State> Journal<S> {
    pub(super) fn handle_manifest(&mut self, item: Option<Item>) -> Vec<Step<S::Entry>> {
        let manifest = parse_manifest(item);
        let newer = manifest.sequence > self.state.sequence();
        if self.has_gap && !newer {
            return self.abort_read();
        }
        self.stage = if newer {
            Stage::Parts {
                manifest,
                text: String::new(),
                at: 0,
            }
        } else {
            Stage::List
        };
        Vec::new()
    }

    pub(super) fn handle_part(
        &mut self,
        manifest: Manifest,
        mut text: String,
        mut at: u32,
        items: Vec<Item>,
    ) -> Vec<Step<S::Entry>> {
        if items.is_empty() {
            // A newer snapshot has replaced this one.
            self.stage = Stage::Manifest;
            return Vec::new();
        }
        for item in items {
            text.push_str(&item.value);
            at += 1;
        }
        if at < manifest.count {
            self.stage = Stage::Parts { manifest, text, at };
            return Vec::new();
        }
        match serde_json::from_str(&text) {
            Ok(state) => {
                self.take_state(state);
                self.stage = Stage::List;
                Vec::new()
            }
            Err(_source) => self.abort_read(),
        }
    }

    pub(super) fn handle_list(&mut self, items: &[Item], revision: u64) -> Vec<Step<S::Entry>> {
        self.page_revision = revision;
        self.page_full = items.len() >= ENTRIES_PER_LIST as usize;
        self.page = items.iter().filter_map(parse).collect();
        if self.page.len() < items.len() {
            return self.abort_read();
        }
        // Peers may have delivered some of the entries in the meantime.
        let known = self.state.sequence();
        self.page.retain(|entry| entry.sequence() > known);
        if self.page.is_empty() {
            return self.finish_read();
        }
        self.has_gap = !(known + 1..)
            .zip(&self.page)
            .all(|(n, entry)| entry.sequence() == n);
        self.stage = if self.has_gap {
            Stage::Manifest
        } else {
            Stage::Floor
        };
        Vec::new()
    }

    pub(super) fn handle_floor_check(&mut self, item: Option<Item>) -> Vec<Step<S::Entry>> {
        let manifest = parse_manifest(item);
        let page = std::mem::take(&mut self.page);
        if page
            .first()
            .is_some_and(|entry| manifest.floor >= entry.sequence())
        {
            self.stage = Stage::Manifest;
            return Vec::new();
        }
        self.take_entries(&page);
        if self.page_full {
            self.stage = Stage::List;
            return Vec::new();
        }
        self.finish_read()
    }

    pub(super) fn finish_read(&mut self) -> Vec<Step<S::Entry>> {
        self.revision = self.page_revision;
        self.refresh = false;
        self.ready = true;
        let mut steps = vec![Step::CaughtUp];
        // One of the entries read has taken the number of the entry to be appended.
        let overtaken = |entry: &S::Entry| entry.sequence() <= self.state.sequence();
        if !self.uncertain && self.append.as_ref().is_some_and(overtaken) {
            let entry = self.append.take().expect("it was just looked at");
            steps.push(Step::Superseded(entry));
        }
        steps
    }
}
