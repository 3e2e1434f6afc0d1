//! Settings of the scheduler.

use marigoldpick_core::prelude::*;

/// `Settings` are the scheduler's limits and spans.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The wait after which a job counts one priority higher, up to `High`.
    pub aging: Millis,
    /// The delay before a task's second attempt; it doubles with each further one.
    pub backoff: Millis,
    /// The longest delay before another attempt.
    pub backoff_max: Millis,
    /// A service instance that ran for this long has one failure fewer to its count.
    pub forgive: Millis,
    /// The first quarantine of a worker; it doubles each time.
    pub quarantine: Millis,
    /// The longest quarantine of a worker.
    pub quarantine_max: Millis,
    /// Failures blamed on a worker that shut it out.
    pub blames: u32,
    /// The age at which a run shows that its worker can run tasks.
    pub proof: Millis,
    /// Runs younger than `proof` on a worker that has not proved itself.
    pub unproven: u32,
    /// The same on a worker under suspicion.
    pub suspected: u32,
    /// Restarts of lost tasks a second; urgent ones aren't held back.
    pub restarts: u32,
    /// How long a run that is missing from a worker's list may still be told as finished.
    pub settle: Millis,
    /// The span of urgent arrivals for which room is kept free.
    pub headroom: Millis,
    /// How long a throttle may stay unanswered before a harder way is chosen.
    pub throttle_wait: Millis,
    /// The run time that is assumed when neither the owner nor experience tells one.
    pub run: Millis,
    /// Whether sizes are learnt from usage.
    pub learn: bool,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            aging: Millis::from_secs(600),
            backoff: Millis::from_secs(1),
            backoff_max: Millis::from_secs(60),
            forgive: Millis::from_secs(600),
            quarantine: Millis::from_secs(30),
            quarantine_max: Millis::from_secs(3_600),
            blames: 3,
            proof: Millis::from_secs(2),
            unproven: 16,
            suspected: 2,
            restarts: 200,
            settle: Millis::from_secs(10),
            headroom: Millis(1_400),
            throttle_wait: Millis(500),
            run: Millis::from_secs(3_600),
            learn: true,
        }
    }
}
