//! Failure-domain affinity: the tasks of a short job are kept in one failure domain.
//!
//! Load pattern: a failure domain is partitioned for longer than short jobs can wait. A job that has a task there
//! can't complete before the partition heals or the leases of its workers lapse. If the tasks of each job are spread
//! over all domains, nearly every job that runs at that moment loses its value; if each job is kept in one domain,
//! only the jobs of the lost domain do.

use std::hash::{DefaultHasher, Hash, Hasher};

use marigoldpick_core::prelude::*;
use marigoldpick_core::work::Step;

use crate::job::{Job, Occurrence};
use crate::rank::LATE_FACTOR;

/// The cost of a worker outside the preferred domain, in milliseconds of run time.
///
/// It is close to the range of the packing cost (120 ms), so that how full workers are seldom outweighs the domain.
pub const AWAY_COST_MS: u64 = 100;
/// The number of speed steps into which the run time of the fastest worker is divided.
const SPEED_STEPS: u64 = 10;

/// Returns whether a step's tasks may be kept in one failure domain.
///
/// The placement of gangs and of steps with data follows racks, lasting tasks never expire, and filling tasks take
/// what others leave.
#[must_use]
pub const fn is_eligible(step: &Step) -> bool {
    !step.gang && !step.lasting && !step.fills && step.rack.is_none()
}

/// Returns whether waiting for one lost worker, whose lease lasts `lease`, would cost a job its value.
#[must_use]
pub fn is_short(job: &Job, occurrence: &Occurrence, lease: Millis, now: Millis) -> bool {
    now + lease + occurrence.time_left > occurrence.due + job.objective.times(LATE_FACTOR)
}

/// Returns how many tenths of the fastest worker's run time a worker takes longer, rounded down.
///
/// Steps that begin at the fastest worker keep workers of one kind, whose measured speeds differ by a few percent,
/// from being divided at a fixed boundary.
#[must_use]
pub fn speed_step(slowdown_permille: u64, fastest_permille: u64) -> u64 {
    let slower = slowdown_permille.saturating_sub(fastest_permille);
    slower * SPEED_STEPS / fastest_permille.max(1)
}

/// `Domain` is what is known of a failure domain for the placement of one step.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Domain<'a> {
    name: &'a id::Domain,
    /// The number of the job's tasks that run there.
    running: u64,
    /// The number of the step's tasks that fit there.
    fitting: u64,
}

/// `Tally` counts running and fitting tasks by failure domain.
#[derive(Clone, Debug, Default)]
pub struct Tally<'a> {
    /// The domains, sorted by name.
    domains: Vec<Domain<'a>>,
}

impl<'a> Tally<'a> {
    /// Adds a running task of the job.
    pub fn add_running(&mut self, domain: &'a id::Domain) {
        self.entry(domain).running += 1;
    }

    /// Adds a worker that can take `tasks` tasks of the step.
    pub fn add_fitting(&mut self, domain: &'a id::Domain, tasks: u64) {
        let entry = self.entry(domain);
        entry.fitting = entry.fitting.saturating_add(tasks);
    }

    fn entry(&mut self, name: &'a id::Domain) -> &mut Domain<'a> {
        let at = self
            .domains
            .binary_search_by(|have| have.name.cmp(name))
            .unwrap_or_else(|at| {
                let domain = Domain {
                    name,
                    running: 0,
                    fitting: 0,
                };
                self.domains.insert(at, domain);
                at
            });
        &mut self.domains[at]
    }

    /// Returns the preferred domain of a job for `tasks` waiting tasks of a step.
    ///
    /// It is the domain that runs most of the job's tasks. Among equal ones it is the first with capacity for all
    /// waiting tasks, in an order that is drawn from the job's id, or else the one with the most capacity. A domain
    /// without capacity is not preferred, since it can't keep the waiting tasks together.
    #[must_use]
    pub fn preferred(&self, job: &id::Job, tasks: u64) -> Option<&'a id::Domain> {
        let able = self.domains.iter().filter(|domain| domain.fitting > 0);
        let best = able.max_by_key(|domain| {
            let fitting = domain.fitting.min(tasks);
            (domain.running, fitting, draw(job, domain.name))
        });
        best.map(|domain| domain.name)
    }
}

/// Returns the position of a domain in the order drawn from a job's id; the greatest goes first.
///
/// It does not depend on the other domains, so that a job's order stays when a domain is lost. No two processes need
/// to agree on it.
fn draw(job: &id::Job, domain: &id::Domain) -> u64 {
    let mut hasher = DefaultHasher::new();
    (job.as_str(), domain.as_str()).hash(&mut hasher);
    hasher.finish()
}
