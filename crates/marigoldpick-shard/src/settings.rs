//! The settings for the ownership of shards.

use marigoldpick_core::document::{self, Error};
use marigoldpick_core::prelude::*;
use serde::{Deserialize, Serialize};

/// The most shards of one failure domain, which bounds the memory of an entry.
const MAX_SHARDS: u32 = 1_000;
/// The largest allowed bound on the drift between two clocks, in parts per thousand.
const MAX_DRIFT_PERMILLE: u64 = 500;

/// `Settings` holds intervals, timeouts and limits, the same at all entries of a site.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// The shortest interval between two renewals of a worker's lease.
    pub renew_ms: Millis,
    /// The longest interval between two renewals, however many workers a shard has.
    pub renew_most_ms: Millis,
    /// Renewals per second above which a lead lengthens the renewal interval.
    pub renewals: u32,
    /// The length of a lease, counted from the stamp of the worker's last report.
    pub lease_ms: Millis,
    /// How long a confirmation by a majority or the store entitles a lead to act.
    pub majority_ms: Millis,
    /// The bound on the drift between two clocks, in parts per thousand.
    pub drift_permille: u64,
    /// How long a worker is without a renewal before its lead may count as gone.
    pub idle_ms: Millis,
    /// How long a candidate waits for the workers' answers to its queries, and then to its claims.
    pub claim_ms: Millis,
    /// How long a candidate waits for the store before it claims workers without it.
    pub patience_ms: Millis,
    /// How long an entry that stepped down waits at least before it is a candidate again.
    ///
    /// A random wait of up to the same length is added.
    pub rival_ms: Millis,
    /// The shortest time between two changes of the electors, the workers whose majority counts.
    pub join_ms: Millis,
    /// The interval at which an entry that does not lead reads the shard's log.
    pub follow_ms: Millis,
    /// The shortest interval between two records of completions.
    pub record_ms: Millis,
    /// The interval between two heartbeats to entries of the same failure domain.
    pub beat_ms: Millis,
    /// The interval between two heartbeats to entries of other failure domains.
    pub far_beat_ms: Millis,
    /// How long an entry may send no heartbeat before it counts as dead.
    pub dead_ms: Millis,
    /// The same for an entry of another failure domain.
    pub far_dead_ms: Millis,
    /// How long an entry must have been live before it may lead or watch.
    pub settle_ms: Millis,
    /// The longest duration of one watch of the store.
    pub watch_ms: Millis,
    /// The age beyond which a configuration counts as out of date.
    pub old_ms: Millis,
    /// How long a proposed change may wait for its answer, or a start for its write-ahead record.
    pub propose_ms: Millis,
    /// The first wait after a failed store call.
    pub backoff_ms: Millis,
    /// The longest wait after failed store calls.
    pub backoff_most_ms: Millis,
    /// The interval at which one retry is added to the retry budget.
    pub retry_ms: Millis,
    /// The size of the retry budget.
    pub retries: u32,
    /// Log entries between two snapshots.
    pub snapshot_every: u64,
    /// The number of log entries that are kept in memory for peers.
    pub recent: usize,
    /// The number of shards of one failure domain.
    pub shards: u32,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            renew_ms: Millis(1_000),
            renew_most_ms: Millis(20_000),
            renewals: 10,
            lease_ms: Millis(8_000),
            majority_ms: Millis(3_000),
            drift_permille: 10,
            idle_ms: Millis(2_200),
            claim_ms: Millis(800),
            patience_ms: Millis(1_000),
            rival_ms: Millis(1_500),
            join_ms: Millis::from_secs(600),
            follow_ms: Millis::from_secs(30),
            record_ms: Millis(500),
            beat_ms: Millis(500),
            far_beat_ms: Millis(4_000),
            dead_ms: Millis(1_800),
            far_dead_ms: Millis(14_000),
            settle_ms: Millis(1_200),
            watch_ms: Millis(5_000),
            old_ms: Millis(15_000),
            propose_ms: Millis(3_000),
            backoff_ms: Millis(100),
            backoff_most_ms: Millis(5_000),
            retry_ms: Millis(1_000),
            retries: 10,
            snapshot_every: 1_000,
            recent: 2_000,
            shards: 1,
        }
    }
}

impl Settings {
    /// Checks the values.
    ///
    /// # Errors
    /// Returns an error that names the first field that is out of its bounds.
    pub fn verify(&self) -> Result<(), Error> {
        self.verify_timeouts()?;
        document::check_positive("ownership.renewals", self.renewals)?;
        document::check_positive("ownership.snapshot_every", self.snapshot_every)?;
        let recent = u64::try_from(self.recent).unwrap_or(u64::MAX);
        document::check_positive("ownership.recent", recent)?;
        if !(1..=MAX_SHARDS).contains(&self.shards) {
            let message = format!("must be from 1 to {MAX_SHARDS}");
            return Err(Error::value("ownership.shards", &message));
        }
        if self.drift_permille > MAX_DRIFT_PERMILLE {
            let message = format!("must be at most {MAX_DRIFT_PERMILLE}");
            return Err(Error::value("ownership.drift_permille", &message));
        }
        if self.lease_ms <= self.renew_ms {
            let message = "must be more than renew_ms, or each lease lapses before it is renewed";
            return Err(Error::value("ownership.lease_ms", message));
        }
        Ok(())
    }

    fn verify_timeouts(&self) -> Result<(), Error> {
        let spans = [
            ("renew_ms", self.renew_ms),
            ("renew_most_ms", self.renew_most_ms),
            ("lease_ms", self.lease_ms),
            ("majority_ms", self.majority_ms),
            ("idle_ms", self.idle_ms),
            ("claim_ms", self.claim_ms),
            ("patience_ms", self.patience_ms),
            ("follow_ms", self.follow_ms),
            ("record_ms", self.record_ms),
            ("beat_ms", self.beat_ms),
            ("far_beat_ms", self.far_beat_ms),
            ("dead_ms", self.dead_ms),
            ("far_dead_ms", self.far_dead_ms),
            ("watch_ms", self.watch_ms),
            ("old_ms", self.old_ms),
            ("propose_ms", self.propose_ms),
            ("backoff_ms", self.backoff_ms),
            ("backoff_most_ms", self.backoff_most_ms),
            ("retry_ms", self.retry_ms),
        ];
        spans.iter().try_for_each(|(field, span)| {
            document::check_positive(&format!("ownership.{field}"), span.0)
        })
    }

    /// Returns these settings with `renew` as the renewal interval, if that is longer.
    ///
    /// All timeouts that depend on the interval grow with it. A renewal counts from the stamp of the
    /// one before. A lease and the detection of a silent lead therefore span two intervals, so that
    /// `lease_ms` and `idle_ms` grow by twice the difference, and `majority_ms` by the difference.
    #[must_use]
    pub fn with_renew_interval(&self, renew: Millis) -> Self {
        let more = renew - self.renew_ms;
        Self {
            renew_ms: self.renew_ms + more,
            lease_ms: self.lease_ms + more + more,
            majority_ms: self.majority_ms + more,
            idle_ms: self.idle_ms + more + more,
            ..self.clone()
        }
    }

    /// Returns the renewal interval for a shard with `workers` workers.
    #[must_use]
    pub fn renew_interval(&self, workers: usize) -> Millis {
        let workers = u64::try_from(workers).unwrap_or(u64::MAX);
        let even = Millis(workers.saturating_mul(1_000) / u64::from(self.renewals.max(1)));
        even.min(self.renew_most_ms).max(self.renew_ms)
    }

    /// Returns an upper bound on how far two clocks drift apart over `span`.
    ///
    /// It is twice `drift_permille` of the span, plus one millisecond of rounding at each end.
    #[must_use]
    pub const fn margin(&self, span: Millis) -> Millis {
        Millis(span.0 * 2 * self.drift_permille / 1_000 + 2)
    }

    /// Returns the wait after which a silent worker's tasks have ended.
    ///
    /// It begins when no other lead can become entitled to renew the worker any more. A lead that was
    /// entitled until then may send renewals for `majority_ms`, each of which grants `lease_ms`.
    #[must_use]
    pub const fn lapse_wait(&self) -> Millis {
        let span = Millis(self.majority_ms.0 + self.lease_ms.0);
        Millis(span.0 + self.margin(span).0)
    }
}
