//! What has to hold of a history, whatever failed.

use googletest::prelude::*;
use marigoldpick::core::operator::Status;
use marigoldpick::core::prelude::*;
use marigoldpick::standin::Truth;
use todc_utils::linearizability::WGLChecker;
use todc_utils::linearizability::history::{Action, History};
use todc_utils::specifications::Specification;

use crate::operators::{Confirm, Told};

/// `Operation` is a confirm as the configuration sees it.
#[derive(Clone, Debug)]
enum Operation {
    /// The job was accepted; the number is known unless its answer was lost.
    Accept {
        job: id::Job,
        plan: id::Plan,
        number: Option<u64>,
    },
    /// The confirm was refused since the job was there already.
    Stale { job: id::Job },
}

/// `Register` is the configuration: each job name is accepted once, under numbers that ascend. The
/// same plan confirmed again is told its first number again.
struct Register;

/// An accepted job.
type Accepted = (id::Job, id::Plan, u64);

impl Specification for Register {
    type State = Vec<Accepted>;
    type Operation = Operation;

    fn init() -> Self::State {
        Vec::new()
    }

    fn apply(op: &Operation, state: &Self::State) -> (bool, Self::State) {
        match op {
            Operation::Accept { job, plan, number } => accept(state, job, plan, *number),
            Operation::Stale { job } => {
                let is_there = state.iter().any(|(have, _, _)| have == job);
                (is_there, state.clone())
            }
        }
    }
}

fn accept(
    state: &[Accepted],
    job: &id::Job,
    plan: &id::Plan,
    number: Option<u64>,
) -> (bool, Vec<Accepted>) {
    let mut state = state.to_vec();
    if let Some((_, first, told)) = state.iter().find(|(have, _, _)| have == job) {
        let is_repeated = first == plan && Some(*told) == number;
        return (is_repeated, state);
    }
    let last = state.last().map_or(0, |(_, _, number)| *number);
    let number = number.unwrap_or(last);
    if number < last {
        return (false, state);
    }
    state.push((job.clone(), plan.clone(), number));
    (true, state)
}

/// Checks what operators were told against the configuration that all entries ended with.
pub fn confirms(confirms: &[Confirm], statuses: &[Status]) {
    expect_that!(statuses, not(is_empty()));
    for status in statuses {
        expect_that!(
            owners(status),
            eq(&owners(&statuses[0])),
            "{}",
            status.entry
        );
    }
    let Some(status) = statuses.first() else {
        return;
    };
    for confirm in confirms {
        let is_owner = owners(status).contains(&(confirm.job.clone(), confirm.count));
        match confirm.told {
            Told::Accepted(_) => expect_that!(is_owner, eq(true), "lost: {confirm:?}"),
            Told::Refused(_) if !is_owner => {}
            Told::Refused(_) => {
                let others = confirms
                    .iter()
                    .filter(|other| other.job == confirm.job && other.operator == confirm.operator);
                let may_be = others
                    .filter(|other| matches!(other.told, Told::Accepted(_) | Told::Unknown))
                    .count();
                expect_that!(may_be, gt(0), "refused but accepted: {confirm:?}");
            }
            Told::Stale | Told::Unknown => {}
        }
    }
    expect_that!(is_linearizable(confirms, status), eq(true), "{confirms:?}");
}

fn owners(status: &Status) -> Vec<(id::Job, u32)> {
    let jobs = status.jobs.iter();
    jobs.map(|job| (job.job.clone(), job.count)).collect()
}

/// Tells whether the confirms could have happened one after the other, each between its begin and
/// its end. One whose answer was lost counts when its job is there and no other confirm has it; it
/// may have happened at any time after its begin.
fn is_linearizable(confirms: &[Confirm], status: &Status) -> bool {
    let owners = owners(status);
    let mut events = Vec::new();
    let mut settled: Vec<id::Job> = confirms
        .iter()
        .filter(|confirm| matches!(confirm.told, Told::Accepted(_)))
        .map(|confirm| confirm.job.clone())
        .collect();
    for (process, confirm) in confirms.iter().enumerate() {
        let (job, plan) = (confirm.job.clone(), confirm.plan.clone());
        let (operation, end) = match confirm.told {
            Told::Accepted(number) => {
                let number = Some(number);
                (Operation::Accept { job, plan, number }, confirm.end)
            }
            Told::Stale => (Operation::Stale { job }, confirm.end),
            Told::Refused(_) => continue,
            Told::Unknown => {
                let owns = owners.contains(&(job.clone(), confirm.count));
                if !owns || settled.contains(&job) {
                    continue;
                }
                settled.push(job.clone());
                let number = None;
                (Operation::Accept { job, plan, number }, usize::MAX)
            }
        };
        events.push((confirm.begin, process, Action::Call(operation.clone())));
        events.push((end, process, Action::Response(operation)));
    }
    if events.is_empty() {
        return true;
    }
    events.sort_by_key(|(at, process, _)| (*at, *process));
    let actions = events
        .into_iter()
        .map(|(_, process, action)| (process, action))
        .collect();
    WGLChecker::<Register>::is_linearizable(History::from_actions(actions))
}

/// Checks the promises that the stand-ins can see.
pub fn truth(truth: &Truth) {
    expect_that!(truth.tasks_in_two_places, eq(0));
    expect_that!(truth.tasks_started_twice, eq(0));
    expect_that!(truth.vm_overloads, eq(0));
    expect_that!(truth.requests_run_twice, eq(0));
    expect_that!(truth.requests_cut, eq(0));
    expect_that!(truth.configs_reverted, eq(0));
}

/// Checks that a checker of histories sees a broken one.
#[googletest::test]
fn linearizable_sees_a_name_accepted_twice_and_numbers_that_go_back() {
    let job = id::Job::new("a").expect("a name");
    let other = id::Job::new("b").expect("a name");
    let plans = ["p", "q"].map(|name| id::Plan::new(name).expect("a name"));
    let confirm_as = |plan: usize, job: &id::Job, told, begin| Confirm {
        operator: 0,
        job: job.clone(),
        plan: plans[plan].clone(),
        count: 1,
        told,
        begin,
        end: begin + 1,
    };
    // Plans differ where nothing else is said.
    let confirm = |job: &id::Job, told, begin| confirm_as(begin % 4 / 2, job, told, begin);
    let empty = Status {
        entry: id::Entry::new("e").expect("a name"),
        domain: id::Domain::new("d").expect("a name"),
        draining: false,
        sequence: 0,
        store_age: Millis::ZERO,
        config_old: false,
        shards: Vec::new(),
        jobs: Vec::new(),
        partial: Vec::new(),
        peers: Vec::new(),
        services: Vec::new(),
    };
    let cases = [
        (
            vec![
                confirm(&job, Told::Accepted(2), 0),
                confirm(&other, Told::Accepted(3), 2),
            ],
            true,
        ),
        (
            vec![
                confirm(&job, Told::Accepted(2), 0),
                confirm(&job, Told::Accepted(3), 2),
            ],
            false,
        ),
        (
            vec![
                confirm(&job, Told::Accepted(3), 0),
                confirm(&other, Told::Accepted(2), 2),
            ],
            false,
        ),
        (
            vec![
                confirm(&job, Told::Stale, 0),
                confirm(&job, Told::Accepted(2), 2),
            ],
            false,
        ),
        (
            vec![
                confirm(&job, Told::Accepted(2), 0),
                confirm(&job, Told::Stale, 2),
            ],
            true,
        ),
        (
            vec![
                confirm_as(0, &job, Told::Accepted(2), 0),
                confirm_as(0, &job, Told::Accepted(2), 2),
            ],
            true,
        ),
        (
            vec![
                confirm_as(0, &job, Told::Accepted(2), 0),
                confirm_as(0, &job, Told::Accepted(3), 2),
            ],
            false,
        ),
    ];
    for (history, expected) in cases {
        expect_that!(
            is_linearizable(&history, &empty),
            eq(expected),
            "{history:?}"
        );
    }
}
