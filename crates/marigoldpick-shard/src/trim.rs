//! Snapshots of a log's state in the store, and the removal of what they stand for.

use marigoldpick_core::prelude::*;
use marigoldpick_core::store::{Answer, Call, Expect, Fault, Item};

use crate::gate::Gate;
use crate::journal::{Entry, Head, Journal, State, head_key, head_of, log_prefix, part_key};

/// The largest part of a snapshot, in bytes: with its quotes escaped it stays below the store's
/// largest value.
const PART_LEN: usize = 400 << 10;
/// Entries looked at for removal at a time.
const PAGE: u32 = 64;

#[derive(Clone, Debug, PartialEq)]
enum Stage {
    Idle,
    Head,
    Part {
        head: Head,
        revision: Option<u64>,
        parts: Vec<String>,
        at: usize,
    },
    Swap {
        head: Head,
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

/// `Trim` writes snapshots and removes old entries, one call at a time.
#[derive(Clone, Debug)]
pub struct Trim {
    stage: Stage,
    waiting: bool,
    writer: String,
    every: u64,
    looked_at: u64,
}

impl Trim {
    /// Makes an idle one; `writer` is unique to the process's incarnation.
    #[must_use]
    pub const fn new(writer: String, every: u64) -> Self {
        Self {
            stage: Stage::Idle,
            waiting: false,
            writer,
            every,
            looked_at: 0,
        }
    }

    /// Returns the call to make now, if any; each must be answered once.
    pub fn next<S: State>(
        &mut self,
        journal: &Journal<S>,
        now: Millis,
        gate: &Gate,
    ) -> Option<Call> {
        if self.waiting || !gate.is_open(now) {
            return None;
        }
        let sequence = journal.state().sequence();
        if self.stage == Stage::Idle && sequence >= self.looked_at + self.every {
            self.looked_at = sequence;
            self.stage = Stage::Head;
        }
        let call = self.call(journal.prefix())?;
        self.waiting = true;
        Some(call)
    }

    fn call(&self, prefix: &str) -> Option<Call> {
        Some(match &self.stage {
            Stage::Idle => return None,
            Stage::Head => Call::Get {
                key: head_key(prefix),
            },
            Stage::Part {
                head, parts, at, ..
            } => put(
                part_key(head, u32::try_from(*at).ok()?),
                parts[*at].clone(),
                Expect::Any,
            ),
            Stage::Swap { head, revision } => put(
                head_key(prefix),
                serde_json::to_string(head).expect("a head is plain data"),
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

    /// Takes the answer to the last call. A failure ends this round; the next one goes on.
    pub fn answer<S: State>(
        &mut self,
        journal: &Journal<S>,
        result: Result<Answer, Fault>,
        now: Millis,
        gate: &mut Gate,
    ) {
        self.waiting = false;
        let stage = std::mem::replace(&mut self.stage, Stage::Idle);
        let Ok(answer) = result else {
            gate.failure(now);
            return;
        };
        gate.success();
        self.stage = self.after(journal, stage, answer);
    }

    fn after<S: State>(&self, journal: &Journal<S>, stage: Stage, answer: Answer) -> Stage {
        match (stage, answer) {
            (Stage::Head, Answer::Item(item)) => self.plan(journal, item),
            (
                Stage::Part {
                    head,
                    revision,
                    parts,
                    at,
                },
                Answer::Written(_),
            ) => {
                if at + 1 < parts.len() {
                    let at = at + 1;
                    Stage::Part {
                        head,
                        revision,
                        parts,
                        at,
                    }
                } else {
                    Stage::Swap { head, revision }
                }
            }
            (Stage::Swap { head, .. }, Answer::Written(_)) => Stage::List {
                floor: head.floor,
                after: String::new(),
            },
            (Stage::List { floor, .. }, Answer::Items { items, .. }) => {
                removable::<S>(journal.prefix(), floor, &items, journal.state().sequence())
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
                let keys = old_parts(journal.prefix(), sequence, &items);
                delete_parts(keys)
            }
            (Stage::DeleteParts { mut keys }, _) => {
                keys.pop();
                delete_parts(keys)
            }
            _ => Stage::Idle,
        }
    }

    fn plan<S: State>(&self, journal: &Journal<S>, item: Option<Item>) -> Stage {
        let revision = item.as_ref().map(|item| item.revision);
        let old = head_of(item);
        let sequence = journal.state().sequence();
        if sequence < old.sequence + self.every {
            return Stage::Idle;
        }
        let text = serde_json::to_string(journal.state()).expect("a state is plain data");
        let parts = split(&text);
        let head = Head {
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
            head,
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
        limit: PAGE,
    }
}

/// Picks what may go from a page of entries; an empty page or one past the floor ends the removal.
fn removable<S: State>(prefix: &str, floor: u64, items: &[Item], newest: u64) -> Stage {
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
        if !entry.lasts() {
            keys.push(item.key.clone());
        }
    }
    let past = last.key > crate::journal::key(prefix, floor);
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

fn old_parts(prefix: &str, sequence: u64, items: &[Item]) -> Vec<String> {
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

/// Cuts a text into parts at character borders.
fn split(text: &str) -> Vec<String> {
    let mut parts = Vec::new();
    let mut rest = text;
    while rest.len() > PART_LEN {
        let mut cut = PART_LEN;
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
