//! The teams' quotas in the scheduling pass.
//!
//! Load pattern: many small tasks of a team keep it near its limit, so that a gang of the same team
//! never finds the room to start as a whole. Once the gang is late, the team's other work waits
//! until the gang has started.
//!
//! Load pattern: the gang can't start whatever the team's other work does, since lasting tasks hold the quota or the
//! workers that it needs, or only once a long run ends. The quota is therefore held only if the runs show when the gang
//! can start, and work that ends before then may still start.

use marigoldpick_core::prelude::*;
use marigoldpick_core::team::{Share, Usage};
use marigoldpick_core::work::{Part, Phase, Step};

use super::Lead;
use super::room::Room;
use super::waiting::WaitingStep;
use crate::job::Job;
use crate::rank::{Precedence, Timeliness};

/// The time between two estimates of when a gang can start.
const ESTIMATE_INTERVAL: Millis = Millis(100);
/// The time until the next estimate for a gang of which nothing shows when it can start.
const ESTIMATE_RETRY: Millis = Millis(1_000);
/// The run time assumed for work that starts before a gang, in percent of its estimate.
const BACKFILL_PERCENT: u64 = 150;

/// `Hold` keeps the quota of a team for a gang.
#[derive(Clone, Debug)]
pub(super) struct Hold {
    team: id::Team,
    pub(super) part: Part,
    /// When the gang is expected to start.
    until: Millis,
    /// When that was estimated.
    estimated: Millis,
}

impl Hold {
    /// Returns whether tasks that start now are expected to end before the gang starts.
    fn admits(&self, step: &Step, now: Millis) -> bool {
        let run_time = Millis(step.estimate.times(BACKFILL_PERCENT).0 / 100);
        !step.lasting && now + run_time <= self.until
    }
}

impl Lead {
    /// Returns what each team of `shares` holds and has waiting.
    #[must_use]
    pub fn team_usage(&self, shares: &[Share]) -> Vec<Usage> {
        let mut usage: Vec<Usage> = shares
            .iter()
            .map(|share| Usage {
                share: share.clone(),
                used: self.held_by(&share.team),
                waiting: 0,
                excess: 0,
                limited: 0,
            })
            .collect();
        for job in self.jobs.iter().filter(|job| !job.phase.is_over()) {
            let Some(team) = &job.spec.team else { continue };
            let found = usage.binary_search_by(|usage| usage.share.team.cmp(team));
            let Ok(at) = found else { continue };
            let stages = job.occurrences.iter().flat_map(|o| &o.stages);
            usage[at].limited += stages.filter(|stage| stage.over_quota).count() as u64;
            if job.phase == Phase::Queued {
                usage[at].waiting += 1;
                usage[at].excess += u64::from(job.excess);
            }
        }
        usage
    }

    fn held_by(&self, team: &id::Team) -> Amount {
        let quota = self.quotas.find(team);
        quota.map(|quota| quota.used.clone()).unwrap_or_default()
    }

    /// Returns how many of `waiting` tasks of a step the quota of its team admits.
    ///
    /// A gang is admitted as a whole or not at all.
    pub(super) fn admitted_tasks(&self, job: &Job, step: &Step, waiting: usize) -> usize {
        let most = u32::try_from(waiting).unwrap_or(u32::MAX);
        let team = job.spec.team.as_ref();
        let admitted = self.quotas.count_admitted(team, &step.needs, most) as usize;
        if step.gang && admitted < waiting {
            0
        } else {
            admitted
        }
    }

    /// Records whether a step waits for its team's limit, and holds the quota for a late gang.
    ///
    /// `holds` are those of the last pass.
    pub(super) fn note_quota(
        &mut self,
        queued: &WaitingStep,
        step: &Step,
        is_over_quota: bool,
        holds: &[Hold],
        room: &Room,
        now: Millis,
    ) {
        let part = &queued.part;
        let Some(at) = self.job_index(&part.job) else {
            return;
        };
        let Some(stage) = self.jobs[at].stage_mut(part.occurrence, part.step) else {
            return;
        };
        let was_over_quota = std::mem::replace(&mut stage.over_quota, is_over_quota);
        if !is_over_quota {
            return;
        }
        let Some(team) = self.jobs[at].spec.team.clone() else {
            return;
        };
        let Some(quota) = self.quotas.find(&team) else {
            return;
        };
        let (used, limit) = (quota.used.clone(), quota.limit);
        if step.gang && queued.rank.timeliness != Timeliness::OnTime {
            self.hold_quota(&team, part, holds, room, now);
        }
        if !was_over_quota {
            let detail = format!("team={team} used=\"{used}\" limit=\"{limit}\"");
            self.log("quota-reached", part.to_string(), detail);
        }
    }

    /// Holds a team's quota for a gang if it is the first in rank, and the runs show when it can start.
    fn hold_quota(
        &mut self,
        team: &id::Team,
        part: &Part,
        holds: &[Hold],
        room: &Room,
        now: Millis,
    ) {
        if self.holds.iter().any(|hold| hold.team == *team) {
            return;
        }
        let last = holds.iter().find(|hold| hold.part == *part);
        if let Some(hold) = last.filter(|hold| now < hold.estimated + ESTIMATE_INTERVAL) {
            self.holds.push(hold.clone());
            return;
        }
        let job = self.job(&part.job);
        let stage = job.and_then(|job| job.stage(part.occurrence, part.step));
        if stage.is_none_or(|stage| now < stage.next_estimate) {
            return;
        }
        if let Some(until) = self.expected_start(team, part, room, now) {
            self.holds.push(Hold {
                team: team.clone(),
                part: part.clone(),
                until,
                estimated: now,
            });
        } else if let Some(at) = self.job_index(&part.job)
            && let Some(stage) = self.jobs[at].stage_mut(part.occurrence, part.step)
        {
            stage.next_estimate = now + ESTIMATE_RETRY;
        }
    }

    /// Returns when a gang is expected to start if its team starts nothing else; `None` if the runs don't show that.
    fn expected_start(
        &self,
        team: &id::Team,
        part: &Part,
        room: &Room,
        now: Millis,
    ) -> Option<Millis> {
        let step = self.job(&part.job)?.step(part)?;
        let admitted = self.expected_admission(team, &step.needs.times(step.count), now)?;
        let fits = self.expected_room(part, room, step.count, now)?;
        Some(admitted.max(fits))
    }

    /// Returns when a team's limit is expected to admit `needs`, as its runs end.
    fn expected_admission(&self, team: &id::Team, needs: &Amount, now: Millis) -> Option<Millis> {
        let quota = self.quotas.find(team)?;
        let mut held = quota.used.clone();
        let runs = self.workers.iter().flat_map(|worker| &worker.runs);
        let own = runs.filter(|run| run.team.as_ref() == Some(team));
        let mut ends: Vec<(Millis, &Amount)> = own
            .filter(|run| !run.lasting || self.is_over(&run.task.part.job))
            .filter_map(|run| Some((run.expected_end(now)?, &run.needs)))
            .collect();
        ends.sort_by_key(|(end, _)| *end);
        let mut ends = ends.into_iter();
        let mut at = now;
        while !quota.limit.admits(&held, needs) {
            let (end, freed) = ends.next()?;
            held.subtract(freed);
            at = end;
        }
        Some(at)
    }

    /// Returns whether a job has ended, so that none of its tasks starts again.
    fn is_over(&self, job: &id::Job) -> bool {
        self.job(job).is_none_or(|job| job.phase.is_over())
    }
}

/// Returns whether a step waits because its team's quota is held for a gang.
pub(super) fn is_held_back(
    queued: &WaitingStep,
    team: Option<&id::Team>,
    step: &Step,
    holds: &[Hold],
    now: Millis,
) -> bool {
    let hold = holds.iter().find(|hold| Some(&hold.team) == team);
    queued.rank.precedence == Precedence::Normal
        && hold.is_some_and(|hold| hold.part != queued.part && !hold.admits(step, now))
}
