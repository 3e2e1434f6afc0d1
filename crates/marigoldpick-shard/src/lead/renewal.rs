//! The renewal interval of the workers' leases, and the timeouts that depend on it.
//!
//! A lead records an interval in the shard's log before it uses it. The longest interval ever recorded
//! bounds the leases that any earlier lead may have given.

use marigoldpick_core::prelude::*;

use super::Lead;
use super::member::Member;
use crate::record::Record;
use crate::settings::Settings;

/// A worker is renewed again after the age of its youngest run divided by this.
const AGE_DIVISOR: u64 = 8;
/// A change of the interval is recorded if it is at least the interval divided by this.
const CHANGE_DIVISOR: u64 = 4;

impl Lead {
    /// Returns the settings with the timeouts for the present renewal interval.
    pub(super) fn timeouts(&self) -> Settings {
        self.settings
            .with_renew_interval(self.journal.state().renew_ms)
    }

    /// Returns the settings with the longest spans that any lead of the shard may have used.
    pub(super) fn longest_timeouts(&self) -> Settings {
        self.settings
            .with_renew_interval(self.journal.state().longest_ms)
    }

    /// Records a new interval when the number of workers requires one.
    pub(super) fn adjust_renew_interval(&mut self) {
        if self.epoch.interim > 0 {
            return;
        }
        let state = self.journal.state();
        let have = state.renew_ms.max(self.settings.renew_ms);
        let want = self.settings.renew_interval(state.workers.len());
        let step = Millis(have.0 / CHANGE_DIVISOR);
        let far = want >= have + step || want + step <= have;
        let paces = |record: &Record| matches!(record, Record::Pace(_));
        let written = self.journal.appending();
        let waits = written.is_some_and(|entry| entry.records.iter().any(paces))
            || self.outbox.iter().any(paces);
        if far && !waits {
            self.outbox.push(Record::Pace(want));
        }
    }

    /// Makes the renewals of all workers due at once when a new interval is in the log.
    ///
    /// The time for which a majority entitles the lead to act may have become shorter.
    pub(super) fn renew_all(&mut self, now: Millis) {
        for member in self.members.iter_mut().filter(|member| member.claimed) {
            member.due = now;
        }
    }

    /// Returns when a worker that is renewed now is renewed next.
    ///
    /// A worker is renewed sooner when a change is likely: a run rarely ends long before or after its
    /// age has doubled. Long intervals are varied, so that renewals spread.
    pub(super) fn next_renewal(&mut self, at: usize, now: Millis) -> Millis {
        let least = self.settings.renew_ms;
        let most = self.timeouts().renew_ms;
        let age = self.members[at].active_at.map(|fresh| now.since(fresh));
        let span = age
            .map_or(most, |age| Millis(age.0 / AGE_DIVISOR))
            .min(most);
        if span <= least {
            return now + least;
        }
        now + span.max(least) - self.backoff.jitter(Millis(span.0 / AGE_DIVISOR))
    }
}

impl Member {
    /// Records that a run began or changed on the worker at `time`, so that it is renewed soon.
    pub(super) fn note_activity(&mut self, time: Millis, now: Millis, least: Millis) {
        self.active_at = self.active_at.max(Some(time));
        let age = now.since(time);
        self.due = self.due.min(now + Millis(age.0 / AGE_DIVISOR).max(least));
    }
}
