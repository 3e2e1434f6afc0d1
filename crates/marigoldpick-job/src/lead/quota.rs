//! The teams' quotas in the scheduling pass.
//!
//! Load pattern: many small tasks of a team keep it near its limit, so that a gang of the same team
//! never finds the room to start as a whole. Once the gang is late, the team's other work waits
//! until the gang has started.

use marigoldpick_core::prelude::*;
use marigoldpick_core::team::{Share, Usage};
use marigoldpick_core::work::{Part, Phase, Step};

use super::Lead;
use super::waiting::WaitingStep;
use crate::job::Job;
use crate::rank::{Precedence, Timeliness};

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
    pub(super) fn note_quota(&mut self, queued: &WaitingStep, step: &Step, is_over_quota: bool) {
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
        let can_ever_start = limit.admits(&Amount::default(), &step.needs.times(step.count));
        if step.gang && can_ever_start && queued.rank.timeliness != Timeliness::OnTime {
            self.held_gangs.push((team.clone(), part.clone()));
        }
        if !was_over_quota {
            let detail = format!("team={team} used=\"{used}\" limit=\"{limit}\"");
            self.log("quota-reached", part.to_string(), detail);
        }
    }
}

/// Returns whether a step waits because its team's quota is held for a gang.
///
/// Of several gangs, the first in rank is served.
pub(super) fn is_held_back(
    queued: &WaitingStep,
    team: Option<&id::Team>,
    held_gangs: &[(id::Team, Part)],
) -> bool {
    let held = held_gangs
        .iter()
        .find(|(holder, _)| Some(holder) == team)
        .map(|(_, part)| part);
    queued.rank.precedence == Precedence::Normal && held.is_some_and(|part| *part != queued.part)
}
