//! Intents: what operators declare should run, where, and what it may displace.

use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::document::{self, Error, positive, unique};
use crate::id;
use crate::name::Name;
use crate::resource::Amount;

/// The most tasks of one job.
pub const MAX_COUNT: u32 = 100_000;
/// The longest name of a job, in bytes; its tasks' names are longer.
pub const MAX_JOB_NAME: usize = 96;
/// The longest span an intent may name: thirty days.
pub const MAX_SPAN: Millis = Millis::from_secs(30 * 24 * 3_600);

/// `Intent` is one document of an operator.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Intent {
    /// How much the site weighs waiting, packing and control cost.
    pub objective: Option<Objective>,
    /// Teams and their quotas.
    pub team: Vec<Team>,
    /// Services that callers reach.
    pub service: Vec<Service>,
    /// Jobs.
    pub job: Vec<Job>,
}

/// `Objective` weighs what the site measures; only the ratios count.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Objective {
    /// The weight of waiting time.
    pub waiting: f64,
    /// The weight of packing.
    pub packing: f64,
    /// The weight of control cost.
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
    /// The most its running tasks may hold together.
    pub quota: Amount,
    /// Its share against other teams when all wait.
    #[serde(default = "one")]
    pub weight: u32,
}

/// `Service` is how requests to a service are handled.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The service.
    pub name: id::Service,
    /// Requests that an endpoint runs at once.
    #[serde(default = "eight")]
    pub slots: u32,
    /// Connections that an endpoint accepts.
    #[serde(default = "sixty")]
    pub connections: u32,
    /// Requests of one team that may wait at an entry.
    #[serde(default = "hundred")]
    pub queue: u32,
    /// The deadline of requests that name none.
    #[serde(default = "five_seconds")]
    pub deadline_ms: Millis,
    /// Retries per hundred first attempts.
    #[serde(default = "ten")]
    pub retry_percent: u32,
    /// The largest request or answer body, in bytes.
    #[serde(default = "sixteen_mib")]
    pub body_limit: u64,
    /// Shares of the teams; teams not named here have one.
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

/// `Class` is the kind of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Class {
    /// Tasks that run until they are cancelled.
    Service,
    /// Tasks that run to an end, each by itself.
    Batch,
    /// Tasks that start all together or not at all.
    Gang,
}

/// `Priority` orders jobs; a higher one may displace a lower one where both intents say so.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Priority {
    /// Uses what is left over.
    Low,
    /// The usual one.
    #[default]
    Normal,
    /// Goes before the usual one.
    High,
    /// Starts within 1.4 s.
    Urgent,
}

/// `Spread` is how a job's tasks are kept apart.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Spread {
    /// They may share anything.
    #[default]
    None,
    /// Over workers.
    Worker,
    /// Over racks, so that a lost rack takes a small part.
    Rack,
    /// Over failure domains, and over racks inside each.
    Domain,
}

/// `Where` limits the workers on which a job may run; an empty list limits nothing.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Where {
    /// The failure domains.
    pub domains: Vec<id::Domain>,
    /// The racks.
    pub racks: Vec<id::Rack>,
    /// The kinds of worker.
    pub kinds: Vec<Name>,
    /// How the tasks are kept apart.
    pub spread: Spread,
}

/// `Yield` is the hardest way in which a job's tasks may be displaced.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Yield {
    /// Not at all.
    #[default]
    Never,
    /// Its processors may be throttled.
    Throttle,
    /// It may also be stopped after a checkpoint.
    Checkpoint,
    /// It may also be stopped without one.
    Stop,
}

/// `Displace` is what a job may displace.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Displace {
    /// Jobs of these classes.
    pub classes: Vec<Class>,
    /// The hardest way.
    pub how: Yield,
    /// The most tasks displaced at one time.
    pub tasks: u32,
}

/// `Cutoff` is what becomes of tasks in a failure domain that is cut off.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Cutoff {
    /// They go on there and are started nowhere else.
    #[default]
    Hold,
    /// They end there in time to be started elsewhere.
    Move,
}

/// `Job` is what should run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Job {
    /// The job's name, unique among all jobs that have not ended.
    pub name: id::Job,
    /// Its class.
    pub class: Class,
    /// The team that pays for it.
    pub team: id::Team,
    /// The number of tasks.
    #[serde(default = "one")]
    pub count: u32,
    /// Its priority.
    #[serde(default)]
    pub priority: Priority,
    /// What each task needs.
    pub needs: Amount,
    /// Where it may run.
    #[serde(default, rename = "where")]
    pub place: Where,
    /// What it may displace.
    #[serde(default)]
    pub displace: Displace,
    /// How it may be displaced itself.
    #[serde(default, rename = "yield")]
    pub yields: Yield,
    /// The run time its owner expects; never trusted for safety. Services have none.
    #[serde(default)]
    pub run_ms: Option<Millis>,
    /// The time from confirm until it should have ended, if any.
    #[serde(default)]
    pub deadline_ms: Option<Millis>,
    /// Whether a task may be started again when it is not known if it ran.
    #[serde(default = "yes")]
    pub idempotent: bool,
    /// What becomes of it in a cut.
    #[serde(default)]
    pub on_cutoff: Cutoff,
    /// How long a task may take to end when it is stopped.
    #[serde(default = "five_seconds")]
    pub stop_ms: Millis,
    /// How often one task may fail before it is given up.
    #[serde(default = "five")]
    pub attempts: u32,
    /// The service whose endpoints the tasks are, if any.
    #[serde(default)]
    pub service: Option<id::Service>,
    /// What the worker runs.
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
    /// Reads and checks an intent.
    ///
    /// # Errors
    /// Names the file, and the line or the field.
    pub fn parse(file: &str, text: &str) -> Result<Self, Error> {
        let intent: Self = document::parse(file, text)?;
        intent.check().map_err(|error| error.in_file(file))?;
        Ok(intent)
    }

    /// Checks what the document alone can tell.
    ///
    /// # Errors
    /// Names the first field that is out of its bounds.
    pub fn check(&self) -> Result<(), Error> {
        if let Some(objective) = &self.objective {
            check_objective(objective)?;
        }
        unique("team", self.team.iter().map(|t| t.name.as_str()))?;
        unique("service", self.service.iter().map(|s| s.name.as_str()))?;
        unique("job", self.job.iter().map(|j| j.name.as_str()))?;
        for (at, team) in self.team.iter().enumerate() {
            positive(&format!("team[{at}].weight"), team.weight)?;
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
    positive(&format!("{path}.slots"), service.slots)?;
    positive(
        &format!("{path}.connections"),
        u64::from(service.connections),
    )?;
    positive(&format!("{path}.queue"), service.queue)?;
    positive(&format!("{path}.body_limit"), service.body_limit)?;
    span(&format!("{path}.deadline_ms"), service.deadline_ms)?;
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
        positive(
            &format!("{path}.weight[{at}].share"),
            u64::from(weight.share),
        )?;
    }
    unique(
        &format!("{path}.weight"),
        service.weight.iter().map(|w| w.team.as_str()),
    )
}

fn check_job(path: &str, job: &Job) -> Result<(), Error> {
    if job.name.as_str().len() > MAX_JOB_NAME {
        return Err(Error::value(
            &format!("{path}.name"),
            "must have at most 96 bytes",
        ));
    }
    positive(&format!("{path}.count"), job.count)?;
    if job.count > MAX_COUNT {
        return Err(Error::value(
            &format!("{path}.count"),
            "must be at most 100000",
        ));
    }
    positive(&format!("{path}.attempts"), job.attempts)?;
    check_amount(&format!("{path}.needs"), &job.needs)?;
    positive(&format!("{path}.needs.millicores"), job.needs.millicores)?;
    positive(&format!("{path}.needs.memory_mib"), job.needs.memory_mib)?;
    if let Some(run) = job.run_ms {
        span(&format!("{path}.run_ms"), run)?;
    }
    if let Some(deadline) = job.deadline_ms {
        span(&format!("{path}.deadline_ms"), deadline)?;
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
    unique(
        &format!("{path}.where.domains"),
        job.place.domains.iter().map(id::Domain::as_str),
    )?;
    unique(
        &format!("{path}.where.racks"),
        job.place.racks.iter().map(id::Rack::as_str),
    )?;
    unique(
        &format!("{path}.where.kinds"),
        job.place.kinds.iter().map(Name::as_str),
    )
}

fn check_amount(path: &str, amount: &Amount) -> Result<(), Error> {
    /// Bounds that keep sums over a fleet far below the width of the integers.
    const MOST: u64 = 1 << 40;
    if amount.millicores > MOST {
        return Err(Error::value(&format!("{path}.millicores"), "is too large"));
    }
    if amount.memory_mib > MOST {
        return Err(Error::value(&format!("{path}.memory_mib"), "is too large"));
    }
    for (at, accelerators) in amount.accelerators.iter().enumerate() {
        positive(
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

fn span(path: &str, value: Millis) -> Result<(), Error> {
    positive(path, value.0)?;
    if value > MAX_SPAN {
        Err(Error::value(path, "must be at most thirty days"))
    } else {
        Ok(())
    }
}
