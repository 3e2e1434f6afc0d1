//! The platform's key-value service as marigoldpick sees it: one call type, one answer type.

use displaydoc::Display;
use serde::{Deserialize, Serialize};

use crate::clock::Millis;

/// The largest value, in bytes.
pub const MAX_VALUE: usize = 1 << 20;

/// `Expect` is the condition under which a write takes effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Expect {
    /// Whatever is there.
    Any,
    /// The key does not exist.
    Absent,
    /// The key's revision is this one.
    Revision(u64),
}

/// `Item` is a key with its value and revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Item {
    /// The key.
    pub key: String,
    /// The value: text, at most [`MAX_VALUE`] bytes.
    pub value: String,
    /// The store-wide number of the write that made it.
    pub revision: u64,
}

/// `Call` is one call to the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum Call {
    /// Reads one key.
    Get {
        /// The key.
        key: String,
    },
    /// Reads keys that begin with `prefix` and come after `after`, ascending.
    List {
        /// The start of the keys.
        prefix: String,
        /// Keys up to and including this one are left out; empty for none.
        after: String,
        /// The most items to return.
        limit: u32,
    },
    /// Writes one key.
    Put {
        /// The key.
        key: String,
        /// The value.
        value: String,
        /// The condition.
        expect: Expect,
        /// The lease that the key ends with, if any.
        lease: Option<u64>,
    },
    /// Removes one key.
    Delete {
        /// The key.
        key: String,
        /// The condition.
        expect: Expect,
    },
    /// Waits until a key with `prefix` changes after `revision`, or `wait` has passed.
    Watch {
        /// The start of the keys.
        prefix: String,
        /// The last revision that is known.
        revision: u64,
        /// The longest wait.
        wait: Millis,
    },
    /// Reads a page of the keys that begin with `prefix` and come after `after`, ascending.
    Range {
        /// The start of the keys.
        prefix: String,
        /// Keys up to and including this one are left out; empty for none.
        after: String,
        /// Whether the answer may be seconds old, which costs a tenth.
        stale: bool,
    },
    /// Writes and removes several keys at once, if all conditions hold.
    Commit {
        /// The conditions.
        expect: Vec<Condition>,
        /// The writes.
        puts: Vec<Write>,
        /// The keys to remove.
        deletes: Vec<String>,
    },
    /// Waits until a key with `prefix` is written or removed after `revision`, or `wait` has passed.
    Follow {
        /// The start of the keys.
        prefix: String,
        /// The last revision that is known.
        revision: u64,
        /// The longest wait.
        wait: Millis,
    },
    /// Makes a lease.
    Grant {
        /// The lease's span.
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
    /// Returns the call's kind, for counters.
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

    /// Tells whether the call counts as a write.
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

/// `Answer` is the store's answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Answer {
    /// To `Get`: what is there.
    Item(Option<Item>),
    /// To `List` and `Watch`: the items, with the store's revision at that moment.
    Items {
        /// The items, ascending by key; for a watch those changed after the revision asked.
        items: Vec<Item>,
        /// The store's revision.
        revision: u64,
    },
    /// To `Range`: a page, and whether there are more.
    Page {
        /// The items, ascending by key.
        items: Vec<Item>,
        /// Whether another page follows.
        more: bool,
        /// The store's revision.
        revision: u64,
    },
    /// To `Follow`: what changed, oldest first.
    Changes {
        /// The changes.
        changes: Vec<Change>,
        /// The store's revision, to go on from.
        revision: u64,
    },
    /// To `Follow`: the changes after the revision are no longer kept; read the keys again.
    Compacted,
    /// To `Commit`: a condition did not hold; these are the conditions' keys that exist.
    Rivals(Vec<Item>),
    /// To `Put`, `Delete` and `Commit`: it took effect at this revision.
    Written(u64),
    /// To `Put` and `Delete`: the condition did not hold; this is what is there.
    Conflict(Option<Item>),
    /// To `Grant` and `Renew`: the lease.
    Lease(u64),
    /// To `Renew` and `Put`: the lease is gone. To `Revoke`: done.
    Gone,
}

/// `Condition` is a condition of a `Commit`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Condition {
    /// The key.
    pub key: String,
    /// What must be there.
    pub expect: Expect,
}

/// `Write` is one key that a `Commit` writes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Write {
    /// The key.
    pub key: String,
    /// The value.
    pub value: String,
    /// The lease that the key ends with, if any.
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

/// `Fault` is why a call got no answer.
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
    /// Makes one call.
    ///
    /// # Errors
    /// A [`Fault`] tells whether the call may have taken effect.
    fn call(&self, call: Call) -> impl Future<Output = Result<Answer, Fault>>;
}
