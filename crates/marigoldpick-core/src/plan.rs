//! Plans, which show what would change if an intent were confirmed.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::clock::Millis;
use crate::code::Code;
use crate::id;
use crate::intent::{Intent, Yield};
use crate::name::Name;
use crate::resource::Amount;
use crate::timeline::Mark;

/// `Home` is a range of a job's tasks that one shard is responsible for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Home {
    /// The shard.
    pub shard: id::Shard,
    /// The first task's index.
    pub from: u32,
    /// The index after that of the last task.
    pub to: u32,
}

/// `Part` is the part of a plan that concerns one job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Part {
    /// The job.
    pub job: id::Job,
    /// The shards that would run it; empty if it can never run.
    pub homes: Vec<Home>,
    /// The number of tasks that would start at once.
    pub starts: u32,
    /// The number of tasks that would wait.
    pub waits: u32,
    /// The expected wait of the last one of them.
    pub wait: Millis,
    /// The need that no worker meets, if the job can never run for this reason.
    pub never: Option<String>,
}

/// `Displaced` is a running task that the plan would throttle or stop in favour of another job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Displaced {
    /// The task that is displaced.
    pub task: id::Task,
    /// The job that it is displaced for.
    pub by: id::Job,
    /// The way in which it is displaced.
    pub how: Yield,
}

/// `Quota` is a team's use of its quota before and after the plan.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Quota {
    /// The team.
    pub team: id::Team,
    /// The resources that its accepted jobs hold now.
    pub used: Amount,
    /// The resources that its jobs would hold after the plan.
    pub after: Amount,
    /// The quota.
    pub quota: Amount,
}

/// `Plan` is the system's answer to an intent.
///
/// Within the bounds of a confirmed plan, the system repairs failures without another confirm.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// The plan's identity, a digest of `base`, `intent`, `parts` and `displaced`.
    pub id: id::Plan,
    /// The number of the configuration entry that was the last one when the plan was made.
    pub base: u64,
    /// The intent that the plan answers.
    pub intent: Intent,
    /// The plan for each job.
    pub parts: Vec<Part>,
    /// The running tasks that are displaced at once.
    pub displaced: Vec<Displaced>,
    /// The teams' use of their quotas.
    pub quotas: Vec<Quota>,
    /// The reason why the plan cannot be confirmed, if it cannot.
    pub blocked: Option<Code>,
    /// Details of that reason, which name the job or the team; empty if there is none.
    pub reason: String,
    /// The time line's event of the plan's creation; sent between entries only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub made: Option<Mark>,
}

impl Plan {
    /// Creates a plan and computes its id and whether it is blocked.
    #[must_use]
    pub fn new(
        base: u64,
        intent: Intent,
        parts: Vec<Part>,
        displaced: Vec<Displaced>,
        quotas: Vec<Quota>,
    ) -> Self {
        let id = digest(base, &intent, &parts, &displaced);
        let never = parts.iter().find(|part| part.never.is_some());
        let over = quotas.iter().find(|quota| !quota.quota.holds(&quota.after));
        let (blocked, reason) = match (never, over) {
            (Some(part), _) => (
                Some(Code::NeverFits),
                format!(
                    "{}: {}",
                    part.job,
                    part.never.as_deref().unwrap_or_default()
                ),
            ),
            (None, Some(quota)) => (
                Some(Code::OverQuota),
                format!("{}: {} of {}", quota.team, quota.after, quota.quota),
            ),
            (None, None) => (None, String::new()),
        };
        Self {
            id,
            base,
            intent,
            parts,
            displaced,
            quotas,
            blocked,
            reason,
            made: None,
        }
    }
}

fn digest(base: u64, intent: &Intent, parts: &[Part], displaced: &[Displaced]) -> id::Plan {
    let mut hash = Sha256::new();
    hash.update(base.to_le_bytes());
    let text = serde_json::to_vec(&(intent, parts, displaced)).unwrap_or_default();
    hash.update(&text);
    let hex: String = hash
        .finalize()
        .iter()
        .take(12)
        .map(|b| format!("{b:02x}"))
        .collect();
    id::Plan(Name::new(&hex).expect("hexadecimal digits make a name"))
}
