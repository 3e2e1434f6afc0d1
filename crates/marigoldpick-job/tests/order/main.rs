//! Replays of overload with each order of waiting work.

use googletest::prelude::*;
use marigoldpick_core::prelude::*;
use marigoldpick_job::Queue;
use marigoldpick_job::rank::Order;

use replay::{Class, Outcome, replay};

mod replay;

const CORES: u64 = 1_680;
const SECONDS: usize = 40;

/// Returns a class whose jobs arrive at `rate` a second.
fn class(priority: u32, tasks: u32, millicores: u64, estimate: u64, rate: f64) -> Class {
    let name = |text: &str| Name::new(text).expect("a name");
    Class {
        queue: Queue {
            name: name(&format!("p{priority}")),
            service: name("s"),
            priority,
            attempts: 3,
            stretch: 1.5,
            target: Millis([250, 500, 2_000][priority as usize]),
            policy: None,
        },
        tasks,
        millicores,
        estimate,
        density: [5.0, 2.2, 1.0][priority as usize],
        rates: vec![rate; SECONDS],
        surplus: 1.0,
    }
}

/// Returns jobs of 28, 120 and 720 core-seconds that need seven eighths of the cores.
fn site() -> Vec<Class> {
    vec![
        class(0, 28, 2_000, 1_000, 12.0),
        class(1, 40, 3_000, 2_000, 3.6),
        class(2, 60, 4_000, 6_000, 0.75),
    ]
}

fn multiply(class: &mut Class, from: usize, end: usize, times: f64) {
    class.rates[from..end].iter_mut().for_each(|r| *r *= times);
}

fn compare(load: &str, classes: &[Class]) -> [Vec<Outcome>; 2] {
    [Order::Priority, Order::Cost].map(|order| {
        let outcomes = replay(classes, CORES, order);
        for (class, outcome) in classes.iter().zip(&outcomes) {
            let kinds = [
                ("ordinary", outcome.ordinary),
                ("wide", outcome.wide),
                ("excess", outcome.excess),
            ];
            for (kind, tally) in kinds.into_iter().filter(|(_, tally)| tally.jobs > 0) {
                let queue = &class.queue.name;
                let (jobs, late, expired) = (tally.jobs, tally.late, tally.expired);
                println!(
                    "{load} {order:?} {queue} {kind} jobs={jobs} late={late} expired={expired}"
                );
            }
        }
        println!(
            "{load} {order:?} earned={:.3}",
            Outcome::total(&outcomes).earned()
        );
        outcomes
    })
}

/// Load pattern: a burst of long work beside short urgent work. With least work first alone, wide
/// jobs of the long queue wait until they expire.
#[googletest::test]
fn cost_serves_wide_jobs_in_a_burst_of_long_work() {
    let mut classes = site();
    multiply(&mut classes[2], 10, 18, 5.0);
    let [priority, cost] = compare("long-burst", &classes);
    expect_that!(
        Outcome::total(&cost).earned(),
        gt(Outcome::total(&priority).earned())
    );
    expect_that!(cost[0].ordinary.earned(), ge(0.99));
    expect_that!(cost[2].wide.earned(), gt(cost[2].ordinary.earned() / 2.0));
    expect_that!(
        priority[2].wide.earned(),
        lt(priority[2].ordinary.earned() / 2.0)
    );
}

/// Load pattern: urgent work at five times its rate. Urgent work that has expired must not run
/// before work of other queues that can still be on time.
#[googletest::test]
fn cost_earns_more_in_a_burst_of_urgent_work() {
    let mut classes = site();
    multiply(&mut classes[0], 10, 16, 5.0);
    let [priority, cost] = compare("urgent-burst", &classes);
    expect_that!(
        Outcome::total(&cost).earned(),
        gt(Outcome::total(&priority).earned())
    );
    expect_that!(cost[0].ordinary.earned(), ge(0.98));
}

/// Load pattern: a team submits urgent work at six times its rate. Behind all other work most of
/// its excess expires; it must be delayed, not starved, and leave work within the rate on time. Starved is excess of
/// which more than one job in ten is of no use to its callers any more when it ends.
#[googletest::test]
fn cost_delays_excess_work_without_starving_it() {
    let mut classes = site();
    classes[0].rates = vec![9.0; SECONDS];
    let mut surge = class(0, 28, 2_000, 1_000, 0.0);
    surge.rates[8..14].fill(54.0);
    surge.surplus = 6.0;
    classes.push(surge);
    let [priority, cost] = compare("surge", &classes);
    let (before, after) = (priority[3].excess, cost[3].excess);
    expect_that!(before.expired, gt(before.jobs / 3));
    expect_that!(after.expired, le(after.jobs / 10));
    expect_that!(cost[0].ordinary.earned(), ge(0.99));
    expect_that!(cost[3].ordinary.earned(), ge(0.99));
}

/// Load pattern: all queues together need a third more than there is, for as long as it lasts.
/// Both orders earn the same within 0.01, by which drawn loads differ.
#[googletest::test]
fn cost_loses_little_under_steady_overload() {
    let mut classes = site();
    classes
        .iter_mut()
        .for_each(|class| multiply(class, 0, SECONDS, 1.5));
    let [priority, cost] = compare("steady", &classes);
    let (before, after) = (Outcome::total(&priority), Outcome::total(&cost));
    expect_that!(after.earned(), gt(before.earned() - 0.01));
}
