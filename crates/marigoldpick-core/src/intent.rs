//! Intents, in which operators declare what should run, where it may run and what it may displace.

use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::document::{self, Error, check_positive, check_unique};
use crate::id;
use crate::name::Name;
use crate::resource::Amount;

/// The maximum number of tasks of a job.
pub const MAX_COUNT: u32 = 100_000;
/// The maximum length of a job's name, in bytes.
///
/// It is below the maximum of other names, since the names of the job's endpoints contain it.
pub const MAX_JOB_NAME_BYTES: usize = 96;
/// The maximum of the time spans in an intent: thirty days.
pub const MAX_SPAN: Millis = Millis::from_secs(30 * 24 * 3_600);

/// `Intent` is a document in which an operator declares settings and jobs.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Intent {
    /// The site's objective.
    pub objective: Option<Objective>,
    /// The teams and their quotas.
    pub team: Vec<Team>,
    /// The services that callers send requests to.
    pub service: Vec<Service>,
    /// The jobs.
    pub job: Vec<Job>,
}

/// `Objective` is the set of weights of the site's goals; only their ratios matter.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Objective {
    /// The weight of a short waiting time.
    pub waiting: f64,
    /// The weight of dense packing.
    pub packing: f64,
    /// The weight of a low control cost.
    pub control: f64,
}

impl Default for Objective {
    fn default() -> Self {
        Self {
            waiting: 1.0,
            packing: 1.0,
            control: 0.1,
        }
    }
}

/// `Team` is a team with its quota.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// The team.
    pub name: id::Team,
    /// The maximum of the resources that its jobs may hold together.
    pub quota: Amount,
    /// Its share relative to that of other teams whose tasks wait too.
    #[serde(default = "one")]
    pub weight: u32,
}

/// `Service` is the set of a service's settings for the handling of requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The service.
    pub name: id::Service,
    /// The number of requests that an endpoint runs at the same time.
    #[serde(default = "eight")]
    pub slots: u32,
    /// The number of connections that an endpoint accepts.
    #[serde(default = "sixty")]
    pub connections: u32,
    /// The maximum number of one team's requests that wait at an entry.
    #[serde(default = "hundred")]
    pub queue: u32,
    /// The deadline of requests that do not set one.
    #[serde(default = "five_seconds")]
    pub deadline_ms: Millis,
    /// The retry budget: retries per hundred first attempts.
    #[serde(default = "ten")]
    pub retry_percent: u32,
    /// The maximum size of the body of a request or answer, in bytes.
    #[serde(default = "sixteen_mib")]
    pub body_limit: u64,
    /// The shares of the teams; a team that is not listed has the share one.
    #[serde(default)]
    pub weight: Vec<Weight>,
}

/// `Weight` is a team's share of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Weight {
    /// The team.
    pub team: id::Team,
    /// Its share.
    pub share: u32,
}

/// `Class` is the way in which a job's tasks start and end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Class {
    /// Tasks that run until they are cancelled.
    Service,
    /// Tasks that run to completion, independently of each other.
    Batch,
    /// Tasks that start either all together or not at all.
    Gang,
}

/// `Priority` is the priority of a job.
///
/// A job may displace one of lower priority if the intents of both jobs allow it.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Priority {
    /// The job gets resources that the other priorities leave.
    Low,
    /// The default.
    #[default]
    Normal,
    /// The job goes before those of the default priority.
    High,
    /// The job starts within 1.4 s.
    Urgent,
}

/// `Spread` is the level at which a job's tasks are spread.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Spread {
    /// The tasks may share a worker.
    #[default]
    None,
    /// The tasks are spread over workers.
    Worker,
    /// The tasks are spread over racks, so that the loss of a rack affects only a few of them.
    Rack,
    /// The tasks are spread over failure domains, and over the racks in each domain.
    Domain,
}

/// `Where` limits the workers on which a job may run; an empty list limits nothing.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Where {
    /// The failure domains that are allowed.
    pub domains: Vec<id::Domain>,
    /// The racks that are allowed.
    pub racks: Vec<id::Rack>,
    /// The kinds of worker that are allowed.
    pub kinds: Vec<Name>,
    /// The level at which the tasks are spread.
    pub spread: Spread,
}

/// `Yield` is the most disruptive way in which a job's tasks may be displaced.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Yield {
    /// They may not be displaced.
    #[default]
    Never,
    /// Their processors may be throttled.
    Throttle,
    /// They may also be stopped after a checkpoint.
    Checkpoint,
    /// They may also be stopped without a checkpoint.
    Stop,
}

/// `Displace` limits the tasks that a job may displace.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Displace {
    /// The classes of jobs whose tasks it may displace.
    pub classes: Vec<Class>,
    /// The most disruptive way in which it may displace them.
    pub how: Yield,
    /// The maximum number of tasks that are displaced at the same time.
    pub tasks: u32,
}

/// `Cutoff` is the policy for tasks in a failure domain that is cut off by a network partition.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Cutoff {
    /// The tasks continue there and are not started elsewhere.
    #[default]
    Hold,
    /// The tasks are ended there in time, so that they can be started elsewhere.
    Move,
}

/// `Job` is a job that an operator declares.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Job {
    /// The job's name, unique among all jobs that have not ended.
    pub name: id::Job,
    /// Its class.
    pub class: Class,
    /// The team whose quota it uses.
    pub team: id::Team,
    /// The number of tasks.
    #[serde(default = "one")]
    pub count: u32,
    /// Its priority.
    #[serde(default)]
    pub priority: Priority,
    /// The resources that each task needs.
    pub needs: Amount,
    /// The workers on which it may run.
    #[serde(default, rename = "where")]
    pub place: Where,
    /// The tasks that it may displace.
    #[serde(default)]
    pub displace: Displace,
    /// The way in which its own tasks may be displaced.
    #[serde(default, rename = "yield")]
    pub yields: Yield,
    /// The run time that the operator expects, which safety does not depend on. Services have none.
    #[serde(default)]
    pub run_ms: Option<Millis>,
    /// The time after the confirm within which the job should end, if any.
    #[serde(default)]
    pub deadline_ms: Option<Millis>,
    /// Whether a task may be started again if it is unknown whether it ran.
    #[serde(default = "yes")]
    pub idempotent: bool,
    /// The policy for its tasks in a failure domain that is cut off.
    #[serde(default)]
    pub on_cutoff: Cutoff,
    /// The grace period for a task that is stopped.
    #[serde(default = "five_seconds")]
    pub stop_ms: Millis,
    /// The number of failures after which a task is given up.
    #[serde(default = "five")]
    pub attempts: u32,
    /// The service that the tasks are endpoints of, if any.
    #[serde(default)]
    pub service: Option<id::Service>,
    /// The command that the worker runs.
    #[serde(default)]
    pub command: String,
}

const fn one() -> u32 {
    1
}
const fn five() -> u32 {
    5
}
const fn eight() -> u32 {
    8
}
const fn ten() -> u32 {
    10
}
const fn sixty() -> u32 {
    60
}
const fn hundred() -> u32 {
    100
}
const fn yes() -> bool {
    true
}
const fn five_seconds() -> Millis {
    Millis::from_secs(5)
}
const fn sixteen_mib() -> u64 {
    16 << 20
}

impl Intent {
    /// Parses and checks an intent.
    ///
    /// # Errors
    /// Fails at the first mistake; the error names the file, and the line or the field.
    pub fn parse(file: &str, text: &str) -> Result<Self, Error> {
        let intent: Self = document::parse(file, text)?;
        intent.check().map_err(|error| error.in_file(file))?;
        Ok(intent)
    }

    /// Checks the intent as far as this is possible without the configuration.
    ///
    /// # Errors
    /// Fails at the first field that is out of its bounds; the error names it.
    pub fn check(&self) -> Result<(), Error> {
        if let Some(objective) = &self.objective {
            check_objective(objective)?;
        }
        check_unique("team", self.team.iter().map(|t| t.name.as_str()))?;
        check_unique("service", self.service.iter().map(|s| s.name.as_str()))?;
        check_unique("job", self.job.iter().map(|j| j.name.as_str()))?;
        for (at, team) in self.team.iter().enumerate() {
            check_positive(&format!("team[{at}].weight"), team.weight)?;
            check_amount(&format!("team[{at}].quota"), &team.quota)?;
        }
        for (at, service) in self.service.iter().enumerate() {
            check_service(&format!("service[{at}]"), service)?;
        }
        for (at, job) in self.job.iter().enumerate() {
            check_job(&format!("job[{at}]"), job)?;
        }
        Ok(())
    }
}

fn check_objective(objective: &Objective) -> Result<(), Error> {
    let weights = [
        ("objective.waiting", objective.waiting),
        ("objective.packing", objective.packing),
        ("objective.control", objective.control),
    ];
    match weights
        .iter()
        .find(|(_, weight)| !weight.is_finite() || *weight < 0.0)
    {
        Some((field, _)) => Err(Error::value(field, "must be a number that is not negative")),
        None => Ok(()),
    }
}

fn check_service(path: &str, service: &Service) -> Result<(), Error> {
    check_positive(&format!("{path}.slots"), service.slots)?;
    check_positive(
        &format!("{path}.connections"),
        u64::from(service.connections),
    )?;
    check_positive(&format!("{path}.queue"), service.queue)?;
    check_positive(&format!("{path}.body_limit"), service.body_limit)?;
    check_span(&format!("{path}.deadline_ms"), service.deadline_ms)?;
    if service.connections < service.slots {
        return Err(Error::value(
            &format!("{path}.connections"),
            "must be at least the slots",
        ));
    }
    if service.retry_percent > 100 {
        return Err(Error::value(
            &format!("{path}.retry_percent"),
            "must be at most 100",
        ));
    }
    for (at, weight) in service.weight.iter().enumerate() {
        check_positive(
            &format!("{path}.weight[{at}].share"),
            u64::from(weight.share),
        )?;
    }
    check_unique(
        &format!("{path}.weight"),
        service.weight.iter().map(|w| w.team.as_str()),
    )
}

fn check_job(path: &str, job: &Job) -> Result<(), Error> {
    if job.name.as_str().len() > MAX_JOB_NAME_BYTES {
        return Err(Error::value(
            &format!("{path}.name"),
            "must have at most 96 bytes",
        ));
    }
    check_positive(&format!("{path}.count"), job.count)?;
    if job.count > MAX_COUNT {
        return Err(Error::value(
            &format!("{path}.count"),
            "must be at most 100000",
        ));
    }
    check_positive(&format!("{path}.attempts"), job.attempts)?;
    check_amount(&format!("{path}.needs"), &job.needs)?;
    check_positive(&format!("{path}.needs.millicores"), job.needs.millicores)?;
    check_positive(&format!("{path}.needs.memory_mib"), job.needs.memory_mib)?;
    if let Some(run) = job.run_ms {
        check_span(&format!("{path}.run_ms"), run)?;
    }
    if let Some(deadline) = job.deadline_ms {
        check_span(&format!("{path}.deadline_ms"), deadline)?;
    }
    if job.stop_ms > MAX_SPAN {
        return Err(Error::value(
            &format!("{path}.stop_ms"),
            "must be at most thirty days",
        ));
    }
    if job.class == Class::Service && job.run_ms.is_some() {
        return Err(Error::value(
            &format!("{path}.run_ms"),
            "a service has no run time",
        ));
    }
    if job.class != Class::Service && job.service.is_some() {
        return Err(Error::value(
            &format!("{path}.service"),
            "only tasks of class service are endpoints",
        ));
    }
    check_unique(
        &format!("{path}.where.domains"),
        job.place.domains.iter().map(id::Domain::as_str),
    )?;
    check_unique(
        &format!("{path}.where.racks"),
        job.place.racks.iter().map(id::Rack::as_str),
    )?;
    check_unique(
        &format!("{path}.where.kinds"),
        job.place.kinds.iter().map(Name::as_str),
    )
}

fn check_amount(path: &str, amount: &Amount) -> Result<(), Error> {
    /// The maximum of each resource, low enough that sums over all workers do not overflow.
    const MAX_RESOURCE: u64 = 1 << 40;
    if amount.millicores > MAX_RESOURCE {
        return Err(Error::value(&format!("{path}.millicores"), "is too large"));
    }
    if amount.memory_mib > MAX_RESOURCE {
        return Err(Error::value(&format!("{path}.memory_mib"), "is too large"));
    }
    for (at, accelerators) in amount.accelerators.iter().enumerate() {
        check_positive(
            &format!("{path}.accelerators[{at}].count"),
            u64::from(accelerators.count),
        )?;
    }
    let sorted = amount.accelerators.is_sorted_by(|a, b| a.kind < b.kind);
    if !sorted {
        let field = format!("{path}.accelerators");
        return Err(Error::value(
            &field,
            "must be sorted by kind, each kind once",
        ));
    }
    Ok(())
}

fn check_span(path: &str, value: Millis) -> Result<(), Error> {
    check_positive(path, value.0)?;
    if value > MAX_SPAN {
        Err(Error::value(path, "must be at most thirty days"))
    } else {
        Ok(())
    }
}
