//! Tests that the tasks of short jobs keep to one failure domain, and that other placement stays as it is.

use std::collections::BTreeSet;

use googletest::prelude::*;
use marigoldpick_core::prelude::*;
use marigoldpick_core::work::{Job, Phase};
use marigoldpick_job::askers::Member;
use marigoldpick_job::job::{Job as LeadJob, Place};

use crate::explain::{explained_places, run_starts};
use crate::world::{World, advised, job, name, queue, step};

fn domain(at: usize) -> id::Domain {
    id::Domain::new(["a", "b", "c"][at % 3]).expect("a name")
}

/// Returns a world of three domains whose workers differ in size and speed as on deployment O.
fn three_domains(workers: usize, has_affinity: bool, is_advised: bool) -> World {
    let mut world = World::new(workers);
    for (at, worker) in world.pool.workers.iter_mut().enumerate() {
        worker.node.domain = domain(at);
        worker.speed_permille = 770 + at as u64 * 7_919 % 231;
        worker.node.capacity = Amount::new([16_000, 32_000, 64_000][at / 3 % 3], 128_000);
    }
    if is_advised {
        // A question about 30 workers takes 93 ms, by which a step of an urgent job is on time within 1.2 s.
        world.queues[0] = advised(queue("fast", 0), 60.0, 1.1);
    }
    world.settings.domain_affinity = has_affinity;
    world.take_over();
    let member = |at: usize| Member {
        entry: id::Entry::new(&format!("e{at:02}")).expect("a name"),
        domain: domain(at),
    };
    world
        .lead
        .set_askers(&(0..45).map(member).collect::<Vec<_>>());
    world.run(3_000);
    world
}

/// Returns an urgent job of deployment O: 1.6 steps of ten tasks on average.
fn urgent(number: u32) -> Job {
    let mut steps = vec![step(10, 4_500, 340 + u64::from(number) * 7_919 % 401); 2];
    steps[1].after = vec![0];
    steps.truncate(if number % 5 < 2 { 1 } else { 2 });
    job(steps)
}

/// Returns how many jobs have a task in a domain that is lost for 6 s, at 65 urgent jobs a second, and how many steps
/// were placed in several domains.
fn replay(workers: usize, has_affinity: bool, is_advised: bool) -> (usize, u64) {
    let mut world = three_domains(workers, has_affinity, is_advised);
    let (mut jobs, mut affected) = (Vec::new(), BTreeSet::new());
    for slot in 0..1_200 {
        let (lost, is_lost) = (slot / 400, slot % 400 >= 100);
        for (at, partitioned) in world.partitioned.iter_mut().enumerate() {
            *partitioned = is_lost && at % 3 == lost as usize;
        }
        for number in slot * 13 / 10..(slot + 1) * 13 / 10 {
            jobs.push(world.submit(number + 1, urgent(number)));
        }
        world.run(20);
        for id in jobs.iter().rev().take(if is_lost { 200 } else { 0 }) {
            let places = world.lead.job(id).map_or_else(Vec::new, LeadJob::placed);
            let domain_of = |place: &Place| world.lead.domain_of(&place.worker);
            if places
                .iter()
                .any(|at| domain_of(&at.1) == Some(&domain(lost as usize)))
            {
                affected.insert((lost, id.clone()));
            }
        }
    }
    world.run(6_000);
    let completed = |id| world.phase(id) == Some(Phase::Completed);
    expect_true!(jobs.iter().all(completed));
    let counts = world.lead.counters();
    let steps = (counts.steps_in_one_domain, counts.steps_in_several_domains);
    let of = format!(
        "affinity={has_affinity} advised={is_advised} jobs={}",
        jobs.len()
    );
    println!("{of} affected={} one,several={steps:?}", affected.len());
    (affected.len(), steps.1)
}

/// Load pattern: a domain is lost for longer than urgent jobs can wait, and most of those that run have a task there.
#[googletest::test]
fn affinity_halves_the_jobs_that_a_lost_domain_affects() {
    let [spread, kept] = [false, true].map(|on| replay(350, on, false));
    expect_that!(kept.0 * 2, le(spread.0));
}

/// Guards against questions that name workers of all domains, of which a placement can't make one domain.
#[googletest::test]
fn affinity_reaches_the_questions_to_the_adviser() {
    let [spread, kept] = [false, true].map(|on| replay(350, on, true));
    expect_that!(kept.0, lt(spread.0));
    expect_that!(kept.1 * 5, le(spread.1));
}

/// Guards against an explanation that ignores domains, and against a change of work that is not to be kept together.
#[googletest::test]
fn affinity_is_explained_and_leaves_other_work_alone() {
    // The label keeps the first step out of a domain, and the second one has to follow it.
    let mut two = vec![step(2, 9_000, 540), step(9, 4_500, 540)];
    two[0].label = Some(name("r4"));
    let short = [vec![step(60, 4_500, 540)], two];
    let mut other = vec![step(6, 9_000, 800); 4];
    other[0].gang = true;
    other[1].lasting = true;
    other[2].fills = true;
    other[3].rack = Some(name("r2"));
    other.push(step(9, 13_000, 20_000));
    let other = other.into_iter().map(|step| vec![step]);
    for (at, steps) in short.into_iter().chain(other).enumerate() {
        let [with, without] = [true, false].map(|has_affinity| {
            let mut world = three_domains(18, has_affinity, false);
            world.submit(1, job(vec![step(9, 13_000, 20_000)]));
            world.run(100);
            let places = explained_places(&world, &job(steps.clone()));
            // The preferred domain depends on the id, which an explanation does not know.
            let id = id::Job::new("explained").expect("a name");
            let id = world.submit_as(id, job(steps.clone()));
            expect_that!(run_starts(&mut world, &id), eq(&places), "{steps:?}");
            places
        });
        expect_that!(with == without, eq(at >= 2), "{steps:?}");
    }
}
