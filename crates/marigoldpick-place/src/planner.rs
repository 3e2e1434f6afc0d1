//! Provides the planner, which answers an intent from the configuration and the shards' surveys.

use marigoldpick_core::config::State;
use marigoldpick_core::intent::{Class, Intent, Job, Spread, Yield};
use marigoldpick_core::plan::{Displaced, Home, Part, Plan, Quota};
use marigoldpick_core::prelude::*;

use crate::survey::Offer;

/// Maximum number of reasons from different shards that one part names.
const MAX_REASONS: usize = 3;

/// `Share` is the number of a job's tasks that one shard is to run.
#[derive(Clone, Copy, Debug)]
struct Share<'a> {
    shard: &'a id::Shard,
    offer: &'a Offer,
    count: u32,
}

/// Creates the plan for `intent` from `state` and the surveys of the shards.
///
/// The plan uses only the shards that have answered.
#[must_use]
pub fn plan(state: &State, intent: Intent, surveys: &[(id::Shard, Vec<Offer>)]) -> Plan {
    let mut parts = Vec::with_capacity(intent.job.len());
    let mut displaced = Vec::new();
    for job in &intent.job {
        let (part, gives_way) = plan_job(job, surveys);
        parts.push(part);
        displaced.extend(gives_way);
    }
    let quotas = quotas(state, &intent);
    let fault = unknown_name(state, &intent).or_else(|| duplicate_job(state, &intent));
    let mut plan = Plan::new(state.sequence, intent, parts, displaced, quotas);
    if let Some((code, reason)) = fault {
        plan.blocked = Some(code);
        plan.reason = reason;
    }
    plan
}

fn plan_job(job: &Job, surveys: &[(id::Shard, Vec<Offer>)]) -> (Part, Vec<Displaced>) {
    let offers = offers_of(job, surveys);
    let shares = match job.class {
        Class::Gang => share_gang(job, &offers),
        Class::Service if matches!(job.place.spread, Spread::Rack | Spread::Domain) => {
            share_evenly(job, &offers)
        }
        Class::Service => share_room(job, &offers, false),
        Class::Batch => share_room(job, &offers, true),
    };
    let shared: u32 = shares.iter().map(|share| share.count).sum();
    if shared < job.count {
        return (never_part(job, &offers), Vec::new());
    }
    let at_once = |share: &Share<'_>| {
        if job.displace.how == Yield::Never {
            share.offer.now
        } else {
            share.offer.displacing.max(share.offer.now)
        }
    };
    let starts = shares.iter().map(|s| s.count.min(at_once(s))).sum();
    let late = shares.iter().filter(|s| s.count > at_once(s));
    let wait = late.map(|s| s.offer.wait).max().unwrap_or_default();
    let mut displaced: Vec<Displaced> = shares
        .iter()
        .filter(|s| s.count > s.offer.now && job.displace.how != Yield::Never)
        .flat_map(|s| s.offer.displaced.iter().cloned())
        .collect();
    displaced.truncate(job.displace.tasks as usize);
    let part = Part {
        job: job.name.clone(),
        homes: homes(&shares),
        starts,
        waits: job.count - starts,
        wait,
        never: None,
    };
    (part, displaced)
}

fn offers_of<'a>(job: &Job, surveys: &'a [(id::Shard, Vec<Offer>)]) -> Vec<Share<'a>> {
    let offer_of = |offers: &'a [Offer]| offers.iter().find(|offer| offer.job == job.name);
    surveys
        .iter()
        .filter_map(|(shard, offers)| offer_of(offers).map(|offer| (shard, offer)))
        .map(|(shard, offer)| Share {
            shard,
            offer,
            count: 0,
        })
        .collect()
}

/// Assigns a gang to one shard, so that shards need not coordinate its all-or-nothing start.
fn share_gang<'a>(job: &Job, offers: &[Share<'a>]) -> Vec<Share<'a>> {
    let rank = |share: &&Share<'a>| {
        let offer = share.offer;
        let displaces = job.displace.how != Yield::Never && offer.displacing >= job.count;
        let step = match (offer.now >= job.count, displaces) {
            (true, _) => 0,
            (false, true) => 1,
            (false, false) => 2,
        };
        (step, offer.wait, offer.now)
    };
    let eligible = offers.iter().filter(|share| share.offer.ever >= job.count);
    let home = eligible.min_by_key(rank).copied();
    home.into_iter()
        .map(|share| Share {
            count: job.count,
            ..share
        })
        .collect()
}

/// Distributes tasks one by one to the failure domain with the fewest tasks, then to the shard with
/// the fewest; a shard with room now is preferred.
fn share_evenly<'a>(job: &Job, offers: &[Share<'a>]) -> Vec<Share<'a>> {
    let mut shares = offers.to_vec();
    for _ in 0..job.count {
        let in_domain = |domain: &Option<id::Domain>| -> u32 {
            let same = shares.iter().filter(|s| s.offer.domain == *domain);
            same.map(|s| s.count).sum()
        };
        let next = (0..shares.len())
            .filter(|&at| shares[at].count < shares[at].offer.ever)
            .min_by_key(|&at| {
                let share = &shares[at];
                let waits = share.count >= share.offer.now;
                (in_domain(&share.offer.domain), waits, share.count, at)
            });
        let Some(at) = next else { break };
        shares[at].count += 1;
    }
    shares.retain(|share| share.count > 0);
    shares
}

/// Assigns tasks to room that is free now, then to room that displacement frees, then to room that
/// is free when nothing else runs.
///
/// With `over`, a job may have more tasks than fit at one time; they run one after the other.
fn share_room<'a>(job: &Job, offers: &[Share<'a>], over: bool) -> Vec<Share<'a>> {
    let mut shares = offers.to_vec();
    let mut left = job.count;
    left = raise_shares(&mut shares, left, |offer| offer.now);
    if job.displace.how != Yield::Never {
        left = raise_shares(&mut shares, left, |offer| offer.displacing);
    }
    left = raise_shares(&mut shares, left, |offer| offer.ever);
    let size: u64 = shares.iter().map(|s| u64::from(s.offer.ever)).sum();
    if over && size > 0 {
        share_excess(&mut shares, left, size);
    }
    shares.retain(|share| share.count > 0);
    shares
}

/// Raises shares up to `room`, starting with the largest; returns the number of tasks left.
fn raise_shares(shares: &mut [Share<'_>], mut left: u32, room: impl Fn(&Offer) -> u32) -> u32 {
    let mut order: Vec<usize> = (0..shares.len()).collect();
    order.sort_by_key(|&at| std::cmp::Reverse(room(shares[at].offer)));
    for at in order {
        let more = room(shares[at].offer).saturating_sub(shares[at].count);
        let taken = more.min(left);
        shares[at].count += taken;
        left -= taken;
    }
    left
}

/// Distributes `left` more tasks in proportion to the sizes of the shards.
fn share_excess(shares: &mut [Share<'_>], mut left: u32, size: u64) {
    let total = u64::from(left);
    for share in shares.iter_mut().filter(|s| s.offer.ever > 0) {
        let part = (total * u64::from(share.offer.ever)).div_ceil(size);
        let taken = u32::try_from(part).unwrap_or(left).min(left);
        share.count += taken;
        left -= taken;
    }
}

fn homes(shares: &[Share<'_>]) -> Vec<Home> {
    let mut from = 0;
    let mut homes = Vec::with_capacity(shares.len());
    for share in shares {
        let to = from + share.count;
        homes.push(Home {
            shard: share.shard.clone(),
            from,
            to,
        });
        from = to;
    }
    homes
}

fn never_part(job: &Job, offers: &[Share<'_>]) -> Part {
    Part {
        job: job.name.clone(),
        homes: Vec::new(),
        starts: 0,
        waits: 0,
        wait: Millis::ZERO,
        never: Some(never_reason(job, offers)),
    }
}

fn never_reason(job: &Job, offers: &[Share<'_>]) -> String {
    if offers.is_empty() {
        return "no shard answered".to_owned();
    }
    let largest = offers.iter().max_by_key(|share| share.offer.ever);
    let ever = largest.map_or(0, |share| share.offer.ever);
    match (job.class, largest) {
        (Class::Gang, Some(share)) if ever > 0 => format!(
            "its {} tasks must run together in one shard; the largest, {}, holds {ever}",
            job.count, share.shard
        ),
        (_, Some(_)) if ever > 0 => {
            let sum: u64 = offers.iter().map(|s| u64::from(s.offer.ever)).sum();
            format!("all shards together hold {sum} of its {} tasks", job.count)
        }
        _ => {
            let mut reasons: Vec<&str> = offers
                .iter()
                .filter_map(|share| share.offer.never.as_deref())
                .collect();
            reasons.sort_unstable();
            reasons.dedup();
            reasons.truncate(MAX_REASONS);
            reasons.join("; ")
        }
    }
}

fn quotas(state: &State, intent: &Intent) -> Vec<Quota> {
    let mut teams: Vec<&id::Team> = intent.job.iter().map(|job| &job.team).collect();
    teams.sort_unstable();
    teams.dedup();
    let mut quotas = Vec::with_capacity(teams.len());
    for team in teams {
        let declared = intent.team.iter().find(|t| t.name == *team);
        let Some(known) = declared.or_else(|| state.team(team)) else {
            continue;
        };
        let used = state.used(team);
        let mut after = used.clone();
        for job in intent.job.iter().filter(|job| job.team == *team) {
            after.add(&job.needs.times(job.count));
        }
        quotas.push(Quota {
            team: team.clone(),
            used,
            after,
            quota: known.quota.clone(),
        });
    }
    quotas
}

fn unknown_name(state: &State, intent: &Intent) -> Option<(Code, String)> {
    for job in &intent.job {
        let declared = intent.team.iter().any(|team| team.name == job.team);
        if !declared && state.team(&job.team).is_none() {
            let reason = format!("{}: no team '{}' is declared", job.name, job.team);
            return Some((Code::UnknownName, reason));
        }
        let Some(service) = &job.service else {
            continue;
        };
        let declared = intent.service.iter().any(|have| have.name == *service);
        if !declared && state.service(service).is_none() {
            let reason = format!("{}: no service '{service}' is declared", job.name);
            return Some((Code::UnknownName, reason));
        }
    }
    None
}

fn duplicate_job(state: &State, intent: &Intent) -> Option<(Code, String)> {
    let open = intent
        .job
        .iter()
        .find(|job| state.job(&job.name).is_some())?;
    let reason = format!(
        "job '{}' has not ended; cancel it or choose another name",
        open.name
    );
    Some((Code::Duplicate, reason))
}
