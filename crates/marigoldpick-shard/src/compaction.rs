//! Log compaction: snapshots of the state in the store, and removal of the entries they replace.

use marigoldpick_core::prelude::*;
use marigoldpick_core::store::{Answer, Call, Expect, Fault, Item};

use crate::backoff::Backoff;
use crate::journal::{
    Entry, Journal, Manifest, State, log_prefix, manifest_key, parse_manifest, part_key,
};

/// The largest part of a snapshot, in bytes.
///
/// Even with its quotes escaped, a part of this size is below the store's largest value.
const MAX_PART_BYTES: usize = 400 << 10;
/// Keys per list call when looking for entries or snapshot parts to remove.
const KEYS_PER_LIST: u32 = 64;

#[derive(Clone, Debug, PartialEq)]
enum Stage {
    Idle,
    Manifest,
    Part {
        manifest: Manifest,
        revision: Option<u64>,
        parts: Vec<String>,
        at: usize,
    },
    Swap {
        manifest: Manifest,
        revision: Option<u64>,
    },
    List {
        floor: u64,
        after: String,
    },
    Delete {
        floor: u64,
        after: String,
        keys: Vec<String>,
    },
    ListParts {
        sequence: u64,
    },
    DeleteParts {
        keys: Vec<String>,
    },
}

/// `Compactor` writes snapshots of a log and removes old entries.
///
/// At most one of its store calls is in flight.
#[derive(Clone, Debug)]
pub struct Compactor {
    stage: Stage,
    call_in_flight: bool,
    writer: String,
    entries_per_snapshot: u64,
    /// The sequence number at which the need for a compaction was last checked.
    checked_sequence: u64,
}

impl Compactor {
    /// Creates an idle compactor; `writer` must be unique to the process's incarnation.
    #[must_use]
    pub const fn new(writer: String, every: u64) -> Self {
        Self {
            stage: Stage::Idle,
            call_in_flight: false,
            writer,
            entries_per_snapshot: every,
            checked_sequence: 0,
        }
    }

    /// Returns the store call to make now, if any; each must be answered once.
    pub fn next_call<S: State>(
        &mut self,
        journal: &Journal<S>,
        now: Millis,
        backoff: &Backoff,
    ) -> Option<Call> {
        if self.call_in_flight || !backoff.has_elapsed(now) {
            return None;
        }
        let sequence = journal.state().sequence();
        if self.stage == Stage::Idle
            && sequence >= self.checked_sequence + self.entries_per_snapshot
        {
            self.checked_sequence = sequence;
            self.stage = Stage::Manifest;
        }
        let call = self.call(journal.prefix())?;
        self.call_in_flight = true;
        Some(call)
    }

    fn call(&self, prefix: &str) -> Option<Call> {
        Some(match &self.stage {
            Stage::Idle => return None,
            Stage::Manifest => Call::Get {
                key: manifest_key(prefix),
            },
            Stage::Part {
                manifest,
                parts,
                at,
                ..
            } => put(
                part_key(manifest, u32::try_from(*at).ok()?),
                parts[*at].clone(),
                Expect::Any,
            ),
            Stage::Swap { manifest, revision } => put(
                manifest_key(prefix),
                serde_json::to_string(manifest).expect("a manifest is plain data"),
                revision.map_or(Expect::Absent, Expect::Revision),
            ),
            Stage::List { after, .. } => list(log_prefix(prefix), after.clone()),
            Stage::ListParts { .. } => list(parts_prefix(prefix), String::new()),
            Stage::Delete { keys, .. } | Stage::DeleteParts { keys } => Call::Delete {
                key: keys.last()?.clone(),
                expect: Expect::Any,
            },
        })
    }

    /// Handles the result of the last call.
    ///
    /// A failure ends the current compaction; the next one removes what is left.
    pub fn handle_result<S: State>(
        &mut self,
        journal: &Journal<S>,
        result: Result<Answer, Fault>,
        now: Millis,
        backoff: &mut Backoff,
    ) {
        self.call_in_flight = false;
        let stage = std::mem::replace(&mut self.stage, Stage::Idle);
        let Ok(answer) = result else {
            backoff.record_failure(now);
            return;
        };
        backoff.record_success();
        self.stage = self.next_stage(journal, stage, answer);
    }

    fn next_stage<S: State>(&self, journal: &Journal<S>, stage: Stage, answer: Answer) -> Stage {
        match (stage, answer) {
            (Stage::Manifest, Answer::Item(item)) => self.begin_snapshot(journal, item),
            (
                Stage::Part {
                    manifest,
                    revision,
                    parts,
                    at,
                },
                Answer::Written(_),
            ) => {
                if at + 1 < parts.len() {
                    let at = at + 1;
                    Stage::Part {
                        manifest,
                        revision,
                        parts,
                        at,
                    }
                } else {
                    Stage::Swap { manifest, revision }
                }
            }
            (Stage::Swap { manifest, .. }, Answer::Written(_)) => Stage::List {
                floor: manifest.floor,
                after: String::new(),
            },
            (Stage::List { floor, .. }, Answer::Items { items, .. }) => {
                next_removal::<S>(journal.prefix(), floor, &items, journal.state().sequence())
            }
            (
                Stage::Delete {
                    floor,
                    after,
                    mut keys,
                },
                _,
            ) => {
                keys.pop();
                if keys.is_empty() {
                    Stage::List { floor, after }
                } else {
                    Stage::Delete { floor, after, keys }
                }
            }
            (Stage::ListParts { sequence }, Answer::Items { items, .. }) => {
                let keys = stale_parts(journal.prefix(), sequence, &items);
                delete_parts(keys)
            }
            (Stage::DeleteParts { mut keys }, _) => {
                keys.pop();
                delete_parts(keys)
            }
            _ => Stage::Idle,
        }
    }

    fn begin_snapshot<S: State>(&self, journal: &Journal<S>, item: Option<Item>) -> Stage {
        let revision = item.as_ref().map(|item| item.revision);
        let old = parse_manifest(item);
        let sequence = journal.state().sequence();
        if sequence < old.sequence + self.entries_per_snapshot {
            return Stage::Idle;
        }
        let text = serde_json::to_string(journal.state()).expect("a state is plain data");
        let parts = split_parts(&text);
        let manifest = Manifest {
            sequence,
            floor: old.sequence,
            parts: format!(
                "{}{sequence:020}-{}/",
                parts_prefix(journal.prefix()),
                self.writer
            ),
            count: u32::try_from(parts.len()).unwrap_or(u32::MAX),
        };
        Stage::Part {
            manifest,
            revision,
            parts,
            at: 0,
        }
    }
}

fn parts_prefix(prefix: &str) -> String {
    format!("{prefix}/part/")
}

fn put(key: String, value: String, expect: Expect) -> Call {
    Call::Put {
        key,
        value,
        expect,
        lease: None,
    }
}

const fn list(prefix: String, after: String) -> Call {
    Call::List {
        prefix,
        after,
        limit: KEYS_PER_LIST,
    }
}

/// Chooses the entries of a page that may be removed.
///
/// Permanent entries, those after the floor and the newest one are kept. An empty page, or one that
/// reaches past the floor and has nothing to remove, ends the removal of entries.
fn next_removal<S: State>(prefix: &str, floor: u64, items: &[Item], newest: u64) -> Stage {
    let Some(last) = items.last() else {
        return Stage::ListParts { sequence: floor };
    };
    let mut keys = Vec::new();
    for item in items {
        let Ok(entry) = serde_json::from_str::<S::Entry>(&item.value) else {
            continue;
        };
        if entry.sequence() > floor || entry.sequence() >= newest {
            break;
        }
        if !entry.is_permanent() {
            keys.push(item.key.clone());
        }
    }
    let past = last.key > crate::journal::entry_key(prefix, floor);
    match (keys.is_empty(), past) {
        (true, true) => Stage::ListParts { sequence: floor },
        (true, false) => Stage::List {
            floor,
            after: last.key.clone(),
        },
        (false, _) => Stage::Delete {
            floor,
            after: last.key.clone(),
            keys,
        },
    }
}

/// Returns the keys of the parts of snapshots that are older than the one at `sequence`.
fn stale_parts(prefix: &str, sequence: u64, items: &[Item]) -> Vec<String> {
    let limit = format!("{}{sequence:020}", parts_prefix(prefix));
    items
        .iter()
        .map(|item| item.key.clone())
        .filter(|key| *key < limit)
        .collect()
}

fn delete_parts(keys: Vec<String>) -> Stage {
    if keys.is_empty() {
        return Stage::Idle;
    }
    Stage::DeleteParts { keys }
}

/// Splits a text into parts at character boundaries.
fn split_parts(text: &str) -> Vec<String> {
    let mut parts = Vec::new();
    let mut rest = text;
    while rest.len() > MAX_PART_BYTES {
        let mut cut = MAX_PART_BYTES;
        while !rest.is_char_boundary(cut) {
            cut -= 1;
        }
        let (part, after) = rest.split_at(cut);
        parts.push(part.to_owned());
        rest = after;
    }
    parts.push(rest.to_owned());
    parts
}
