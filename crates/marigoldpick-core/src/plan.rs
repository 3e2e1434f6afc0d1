//! Plans: what would change if an intent were confirmed.

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
    /// The index after the last task's.
    pub to: u32,
}

/// `Part` is what a plan says of one job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Part {
    /// The job.
    pub job: id::Job,
    /// The shards that would run it; empty when it can never run.
    pub homes: Vec<Home>,
    /// Tasks that would start at once.
    pub starts: u32,
    /// Tasks that would wait.
    pub waits: u32,
    /// The wait that is expected for the last of them.
    pub wait: Millis,
    /// Why a part can never run, if so: the exact need that no worker meets.
    pub never: Option<String>,
}

/// `Displaced` is a running task that would give way.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Displaced {
    /// The task that gives way.
    pub task: id::Task,
    /// The job it gives way to.
    pub by: id::Job,
    /// How.
    pub how: Yield,
}

/// `Quota` is a team's use before and after.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Quota {
    /// The team.
    pub team: id::Team,
    /// What its accepted jobs hold now.
    pub used: Amount,
    /// What they would hold.
    pub after: Amount,
    /// The quota.
    pub quota: Amount,
}

/// `Plan` is the answer to an intent.
///
/// It is the envelope within which failures are repaired without asking again.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// The plan's name: a digest of all below.
    pub id: id::Plan,
    /// The configuration's number that it was made at.
    pub base: u64,
    /// What was asked for.
    pub intent: Intent,
    /// What becomes of each job.
    pub parts: Vec<Part>,
    /// What gives way at once.
    pub displaced: Vec<Displaced>,
    /// Teams' use.
    pub quotas: Vec<Quota>,
    /// Why it could not be confirmed as it is, if so.
    pub blocked: Option<Code>,
    /// More on that, naming the part.
    pub reason: String,
    /// The event of its making, told between entries alone.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub made: Option<Mark>,
}

impl Plan {
    /// Makes a plan and names it by its digest.
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
