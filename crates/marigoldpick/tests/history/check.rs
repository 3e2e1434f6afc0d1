//! Checks the properties of a history that hold whatever fails.

use googletest::prelude::*;
use marigoldpick::core::operator::Status;
use marigoldpick::core::prelude::*;
use marigoldpick::standin::Truth;
use todc_utils::linearizability::WGLChecker;
use todc_utils::linearizability::history::{Action, History};
use todc_utils::specifications::Specification;

use crate::operators::{Confirm, Reply};

/// `Operation` is the effect of a confirm on the configuration.
#[derive(Clone, Debug)]
enum Operation {
    /// The job was accepted; its number is unknown when the response was lost.
    Accept {
        job: id::Job,
        plan: id::Plan,
        number: Option<u64>,
    },
    /// The confirm was refused since the job existed already.
    Stale { job: id::Job },
}

/// `Register` specifies the configuration: each job name is accepted once, and the numbers ascend.
/// A repeated confirm of the same plan gets the number of the first one.
struct Register;

/// An accepted job, its plan and its configuration number.
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
                let exists = state.iter().any(|(accepted, _, _)| accepted == job);
                (exists, state.clone())
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
    if let Some((_, first_plan, first_number)) =
        state.iter().find(|(accepted, _, _)| accepted == job)
    {
        let is_repeated = first_plan == plan && Some(*first_number) == number;
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

/// Checks the responses to operators against the final configuration of all entries.
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
        match confirm.reply {
            Reply::Accepted(_) => expect_that!(is_owner, eq(true), "lost: {confirm:?}"),
            Reply::Refused(_) if !is_owner => {}
            Reply::Refused(_) => {
                let others = confirms
                    .iter()
                    .filter(|other| other.job == confirm.job && other.operator == confirm.operator);
                let possible_owners = others
                    .filter(|other| matches!(other.reply, Reply::Accepted(_) | Reply::Unknown))
                    .count();
                expect_that!(possible_owners, gt(0), "refused but accepted: {confirm:?}");
            }
            Reply::Stale | Reply::Unknown => {}
        }
    }
    expect_that!(is_linearizable(confirms, status), eq(true), "{confirms:?}");
}

fn owners(status: &Status) -> Vec<(id::Job, u32)> {
    let jobs = status.jobs.iter();
    jobs.map(|job| (job.job.clone(), job.count)).collect()
}

/// Returns whether the confirms have a sequential order in which each takes effect between its
/// begin and its end.
///
/// A confirm whose response was lost counts when its job exists and no other confirm accounts for
/// it; it may have taken effect at any time after its begin.
fn is_linearizable(confirms: &[Confirm], status: &Status) -> bool {
    let owners = owners(status);
    let mut events = Vec::new();
    let mut accounted: Vec<id::Job> = confirms
        .iter()
        .filter(|confirm| matches!(confirm.reply, Reply::Accepted(_)))
        .map(|confirm| confirm.job.clone())
        .collect();
    for (process, confirm) in confirms.iter().enumerate() {
        let (job, plan) = (confirm.job.clone(), confirm.plan.clone());
        let (operation, end) = match confirm.reply {
            Reply::Accepted(number) => {
                let number = Some(number);
                (Operation::Accept { job, plan, number }, confirm.end)
            }
            Reply::Stale => (Operation::Stale { job }, confirm.end),
            Reply::Refused(_) => continue,
            Reply::Unknown => {
                let owns = owners.contains(&(job.clone(), confirm.count));
                if !owns || accounted.contains(&job) {
                    continue;
                }
                accounted.push(job.clone());
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

/// Checks the promises that the stand-ins count.
pub fn truth(truth: &Truth) {
    expect_that!(truth.tasks_in_two_places, eq(0));
    expect_that!(truth.tasks_started_twice, eq(0));
    expect_that!(truth.vm_overloads, eq(0));
    expect_that!(truth.requests_run_twice, eq(0));
    expect_that!(truth.requests_cut, eq(0));
    expect_that!(truth.configs_reverted, eq(0));
}

/// Checks that the checker itself rejects histories that are not linearizable.
#[googletest::test]
fn is_linearizable_rejects_job_accepted_twice_and_descending_numbers() {
    let job = id::Job::new("a").expect("a name");
    let other = id::Job::new("b").expect("a name");
    let plans = ["p", "q"].map(|name| id::Plan::new(name).expect("a name"));
    let confirm_with_plan = |plan: usize, job: &id::Job, reply, begin| Confirm {
        operator: 0,
        job: job.clone(),
        plan: plans[plan].clone(),
        count: 1,
        reply,
        begin,
        end: begin + 1,
    };
    // Derives the plan from `begin`, so that the confirms of a case have different plans.
    let confirm = |job: &id::Job, reply, begin| confirm_with_plan(begin % 4 / 2, job, reply, begin);
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
                confirm(&job, Reply::Accepted(2), 0),
                confirm(&other, Reply::Accepted(3), 2),
            ],
            true,
        ),
        (
            vec![
                confirm(&job, Reply::Accepted(2), 0),
                confirm(&job, Reply::Accepted(3), 2),
            ],
            false,
        ),
        (
            vec![
                confirm(&job, Reply::Accepted(3), 0),
                confirm(&other, Reply::Accepted(2), 2),
            ],
            false,
        ),
        (
            vec![
                confirm(&job, Reply::Stale, 0),
                confirm(&job, Reply::Accepted(2), 2),
            ],
            false,
        ),
        (
            vec![
                confirm(&job, Reply::Accepted(2), 0),
                confirm(&job, Reply::Stale, 2),
            ],
            true,
        ),
        (
            vec![
                confirm_with_plan(0, &job, Reply::Accepted(2), 0),
                confirm_with_plan(0, &job, Reply::Accepted(2), 2),
            ],
            true,
        ),
        (
            vec![
                confirm_with_plan(0, &job, Reply::Accepted(2), 0),
                confirm_with_plan(0, &job, Reply::Accepted(3), 2),
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
