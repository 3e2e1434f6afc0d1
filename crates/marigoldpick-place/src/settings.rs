//! Provides the settings of the scheduler.

use marigoldpick_core::prelude::*;

/// `Settings` are the limits and time spans of the scheduler.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The waiting time after which a job rises by one priority, up to `High`.
    ///
    /// After this time a task may also get the shard's reservation, and after four times this time only
    /// urgent and older jobs precede the job.
    pub aging: Millis,
    /// The delay before the second attempt of a failed task; it doubles with each further failure.
    ///
    /// It is also the first delay of a kind that is at fault, and the delay after a refused start and
    /// before the restart of a service that exited without a failure.
    pub backoff: Millis,
    /// The maximum delay after failures.
    pub backoff_max: Millis,
    /// The run time of a service instance that removes one failure from its count.
    pub failure_decay: Millis,
    /// The duration of a worker's first quarantine; it doubles with each further one.
    ///
    /// Each success, except the one that ends a probation, takes one doubling back.
    pub quarantine: Millis,
    /// The maximum duration of a quarantine.
    pub quarantine_max: Millis,
    /// The number of failures counted against a worker that start its quarantine; one on probation.
    pub quarantine_failures: u32,
    /// The age at which a run counts as evidence that its worker is healthy.
    pub stable_age: Millis,
    /// The maximum number of runs younger than `stable_age` on a worker without such evidence.
    pub max_unproven_runs: u32,
    /// The maximum number of runs younger than `stable_age` on a worker with counted failures.
    pub max_suspected_runs: u32,
    /// The maximum rate of restarts of lost tasks; urgent tasks are exempt.
    pub restarts_per_second: u32,
    /// How long a run that its worker no longer lists may still be reported as ended.
    ///
    /// After this time the run counts as lost.
    pub missing_timeout: Millis,
    /// The time span whose expected urgent arrivals determine how much room is kept free.
    pub headroom_span: Millis,
    /// How long a throttle may stay unanswered before a harsher displacement is tried.
    ///
    /// It is also the assumed time until a stopping run ends.
    pub throttle_timeout: Millis,
    /// The assumed run time of a task that has neither a declared nor a learnt one.
    pub default_run_time: Millis,
    /// Whether task sizes are learnt from usage reports.
    pub learn: bool,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            aging: Millis::from_secs(600),
            backoff: Millis::from_secs(1),
            backoff_max: Millis::from_secs(60),
            failure_decay: Millis::from_secs(600),
            quarantine: Millis::from_secs(30),
            quarantine_max: Millis::from_secs(3_600),
            quarantine_failures: 3,
            stable_age: Millis::from_secs(2),
            max_unproven_runs: 16,
            max_suspected_runs: 2,
            restarts_per_second: 200,
            missing_timeout: Millis::from_secs(10),
            headroom_span: Millis(1_400),
            throttle_timeout: Millis(500),
            default_run_time: Millis::from_secs(3_600),
            learn: true,
        }
    }
}
