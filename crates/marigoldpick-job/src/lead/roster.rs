//! The roster: the workers in the store that may have runs, so that a later lead knows of which ones it must hear.
//!
//! Load pattern: in an outage of the store the registrations of workers expire, and a worker that is cut off does not
//! come back to the registry's list while it runs on. That a worker is not listed therefore does not show that it has
//! no runs. A start without a record goes only to a worker that the stored roster names.

use marigoldpick_core::prelude::*;
use serde::{Deserialize, Serialize};

use super::Lead;
use crate::worker::Worker;

/// The number of parts of the roster, each of which is written on its own when it changes.
pub const PARTS: usize = 16;
/// The most parts in a batch, which leaves room for the records of jobs.
pub(super) const MAX_PARTS_PER_BATCH: usize = 8;

/// `Entry` is a worker on the roster.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "Stored", into = "Stored")]
pub struct Entry {
    /// The worker.
    pub worker: id::Worker,
    /// The start of the last incarnation that has reported to a lead; zero if none has.
    pub born: u64,
    /// Whether that incarnation may hold a lease under an order to a former one.
    pub has_restarted: bool,
}

/// `Stored` is an entry as the store has it; earlier versions of the program have written the id alone.
#[derive(Serialize, Deserialize)]
#[serde(untagged)]
enum Stored {
    Id(id::Worker),
    Incarnation(id::Worker, u64, bool),
}

impl From<Stored> for Entry {
    fn from(stored: Stored) -> Self {
        let (worker, born, has_restarted) = match stored {
            Stored::Id(worker) => (worker, 0, false),
            Stored::Incarnation(worker, born, has_restarted) => (worker, born, has_restarted),
        };
        Self {
            worker,
            born,
            has_restarted,
        }
    }
}

impl From<Entry> for Stored {
    fn from(entry: Entry) -> Self {
        Self::Incarnation(entry.worker, entry.born, entry.has_restarted)
    }
}

/// `Part` is one part of the roster: its number, and its workers in ascending order.
pub type Part = (usize, Vec<Entry>);

/// `Roster` is the lead's state of the roster.
#[derive(Clone, Debug)]
pub(super) struct Roster {
    /// The workers of each part that the store is known to have, sorted.
    stored: Vec<Vec<Entry>>,
    /// The workers that each part should have, sorted.
    wanted: Vec<Vec<Entry>>,
    /// The numbers of the parts that have to be written, sorted.
    stale: Vec<usize>,
    /// The parts in the commit in flight.
    in_flight: Vec<Part>,
    /// Whether the roster of the lead before this one is known to be complete.
    is_known: bool,
    /// Whether a worker has reported for the first time since the entries were last set.
    is_outdated: bool,
}

impl Default for Roster {
    fn default() -> Self {
        Self {
            stored: vec![Vec::new(); PARTS],
            wanted: vec![Vec::new(); PARTS],
            stale: Vec::new(),
            in_flight: Vec::new(),
            is_known: false,
            is_outdated: false,
        }
    }
}

impl Roster {
    /// Returns whether the roster of the lead before this one is known to be complete.
    pub(super) const fn is_known(&self) -> bool {
        self.is_known
    }

    /// Returns whether the stored roster names a worker.
    pub(super) fn is_stored(&self, worker: &id::Worker) -> bool {
        find(&self.stored[part_of(worker)], worker).is_some()
    }

    /// Returns the entry that a worker should have.
    pub(super) fn entry(&self, worker: &id::Worker) -> Option<&Entry> {
        find(&self.wanted[part_of(worker)], worker)
    }

    /// Records that an incarnation has reported for the first time.
    pub(super) const fn record_first_report(&mut self) {
        self.is_outdated = true;
    }

    /// Returns whether some part has to be written.
    pub(super) fn is_stale(&self) -> bool {
        !self.stale.is_empty()
    }

    /// Sets the entries that the roster should have; their workers ascend.
    fn set(&mut self, entries: impl Iterator<Item = Entry>) {
        let mut parts = vec![Vec::new(); PARTS];
        for entry in entries {
            parts[part_of(&entry.worker)].push(entry);
        }
        for (number, part) in parts.into_iter().enumerate() {
            if part != self.wanted[number] {
                self.wanted[number] = part;
                self.mark_stale(number);
            }
        }
    }

    fn mark_stale(&mut self, number: usize) {
        if let Err(at) = self.stale.binary_search(&number) {
            self.stale.insert(at, number);
        }
    }

    /// Takes the parts for the next batch.
    ///
    /// From then on the store may lack the workers that these parts leave out.
    pub(super) fn take_parts(&mut self) -> Vec<Part> {
        let count = self.stale.len().min(MAX_PARTS_PER_BATCH);
        for number in self.stale.drain(..count) {
            let wanted = &self.wanted[number];
            self.stored[number].retain(|entry| find(wanted, &entry.worker).is_some());
            self.in_flight.push((number, wanted.clone()));
        }
        self.in_flight.clone()
    }

    /// Records whether the store has the batch with the parts that were taken last.
    pub(super) fn record_outcome(&mut self, is_stored: bool) {
        for (number, part) in std::mem::take(&mut self.in_flight) {
            if is_stored {
                self.stored[number] = part;
            } else {
                self.mark_stale(number);
            }
        }
    }
}

/// Returns the entry of a worker in a part.
fn find<'a>(part: &'a [Entry], worker: &id::Worker) -> Option<&'a Entry> {
    let found = part.binary_search_by(|entry| entry.worker.cmp(worker));
    found.ok().map(|at| &part[at])
}

/// Returns the number of the part that has a worker; it is the same in each version of the program.
fn part_of(worker: &id::Worker) -> usize {
    let sum = worker.as_str().bytes().fold(0_usize, |sum, byte| {
        (sum * 31 + usize::from(byte)) % (PARTS * 4_093)
    });
    sum % PARTS
}

impl Lead {
    /// Applies the roster that the lead before this one has left in the store; `None` if there is none.
    ///
    /// Without one, a lead that expects unrecorded starts waits until all leases of earlier leads have lapsed.
    pub fn inherit_roster(&mut self, roster: Option<Vec<Part>>, now: Millis) {
        let Some(parts) = roster else { return };
        for (number, entries) in parts {
            let workers: Vec<id::Worker> = entries.iter().map(|e| e.worker.clone()).collect();
            if let Some(stored) = self.roster.stored.get_mut(number) {
                self.roster.wanted[number].clone_from(&entries);
                *stored = entries;
            }
            for worker in &workers {
                self.expect_worker(worker, now);
            }
        }
        self.roster.is_known = true;
        self.needs_pass = true;
    }

    /// Updates the roster if an incarnation has reported for the first time.
    pub(super) fn update_outdated_roster(&mut self, now: Millis) {
        if std::mem::take(&mut self.roster.is_outdated) {
            self.update_roster(now);
        }
    }

    /// Updates the roster after a change of the set of workers.
    ///
    /// A worker stays on it until its runs have surely ended. While the roster of the lead before this one is not
    /// known, that roster must not be replaced.
    pub(super) fn update_roster(&mut self, now: Millis) {
        if !self.roster.is_known
            && self.expects_unrecorded
            && now < self.inherited.longest_after_restart()
        {
            return;
        }
        let may_have_runs = |worker: &&Worker| {
            worker.is_registered || (!worker.has_ended && now < worker.lease.lapse())
        };
        let roster = &self.roster;
        let entries = self.workers.iter().filter(may_have_runs).map(|worker| {
            let earlier = roster.entry(&worker.node.id);
            let reported = Entry {
                worker: worker.node.id.clone(),
                born: worker.node.born,
                has_restarted: worker.lease.may_exceed_grants(now),
            };
            match earlier {
                _ if worker.lease.has_report() => reported,
                Some(earlier) => earlier.clone(),
                None => Entry {
                    born: 0,
                    has_restarted: false,
                    ..reported
                },
            }
        });
        let entries: Vec<Entry> = entries.collect();
        self.roster.set(entries.into_iter());
    }
}
