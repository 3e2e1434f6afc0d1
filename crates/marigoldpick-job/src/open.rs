//! The orders whose outcome is open, and when one of them is repeated.
//!
//! Load pattern: one order in twenty gets no answer, and is carried out seconds later or never. A worker accepts a start
//! or a stop of the same run more than once, so that it is sent again long before the first order times out. Each order
//! has a number, by which the outcomes of several orders for one run or worker are told apart.

use marigoldpick_core::prelude::*;
use marigoldpick_core::work::Task;

/// How often an order for a run is repeated at most. A third loss in a row is one in 8,000 where one order in twenty
/// is lost; a worker that leaves three unanswered is rather cut off.
const MAX_REPEATS: u32 = 2;

/// `Kind` is the kind of an order for a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Starts the run.
    Start,
    /// Stops the run.
    Stop,
}

/// `Open` is an order for a run that may still be answered.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Open {
    number: u64,
    kind: Kind,
    task: Task,
    run: u64,
}

/// `Orders` holds the open orders for the runs of a worker, ascending by number.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Orders(Vec<Open>);

impl Orders {
    /// Returns whether no order is open.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Adds an order with a number above all earlier ones.
    pub fn add(&mut self, number: u64, kind: Kind, task: &Task, run: u64) {
        self.0.push(Open {
            number,
            kind,
            task: task.clone(),
            run,
        });
    }

    /// Removes an order that was answered or has failed; returns whether it was open.
    pub fn close(&mut self, number: u64) -> bool {
        let found = self.0.binary_search_by_key(&number, |open| open.number);
        found.map(|at| self.0.remove(at)).is_ok()
    }

    /// Returns the number of open orders.
    #[must_use]
    pub const fn count(&self) -> usize {
        self.0.len()
    }

    /// Returns whether an order of this kind for the run may still be answered.
    #[must_use]
    pub fn has(&self, kind: Kind, task: &Task, run: u64) -> bool {
        self.last(kind, task, run).is_some()
    }

    /// Returns the number of the last order of this kind for the run that may still be answered.
    #[must_use]
    pub fn last(&self, kind: Kind, task: &Task, run: u64) -> Option<u64> {
        let mut open = self.0.iter().rev();
        let last = open.find(|open| open.kind == kind && open.run == run && open.task == *task);
        last.map(|open| open.number)
    }

    /// Returns the open starts as pairs of task and run.
    pub fn starts(&self) -> impl Iterator<Item = (Task, u64)> {
        let starts = self.0.iter().filter(|open| open.kind == Kind::Start);
        starts.map(|open| (open.task.clone(), open.run))
    }

    /// Removes and returns the open orders except stops, whose answers say nothing about a later life of the worker.
    #[must_use]
    pub fn take_starts(&mut self) -> Self {
        let mut kept = std::mem::take(&mut self.0);
        kept.retain(|open| open.kind == Kind::Start);
        Self(kept)
    }
}

/// `Attempts` is what is known of the orders that were sent for a run.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Attempts {
    /// When the last order was sent.
    sent_at: Millis,
    /// How often the start was repeated.
    starts: u32,
    /// How often the stop was repeated.
    stops: u32,
    /// Whether the worker has refused one of the starts.
    pub is_refused: bool,
    /// Whether the worker has confirmed one of the starts.
    pub is_confirmed: bool,
}

impl Attempts {
    /// Records that the first order of a kind was sent.
    pub const fn begin(&mut self, now: Millis) {
        self.sent_at = now;
    }

    /// Records that an order was sent again.
    pub const fn repeat(&mut self, kind: Kind, now: Millis) {
        self.sent_at = now;
        match kind {
            Kind::Start => self.starts += 1,
            Kind::Stop => self.stops += 1,
        }
    }

    /// Returns whether the order was sent more than once.
    #[must_use]
    pub const fn has_repeated(&self, kind: Kind) -> bool {
        match kind {
            Kind::Start => self.starts > 0,
            Kind::Stop => self.stops > 0,
        }
    }

    /// Returns whether the start was sent more than once, so that a refusal says nothing about the other orders.
    #[must_use]
    pub const fn has_repeated_start(&self) -> bool {
        self.has_repeated(Kind::Start)
    }

    /// Returns whether the order is due to be sent again, `interval` after the last one.
    #[must_use]
    pub fn is_due(&self, kind: Kind, interval: Millis, now: Millis) -> bool {
        let (repeats, is_settled) = match kind {
            Kind::Start => (self.starts, self.is_refused || self.is_confirmed),
            Kind::Stop => (self.stops, false),
        };
        !is_settled && repeats < MAX_REPEATS && now.since(self.sent_at) >= interval
    }
}

/// `Hold` is a hold in flight.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Hold {
    /// The number of the order.
    pub number: u64,
    /// When it was sent.
    pub sent: Millis,
    /// How long the worker may wait with its answer.
    pub wait: Millis,
    /// Whether a probe was sent because the hold is overdue or may be lost.
    pub is_probed: bool,
}

impl Hold {
    /// Returns whether the answer has not arrived `delay` after the worker's wait; a delay of zero is never over.
    #[must_use]
    pub fn is_overdue(&self, delay: Millis, now: Millis) -> bool {
        delay > Millis::ZERO && now.since(self.sent) >= self.wait + delay
    }
}

/// `Probe` is a hold without a wait that is in flight beside another hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Probe {
    /// The number of the order.
    pub number: u64,
    /// When it was sent.
    pub sent: Millis,
    /// Whether it was sent because the other hold is overdue, or may be lost.
    pub is_for_overdue: bool,
    /// Whether it replaces another one that was not answered in time.
    pub is_repeated: bool,
}

/// `Holds` is the holds of a worker that are in flight.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Holds {
    /// The hold that the next one waits for.
    pub current: Option<Hold>,
    /// The probe, which was sent beside `current`.
    pub probe: Option<Probe>,
    /// The overdue holds that were replaced after a probe was answered; their outcomes change nothing.
    replaced: Vec<u64>,
}

/// `Source` is the hold that a report or a failure belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The current hold.
    Hold,
    /// A probe.
    Probe {
        /// Whether it was sent because the current hold was overdue, or might be lost.
        is_for_overdue: bool,
    },
}

impl Holds {
    /// Returns whether none is in flight.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.current.is_none() && self.replaced.is_empty()
    }

    /// Removes a hold that was answered or has failed; returns `None` if its outcome changes nothing.
    pub fn close(&mut self, number: u64) -> Option<Source> {
        if let Some(probe) = self.probe.take_if(|probe| probe.number == number) {
            return Some(Source::Probe {
                is_for_overdue: probe.is_for_overdue,
            });
        }
        let is_current = |hold: &mut Hold| hold.number == number;
        if self.current.take_if(is_current).is_some() {
            return Some(Source::Hold);
        }
        self.replaced.retain(|replaced| *replaced != number);
        None
    }

    /// Removes and returns the probe for an overdue hold if it has not been answered within `delay`, once for a hold.
    ///
    /// Its outcome changes nothing any more. A probe whose hold has been answered is not repeated: it would be taken for
    /// one of the next hold, which is not late.
    ///
    /// With `again` it is removed each time.
    pub fn replace_probe(&mut self, delay: Millis, again: bool, now: Millis) -> Option<Probe> {
        let is_probed = self.current.as_ref().is_some_and(|hold| hold.is_probed);
        let is_due = |probe: &mut Probe| {
            is_probed
                && probe.is_for_overdue
                && (again || !probe.is_repeated)
                && now.since(probe.sent) >= delay
        };
        let probe = self.probe.take_if(is_due)?;
        self.replaced.push(probe.number);
        Some(probe)
    }

    /// Lets the next hold begin in place of the current one if that is overdue or may be lost, and the worker has
    /// answered a probe.
    pub fn replace_overdue(&mut self, delay: Millis, now: Millis) {
        let is_late = |hold: &mut Hold| hold.is_probed || hold.is_overdue(delay, now);
        if let Some(hold) = self.current.take_if(is_late) {
            self.replaced.push(hold.number);
        }
    }
}
