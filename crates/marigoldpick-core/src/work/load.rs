//! The lead's summary of the work that waits, from which entries estimate how long a new job would wait.
//!
//! Work is counted in core-milliseconds. An accelerator counts as some cores, both in the work of tasks
//! and in the capacity of workers.

use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::id;
use crate::name::Name;

/// `Summary` is the lead's summary of the waiting work.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// How long ago the lead computed it, when it answered.
    pub age: Millis,
    /// How long the lead had led when it computed it.
    pub led_for: Millis,
    /// The services, sorted by name.
    pub services: Vec<Service>,
    /// The teams whose next job would exceed their rate, sorted.
    pub above_rate: Vec<id::Team>,
}

/// `Service` summarises the waiting work of a service, and the capacity for it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// The name.
    pub name: Name,
    /// The usable capacity for tasks that end, in thousandths of a core.
    pub millicores: u64,
    /// The share of the scarcest resource that is free, in percent.
    pub free_percent: u32,
    /// The work that finished within the last seconds, in thousandths of a core; `None` while the measurement is too
    /// short.
    pub finished: Option<u64>,
    /// The waiting work of jobs whose result still has value, sorted by excess, priority and size.
    pub waiting: Vec<Waiting>,
}

/// `Waiting` is the waiting work of the jobs of about one size in one class of precedence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Waiting {
    /// Whether the jobs exceed the rates of their teams.
    pub excess: bool,
    /// The priority of their queues; zero goes first.
    pub priority: u32,
    /// The class of their remaining work; see [`size_class`].
    pub size: u32,
    /// The number of jobs.
    pub jobs: u32,
    /// Their waiting work, in core-milliseconds.
    pub work: u64,
}

/// Returns the class of an amount of work: four classes for each power of two.
#[must_use]
pub const fn size_class(work: u64) -> u32 {
    let Some(power) = work.checked_ilog2() else {
        return 0;
    };
    let quarter = if power < 2 {
        (work << (2 - power)) & 3
    } else {
        (work >> (power - 2)) & 3
    };
    power * 4 + quarter as u32 + 1
}

impl Summary {
    /// Returns the part about a service.
    #[must_use]
    pub fn service(&self, name: &Name) -> Option<&Service> {
        let found = self.services.binary_search_by(|have| have.name.cmp(name));
        found.ok().map(|at| &self.services[at])
    }

    /// Returns whether the next job of a team would exceed its rate.
    #[must_use]
    pub fn is_above_rate(&self, team: &id::Team) -> bool {
        self.above_rate.binary_search(team).is_ok()
    }
}

impl Service {
    /// Returns the rate at which work is finished, in thousandths of a core; zero if no capacity is usable.
    ///
    /// The usable capacity is the least rate while workers are busy. More than that is measured where tasks take
    /// less time than estimated.
    #[must_use]
    pub fn rate(&self) -> u64 {
        if self.millicores == 0 {
            return 0;
        }
        self.finished.unwrap_or(0).max(self.millicores)
    }

    /// Adds waiting work of one job.
    pub fn add(&mut self, excess: bool, priority: u32, size: u32, work: u64) {
        let key = (excess, priority, size);
        let found = self
            .waiting
            .binary_search_by_key(&key, |w| (w.excess, w.priority, w.size));
        match found {
            Ok(at) => {
                let have = &mut self.waiting[at];
                have.jobs = have.jobs.saturating_add(1);
                have.work = have.work.saturating_add(work);
            }
            Err(at) => self.waiting.insert(
                at,
                Waiting {
                    excess,
                    priority,
                    size,
                    jobs: 1,
                    work,
                },
            ),
        }
    }
}
