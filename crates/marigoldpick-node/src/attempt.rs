//! The writes of one submission to its job's key: the job, or a marker that the job is rejected.
//!
//! Load pattern: callers repeat submissions at other entries while their earlier ones are still in flight. A rejection
//! must hold against each of these, and a repeated submission of a stored job must be answered as stored. So all
//! writes carry a condition on the key, and an entry answers that a job is rejected only after its own marker was
//! written: that changes the key's revision, so that no earlier write can take effect.

use marigoldpick_core::prelude::*;
use marigoldpick_core::store::{Answer, Expect, Fault, Item};
use marigoldpick_core::work::Job;
use marigoldpick_core::work::peer::Receipt;
use marigoldpick_job::admission;

use crate::submission;

/// `Goal` is what the submission writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Goal {
    /// The job.
    Job,
    /// A marker that the job is rejected.
    Marker {
        /// The delay after which the caller may submit it again.
        after: Millis,
        /// Whether another entry's marker, and no decision of this entry, is the reason.
        is_raced: bool,
    },
}

/// `Next` is what to do after an answer of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// The submission is over.
    Done(Receipt),
    /// The next write can be sent at once.
    Again,
    /// The lease on the marker has ended; the next write needs another one.
    Renew,
    /// The write may be repeated after a pause.
    Retry,
}

/// `Attempt` is the state of a submission.
#[derive(Clone, Debug)]
pub struct Attempt {
    id: id::Job,
    team: Option<id::Team>,
    /// A revision that the store had before the submission arrived.
    seen: u64,
    goal: Goal,
    expect: Expect,
    receipt: Receipt,
}

impl Attempt {
    /// Creates the state of a submission, which is to be rejected with the delay `rejected` if there is one.
    ///
    /// `seen` is a revision that the store had before the submission arrived; zero if none is known.
    #[must_use]
    pub fn new(id: &id::Job, job: &Job, seen: u64, rejected: Option<Millis>) -> Self {
        Self {
            id: id.clone(),
            team: job.team.clone(),
            seen,
            goal: rejected.map_or(Goal::Job, |after| Goal::Marker {
                after,
                is_raced: false,
            }),
            expect: Expect::Absent,
            receipt: Receipt::Refused,
        }
    }

    /// Returns the delay after which a rejected caller may come back, if the next write is a marker.
    #[must_use]
    pub const fn marker(&self) -> Option<Millis> {
        match self.goal {
            Goal::Job => None,
            Goal::Marker { after, .. } => Some(after),
        }
    }

    /// Returns whether the job is rejected only because another entry rejects it at the same time.
    #[must_use]
    pub const fn is_raced(&self) -> bool {
        matches!(self.goal, Goal::Marker { is_raced: true, .. })
    }

    /// Returns the condition of the next write.
    #[must_use]
    pub const fn expect(&self) -> Expect {
        self.expect
    }

    /// Returns the receipt if nothing more is sent.
    #[must_use]
    pub const fn receipt(&self) -> Receipt {
        self.receipt
    }

    /// Handles that no lease for a marker was granted: without one the job is accepted.
    ///
    /// Next to a marker of another entry that is no choice, and a job that can't be rejected for sure may be stored.
    pub const fn give_up_marker(&mut self) -> Next {
        if self.is_raced() {
            self.receipt = Receipt::Unknown;
            return Next::Done(Receipt::Unknown);
        }
        self.goal = Goal::Job;
        Next::Again
    }

    /// Handles the store's answer to a write.
    pub fn apply(&mut self, answer: Result<Answer, Fault>) -> Next {
        match answer {
            Ok(Answer::Written(_)) => Next::Done(match self.goal {
                Goal::Job => Receipt::Stored,
                Goal::Marker { after, .. } => Receipt::Rejected { after },
            }),
            Ok(Answer::Rivals(items)) => self.meet(items.first()),
            Ok(Answer::Gone) if self.marker().is_some() => Next::Renew,
            Ok(_) | Err(Fault::Unknown) => {
                self.receipt = Receipt::Unknown;
                Next::Retry
            }
            Err(Fault::Away | Fault::Overloaded | Fault::Invalid) => Next::Retry,
        }
    }

    /// Handles what the key had when the condition did not hold.
    fn meet(&mut self, item: Option<&Item>) -> Next {
        let Some(item) = item else {
            // The marker that was to be replaced is gone.
            if self.expect != Expect::Absent {
                self.expect = Expect::Absent;
                return Next::Again;
            }
            // The value can't be read.
            return match self.goal {
                Goal::Job => Next::Done(Receipt::Stored),
                Goal::Marker { .. } => Next::Done(Receipt::Unknown),
            };
        };
        if !submission::is_marker(&item.value) {
            let job = serde_json::from_str::<Job>(&item.value);
            let is_same_team = job.is_ok_and(|job| job.team == self.team);
            return Next::Done(if is_same_team {
                Receipt::Stored
            } else {
                Receipt::Taken
            });
        }
        self.expect = Expect::Revision(item.revision);
        if self.goal == Goal::Job && item.revision > self.seen {
            // This submission may have arrived before the one that was rejected, and must not undo the rejection.
            self.goal = Goal::Marker {
                after: admission::spread(&self.id, Millis::ZERO),
                is_raced: true,
            };
        }
        Next::Again
    }
}
