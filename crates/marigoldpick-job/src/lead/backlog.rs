//! The changed jobs that wait for their record, and the order in which commits take them.
//!
//! Load pattern: at a peak, or after a slow commit, more jobs have changed than one commit holds. Taken in the order of
//! their ids, jobs that had ended waited for seconds behind records that nobody needed yet.

use marigoldpick_core::prelude::*;

/// After this time a change for which nothing waits goes with the urgent ones. The workers keep the ends of its tasks
/// until it is recorded, and a report lists only so many of them.
const AGEING_TIME: Millis = Millis(500);
/// The part of a commit that is kept for pending starts, as a divisor. A pending start occupies its worker, and its
/// ticket may expire meanwhile; without a share of its own it would wait behind all ends of a peak.
const START_SHARE: usize = 2;

/// `Reason` says what waits for a job's record, the most urgent last.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reason {
    /// Nothing but the ends of its tasks, which their workers keep until they are recorded.
    Other,
    /// A start, which is ordered once it is recorded.
    Start,
    /// The callers of the job, which has ended.
    Ended,
}

impl Reason {
    /// All reasons.
    pub const ALL: [Self; 3] = [Self::Other, Self::Start, Self::Ended];

    /// Returns the name of the reason in metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Other => "other",
            Self::Start => "start",
            Self::Ended => "ended",
        }
    }
}

/// `Change` is a changed job whose record is to be written.
#[derive(Clone, Debug)]
struct Change {
    job: id::Job,
    reason: Reason,
    since: Millis,
}

/// `Backlog` holds the changed jobs that are in no commit, and those in the commit in flight.
#[derive(Clone, Debug)]
pub struct Backlog {
    now: Millis,
    /// The jobs that are in no commit, sorted by id.
    waiting: Vec<Change>,
    /// The jobs in the commit in flight, sorted by id.
    in_flight: Vec<Change>,
}

impl Backlog {
    /// Creates an empty backlog.
    #[must_use]
    pub const fn new(now: Millis) -> Self {
        Self {
            now,
            waiting: Vec::new(),
            in_flight: Vec::new(),
        }
    }

    /// Sets the time from which on changes wait.
    pub fn advance(&mut self, now: Millis) {
        self.now = self.now.max(now);
    }

    /// Returns whether no job waits for a commit.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns how many jobs wait for a commit for this reason.
    #[must_use]
    pub fn count(&self, reason: Reason) -> usize {
        let waiting = self.waiting.iter();
        waiting.filter(|change| change.reason == reason).count()
    }

    /// Adds a changed job; one that waits already keeps its place.
    ///
    /// An end is reported only once the last change of its job is recorded. If the job changes again while the record
    /// of its end is in flight, the callers go on waiting, and it keeps its place.
    pub fn add(&mut self, job: &id::Job, reason: Reason) {
        match search(&self.waiting, job) {
            Ok(at) => {
                let change = &mut self.waiting[at];
                change.reason = change.reason.max(reason);
            }
            Err(at) => {
                let earlier = search(&self.in_flight, job).map(|at| &self.in_flight[at]);
                let since = match earlier {
                    Ok(earlier) if reason.min(earlier.reason) == Reason::Ended => earlier.since,
                    _ => self.now,
                };
                let job = job.clone();
                self.waiting.insert(at, Change { job, reason, since });
            }
        }
    }

    /// Removes a job that is no longer stored.
    pub fn remove(&mut self, job: &id::Job) {
        if let Ok(at) = search(&self.waiting, job) {
            self.waiting.remove(at);
        }
    }

    /// Takes at most `limit` jobs for the next commit and returns them sorted by id.
    ///
    /// Ended jobs, jobs with pending starts and jobs that have waited for long go first, and among them and among the
    /// others those that have waited longest. A share of the commit is kept for the jobs with pending starts.
    #[must_use]
    pub fn take(&mut self, limit: usize) -> Vec<id::Job> {
        let is_start = |at: &usize| self.waiting[*at].reason == Reason::Start;
        let (starts, mut others): (Vec<usize>, Vec<usize>) =
            (0..self.waiting.len()).partition(is_start);
        let (mut taken, left) = self.split_first(starts, limit / START_SHARE);
        others.extend(left);
        taken.extend(self.split_first(others, limit - taken.len()).0);
        taken.sort_unstable();
        let mut positions = taken.into_iter().peekable();
        let mut left = Vec::with_capacity(self.waiting.len());
        for (at, change) in self.waiting.drain(..).enumerate() {
            if positions.next_if_eq(&at).is_some() {
                self.in_flight.push(change);
            } else {
                left.push(change);
            }
        }
        self.waiting = left;
        let in_flight = self.in_flight.iter();
        in_flight.map(|change| change.job.clone()).collect()
    }

    /// Splits positions into the `count` that go first and the rest.
    fn split_first(&self, mut positions: Vec<usize>, count: usize) -> (Vec<usize>, Vec<usize>) {
        if positions.len() <= count {
            return (positions, Vec::new());
        }
        let rank = |at: &usize| {
            let change = &self.waiting[*at];
            let waits = self.now.since(change.since) < AGEING_TIME;
            (change.reason == Reason::Other && waits, change.since, *at)
        };
        positions.select_nth_unstable_by_key(count, rank);
        let rest = positions.split_off(count);
        (positions, rest)
    }

    /// Drops the jobs in flight, whose records are stored or whose commit was not sent.
    pub fn confirm(&mut self) {
        self.in_flight.clear();
    }

    /// Returns the jobs in flight to their places, since their commit has failed.
    pub fn restore(&mut self) {
        for change in std::mem::take(&mut self.in_flight) {
            match search(&self.waiting, &change.job) {
                Ok(at) => {
                    let later = &mut self.waiting[at];
                    later.reason = later.reason.max(change.reason);
                    later.since = later.since.min(change.since);
                }
                Err(at) => self.waiting.insert(at, change),
            }
        }
    }
}

/// Returns the position of a job, or the position at which to insert it.
fn search(changes: &[Change], job: &id::Job) -> Result<usize, usize> {
    changes.binary_search_by(|change| change.job.cmp(job))
}
