//! A numbered log in the store: loading, appending, and settling lost answers by reading back.
//!
//! Entry `n` is the value of `PREFIX/log/N`, made by create-if-absent, so that exactly one writer
//! gets each number. Entries up to the floor in `PREFIX/snapshot` may have been removed; a number
//! that is made again below the floor is void, and the head is read after an entry to tell.

mod append;
mod read;

use std::collections::VecDeque;

use marigoldpick_core::prelude::*;
use marigoldpick_core::store::{Answer, Call, Expect, Fault, Item};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::gate::Gate;
use crate::settings::Settings;

/// Entries asked for at a time.
const PAGE: u32 = 64;
/// Snapshot parts asked for at a time.
const PARTS: u32 = 1;

/// `Entry` is an entry of a log.
pub trait Entry: Clone + Serialize + DeserializeOwned {
    /// Returns the entry's number.
    fn sequence(&self) -> u64;
    /// Returns the writer's unique id of this try.
    fn writer(&self) -> &str;
    /// Tells whether the entry must outlast trimming.
    fn lasts(&self) -> bool;
    /// Tells whether an accepted write needs the floor looked at: a writer that is behind the floor
    /// could otherwise make a removed number again.
    fn needs_floor(&self) -> bool;
}

/// `State` is what a log's entries add up to.
pub trait State: Clone + Default + Serialize + DeserializeOwned {
    /// The log's entries.
    type Entry: Entry;
    /// Returns the number of the last entry applied.
    fn sequence(&self) -> u64;
    /// Applies the next entry and returns whether it was the next.
    fn apply(&mut self, entry: &Self::Entry) -> bool;
}

/// `Head` names the latest snapshot; it is the value of `PREFIX/snapshot`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Head {
    /// The last entry in the snapshot.
    pub sequence: u64,
    /// Entries up to this one may have been removed.
    pub floor: u64,
    /// The start of the keys of the snapshot's parts.
    pub parts: String,
    /// The number of parts.
    pub count: u32,
}

/// `Step` is what an answer led to.
#[derive(Clone, Debug, PartialEq)]
pub enum Step<E> {
    /// The state is as new as the store's at the time of the last read.
    Fresh,
    /// The entry is in the log under its number, and applied.
    Appended(E),
    /// Another entry has the number; the state has it, and the own entry is void.
    Lost(E),
    /// The own entry was not written.
    Refused(E, Fault),
    /// A read failed.
    Failed(Fault),
}

#[derive(Clone, Debug, PartialEq)]
enum Stage {
    Idle,
    Head,
    Parts { head: Head, text: String, got: u32 },
    List,
    Floor,
    Put,
    PutFloor,
}

/// `Journal` follows and extends one log. It makes one call at a time.
#[derive(Clone, Debug)]
pub struct Journal<S: State> {
    prefix: String,
    state: S,
    stage: Stage,
    waiting: bool,
    page: Vec<S::Entry>,
    full: bool,
    gap: bool,
    append: Option<S::Entry>,
    doubtful: bool,
    refresh: bool,
    ready: bool,
    read_from: Millis,
    revision: u64,
    page_revision: u64,
    recent: VecDeque<S::Entry>,
    keep: usize,
}

/// Returns the prefix of the entries' keys.
#[must_use]
pub fn log_prefix(prefix: &str) -> String {
    format!("{prefix}/log/")
}

/// Returns the key of entry `sequence`.
#[must_use]
pub fn key(prefix: &str, sequence: u64) -> String {
    format!("{prefix}/log/{sequence:020}")
}

/// Returns the key of the head.
#[must_use]
pub fn head_key(prefix: &str) -> String {
    format!("{prefix}/snapshot")
}

impl<S: State> Journal<S> {
    /// Makes a journal that knows nothing yet.
    #[must_use]
    pub fn new(prefix: String, settings: &Settings) -> Self {
        Self {
            prefix,
            state: S::default(),
            stage: Stage::Idle,
            waiting: false,
            page: Vec::new(),
            full: false,
            gap: false,
            append: None,
            doubtful: false,
            refresh: false,
            ready: false,
            read_from: Millis::ZERO,
            revision: 0,
            page_revision: 0,
            recent: VecDeque::new(),
            keep: settings.recent,
        }
    }

    /// Returns the state.
    pub const fn state(&self) -> &S {
        &self.state
    }

    /// Returns the log's place in the store.
    pub fn prefix(&self) -> &str {
        &self.prefix
    }

    /// Tells whether the state was loaded once, from the store or from a peer.
    pub const fn is_ready(&self) -> bool {
        self.ready
    }

    /// Tells whether nothing is under way.
    pub fn is_idle(&self) -> bool {
        self.stage == Stage::Idle && self.append.is_none() && !self.refresh
    }

    /// Returns when the last read began: at [`Step::Fresh`] the state is as new as this.
    pub const fn read_from(&self) -> Millis {
        self.read_from
    }

    /// Tells whether an entry is being written.
    pub const fn is_appending(&self) -> bool {
        self.append.is_some()
    }

    /// Returns the entry that is being written.
    pub const fn appending(&self) -> Option<&S::Entry> {
        self.append.as_ref()
    }

    /// Tells whether the entry that is being written may or may not have taken effect.
    pub const fn is_doubtful(&self) -> bool {
        self.doubtful
    }

    /// Returns the store's revision at the last complete read.
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the entries after `sequence` if all of them are kept.
    pub fn entries_after(&self, sequence: u64) -> Option<Vec<S::Entry>> {
        if sequence >= self.state.sequence() {
            return Some(Vec::new());
        }
        let first = self.recent.front()?.sequence();
        if sequence + 1 < first {
            return None;
        }
        let skip = usize::try_from(sequence + 1 - first).unwrap_or(usize::MAX);
        Some(self.recent.iter().skip(skip).cloned().collect())
    }

    /// Returns an entry if it is kept.
    pub fn entry(&self, sequence: u64) -> Option<&S::Entry> {
        let first = self.recent.front()?.sequence();
        let at = usize::try_from(sequence.checked_sub(first)?).ok()?;
        self.recent.get(at)
    }

    /// Asks for a read of everything newer.
    pub const fn refresh(&mut self) {
        self.refresh = true;
    }

    /// Starts to append `entry`, whose number must be the next.
    pub fn append(&mut self, entry: S::Entry) {
        debug_assert!(self.append.is_none(), "one entry at a time");
        self.append = Some(entry);
    }

    /// Tells whether the entry that is being written may be in the store, now or later.
    pub fn may_be_written(&self) -> bool {
        self.doubtful || (self.waiting && self.stage == Stage::Put)
    }

    /// Gives up an entry that can't be in the store, and returns it.
    pub fn withdraw(&mut self) -> Option<S::Entry> {
        if self.may_be_written() {
            return None;
        }
        if self.stage == Stage::Put {
            self.stage = Stage::Idle;
        }
        self.append.take()
    }

    /// Takes entries from a peer, and tells whether the state advanced.
    pub fn take_entries(&mut self, entries: &[S::Entry]) -> bool {
        let before = self.state.sequence();
        for entry in entries {
            self.apply(entry);
        }
        let advanced = self.state.sequence() > before;
        self.ready |= advanced;
        advanced
    }

    /// Takes a peer's state when it is newer, and tells whether it was.
    pub fn take_state(&mut self, state: S) -> bool {
        if state.sequence() <= self.state.sequence() {
            return false;
        }
        self.state = state;
        self.recent.clear();
        self.ready = true;
        self.gap = false;
        true
    }

    /// Returns the call to make now, if any; each must be answered once.
    pub fn next(&mut self, now: Millis, gate: &Gate) -> Option<Call> {
        if self.waiting || !gate.is_open(now) {
            return None;
        }
        if self.stage == Stage::Idle {
            self.stage = self.begin()?;
            if self.stage != Stage::Put {
                self.read_from = now;
            }
        }
        self.waiting = true;
        Some(self.call())
    }

    fn begin(&self) -> Option<Stage> {
        if self.refresh && !self.doubtful {
            let first = !self.ready && self.state.sequence() == 0;
            return Some(if first { Stage::Head } else { Stage::List });
        }
        self.append.is_some().then_some(Stage::Put)
    }

    fn call(&self) -> Call {
        match &self.stage {
            Stage::Idle | Stage::Head | Stage::Floor | Stage::PutFloor => Call::Get {
                key: head_key(&self.prefix),
            },
            Stage::Parts { head, got, .. } => Call::List {
                prefix: head.parts.clone(),
                after: got
                    .checked_sub(1)
                    .map_or_else(String::new, |last| part_key(head, last)),
                limit: PARTS,
            },
            Stage::List => Call::List {
                prefix: log_prefix(&self.prefix),
                after: key(&self.prefix, self.state.sequence()),
                limit: PAGE,
            },
            Stage::Put => self.put(),
        }
    }

    fn put(&self) -> Call {
        let entry = self.append.as_ref().expect("an entry is being written");
        Call::Put {
            key: key(&self.prefix, entry.sequence()),
            value: serde_json::to_string(entry).expect("an entry is plain data"),
            expect: Expect::Absent,
            lease: None,
        }
    }

    /// Takes the answer to the last call.
    pub fn answer(
        &mut self,
        result: Result<Answer, Fault>,
        now: Millis,
        gate: &mut Gate,
    ) -> Vec<Step<S::Entry>> {
        self.waiting = false;
        match result {
            Ok(answer) => {
                gate.success();
                self.answered(answer)
            }
            Err(fault) => {
                gate.failure(now);
                self.failed(fault)
            }
        }
    }

    fn failed(&mut self, fault: Fault) -> Vec<Step<S::Entry>> {
        match self.stage {
            Stage::Put if fault == Fault::Unknown => {
                self.doubtful = true;
                Vec::new()
            }
            Stage::Put if !self.doubtful => {
                self.stage = Stage::Idle;
                let entry = self.append.take().expect("an entry is being written");
                vec![Step::Refused(entry, fault)]
            }
            // What was written is settled by trying on.
            Stage::Put | Stage::PutFloor => Vec::new(),
            _ => {
                self.stage = Stage::Idle;
                self.refresh = false;
                self.page.clear();
                vec![Step::Failed(fault)]
            }
        }
    }

    fn answered(&mut self, answer: Answer) -> Vec<Step<S::Entry>> {
        match (std::mem::replace(&mut self.stage, Stage::Idle), answer) {
            (Stage::Head, Answer::Item(item)) => self.loaded_head(item),
            (Stage::Parts { head, text, got }, Answer::Items { items, .. }) => {
                self.loaded_part(head, text, got, items)
            }
            (Stage::List, Answer::Items { items, revision }) => self.listed(&items, revision),
            (Stage::Floor, Answer::Item(item)) => self.checked(item),
            (Stage::Put, Answer::Written(_)) => self.written(),
            (Stage::Put, Answer::Conflict(item)) => self.conflict(item.as_ref()),
            (Stage::PutFloor, Answer::Item(item)) => self.floor_after_put(item),
            (Stage::Put, _) => {
                self.doubtful = true;
                self.stage = Stage::Put;
                Vec::new()
            }
            _ => self.broken(),
        }
    }

    /// Gives up a read whose answer makes no sense.
    fn broken(&mut self) -> Vec<Step<S::Entry>> {
        self.refresh = false;
        self.gap = false;
        vec![Step::Failed(Fault::Invalid)]
    }

    fn apply(&mut self, entry: &S::Entry) {
        if !self.state.apply(entry) {
            return;
        }
        self.recent.push_back(entry.clone());
        if self.recent.len() > self.keep {
            self.recent.pop_front();
        }
    }
}

/// Returns the key of a snapshot's part.
#[must_use]
pub fn part_key(head: &Head, number: u32) -> String {
    format!("{}{number:06}", head.parts)
}

/// Reads a head; what is not there is the head of an empty log.
#[must_use]
pub fn head_of(item: Option<Item>) -> Head {
    item.and_then(|item| serde_json::from_str(&item.value).ok())
        .unwrap_or_default()
}

fn parse<E: Entry>(item: &Item) -> Option<E> {
    serde_json::from_str(&item.value).ok()
}
