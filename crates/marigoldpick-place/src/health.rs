//! Health: whether failures are the worker's fault or the job's.
//!
//! A failure counts against the worker when the job's kind is known to run well elsewhere. A kind
//! of which nothing is known counts once for a worker, so that no single job can shut one out. A
//! kind that fails on several workers more often than it ends well is at fault itself.

use marigoldpick_core::prelude::*;

/// Workers on which a kind must fail to be at fault.
const WORKERS: usize = 3;
/// The span after which a kind's counts are halved.
const HALF: Millis = Millis::from_secs(300);
/// Weight of a run that has only grown old enough, in halves of a good end.
const OLD_ENOUGH: u32 = 1;
/// Weight of a good end or of a failure, in halves.
const WHOLE: u32 = 2;

/// `Kind` is the record of a kind of job.
#[derive(Clone, Debug, Default)]
pub struct Kind {
    good: u32,
    bad: u32,
    failed_on: Vec<u32>,
    halved: Millis,
}

impl Kind {
    /// Notes a good end.
    pub fn note_done(&mut self, now: Millis) {
        self.decay(now);
        self.good = self.good.saturating_add(WHOLE);
    }

    /// Notes a run that went on for longer than the proof takes.
    pub fn note_proof(&mut self, now: Millis) {
        self.decay(now);
        self.good = self.good.saturating_add(OLD_ENOUGH);
    }

    /// Notes a failure on a worker.
    pub fn note_failure(&mut self, worker: u32, now: Millis) {
        self.decay(now);
        self.bad = self.bad.saturating_add(WHOLE);
        if !self.failed_on.contains(&worker) {
            self.failed_on.push(worker);
        }
    }

    /// Tells whether the kind fails by its own fault.
    #[must_use]
    pub fn at_fault(&self) -> bool {
        self.failed_on.len() >= WORKERS && self.bad >= self.good
    }

    /// Tells whether the kind is known to run well.
    #[must_use]
    pub const fn sound(&self) -> bool {
        self.good > self.bad
    }

    fn decay(&mut self, now: Millis) {
        if now.since(self.halved) < HALF {
            return;
        }
        self.halved = now;
        self.good /= 2;
        self.bad /= 2;
        if self.bad == 0 {
            self.failed_on.clear();
        }
    }
}

/// `Blame` is a count of failures of one kind on a worker.
#[derive(Clone, Copy, Debug)]
struct Blame {
    kind: u32,
    count: u32,
    sound: bool,
}

/// `Worker` is the record of a worker.
#[derive(Clone, Debug, Default)]
pub struct Worker {
    /// Runs that are younger than the proof takes.
    pub young: u32,
    /// Whether a run went well since it came up or was last shut out.
    pub proven: bool,
    blames: Vec<Blame>,
    until: Option<Millis>,
    rounds: u32,
    probation: bool,
}

impl Worker {
    /// Notes a failure of a kind; returns the sum of blames.
    pub fn blame(&mut self, kind: u32, sound: bool) -> u32 {
        match self.blames.iter_mut().find(|blame| blame.kind == kind) {
            Some(blame) => {
                blame.count += 1;
                blame.sound |= sound;
            }
            None => self.blames.push(Blame {
                kind,
                count: 1,
                sound,
            }),
        }
        self.sum()
    }

    /// Takes back what a kind has been counted for, since the kind is at fault.
    pub fn forgive(&mut self, kind: u32) {
        self.blames.retain(|blame| blame.kind != kind);
    }

    /// Notes a run that went well.
    pub fn note_good(&mut self) {
        self.proven = true;
        self.blames.clear();
        if self.probation {
            self.probation = false;
        } else {
            self.rounds = self.rounds.saturating_sub(1);
        }
    }

    /// Shuts the worker out; returns for how long.
    pub fn quarantine(&mut self, first: Millis, most: Millis, now: Millis) -> Millis {
        let span = first.times(1 << self.rounds.min(20)).min(most);
        self.rounds += 1;
        self.until = Some(now + span);
        self.proven = false;
        self.blames.clear();
        span
    }

    /// Ends the quarantine when its time has come; tells whether it did.
    pub fn release(&mut self, now: Millis) -> bool {
        let over = self.until.is_some_and(|until| until <= now);
        if over {
            self.until = None;
            self.probation = true;
        }
        over
    }

    /// Tells whether it runs on probation.
    #[must_use]
    pub const fn probation(&self) -> bool {
        self.probation
    }

    /// Tells whether failures stand against it.
    #[must_use]
    pub fn suspected(&self) -> bool {
        !self.blames.is_empty()
    }

    fn sum(&self) -> u32 {
        let weight = |blame: &Blame| if blame.sound { blame.count } else { 1 };
        self.blames.iter().map(weight).sum()
    }
}
