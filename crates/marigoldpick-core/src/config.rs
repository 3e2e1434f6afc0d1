//! The configuration: a log of numbered entries and the state they add up to.
//!
//! An entry is accepted exactly when it was created in the store under its number. Every process
//! applies the entries in order, without a gap, and so comes to the same state.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::code::Code;
use crate::id;
use crate::intent::{Intent, Job, Objective, Service, Team};
use crate::plan::{Displaced, Home, Plan};
use crate::resource::Amount;
use crate::timeline::Mark;

/// Jobs that ended and are still told by `status`.
const ENDED_KEPT: usize = 1_000;
/// Confirmed plans that are remembered, so that a repeated confirm finds its first answer.
const CONFIRMED_KEPT: usize = 1_000;

/// Stands before the event's number in a writer's name; names don't have it.
const EVENT: char = '@';

/// `Entry` is one numbered entry of the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// The number: one more than the entry before.
    pub sequence: u64,
    /// Who wrote it: unique for each try, so that a lost answer can be settled by reading back.
    pub writer: String,
    /// The changes, in order. Several operators' changes may share an entry.
    pub changes: Vec<Change>,
}

impl Entry {
    /// Names the writer of a try, and the event that proposed the last change if it is known.
    ///
    /// It stands in the writer's name, so that entries without it, and processes that don't know of
    /// it, go on as they are.
    #[must_use]
    pub fn write(process: &id::Entry, incarnation: u64, tries: u64, event: Option<u64>) -> String {
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

/// `Change` is one change of the configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum Change {
    /// A confirmed plan.
    Confirm(Box<Plan>),
    /// Jobs are cancelled.
    Cancel {
        /// The jobs.
        jobs: Vec<id::Job>,
    },
    /// Something is being drained, or no longer.
    Drain {
        /// What.
        target: Target,
        /// Whether it is being drained.
        on: bool,
    },
    /// All tasks of a job that a shard was responsible for have ended.
    Ended {
        /// The job.
        job: id::Job,
        /// The entry that accepted the job, since its name may be used again.
        accepted: u64,
        /// The shard.
        shard: id::Shard,
        /// Tasks that were completed.
        completed: u32,
        /// Tasks that were given up.
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
    /// An entry: it leaves the balancer and gives up its leads.
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

/// `Accepted` is an accepted job that has not ended everywhere.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Accepted {
    /// The job.
    pub job: Job,
    /// The shards that still have tasks of it.
    pub homes: Vec<Home>,
    /// Running tasks that give way to it at once, as its plan says.
    pub displaced: Vec<Displaced>,
    /// The entry that accepted it.
    pub sequence: u64,
    /// Whether it was cancelled and its tasks are being stopped.
    pub cancelled: bool,
    /// Tasks completed in shards that are through with it.
    pub completed: u32,
    /// Tasks given up in shards that are through with it.
    pub failed: u32,
}

/// `Confirmed` is a plan that was confirmed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Confirmed {
    /// The plan.
    pub plan: id::Plan,
    /// The entry that accepted it.
    pub sequence: u64,
}

/// `Holding` is what the jobs of a team hold together.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Holding {
    /// The team.
    pub team: id::Team,
    /// What they hold.
    pub amount: Amount,
}

/// `State` is the configuration at one entry. All lists are sorted by name.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct State {
    /// The number of the last entry applied.
    pub sequence: u64,
    /// The site's objective.
    pub objective: Objective,
    /// Teams.
    pub teams: Vec<Team>,
    /// Services.
    pub services: Vec<Service>,
    /// Jobs that have not ended.
    pub jobs: Vec<Arc<Accepted>>,
    /// Jobs that ended lately, oldest first.
    pub ended: Vec<Arc<Accepted>>,
    /// Plans confirmed lately, oldest first.
    pub confirmed: Vec<Confirmed>,
    /// What the jobs of each team hold that have not ended, summed up.
    pub holdings: Vec<Holding>,
    /// What is being drained.
    pub drains: Vec<Target>,
    /// The entry that last changed teams, services or the objective.
    pub settings_sequence: u64,
    /// The entry that last changed the drains of racks or failure domains.
    pub drains_sequence: u64,
}

impl State {
    /// Returns a team.
    #[must_use]
    pub fn team(&self, name: &id::Team) -> Option<&Team> {
        self.teams
            .binary_search_by(|t| t.name.cmp(name))
            .ok()
            .map(|at| &self.teams[at])
    }

    /// Returns a service.
    #[must_use]
    pub fn service(&self, name: &id::Service) -> Option<&Service> {
        self.services
            .binary_search_by(|s| s.name.cmp(name))
            .ok()
            .map(|at| &self.services[at])
    }

    /// Returns a job that has not ended.
    #[must_use]
    pub fn job(&self, name: &id::Job) -> Option<&Accepted> {
        self.jobs
            .binary_search_by(|j| j.job.name.cmp(name))
            .ok()
            .map(|at| &*self.jobs[at])
    }

    /// Returns the entry that accepted `plan`, if it was confirmed lately.
    #[must_use]
    pub fn confirmed(&self, plan: &id::Plan) -> Option<u64> {
        self.confirmed
            .iter()
            .rev()
            .find(|c| c.plan == *plan)
            .map(|c| c.sequence)
    }

    /// Tells whether `target` is being drained.
    #[must_use]
    pub fn drains(&self, target: &Target) -> bool {
        self.drains.binary_search(target).is_ok()
    }

    /// Returns what the accepted jobs of `team` hold.
    ///
    /// A cancelled job holds its part until each shard has recorded that its tasks ended, since they
    /// may still run in a shard that does not know of the cancel.
    #[must_use]
    pub fn used(&self, team: &id::Team) -> Amount {
        let at = self.holdings.binary_search_by(|h| h.team.cmp(team)).ok();
        at.map(|at| self.holdings[at].amount.clone())
            .unwrap_or_default()
    }

    /// Tells whether `change` may be accepted on top of this state.
    ///
    /// # Errors
    /// `Stale` when what a plan rests on has changed, `OverQuota`, `UnknownTask` for a cancel of
    /// nothing, or the code that blocks the plan.
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
                if self.drains(target) == *on {
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
        if self.has_moved(plan) {
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

    /// Tells whether settings that a plan sets, or racks and domains it counts on, have changed.
    ///
    /// Quotas and names are judged anew at the confirm, and a shard places tasks round drained
    /// workers by itself, so other changes of those spoil no plan.
    fn has_moved(&self, plan: &Plan) -> bool {
        let intent = &plan.intent;
        let sets = intent.objective.is_some() || !intent.team.is_empty();
        let sets = sets || !intent.service.is_empty();
        let settings = sets && self.settings_sequence > plan.base;
        settings || self.drains_sequence > plan.base
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

    /// Applies the next entry. A change that may not be accepted on top of those before it has no
    /// effect; every process decides so alike.
    ///
    /// Returns whether the entry was the next one; others are left alone.
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
            Change::Cancel { jobs } => self.cancel(jobs),
            Change::Drain { target, on } => self.drain(target, *on),
            Change::Ended {
                job,
                shard,
                completed,
                failed,
                ..
            } => {
                self.end(job, shard, *completed, *failed);
            }
        }
    }

    fn apply_plan(&mut self, plan: &Plan) {
        let confirmed = Confirmed {
            plan: plan.id.clone(),
            sequence: self.sequence,
        };
        push_bounded(&mut self.confirmed, confirmed, CONFIRMED_KEPT);
        let intent = &plan.intent;
        if let Some(objective) = intent.objective {
            self.objective = objective;
            self.settings_sequence = self.sequence;
        }
        for team in &intent.team {
            put(&mut self.teams, team.clone(), |t| &t.name);
            self.settings_sequence = self.sequence;
        }
        for service in &intent.service {
            put(&mut self.services, service.clone(), |s| &s.name);
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
            self.hold(&job.team, &job.needs.times(tasks(&accepted.homes)));
            put(&mut self.jobs, Arc::new(accepted), |a| &a.job.name);
        }
    }

    fn hold(&mut self, team: &id::Team, amount: &Amount) {
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

    fn release(&mut self, team: &id::Team, amount: &Amount) {
        if let Ok(at) = self.holdings.binary_search_by(|h| h.team.cmp(team)) {
            self.holdings[at].amount.subtract(amount);
            if self.holdings[at].amount.is_zero() {
                self.holdings.remove(at);
            }
        }
    }

    fn cancel(&mut self, jobs: &[id::Job]) {
        for job in jobs {
            if let Ok(at) = self.jobs.binary_search_by(|a| a.job.name.cmp(job)) {
                Arc::make_mut(&mut self.jobs[at]).cancelled = true;
            }
        }
    }

    fn drain(&mut self, target: &Target, on: bool) {
        match (self.drains.binary_search(target), on) {
            (Err(at), true) => self.drains.insert(at, target.clone()),
            (Ok(at), false) => drop(self.drains.remove(at)),
            _ => {}
        }
        if matches!(target, Target::Rack(_) | Target::Domain(_)) {
            self.drains_sequence = self.sequence;
        }
    }

    fn end(&mut self, job: &id::Job, shard: &id::Shard, completed: u32, failed: u32) {
        let Ok(at) = self.jobs.binary_search_by(|a| a.job.name.cmp(job)) else {
            return;
        };
        let accepted = Arc::make_mut(&mut self.jobs[at]);
        let before = tasks(&accepted.homes);
        accepted.homes.retain(|home| home.shard != *shard);
        accepted.completed += completed;
        accepted.failed += failed;
        let over = accepted.homes.is_empty();
        let given_back = accepted.job.needs.times(before - tasks(&accepted.homes));
        let team = accepted.job.team.clone();
        self.release(&team, &given_back);
        if over {
            let ended = self.jobs.remove(at);
            push_bounded(&mut self.ended, ended, ENDED_KEPT);
        }
    }
}

fn put<T, K: Ord>(list: &mut Vec<T>, item: T, key: impl Fn(&T) -> &K) {
    match list.binary_search_by(|have| key(have).cmp(key(&item))) {
        Ok(at) => list[at] = item,
        Err(at) => list.insert(at, item),
    }
}

fn tasks(homes: &[Home]) -> u32 {
    homes.iter().map(|home| home.to - home.from).sum()
}

fn push_bounded<T>(list: &mut Vec<T>, item: T, most: usize) {
    list.push(item);
    if list.len() > most {
        list.remove(0);
    }
}
