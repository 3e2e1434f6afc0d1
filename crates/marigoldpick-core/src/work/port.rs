//! The interfaces of the platform's workers and of its placement adviser.
//!
//! The scheduler of submitted jobs uses them; [`crate::worker`] is the interface for operators'
//! jobs. A worker process that restarts under the same id begins a new incarnation, which `born`
//! tells apart.

use displaydoc::Display;
use serde::{Deserialize, Serialize};

use super::{Part, Task};
use crate::clock::Millis;
use crate::id;
use crate::name::Name;
use crate::resource::Amount;

/// `Node` is a worker as the platform's registry lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Node {
    /// The worker's id. Incarnations of a worker that share an id differ in `born`.
    pub id: id::Worker,
    /// The start of this incarnation in milliseconds since 1970; zero if not reported.
    pub born: u64,
    /// The address of its interface.
    pub address: String,
    /// The service whose tasks it runs.
    pub service: Name,
    /// The failure domain.
    pub domain: id::Domain,
    /// The kind of machine, if reported.
    pub kind: Option<Name>,
    /// The rack, if reported.
    pub rack: Option<Name>,
    /// All labels, sorted.
    pub labels: Vec<Name>,
    /// The worker's total resources.
    pub capacity: Amount,
    /// Whether it is draining.
    pub draining: bool,
    /// While it drains, a lower bound on the time until it is taken away.
    pub remaining: Option<Millis>,
}

/// `Order` is a request to a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Order {
    /// Starts a run of a task.
    Start(Box<Start>),
    /// Stops a run. If the run's start arrives after this order, the worker rejects it.
    Stop {
        /// The task.
        task: Task,
        /// The run.
        run: u64,
    },
    /// Limits a run to a share of its processors.
    Pace {
        /// The task.
        task: Task,
        /// The run.
        run: u64,
        /// The share in percent, from 0 to 100.
        percent: u32,
    },
    /// Renews the lease and asks for a [`Report`].
    Hold {
        /// The new end of the lease, by the worker's clock; `None` leaves the lease unchanged.
        until: Option<Millis>,
        /// Acknowledges all ended runs up to this [`Ended::number`]; the worker forgets them.
        seen: u64,
        /// How long the worker may hold its answer until another run ends.
        wait: Millis,
    },
}

/// `Start` is the description of a run that a worker is to start.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Start {
    /// The task.
    pub task: Task,
    /// The run's number, which grows with each start of the task.
    pub run: u64,
    /// The text that is passed to the task.
    pub payload: String,
    /// The end of the worker's lease, by its clock.
    pub until: Millis,
    /// The checkpoint to resume from, if any.
    pub checkpoint: Option<String>,
    /// The adviser's ticket for this worker, if any.
    pub ticket: Option<String>,
}

/// `Reply` is a worker's answer to an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reply {
    /// The time of the worker's clock.
    pub clock: Millis,
    /// The start of the worker's incarnation in milliseconds since 1970; zero if not reported.
    pub born: u64,
    /// The state of the worker's runs; present only in answers to [`Order::Hold`].
    pub report: Option<Report>,
}

/// `Report` lists the runs that are active on a worker and those that ended there.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The active runs.
    pub running: Vec<Running>,
    /// The ended runs that are not acknowledged yet, ascending by number.
    pub ended: Vec<Ended>,
    /// Whether `ended` may lack later ends, so that a run in neither list may have ended.
    #[serde(default)]
    pub is_cut: bool,
}

/// `Running` is the state of an active run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Running {
    /// The task.
    pub task: Task,
    /// The run.
    pub run: u64,
    /// The last checkpoint, empty if there is none.
    pub checkpoint: String,
    /// The progress in percent; for a lasting task, the share of it that works.
    pub percent: u32,
    /// The tail latency in milliseconds for a task that serves requests; otherwise the millicores
    /// used.
    pub figure: u64,
}

/// `Ended` is a run that ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ended {
    /// The number of this end in the worker's incarnation, counted from one.
    pub number: u64,
    /// The task.
    pub task: Task,
    /// The run.
    pub run: u64,
    /// How it ended.
    pub how: Exit,
    /// The last checkpoint, empty if there is none.
    pub checkpoint: String,
}

/// `Exit` is the way in which a run ended.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Exit {
    /// done
    Done,
    /// failed
    Failed,
    /// stopped as asked
    Stopped,
    /// stopped since the lease lapsed
    Lapsed,
    /// stopped since another member of its gang ended
    Broken,
    /// ended since its gang was not complete in time
    Alone,
}

/// `Fault` is the reason why an order failed or got no answer.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fault {
    /// the worker was not reached; nothing was done
    Away,
    /// no answer came; the order may be carried out, also later
    Unknown,
    /// the worker is unhealthy; nothing was done
    Unhealthy,
    /// another life of the worker answers; nothing was done
    #[serde(rename = "reborn")]
    Restarted,
    /// a higher term has given orders; nothing was done
    Fenced,
    /// the run is not higher than one that was stopped or ended there
    Old,
    /// the lease's end has passed
    Late,
    /// the task does not fit
    Room,
    /// the ticket is missing or not valid
    Ticket,
    /// the order is malformed
    Invalid,
}

impl std::error::Error for Fault {}

/// `Workers` sends orders to the platform's workers.
pub trait Workers: Clone + 'static {
    /// Sends one order with the target's fencing token in `term`.
    ///
    /// # Errors
    /// The [`Fault`] says whether the order may have been carried out.
    fn order(
        &self,
        node: &Target,
        term: u64,
        order: Order,
    ) -> impl Future<Output = Result<Reply, Fault>>;
}

/// `Target` is the id and address of the worker that an order is for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// The worker.
    pub id: id::Worker,
    /// The address of its interface.
    pub address: String,
    /// The number of restarts of workers that the lead had seen in its term when it learned of this incarnation.
    #[serde(default)]
    pub generation: u32,
}

/// The bits of a fencing token that hold the generation.
const GENERATION_BITS: u32 = 20;

impl Target {
    /// Returns the fencing token of the orders to this incarnation in a term.
    ///
    /// An id names all incarnations of a worker, so that orders to a former one may arrive late. A worker that has
    /// carried out an order rejects those with a lower token: of earlier terms, and to former incarnations.
    #[must_use]
    pub const fn fencing_token(&self, term: u64) -> u64 {
        let last = (1 << GENERATION_BITS) - 1;
        let generation = if self.generation < last {
            self.generation
        } else {
            last
        };
        (term << GENERATION_BITS) | generation as u64
    }
}

/// `Ticket` is the adviser's permission to run a step on a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ticket {
    /// The worker.
    pub worker: id::Worker,
    /// The ticket's text.
    pub ticket: String,
}

/// `Advice` is the adviser's answer: the workers that may run a step.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Advice {
    /// The tickets of the permitted workers, sorted by worker.
    pub good: Vec<Ticket>,
    /// How long the tickets are valid.
    pub valid: Millis,
}

/// `Refusal` is the reason why the adviser gave no advice.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Refusal {
    /// the adviser was not reached or did not answer
    Away,
    /// too many calls wait there
    Busy,
}

impl std::error::Error for Refusal {}

/// `Adviser` is the platform's service that applies a queue's placement policy.
pub trait Adviser: Clone + 'static {
    /// Asks which of `workers` may run the tasks of `part`, with a timeout of `limit`.
    ///
    /// # Errors
    /// Fails with a [`Refusal`], after which the question may be asked again.
    fn advise(
        &self,
        part: &Part,
        workers: &[id::Worker],
        limit: Millis,
    ) -> impl Future<Output = Result<Advice, Refusal>>;
}
