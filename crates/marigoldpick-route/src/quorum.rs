//! What an entry concludes from the answers of a request id's owners.
//!
//! The owners are the three entries of the failure domain that rank first for the id. A registration
//! is asked of all three and needs a majority, so that two of them meet in one that remembers.

use marigoldpick_core::peer::{Outcome, Record, State};
use marigoldpick_core::prelude::*;

/// Owners of a request id in a failure domain.
pub const OWNERS: usize = 3;
/// How long after an entry took a request a balancer may hand the same attempt to another entry.
pub const RESEND: Millis = Millis::from_secs(3);

/// `Reply` is what came of asking one owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// It answered.
    Record(Record),
    /// It did not answer, and was not heard lately either.
    Dead,
    /// It did not answer, though it is thought to live.
    Away,
}

/// `Verdict` is what follows from the replies.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// No earlier attempt ran; this one may run.
    Clear,
    /// The owners are too young to know; after this time they are not.
    Wait(Millis),
    /// Another attempt has it, or may have it.
    Taken,
    /// An earlier attempt ended so.
    Ended(Outcome),
    /// The owners can't tell.
    Unsure,
}

/// Judges the replies of all owners in a domain to a registration or a close.
///
/// `need` is how far back the owners must remember: the time since the first attempt, or [`RESEND`]
/// for an attempt that claims to be the first.
#[must_use]
pub fn judge(replies: &[Reply], first: bool, need: Millis) -> Verdict {
    let mut taken = false;
    for state in replies.iter().filter_map(state) {
        match state {
            State::Ended(outcome) => return Verdict::Ended(outcome.clone()),
            State::Taken => taken = true,
            State::Never | State::Yours | State::Full => {}
        }
    }
    if taken {
        return Verdict::Taken;
    }
    let free = |record: &&Record| matches!(record.state, State::Yours | State::Never);
    let free: Vec<&Record> = replies.iter().filter_map(record).filter(free).collect();
    let old = free.iter().filter(|record| record.age >= need).count();
    if old * 2 > replies.len() {
        return Verdict::Clear;
    }
    if !first || free.is_empty() {
        return Verdict::Unsure;
    }
    if replies.contains(&Reply::Away) {
        return Verdict::Unsure;
    }
    if old > 0 {
        return Verdict::Clear;
    }
    let oldest = free.iter().map(|record| record.age).max();
    Verdict::Wait(need - oldest.unwrap_or_default())
}

fn record(reply: &Reply) -> Option<&Record> {
    match reply {
        Reply::Record(record) => Some(record),
        Reply::Dead | Reply::Away => None,
    }
}

fn state(reply: &Reply) -> Option<&State> {
    record(reply).map(|record| &record.state)
}
