//! The configuration, which is a replicated log of numbered entries and the state that they yield.
//!
//! An entry is accepted if and only if it was created in the store under its number. Every process
//! applies the entries in order and without a gap, and so reaches the same state.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::code::Code;
use crate::id;
use crate::intent::{Intent, Job, Objective, Service, Team};
use crate::plan::{Displaced, Home, Plan};
use crate::resource::Amount;
use crate::timeline::Mark;

/// The maximum number of ended jobs that are kept for `status`.
const MAX_ENDED_JOBS: usize = 1_000;
/// The maximum number of confirmed plans that are kept; a repeated confirm of one of them gets the
/// first answer again.
const MAX_CONFIRMED_PLANS: usize = 1_000;

/// The character before the event's number in a writer's name; a [`Name`](crate::name::Name) cannot
/// contain it.
const EVENT: char = '@';

/// `Entry` is a numbered entry of the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// The number, which is one more than that of the entry before.
    pub sequence: u64,
    /// The writer's name. It is unique to each try, so that after a lost answer of the store the
    /// writer can read the entry back and see whether the write took effect.
    pub writer: String,
    /// The changes in order; they may come from several operators.
    pub changes: Vec<Change>,
}

impl Entry {
    /// Returns the writer's name for a try, with the event that proposed the last change, if known.
    ///
    /// The event is a part of the writer's name and no field of its own, so that the stored form is
    /// compatible with entries that lack it and with processes that do not know of it.
    #[must_use]
    pub fn writer_name(
        process: &id::Entry,
        incarnation: u64,
        tries: u64,
        event: Option<u64>,
    ) -> String {
        let writer = format!("{process}/{incarnation:016x}/{tries}");
        match event {
            Some(event) => format!("{writer}{EVENT}{event}"),
            None => writer,
        }
    }

    /// Returns the event that proposed the entry's last change, if the writer names it.
    #[must_use]
    pub fn cause(&self) -> Option<Mark> {
        let (writer, event) = self.writer.rsplit_once(EVENT)?;
        let (writer, _tries) = writer.rsplit_once('/')?;
        let (process, incarnation) = writer.rsplit_once('/')?;
        Some(Mark {
            process: process.parse().ok()?,
            incarnation: u64::from_str_radix(incarnation, 16).ok()?,
            sequence: event.parse().ok()?,
        })
    }
}

/// `Change` is a change of the configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum Change {
    /// A plan is confirmed.
    Confirm(Box<Plan>),
    /// Jobs are cancelled.
    Cancel {
        /// The jobs.
        jobs: Vec<id::Job>,
    },
    /// The drain of a target starts or ends.
    Drain {
        /// The target of the drain.
        target: Target,
        /// Whether the drain starts; if not, it ends.
        on: bool,
    },
    /// All tasks of a job for which a shard was responsible have ended.
    Ended {
        /// The job.
        job: id::Job,
        /// The number of the entry that accepted the job, since a later job may have the same name.
        accepted: u64,
        /// The shard.
        shard: id::Shard,
        /// The number of tasks that were completed.
        completed: u32,
        /// The number of tasks that were given up.
        failed: u32,
    },
}

/// `Target` is what can be drained.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Target {
    /// A worker: its tasks move away.
    Worker(id::Worker),
    /// An endpoint: it gets no new requests.
    Endpoint(id::Endpoint),
    /// An entry: it leaves the balancer and gives up the shards that it leads.
    Entry(id::Entry),
    /// A rack.
    Rack(id::Rack),
    /// A failure domain.
    Domain(id::Domain),
}

impl fmt::Display for Target {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Worker(worker) => write!(f, "worker {worker}"),
            Self::Endpoint(endpoint) => write!(f, "endpoint {endpoint}"),
            Self::Entry(entry) => write!(f, "entry {entry}"),
            Self::Rack(rack) => write!(f, "rack {rack}"),
            Self::Domain(domain) => write!(f, "domain {domain}"),
        }
    }
}

/// `Accepted` is an accepted job with its progress.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Accepted {
    /// The job.
    pub job: Job,
    /// The shards that have not recorded the end of their tasks yet.
    pub homes: Vec<Home>,
    /// The running tasks that its plan displaces for it at once.
    pub displaced: Vec<Displaced>,
    /// The number of the entry that accepted it.
    pub sequence: u64,
    /// Whether it was cancelled, so that its tasks are being stopped.
    pub cancelled: bool,
    /// The number of tasks completed in shards that have recorded the end of theirs.
    pub completed: u32,
    /// The number of tasks given up in shards that have recorded the end of theirs.
    pub failed: u32,
}

/// `Confirmed` is a plan that was confirmed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Confirmed {
    /// The plan.
    pub plan: id::Plan,
    /// The number of the entry that accepted it.
    pub sequence: u64,
}

/// `Holding` is the sum of the resources that the jobs of a team hold.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Holding {
    /// The team.
    pub team: id::Team,
    /// The sum.
    pub amount: Amount,
}

/// `State` is the configuration after the entry with number `sequence`.
///
/// All lists are sorted by name, except for `ended` and `confirmed`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct State {
    /// The number of the last entry applied.
    pub sequence: u64,
    /// The site's objective.
    pub objective: Objective,
    /// The teams.
    pub teams: Vec<Team>,
    /// The services.
    pub services: Vec<Service>,
    /// The jobs that have not ended.
    pub jobs: Vec<Arc<Accepted>>,
    /// The jobs that ended recently, oldest first.
    pub ended: Vec<Arc<Accepted>>,
    /// The plans that were confirmed recently, oldest first.
    pub confirmed: Vec<Confirmed>,
    /// The resources that each team's jobs hold as long as they have not ended.
    pub holdings: Vec<Holding>,
    /// The targets that are being drained.
    pub drains: Vec<Target>,
    /// The number of the entry that last changed teams, services or the objective.
    pub settings_sequence: u64,
    /// The number of the entry that last changed the drain of a rack or failure domain.
    pub drains_sequence: u64,
}

impl State {
    /// Returns the team `name`.
    #[must_use]
    pub fn team(&self, name: &id::Team) -> Option<&Team> {
        self.teams
            .binary_search_by(|t| t.name.cmp(name))
            .ok()
            .map(|at| &self.teams[at])
    }

    /// Returns the service `name`.
    #[must_use]
    pub fn service(&self, name: &id::Service) -> Option<&Service> {
        self.services
            .binary_search_by(|s| s.name.cmp(name))
            .ok()
            .map(|at| &self.services[at])
    }

    /// Returns the job `name`, if it has not ended.
    #[must_use]
    pub fn job(&self, name: &id::Job) -> Option<&Accepted> {
        self.jobs
            .binary_search_by(|j| j.job.name.cmp(name))
            .ok()
            .map(|at| &*self.jobs[at])
    }

    /// Returns the number of the entry that accepted `plan`, if it was confirmed recently.
    #[must_use]
    pub fn confirmed(&self, plan: &id::Plan) -> Option<u64> {
        self.confirmed
            .iter()
            .rev()
            .find(|c| c.plan == *plan)
            .map(|c| c.sequence)
    }

    /// Returns whether `target` is being drained.
    #[must_use]
    pub fn is_draining(&self, target: &Target) -> bool {
        self.drains.binary_search(target).is_ok()
    }

    /// Returns the resources that the accepted jobs of `team` hold.
    ///
    /// A cancelled job holds its resources in each shard until the shard has recorded the end of
    /// its tasks, since they may still run in a shard that does not know of the cancel.
    #[must_use]
    pub fn used(&self, team: &id::Team) -> Amount {
        let at = self.holdings.binary_search_by(|h| h.team.cmp(team)).ok();
        at.map(|at| self.holdings[at].amount.clone())
            .unwrap_or_default()
    }

    /// Checks whether `change` may be accepted on top of this state.
    ///
    /// # Errors
    /// Fails with `Stale` when the state that the change is based on has changed, with
    /// `UnknownTask` for a cancel that names no job it could cancel, with `UnknownName` or
    /// `OverQuota` for a job's team, or with the code that blocks the plan.
    pub fn allows(&self, change: &Change) -> Result<(), Code> {
        match change {
            Change::Confirm(plan) => self.check_plan(plan),
            Change::Cancel { jobs } => {
                let known = jobs
                    .iter()
                    .any(|job| self.job(job).is_some_and(|a| !a.cancelled));
                if known {
                    Ok(())
                } else {
                    Err(Code::UnknownTask)
                }
            }
            Change::Drain { target, on } => {
                if self.is_draining(target) == *on {
                    Err(Code::Stale)
                } else {
                    Ok(())
                }
            }
            Change::Ended {
                job,
                accepted,
                shard,
                ..
            } => {
                let open = self.job(job).is_some_and(|a| {
                    a.sequence == *accepted && a.homes.iter().any(|home| home.shard == *shard)
                });
                if open { Ok(()) } else { Err(Code::Stale) }
            }
        }
    }

    fn check_plan(&self, plan: &Plan) -> Result<(), Code> {
        if let Some(code) = plan.blocked {
            return Err(code);
        }
        if self.has_changed_since(plan) {
            return Err(Code::Stale);
        }
        if plan
            .intent
            .job
            .iter()
            .any(|job| self.job(&job.name).is_some())
        {
            return Err(Code::Stale);
        }
        for displaced in &plan.displaced {
            if self.job(&displaced.task.job).is_none_or(|a| a.cancelled) {
                return Err(Code::Stale);
            }
        }
        self.check_quotas(&plan.intent)
    }

    /// Returns whether settings that the plan sets, or the drain of a rack or failure domain, have
    /// changed since the plan was made.
    ///
    /// Other changes do not invalidate a plan: quotas and names are checked again at the confirm,
    /// and a shard avoids drained workers when it places the tasks.
    fn has_changed_since(&self, plan: &Plan) -> bool {
        let intent = &plan.intent;
        let sets_any = intent.objective.is_some() || !intent.team.is_empty();
        let sets_any = sets_any || !intent.service.is_empty();
        let settings_changed = sets_any && self.settings_sequence > plan.base;
        settings_changed || self.drains_sequence > plan.base
    }

    fn check_quotas(&self, intent: &Intent) -> Result<(), Code> {
        let mut teams: Vec<&id::Team> = intent.job.iter().map(|job| &job.team).collect();
        teams.sort_unstable();
        teams.dedup();
        for team in teams {
            let declared = intent.team.iter().find(|t| t.name == *team);
            let quota = declared
                .or_else(|| self.team(team))
                .ok_or(Code::UnknownName)?;
            let mut after = self.used(team);
            for job in intent.job.iter().filter(|job| job.team == *team) {
                after.add(&job.needs.times(job.count));
            }
            if !quota.quota.holds(&after) {
                return Err(Code::OverQuota);
            }
        }
        Ok(())
    }

    /// Applies `entry` if it is the next one, and returns whether it was.
    ///
    /// A change of the entry that [`State::allows`] rejects has no effect either. Every process
    /// comes to the same decision, since it checks the change against the same state.
    pub fn apply(&mut self, entry: &Entry) -> bool {
        if entry.sequence != self.sequence + 1 {
            return false;
        }
        self.sequence = entry.sequence;
        for change in &entry.changes {
            if self.allows(change).is_ok() {
                self.apply_change(change);
            }
        }
        true
    }

    fn apply_change(&mut self, change: &Change) {
        match change {
            Change::Confirm(plan) => self.apply_plan(plan),
            Change::Cancel { jobs } => self.mark_cancelled(jobs),
            Change::Drain { target, on } => self.set_drain(target, *on),
            Change::Ended {
                job,
                shard,
                completed,
                failed,
                ..
            } => {
                self.record_end(job, shard, *completed, *failed);
            }
        }
    }

    fn apply_plan(&mut self, plan: &Plan) {
        let confirmed = Confirmed {
            plan: plan.id.clone(),
            sequence: self.sequence,
        };
        push_bounded(&mut self.confirmed, confirmed, MAX_CONFIRMED_PLANS);
        let intent = &plan.intent;
        if let Some(objective) = intent.objective {
            self.objective = objective;
            self.settings_sequence = self.sequence;
        }
        for team in &intent.team {
            insert_or_replace(&mut self.teams, team.clone(), |t| &t.name);
            self.settings_sequence = self.sequence;
        }
        for service in &intent.service {
            insert_or_replace(&mut self.services, service.clone(), |s| &s.name);
            self.settings_sequence = self.sequence;
        }
        for job in &intent.job {
            let part = plan.parts.iter().find(|part| part.job == job.name);
            let accepted = Accepted {
                job: job.clone(),
                homes: part.map(|part| part.homes.clone()).unwrap_or_default(),
                displaced: plan
                    .displaced
                    .iter()
                    .filter(|d| d.by == job.name)
                    .cloned()
                    .collect(),
                sequence: self.sequence,
                cancelled: false,
                completed: 0,
                failed: 0,
            };
            self.add_holding(&job.team, &job.needs.times(count_tasks(&accepted.homes)));
            insert_or_replace(&mut self.jobs, Arc::new(accepted), |a| &a.job.name);
        }
    }

    fn add_holding(&mut self, team: &id::Team, amount: &Amount) {
        match self.holdings.binary_search_by(|h| h.team.cmp(team)) {
            Ok(at) => self.holdings[at].amount.add(amount),
            Err(at) => {
                let holding = Holding {
                    team: team.clone(),
                    amount: amount.clone(),
                };
                self.holdings.insert(at, holding);
            }
        }
    }

    fn subtract_holding(&mut self, team: &id::Team, amount: &Amount) {
        if let Ok(at) = self.holdings.binary_search_by(|h| h.team.cmp(team)) {
            self.holdings[at].amount.subtract(amount);
            if self.holdings[at].amount.is_zero() {
                self.holdings.remove(at);
            }
        }
    }

    fn mark_cancelled(&mut self, jobs: &[id::Job]) {
        for job in jobs {
            if let Ok(at) = self.jobs.binary_search_by(|a| a.job.name.cmp(job)) {
                Arc::make_mut(&mut self.jobs[at]).cancelled = true;
            }
        }
    }

    fn set_drain(&mut self, target: &Target, on: bool) {
        match (self.drains.binary_search(target), on) {
            (Err(at), true) => self.drains.insert(at, target.clone()),
            (Ok(at), false) => drop(self.drains.remove(at)),
            _ => {}
        }
        if matches!(target, Target::Rack(_) | Target::Domain(_)) {
            self.drains_sequence = self.sequence;
        }
    }

    /// Records that all of the job's tasks in `shard` have ended, and the job's end if it has no
    /// other shard.
    fn record_end(&mut self, job: &id::Job, shard: &id::Shard, completed: u32, failed: u32) {
        let Ok(at) = self.jobs.binary_search_by(|a| a.job.name.cmp(job)) else {
            return;
        };
        let accepted = Arc::make_mut(&mut self.jobs[at]);
        let before = count_tasks(&accepted.homes);
        accepted.homes.retain(|home| home.shard != *shard);
        accepted.completed += completed;
        accepted.failed += failed;
        let over = accepted.homes.is_empty();
        let released = accepted
            .job
            .needs
            .times(before - count_tasks(&accepted.homes));
        let team = accepted.job.team.clone();
        self.subtract_holding(&team, &released);
        if over {
            let ended = self.jobs.remove(at);
            push_bounded(&mut self.ended, ended, MAX_ENDED_JOBS);
        }
    }
}

/// Inserts `item` into a list sorted by `key`, or replaces the item with the same key.
fn insert_or_replace<T, K: Ord>(list: &mut Vec<T>, item: T, key: impl Fn(&T) -> &K) {
    match list.binary_search_by(|have| key(have).cmp(key(&item))) {
        Ok(at) => list[at] = item,
        Err(at) => list.insert(at, item),
    }
}

fn count_tasks(homes: &[Home]) -> u32 {
    homes.iter().map(|home| home.to - home.from).sum()
}

/// Appends `item` and removes the oldest item if the list is then longer than `max_len`.
fn push_bounded<T>(list: &mut Vec<T>, item: T, max_len: usize) {
    list.push(item);
    if list.len() > max_len {
        list.remove(0);
    }
}
