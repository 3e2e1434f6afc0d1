//! How often a lead renews its workers' leases, and what follows from that for its spans.
//!
//! The interval stands in the shard's log before a lead uses it, and the longest that ever stood there
//! bounds the leases that any earlier lead may have given.

use marigoldpick_core::prelude::*;

use super::Lead;
use super::member::Member;
use crate::record::Record;
use crate::settings::Settings;

/// A worker is heard again after this part of its youngest run's age.
const SHARE: u64 = 8;
/// The least change of the interval that is written down, as a part of it.
const STEP: u64 = 4;

impl Lead {
    /// Returns the settings with the spans at which this lead works.
    pub(super) fn pace(&self) -> Settings {
        self.settings.paced(self.journal.state().renew_ms)
    }

    /// Returns the settings with the longest spans that any lead of the shard may have used.
    pub(super) fn longest(&self) -> Settings {
        self.settings.paced(self.journal.state().longest_ms)
    }

    /// Writes down another interval when the number of workers calls for one.
    pub(super) fn set_pace(&mut self) {
        if self.epoch.interim > 0 {
            return;
        }
        let state = self.journal.state();
        let have = state.renew_ms.max(self.settings.renew_ms);
        let want = self.settings.interval(state.workers.len());
        let step = Millis(have.0 / STEP);
        let far = want >= have + step || want + step <= have;
        let paces = |record: &Record| matches!(record, Record::Pace(_));
        let written = self.journal.appending();
        let waits = written.is_some_and(|entry| entry.records.iter().any(paces))
            || self.outbox.iter().any(paces);
        if far && !waits {
            self.outbox.push(Record::Pace(want));
        }
    }

    /// A new interval is in the log: all workers are renewed now, since the right to act may have
    /// become shorter.
    pub(super) fn paced(&mut self, now: Millis) {
        for member in self.members.iter_mut().filter(|member| member.claimed) {
            member.due = now;
        }
    }

    /// Returns when a worker that is renewed now is renewed next.
    ///
    /// News are looked for sooner where they are likely: a run rarely ends long before or after its
    /// age has doubled. Long intervals are varied, so that renewals spread.
    pub(super) fn next_renewal(&mut self, at: usize, now: Millis) -> Millis {
        let least = self.settings.renew_ms;
        let most = self.pace().renew_ms;
        let age = self.members[at].fresh_at.map(|fresh| now.since(fresh));
        let span = age.map_or(most, |age| Millis(age.0 / SHARE)).min(most);
        if span <= least {
            return now + least;
        }
        now + span.max(least) - self.gate.jitter(Millis(span.0 / SHARE))
    }
}

impl Member {
    /// Notes that something began or changed on the worker at `time`, so that it is heard soon.
    pub(super) fn freshen(&mut self, time: Millis, now: Millis, least: Millis) {
        self.fresh_at = self.fresh_at.max(Some(time));
        let age = now.since(time);
        self.due = self.due.min(now + Millis(age.0 / SHARE).max(least));
    }
}
