//! The decision that an entry draws from the replies of a request id's owners.
//!
//! The owners of a request id are the three entries of a failure domain that rank first for it. A
//! registration is sent to all three and needs a majority, so that two registrations have at least
//! one owner in common that remembers the id.

use marigoldpick_core::peer::{Outcome, Record, State};
use marigoldpick_core::prelude::*;

/// The number of owners of a request id in a failure domain.
pub const OWNER_COUNT: usize = 3;
/// How long after an entry accepted a request a load balancer may send the same attempt to another
/// entry.
pub const RESEND_WINDOW: Millis = Millis::from_secs(3);

/// `Reply` is the result of a call to one owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The owner answered with its record.
    Record(Record),
    /// The owner did not answer, and no heartbeat from it arrived lately either.
    Dead,
    /// The owner did not answer, though it is believed to be alive.
    Silent,
}

/// `Verdict` is the decision that follows from the replies.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// No earlier attempt ran; this attempt may run.
    Clear,
    /// The owners have not kept records for long enough; they will have after this time.
    Wait(Millis),
    /// Another attempt has claimed the id, or may have.
    Taken,
    /// An earlier attempt ended with this outcome.
    Ended(Outcome),
    /// The replies don't suffice for a decision.
    Unsure,
}

/// Decides on the replies of all owners in a domain to a registration or a close.
///
/// `need` is how far back the owners' records must reach: the time since the first attempt, or
/// [`RESEND_WINDOW`] for an attempt that claims to be the first. If no owner knows of another
/// attempt, a majority of records that reach back so far clears any attempt; a single one clears a
/// first attempt unless an owner is silent.
#[must_use]
pub fn judge(replies: &[Reply], first: bool, need: Millis) -> Verdict {
    let mut taken = false;
    for state in replies.iter().filter_map(state_of) {
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
    let free: Vec<&Record> = replies.iter().filter_map(record_of).filter(free).collect();
    let old = free.iter().filter(|record| record.age >= need).count();
    if old * 2 > replies.len() {
        return Verdict::Clear;
    }
    if !first || free.is_empty() {
        return Verdict::Unsure;
    }
    if replies.contains(&Reply::Silent) {
        return Verdict::Unsure;
    }
    if old > 0 {
        return Verdict::Clear;
    }
    let oldest = free.iter().map(|record| record.age).max();
    Verdict::Wait(need - oldest.unwrap_or_default())
}

fn record_of(reply: &Reply) -> Option<&Record> {
    match reply {
        Reply::Record(record) => Some(record),
        Reply::Dead | Reply::Silent => None,
    }
}

fn state_of(reply: &Reply) -> Option<&State> {
    record_of(reply).map(|record| &record.state)
}
