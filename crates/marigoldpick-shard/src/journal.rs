//! A numbered log in the store: loading, appending, and resolving lost answers by reading back.
//!
//! Entry `n` is the value of `PREFIX/log/N`. It is created only if absent, so that exactly one writer
//! gets each number. Entries up to the floor in the manifest `PREFIX/snapshot` may have been removed.
//! An entry that is created again at or below the floor is void; to detect that, the manifest is read
//! after the entry.

mod append;
mod read;

use std::collections::VecDeque;

use marigoldpick_core::prelude::*;
use marigoldpick_core::store::{Answer, Call, Expect, Fault, Item};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::backoff::Backoff;
use crate::settings::Settings;

/// Entries per list call.
const ENTRIES_PER_LIST: u32 = 64;
/// Snapshot parts per list call.
const PARTS_PER_LIST: u32 = 1;

/// `Entry` is an entry of a log.
pub trait Entry: Clone + Serialize + DeserializeOwned {
    /// Returns the entry's sequence number.
    fn sequence(&self) -> u64;
    /// Returns the writer's unique id of this attempt to append.
    fn writer(&self) -> &str;
    /// Returns whether compaction must keep the entry.
    fn is_permanent(&self) -> bool;
    /// Returns whether the floor must be checked after the entry was written.
    ///
    /// Without the check a writer that is behind the floor could create a removed entry again.
    fn has_floor_check(&self) -> bool;
}

/// `State` is the result of applying a log's entries in order.
pub trait State: Clone + Default + Serialize + DeserializeOwned {
    /// The log's entries.
    type Entry: Entry;
    /// Returns the sequence number of the last entry applied.
    fn sequence(&self) -> u64;
    /// Applies an entry if it is the next, and returns whether it was.
    fn apply(&mut self, entry: &Self::Entry) -> bool;
}

/// `Manifest` describes the latest snapshot; it is the value of `PREFIX/snapshot`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Manifest {
    /// The sequence number of the last entry in the snapshot.
    pub sequence: u64,
    /// Entries up to this one may have been removed.
    pub floor: u64,
    /// The key prefix of the snapshot's parts.
    pub parts: String,
    /// The number of parts.
    pub count: u32,
}

/// `Step` is the result of a store answer.
#[derive(Clone, Debug, PartialEq)]
pub enum Step<E> {
    /// The log was read to its end.
    CaughtUp,
    /// The entry is in the log at its number, and is applied.
    Appended(E),
    /// Another entry has taken the number and is applied; the appended entry is void.
    Superseded(E),
    /// The appended entry was not written.
    Refused(E, Fault),
    /// A read failed.
    Failed(Fault),
}

#[derive(Clone, Debug, PartialEq)]
enum Stage {
    Idle,
    Manifest,
    Parts {
        manifest: Manifest,
        text: String,
        at: u32,
    },
    List,
    /// Checks the floor after entries were listed.
    Floor,
    Put,
    /// Checks the floor after the entry was written.
    PutFloor,
}

/// `Journal` follows and extends one log, with at most one store call in flight.
#[derive(Clone, Debug)]
pub struct Journal<S: State> {
    prefix: String,
    state: S,
    stage: Stage,
    /// Whether a store call was made and not yet answered.
    call_in_flight: bool,
    /// The entries of the last list call, until the floor was checked.
    page: Vec<S::Entry>,
    /// Whether the last list call may have left entries out.
    page_full: bool,
    /// Whether entries are missing between the state and those listed, so that a snapshot is needed.
    has_gap: bool,
    /// The entry that is being written.
    append: Option<S::Entry>,
    /// Whether that entry may or may not have taken effect.
    uncertain: bool,
    /// Whether a read was requested.
    refresh: bool,
    /// Whether the state was loaded at least once.
    ready: bool,
    /// When the last read began.
    read_from: Millis,
    /// The store's revision at the last complete read.
    revision: u64,
    page_revision: u64,
    /// The last entries applied, for peers.
    recent: VecDeque<S::Entry>,
    recent_limit: usize,
}

/// Returns the key prefix of the log's entries.
#[must_use]
pub fn log_prefix(prefix: &str) -> String {
    format!("{prefix}/log/")
}

/// Returns the key of entry `sequence`.
#[must_use]
pub fn entry_key(prefix: &str, sequence: u64) -> String {
    format!("{prefix}/log/{sequence:020}")
}

/// Returns the key of the manifest.
#[must_use]
pub fn manifest_key(prefix: &str) -> String {
    format!("{prefix}/snapshot")
}

impl<S: State> Journal<S> {
    /// Creates an empty journal.
    #[must_use]
    pub fn new(prefix: String, settings: &Settings) -> Self {
        Self {
            prefix,
            state: S::default(),
            stage: Stage::Idle,
            call_in_flight: false,
            page: Vec::new(),
            page_full: false,
            has_gap: false,
            append: None,
            uncertain: false,
            refresh: false,
            ready: false,
            read_from: Millis::ZERO,
            revision: 0,
            page_revision: 0,
            recent: VecDeque::new(),
            recent_limit: settings.recent,
        }
    }

    /// Returns the state.
    pub const fn state(&self) -> &S {
        &self.state
    }

    /// Returns the key prefix of the log in the store.
    pub fn prefix(&self) -> &str {
        &self.prefix
    }

    /// Returns whether the state was loaded, from the store or from a peer.
    pub const fn is_ready(&self) -> bool {
        self.ready
    }

    /// Returns whether no read and no append is in progress or requested.
    pub fn is_idle(&self) -> bool {
        self.stage == Stage::Idle && self.append.is_none() && !self.refresh
    }

    /// Returns when the last read began.
    ///
    /// At [`Step::CaughtUp`] the state is at least as new as this.
    pub const fn read_from(&self) -> Millis {
        self.read_from
    }

    /// Returns whether an entry is being written.
    pub const fn is_appending(&self) -> bool {
        self.append.is_some()
    }

    /// Returns the entry that is being written.
    pub const fn appending(&self) -> Option<&S::Entry> {
        self.append.as_ref()
    }

    /// Returns whether the outcome of the write in progress is unknown.
    pub const fn is_uncertain(&self) -> bool {
        self.uncertain
    }

    /// Returns the store's revision at the last complete read.
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the entries after `sequence` if all of them are kept in memory.
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

    /// Returns an entry if it is kept in memory.
    pub fn entry(&self, sequence: u64) -> Option<&S::Entry> {
        let first = self.recent.front()?.sequence();
        let at = usize::try_from(sequence.checked_sub(first)?).ok()?;
        self.recent.get(at)
    }

    /// Requests a read of all newer entries.
    pub const fn refresh(&mut self) {
        self.refresh = true;
    }

    /// Starts to append `entry`, whose sequence number must be the next.
    pub fn append(&mut self, entry: S::Entry) {
        debug_assert!(self.append.is_none(), "one entry at a time");
        self.append = Some(entry);
    }

    /// Returns whether the entry being written may be in the store, now or later.
    pub fn may_be_written(&self) -> bool {
        self.uncertain || (self.call_in_flight && self.stage == Stage::Put)
    }

    /// Abandons and returns the entry being written, unless it may be in the store.
    pub fn withdraw(&mut self) -> Option<S::Entry> {
        if self.may_be_written() {
            return None;
        }
        if self.stage == Stage::Put {
            self.stage = Stage::Idle;
        }
        self.append.take()
    }

    /// Applies entries from a peer, and returns whether the state advanced.
    pub fn take_entries(&mut self, entries: &[S::Entry]) -> bool {
        let before = self.state.sequence();
        for entry in entries {
            self.apply(entry);
        }
        let advanced = self.state.sequence() > before;
        self.ready |= advanced;
        advanced
    }

    /// Adopts a peer's state if it is newer, and returns whether it was.
    pub fn take_state(&mut self, state: S) -> bool {
        if state.sequence() <= self.state.sequence() {
            return false;
        }
        self.state = state;
        self.recent.clear();
        self.ready = true;
        self.has_gap = false;
        true
    }

    /// Returns the store call to make now, if any; each must be answered once.
    pub fn next_call(&mut self, now: Millis, backoff: &Backoff) -> Option<Call> {
        if self.call_in_flight || !backoff.has_elapsed(now) {
            return None;
        }
        if self.stage == Stage::Idle {
            self.stage = self.next_stage()?;
            if self.stage != Stage::Put {
                self.read_from = now;
            }
        }
        self.call_in_flight = true;
        Some(self.call())
    }

    fn next_stage(&self) -> Option<Stage> {
        if self.refresh && !self.uncertain {
            let first = !self.ready && self.state.sequence() == 0;
            return Some(if first { Stage::Manifest } else { Stage::List });
        }
        self.append.is_some().then_some(Stage::Put)
    }

    fn call(&self) -> Call {
        match &self.stage {
            Stage::Idle | Stage::Manifest | Stage::Floor | Stage::PutFloor => Call::Get {
                key: manifest_key(&self.prefix),
            },
            Stage::Parts { manifest, at, .. } => Call::List {
                prefix: manifest.parts.clone(),
                after: at
                    .checked_sub(1)
                    .map_or_else(String::new, |last| part_key(manifest, last)),
                limit: PARTS_PER_LIST,
            },
            Stage::List => Call::List {
                prefix: log_prefix(&self.prefix),
                after: entry_key(&self.prefix, self.state.sequence()),
                limit: ENTRIES_PER_LIST,
            },
            Stage::Put => self.put(),
        }
    }

    fn put(&self) -> Call {
        let entry = self.append.as_ref().expect("an entry is being written");
        Call::Put {
            key: entry_key(&self.prefix, entry.sequence()),
            value: serde_json::to_string(entry).expect("an entry is plain data"),
            expect: Expect::Absent,
            lease: None,
        }
    }

    /// Handles the result of the last call.
    pub fn handle_result(
        &mut self,
        result: Result<Answer, Fault>,
        now: Millis,
        backoff: &mut Backoff,
    ) -> Vec<Step<S::Entry>> {
        self.call_in_flight = false;
        match result {
            Ok(answer) => {
                backoff.record_success();
                self.handle_answer(answer)
            }
            Err(fault) => {
                backoff.record_failure(now);
                self.handle_fault(fault)
            }
        }
    }

    fn handle_fault(&mut self, fault: Fault) -> Vec<Step<S::Entry>> {
        match self.stage {
            Stage::Put if fault == Fault::Unknown => {
                self.uncertain = true;
                Vec::new()
            }
            Stage::Put if !self.uncertain => {
                self.stage = Stage::Idle;
                let entry = self.append.take().expect("an entry is being written");
                vec![Step::Refused(entry, fault)]
            }
            // The call is retried until its outcome is known.
            Stage::Put | Stage::PutFloor => Vec::new(),
            _ => {
                self.stage = Stage::Idle;
                self.refresh = false;
                self.page.clear();
                vec![Step::Failed(fault)]
            }
        }
    }

    fn handle_answer(&mut self, answer: Answer) -> Vec<Step<S::Entry>> {
        match (std::mem::replace(&mut self.stage, Stage::Idle), answer) {
            (Stage::Manifest, Answer::Item(item)) => self.handle_manifest(item),
            (Stage::Parts { manifest, text, at }, Answer::Items { items, .. }) => {
                self.handle_part(manifest, text, at, items)
            }
            (Stage::List, Answer::Items { items, revision }) => self.handle_list(&items, revision),
            (Stage::Floor, Answer::Item(item)) => self.handle_floor_check(item),
            (Stage::Put, Answer::Written(_)) => self.handle_written(),
            (Stage::Put, Answer::Conflict(item)) => self.handle_conflict(item.as_ref()),
            (Stage::PutFloor, Answer::Item(item)) => self.handle_floor_after_put(item),
            (Stage::Put, _) => {
                self.uncertain = true;
                self.stage = Stage::Put;
                Vec::new()
            }
            _ => self.abort_read(),
        }
    }

    /// Abandons a read whose answer is invalid.
    fn abort_read(&mut self) -> Vec<Step<S::Entry>> {
        self.refresh = false;
        self.has_gap = false;
        vec![Step::Failed(Fault::Invalid)]
    }

    fn apply(&mut self, entry: &S::Entry) {
        if !self.state.apply(entry) {
            return;
        }
        self.recent.push_back(entry.clone());
        if self.recent.len() > self.recent_limit {
            self.recent.pop_front();
        }
    }
}

/// Returns the key of a snapshot part.
#[must_use]
pub fn part_key(manifest: &Manifest, number: u32) -> String {
    format!("{}{number:06}", manifest.parts)
}

/// Parses a manifest; a missing or unreadable one means an empty log.
#[must_use]
pub fn parse_manifest(item: Option<Item>) -> Manifest {
    item.and_then(|item| serde_json::from_str(&item.value).ok())
        .unwrap_or_default()
}

fn parse<E: Entry>(item: &Item) -> Option<E> {
    serde_json::from_str(&item.value).ok()
}
