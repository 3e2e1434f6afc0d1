//! The platform's workers and its placement adviser, as the scheduler of jobs sees them.

use displaydoc::Display;
use serde::{Deserialize, Serialize};

use super::{Part, Task};
use crate::clock::Millis;
use crate::id;
use crate::name::Name;
use crate::resource::Amount;

/// `Node` is a worker as the platform's registry names it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Node {
    /// The worker, unique for one life unless `born` differs.
    pub id: id::Worker,
    /// When this life began, in milliseconds since 1970; zero when not told.
    pub born: u64,
    /// Where it is called.
    pub address: String,
    /// The service whose tasks it runs.
    pub service: Name,
    /// The failure domain.
    pub domain: id::Domain,
    /// The kind of machine, if told.
    pub kind: Option<Name>,
    /// The rack, if told.
    pub rack: Option<Name>,
    /// All labels, sorted.
    pub labels: Vec<Name>,
    /// What it has.
    pub capacity: Amount,
    /// Whether it is being emptied.
    pub draining: bool,
    /// While it drains, the least time that is left to it.
    pub remaining: Option<Millis>,
}

/// `Order` is a call to a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Order {
    /// Starts a run of a task.
    Start(Box<Start>),
    /// Stops a run; one that has not arrived yet will be rejected.
    Stop {
        /// The task.
        task: Task,
        /// The run.
        run: u64,
    },
    /// Lets a run work at a share of its processors, in percent.
    Pace {
        /// The task.
        task: Task,
        /// The run.
        run: u64,
        /// From 0 to 100.
        percent: u32,
    },
    /// Renews the lease and asks what runs and what ended.
    Hold {
        /// Until when, by the worker's clock, all that runs may go on; unchanged if left out.
        until: Option<Millis>,
        /// Ends up to this number are forgotten.
        seen: u64,
        /// How long the answer may wait for another end.
        wait: Millis,
    },
}

/// `Start` is what a worker is told of a run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Start {
    /// The task.
    pub task: Task,
    /// The run; it grows with each start of a task.
    pub run: u64,
    /// What the task is told.
    pub payload: String,
    /// The end of the worker's lease, by its clock.
    pub until: Millis,
    /// The checkpoint to resume from.
    pub checkpoint: Option<String>,
    /// The adviser's ticket.
    pub ticket: Option<String>,
}

/// `Reply` is a worker's answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reply {
    /// The worker's clock.
    pub clock: Millis,
    /// When this life began, zero when not told.
    pub born: u64,
    /// What runs and what ended; in answers to `Hold` alone.
    pub report: Option<Report>,
}

/// `Report` is what runs on a worker and what ended there.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// What runs.
    pub running: Vec<Running>,
    /// What ended and was not yet forgotten, by ascending number.
    pub ended: Vec<Ended>,
}

/// `Running` is a run that goes on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Running {
    /// The task.
    pub task: Task,
    /// The run.
    pub run: u64,
    /// The last checkpoint, empty if there is none.
    pub checkpoint: String,
    /// How far it is, or for a lasting task how much of it works, in percent.
    pub percent: u32,
    /// For a serving task the tail of its response times in milliseconds, else the millicores used.
    pub figure: u64,
}

/// `Ended` is a run that ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ended {
    /// The end's number in this life of the worker, from one.
    pub number: u64,
    /// The task.
    pub task: Task,
    /// The run.
    pub run: u64,
    /// How it ended.
    pub how: How,
    /// The last checkpoint, empty if there is none.
    pub checkpoint: String,
}

/// `How` is how a run ended.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum How {
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

/// `Fault` is why an order was not answered as asked.
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
    Reborn,
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

/// `Workers` is the way to the workers.
pub trait Workers: Clone + 'static {
    /// Gives one order under `term`, the fencing token.
    ///
    /// # Errors
    /// A [`Fault`] tells whether the order may have been carried out.
    fn order(
        &self,
        node: &Target,
        term: u64,
        order: Order,
    ) -> impl Future<Output = Result<Reply, Fault>>;
}

/// `Target` is the worker that an order is for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// The worker.
    pub id: id::Worker,
    /// Where it is called.
    pub address: String,
}

/// `Ticket` is the adviser's leave to run a step on a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ticket {
    /// The worker.
    pub worker: id::Worker,
    /// The ticket.
    pub ticket: String,
}

/// `Advice` is the adviser's answer: the workers that may run a step.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Advice {
    /// Tickets of the workers that may, sorted by worker.
    pub good: Vec<Ticket>,
    /// How long the tickets are valid.
    pub valid: Millis,
}

/// `Refusal` is why there was no advice.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Refusal {
    /// the adviser was not reached or did not answer
    Away,
    /// too many calls wait there
    Busy,
}

impl std::error::Error for Refusal {}

/// `Adviser` knows which workers a queue's policy allows.
pub trait Adviser: Clone + 'static {
    /// Asks which of `workers` may run the tasks of `part`.
    ///
    /// # Errors
    /// A [`Refusal`] means that the question may be asked again.
    fn advise(
        &self,
        part: &Part,
        workers: &[id::Worker],
        limit: Millis,
    ) -> impl Future<Output = Result<Advice, Refusal>>;
}
