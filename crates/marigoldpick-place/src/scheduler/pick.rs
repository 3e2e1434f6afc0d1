//! The choice of a worker: hard limits here, the comparison in the policy.

use marigoldpick_core::intent::{Priority, Spread, Where};
use marigoldpick_core::prelude::*;

use super::Scheduler;
use crate::fleet::{Fleet, MOST_SLOTS, Worker};
use crate::job::Job;
use crate::score::{Ask, Policy};
use crate::size::{KINDS, Size};

/// `Limits` are the hard limits of one choice.
#[derive(Clone, Copy, Debug)]
struct Limits<'a> {
    place: &'a Where,
    avoid: Option<u32>,
    headroom: u32,
    unproven: u32,
    suspected: u32,
}

impl Limits<'_> {
    fn allow(&self, fleet: &Fleet, slot: u32, needs: &Size) -> bool {
        let worker = fleet.get(slot);
        self.avoid != Some(slot)
            && self.healthy(worker)
            && self.keeps_headroom(fleet, worker, needs)
            && admits(self.place, fleet, worker)
    }

    fn healthy(&self, worker: &Worker) -> bool {
        let health = &worker.health;
        let limit = if health.probation() {
            1
        } else if health.suspected() {
            self.suspected
        } else if health.proven {
            return true;
        } else {
            self.unproven
        };
        health.young < limit
    }

    fn keeps_headroom(&self, fleet: &Fleet, worker: &Worker, needs: &Size) -> bool {
        if self.headroom == 0 {
            return true;
        }
        let free = worker.free();
        let before = free.fits(fleet.watched(), MOST_SLOTS);
        let after = free.minus(needs).fits(fleet.watched(), MOST_SLOTS);
        before == after || fleet.slots() >= self.headroom + (before - after)
    }
}

/// Tells whether an intent's `where` admits a worker.
pub(super) fn admits(place: &Where, fleet: &Fleet, worker: &Worker) -> bool {
    let rack = &fleet.racks()[worker.rack as usize].id;
    (place.domains.is_empty() || place.domains.contains(&worker.domain))
        && (place.kinds.is_empty() || place.kinds.contains(&worker.kind))
        && (place.racks.is_empty() || place.racks.contains(rack))
}

impl<P: Policy> Scheduler<P> {
    /// Chooses a worker for a task of a job.
    pub(super) fn pick(&mut self, job: u32, index: u32, needs: &Size) -> Option<u32> {
        let this = self.jobs.get(job);
        let failed_on = this.task(index).and_then(|task| task.failed_on);
        let found = self.pick_apart(job, needs, failed_on);
        if failed_on.is_none() {
            return found;
        }
        found.or_else(|| self.pick_apart(job, needs, None))
    }

    fn pick_apart(&mut self, slot: u32, needs: &Size, avoid: Option<u32>) -> Option<u32> {
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
            unproven: self.settings.unproven,
            suspected: self.settings.suspected,
        };
        let ask = Ask {
            needs: *needs,
            mix,
            objective: self.objective,
        };
        let allows = |worker: u32| limits.allow(fleet, worker, needs);
        let alone = |worker: u32| {
            let mut have = fleet.get(worker).runs.iter();
            !have.any(|&run| runs.get(run).job == Some(slot))
        };
        match job.spec.place.spread {
            Spread::None => policy.pick(fleet, &ask, allows, rng),
            Spread::Worker => policy
                .pick(fleet, &ask, |worker| allows(worker) && alone(worker), rng)
                .or_else(|| policy.pick(fleet, &ask, allows, rng)),
            Spread::Rack | Spread::Domain => pick_rack(policy, fleet, job, &ask, allows),
        }
    }
}

/// Chooses in the rack that has the fewest of the job's runs and room for one more.
///
/// No rack takes more than half of the job while it may run in others, so that a lost rack leaves
/// the other half.
fn pick_rack<P: Policy>(
    policy: &P,
    fleet: &Fleet,
    job: &Job,
    ask: &Ask<'_>,
    allows: impl Fn(u32) -> bool,
) -> Option<u32> {
    let racks = fleet.racks();
    let open = |rack: &u32| {
        racks[*rack as usize]
            .workers
            .iter()
            .any(|&w| fleet.get(w).usable())
    };
    let count = u32::try_from(racks.len()).unwrap_or(u32::MAX);
    let mut order: Vec<(u32, u32)> = (0..count)
        .filter(open)
        .map(|rack| (job.in_rack(rack), rack))
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
            worker.usable() && worker.free().holds(&ask.needs) && allows(*slot)
        };
        let score = |slot: u32| {
            let worker = fleet.get(slot);
            policy.score(ask, &worker.free(), &worker.size)
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

/// Names what no worker meets, if a task with these needs can never run in the shard.
pub(super) fn never(
    fleet: &Fleet,
    needs: &Amount,
    ask: Result<Size, Name>,
    place: &Where,
) -> Option<String> {
    let ask = match ask {
        Ok(ask) => ask,
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
        .filter(|worker| admits(place, fleet, worker))
        .collect();
    if admitted.is_empty() {
        return Some("no worker is in the failure domains, racks and kinds it may use".to_owned());
    }
    if admitted.iter().any(|worker| worker.size.holds(&ask)) {
        return None;
    }
    Some(short_of(&admitted, needs, &ask))
}

fn short_of(workers: &[&Worker], needs: &Amount, ask: &Size) -> String {
    let largest = workers
        .iter()
        .fold(Size::default(), |most, worker| most.max(&worker.size));
    let short = (0..KINDS).find(|&k| largest.accelerators[k] < ask.accelerators[k]);
    if let Some(k) = short {
        let (count, have) = (ask.accelerators[k], largest.accelerators[k]);
        let kind = needs.accelerators.iter().find(|a| a.count == count);
        let kind = kind.map_or("accelerators", |a| a.kind.as_str());
        return format!("needs {count} {kind} on one worker; the largest has {have}");
    }
    if largest.memory < ask.memory {
        let (need, have) = (ask.memory, largest.memory);
        return format!("needs {need} MiB on one worker; the largest has {have}");
    }
    if largest.millicores < ask.millicores {
        let (need, have) = (ask.millicores, largest.millicores);
        return format!("needs {need} millicores on one worker; the largest has {have}");
    }
    format!("needs {needs} on one worker; none has all of these together")
}
