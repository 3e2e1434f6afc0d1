//! The interface of the platform's key-value store.

use displaydoc::Display;
use serde::{Deserialize, Serialize};

use crate::clock::Millis;

/// The maximum size of a value, in bytes.
pub const MAX_VALUE_BYTES: usize = 1 << 20;

/// `Expect` is the condition under which a write takes effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Expect {
    /// Always holds.
    Any,
    /// Holds if the key does not exist.
    Absent,
    /// Holds if the key has this revision.
    Revision(u64),
}

/// `Item` is a key with its value and revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Item {
    /// The key.
    pub key: String,
    /// The value, a text of at most [`MAX_VALUE_BYTES`] bytes.
    pub value: String,
    /// The revision of the write that made this value. The store numbers all writes in one
    /// sequence.
    pub revision: u64,
}

/// `Call` is a request to the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum Call {
    /// Reads one key.
    Get {
        /// The key.
        key: String,
    },
    /// Reads the keys that begin with `prefix` and come after `after`, in ascending order.
    List {
        /// The start of the keys.
        prefix: String,
        /// Keys up to and including this one are left out; empty for none.
        after: String,
        /// The maximum number of items to return.
        limit: u32,
    },
    /// Writes one key, if the condition holds.
    Put {
        /// The key.
        key: String,
        /// The value.
        value: String,
        /// The condition.
        expect: Expect,
        /// The lease with whose end the key is removed, if any.
        lease: Option<u64>,
    },
    /// Removes one key, if the condition holds.
    Delete {
        /// The key.
        key: String,
        /// The condition.
        expect: Expect,
    },
    /// Waits until a key with `prefix` changes after `revision`, or until `wait` has passed.
    Watch {
        /// The start of the keys.
        prefix: String,
        /// The last revision that is known.
        revision: u64,
        /// The longest wait.
        wait: Millis,
    },
    /// Reads a page of the keys that begin with `prefix` and come after `after`, in ascending
    /// order.
    Range {
        /// The start of the keys.
        prefix: String,
        /// Keys up to and including this one are left out; empty for none.
        after: String,
        /// Whether the answer may be seconds old; such a read costs a tenth of a current one.
        stale: bool,
        /// Whether the answer may be as large as a page can be, which takes a slow link seconds.
        large: bool,
    },
    /// Writes and removes several keys in one transaction, if all conditions hold.
    Commit {
        /// The conditions.
        expect: Vec<Condition>,
        /// The writes.
        puts: Vec<Write>,
        /// The keys to remove.
        deletes: Vec<String>,
    },
    /// Waits until a key with `prefix` is written or removed after `revision`, or until `wait` has
    /// passed.
    Follow {
        /// The start of the keys.
        prefix: String,
        /// The last revision that is known.
        revision: u64,
        /// The longest wait.
        wait: Millis,
    },
    /// Creates a lease.
    Grant {
        /// The duration of the lease.
        span: Millis,
    },
    /// Renews a lease.
    Renew {
        /// The lease.
        lease: u64,
    },
    /// Ends a lease and removes its keys.
    Revoke {
        /// The lease.
        lease: u64,
    },
}

impl Call {
    /// Returns the name of the call's kind, for metrics.
    #[must_use]
    pub const fn kind(&self) -> &'static str {
        match self {
            Self::Get { .. } => "get",
            Self::List { .. } => "list",
            Self::Put { .. } => "put",
            Self::Delete { .. } => "delete",
            Self::Watch { .. } => "watch",
            Self::Range { .. } => "range",
            Self::Commit { .. } => "commit",
            Self::Follow { .. } => "follow",
            Self::Grant { .. } => "grant",
            Self::Renew { .. } => "renew",
            Self::Revoke { .. } => "revoke",
        }
    }

    /// Returns whether the call counts as a write.
    #[must_use]
    pub const fn is_write(&self) -> bool {
        !matches!(
            self,
            Self::Get { .. }
                | Self::List { .. }
                | Self::Watch { .. }
                | Self::Range { .. }
                | Self::Follow { .. }
        )
    }
}

/// `Answer` is the response to a [`Call`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Answer {
    /// Answers `Get`; `None` if the key does not exist.
    Item(Option<Item>),
    /// Answers `List` and `Watch`.
    Items {
        /// The items, ascending by key; for `Watch` those that changed after the given revision.
        items: Vec<Item>,
        /// The store's revision at the time of the read.
        revision: u64,
    },
    /// Answers `Range`.
    Page {
        /// The items, ascending by key.
        items: Vec<Item>,
        /// Whether another page follows.
        more: bool,
        /// The store's revision at the time of the read.
        revision: u64,
    },
    /// Answers `Follow`.
    Changes {
        /// The changes, oldest first.
        changes: Vec<Change>,
        /// The store's revision, from which the next `Follow` continues.
        revision: u64,
    },
    /// Answers `Follow` when the store no longer keeps all changes after the revision; the caller
    /// has to read the keys again.
    Compacted,
    /// Answers `Commit` when a condition did not hold, with the existing items among the
    /// conditions' keys.
    Rivals(Vec<Item>),
    /// Answers `Put`, `Delete` and `Commit` that took effect, with the revision.
    Written(u64),
    /// Answers `Put` and `Delete` when the condition did not hold, with the existing item.
    Conflict(Option<Item>),
    /// Answers `Grant` and `Renew` with the lease.
    Lease(u64),
    /// Answers `Renew` and `Put` when the lease does not exist, and `Revoke` when it is done.
    Gone,
}

impl Answer {
    /// Returns the highest revision that the answer shows the store to have had.
    #[must_use]
    pub fn revision(&self) -> Option<u64> {
        match self {
            Self::Item(item) | Self::Conflict(item) => item.as_ref().map(|item| item.revision),
            Self::Items { revision, .. }
            | Self::Page { revision, .. }
            | Self::Changes { revision, .. }
            | Self::Written(revision) => Some(*revision),
            Self::Rivals(items) => items.iter().map(|item| item.revision).max(),
            Self::Compacted | Self::Lease(_) | Self::Gone => None,
        }
    }
}

/// `Condition` is a condition of a `Commit`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Condition {
    /// The key.
    pub key: String,
    /// The condition on the key.
    pub expect: Expect,
}

/// `Write` is a write of one key in a `Commit`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Write {
    /// The key.
    pub key: String,
    /// The value.
    pub value: String,
    /// The lease with whose end the key is removed, if any.
    pub lease: Option<u64>,
}

/// `Change` is a change of a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Change {
    /// The key was written.
    Written(Item),
    /// The key was removed.
    Removed {
        /// The key.
        key: String,
        /// The revision of the removal.
        revision: u64,
    },
}

/// `Fault` is the reason why a call got no answer.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fault {
    /// the store was not reached; the call had no effect
    Away,
    /// the answer was lost; a write may or may not have taken effect
    Unknown,
    /// the store's rate is used up; the call had no effect
    Overloaded,
    /// the call is malformed or the value too large; it had no effect
    Invalid,
}

impl std::error::Error for Fault {}

/// `Store` is the platform's key-value service.
pub trait Store: Clone + 'static {
    /// Sends one call.
    ///
    /// # Errors
    /// The [`Fault`] says whether the call may have taken effect.
    fn call(&self, call: Call) -> impl Future<Output = Result<Answer, Fault>>;
}
