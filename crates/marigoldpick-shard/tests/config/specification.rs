//! The sequential specification of job names, which concurrent proposals compete for.

use marigoldpick_core::config::Change;
use marigoldpick_core::intent::Intent;
use marigoldpick_core::plan::{Home, Part, Plan};
use marigoldpick_core::prelude::*;
use todc_utils::specifications::Specification;

/// A proposal takes a job's name, or is refused because the name is taken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Op {
    pub name: String,
    /// Whether the proposal took the name; otherwise it was refused.
    pub taken: bool,
}

impl Op {
    pub fn new(change: &Change, taken: bool) -> Self {
        let name = confirmed(change).intent.job[0].name.to_string();
        Self { name, taken }
    }
}

pub fn confirmed(change: &Change) -> &Plan {
    match change {
        Change::Confirm(plan) => plan,
        _ => panic!("only plans are proposed here"),
    }
}

pub struct Names;

impl Specification for Names {
    type State = Vec<String>;
    type Operation = Op;

    fn init() -> Self::State {
        Vec::new()
    }

    fn apply(op: &Op, state: &Self::State) -> (bool, Self::State) {
        match (state.binary_search(&op.name), op.taken) {
            (Err(at), true) => {
                let mut after = state.clone();
                after.insert(at, op.name.clone());
                (true, after)
            }
            (Ok(_), false) => (true, state.clone()),
            _ => (false, state.clone()),
        }
    }
}

pub const TEAM: &str =
    "[[team]]\nname = \"maps\"\nquota = { millicores = 100000000, memory_mib = 100000000 }\n";

pub fn plan(base: u64, text: &str) -> Change {
    let intent = Intent::parse("test.toml", text).expect("the intent is well formed");
    let home = |to| Home {
        shard: id::Shard::new("north/0").expect("a name"),
        from: 0,
        to,
    };
    let parts = intent
        .job
        .iter()
        .map(|job| Part {
            job: job.name.clone(),
            homes: vec![home(job.count)],
            starts: job.count,
            waits: 0,
            wait: Millis::ZERO,
            never: None,
        })
        .collect();
    Change::Confirm(Box::new(Plan::new(
        base,
        intent,
        parts,
        Vec::new(),
        Vec::new(),
    )))
}

/// Returns a plan for a job; each `salt` gives another plan for the same name.
pub fn job(base: u64, name: u64, salt: u64) -> Change {
    let text = format!(
        "[[job]]\nname = \"j{name}\"\nclass = \"batch\"\nteam = \"maps\"\ncount = {}\n\
         needs = {{ millicores = 1, memory_mib = 1 }}\n",
        salt + 1
    );
    plan(base, &text)
}
