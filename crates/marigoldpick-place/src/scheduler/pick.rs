//! Provides the choice of a worker: hard constraints are checked here, the policy ranks the rest.

use marigoldpick_core::intent::{Priority, Spread, Where};
use marigoldpick_core::prelude::*;

use super::Scheduler;
use crate::fleet::{Fleet, MAX_HEADROOM_SLOTS, Worker};
use crate::job::Job;
use crate::score::{Policy, Request};
use crate::size::{MAX_ACCELERATOR_KINDS, Size};

/// `Limits` are the hard constraints on the choice of a worker for one task.
#[derive(Clone, Copy, Debug)]
struct Limits<'a> {
    place: &'a Where,
    avoid: Option<u32>,
    headroom: u32,
    unproven: u32,
    suspected: u32,
}

impl Limits<'_> {
    fn is_allowed(&self, fleet: &Fleet, slot: u32, needs: &Size) -> bool {
        let worker = fleet.get(slot);
        self.avoid != Some(slot)
            && self.has_room_for_young_run(worker)
            && self.has_headroom_left(fleet, worker, needs)
            && is_eligible(self.place, fleet, worker)
    }

    fn has_room_for_young_run(&self, worker: &Worker) -> bool {
        let health = &worker.health;
        let limit = if health.is_on_probation() {
            1
        } else if health.is_suspected() {
            self.suspected
        } else if health.proven {
            return true;
        } else {
            self.unproven
        };
        health.young_runs < limit
    }

    fn has_headroom_left(&self, fleet: &Fleet, worker: &Worker, needs: &Size) -> bool {
        if self.headroom == 0 {
            return true;
        }
        let free = worker.free();
        let before = free.count_fitting(fleet.headroom_size(), MAX_HEADROOM_SLOTS);
        let after = free
            .minus(needs)
            .count_fitting(fleet.headroom_size(), MAX_HEADROOM_SLOTS);
        before == after || fleet.free_headroom_slots() >= self.headroom + (before - after)
    }
}

/// Returns whether the `where` of an intent allows a worker.
pub(super) fn is_eligible(place: &Where, fleet: &Fleet, worker: &Worker) -> bool {
    let rack = &fleet.racks()[worker.rack as usize].id;
    (place.domains.is_empty() || place.domains.contains(&worker.domain))
        && (place.kinds.is_empty() || place.kinds.contains(&worker.kind))
        && (place.racks.is_empty() || place.racks.contains(rack))
}

impl<P: Policy> Scheduler<P> {
    /// Chooses a worker for a task, preferring another than the one on which it last failed.
    pub(super) fn pick_worker(&mut self, job: u32, index: u32, needs: &Size) -> Option<u32> {
        let this = self.jobs.get(job);
        let failed_on = this.task(index).and_then(|task| task.failed_on);
        let found = self.pick_avoiding(job, needs, failed_on);
        if failed_on.is_none() {
            return found;
        }
        found.or_else(|| self.pick_avoiding(job, needs, None))
    }

    fn pick_avoiding(&mut self, slot: u32, needs: &Size, avoid: Option<u32>) -> Option<u32> {
        let Self {
            jobs,
            kinds,
            fleet,
            mix,
            policy,
            rng,
            runs,
            ..
        } = self;
        let job = jobs.get(slot);
        let urgent = job.spec.priority == Priority::Urgent;
        let limits = Limits {
            place: &kinds.get(job.kind).place,
            avoid,
            headroom: if urgent { 0 } else { self.headroom.slots() },
            unproven: self.settings.max_unproven_runs,
            suspected: self.settings.max_suspected_runs,
        };
        let request = Request {
            needs: *needs,
            mix,
            objective: self.objective,
        };
        let allows = |worker: u32| limits.is_allowed(fleet, worker, needs);
        let alone = |worker: u32| {
            let mut have = fleet.get(worker).runs.iter();
            !have.any(|&run| runs.get(run).job == Some(slot))
        };
        match job.spec.place.spread {
            Spread::None => policy.pick(fleet, &request, allows, rng),
            Spread::Worker => policy
                .pick(
                    fleet,
                    &request,
                    |worker| allows(worker) && alone(worker),
                    rng,
                )
                .or_else(|| policy.pick(fleet, &request, allows, rng)),
            Spread::Rack | Spread::Domain => {
                pick_spread_over_racks(policy, fleet, job, &request, allows)
            }
        }
    }
}

/// Chooses a worker in the rack that has the fewest runs of the job and room for one more.
///
/// While several racks have usable workers, none of them runs more than half of the job's tasks in this
/// shard (rounded up), so that the loss of one rack leaves the other half running.
fn pick_spread_over_racks<P: Policy>(
    policy: &P,
    fleet: &Fleet,
    job: &Job,
    request: &Request<'_>,
    allows: impl Fn(u32) -> bool,
) -> Option<u32> {
    let racks = fleet.racks();
    let open = |rack: &u32| {
        racks[*rack as usize]
            .workers
            .iter()
            .any(|&w| fleet.get(w).is_usable())
    };
    let count = u32::try_from(racks.len()).unwrap_or(u32::MAX);
    let mut order: Vec<(u32, u32)> = (0..count)
        .filter(open)
        .map(|rack| (job.runs_in_rack(rack), rack))
        .collect();
    order.sort_unstable();
    let tasks = job.span.to - job.span.from;
    let most = if order.len() > 1 {
        tasks.div_ceil(2)
    } else {
        tasks
    };
    for (have, rack) in order {
        if have >= most {
            return None;
        }
        let fits = |slot: &u32| {
            let worker = fleet.get(*slot);
            worker.is_usable() && worker.free().can_hold(&request.needs) && allows(*slot)
        };
        let score = |slot: u32| {
            let worker = fleet.get(slot);
            policy.score(request, &worker.free(), &worker.size)
        };
        let mut best: Option<(P::Score, u32)> = None;
        for slot in racks[rack as usize].workers.iter().copied().filter(fits) {
            let score = score(slot);
            if best.is_none_or(|(least, _)| score < least) {
                best = Some((score, slot));
            }
        }
        if let Some((_, slot)) = best {
            return Some(slot);
        }
    }
    None
}

/// Returns the need that no worker meets, if a task with these needs can never run in the shard.
pub(super) fn unschedulable_reason(
    fleet: &Fleet,
    needs: &Amount,
    request: Result<Size, Name>,
    place: &Where,
) -> Option<String> {
    let request = match request {
        Ok(request) => request,
        Err(kind) => {
            let count = needs.accelerators_of(&kind);
            return Some(format!(
                "needs {count} {kind} on one worker; no worker has {kind}"
            ));
        }
    };
    let there = |worker: &&Worker| worker.state != crate::fleet::State::Gone;
    let workers: Vec<&Worker> = fleet.workers().iter().filter(there).collect();
    if workers.is_empty() {
        return Some("no worker is known".to_owned());
    }
    let admitted: Vec<&Worker> = workers
        .into_iter()
        .filter(|worker| is_eligible(place, fleet, worker))
        .collect();
    if admitted.is_empty() {
        return Some("no worker is in the failure domains, racks and kinds it may use".to_owned());
    }
    if admitted.iter().any(|worker| worker.size.can_hold(&request)) {
        return None;
    }
    Some(describe_shortfall(&admitted, needs, &request))
}

fn describe_shortfall(workers: &[&Worker], needs: &Amount, request: &Size) -> String {
    let largest = workers
        .iter()
        .fold(Size::default(), |most, worker| most.max(&worker.size));
    let short =
        (0..MAX_ACCELERATOR_KINDS).find(|&k| largest.accelerators[k] < request.accelerators[k]);
    if let Some(k) = short {
        let (count, have) = (request.accelerators[k], largest.accelerators[k]);
        let kind = needs.accelerators.iter().find(|a| a.count == count);
        let kind = kind.map_or("accelerators", |a| a.kind.as_str());
        return format!("needs {count} {kind} on one worker; the largest has {have}");
    }
    if largest.memory < request.memory {
        let (need, have) = (request.memory, largest.memory);
        return format!("needs {need} MiB on one worker; the largest has {have}");
    }
    if largest.millicores < request.millicores {
        let (need, have) = (request.millicores, largest.millicores);
        return format!("needs {need} millicores on one worker; the largest has {have}");
    }
    format!("needs {needs} on one worker; none has all of these together")
}
