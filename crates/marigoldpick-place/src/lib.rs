//! Task placement: plans, packing, gangs, displacement, quotas, estimates and worker health.
//!
//! [`scheduler::Scheduler`] decides for one shard. It is pure: events and the time go in, actions
//! come out. [`planner::plan`] joins the shards' surveys into the plan that answers an intent.
//!
//! What a caller has to keep to:
//!
//! * After a take-over, [`event::Event::Leading`] comes first and names every worker that may hold
//!   tasks of an earlier lead. Jobs accepted before it come with `fresh: false`; none of their
//!   tasks starts before each of these workers is up or gone.
//! * [`event::Event::Tick`] comes several times a second; back-off, aging and probation hang on it.
//! * A run is over for the scheduler only by `Finished`, `Refused` or `WorkerGone`.

pub mod action;
pub mod estimate;
pub mod event;
pub mod fleet;
pub mod headroom;
pub mod health;
pub mod index;
pub mod job;
pub mod kind;
pub mod mix;
pub mod planner;
pub mod quota;
pub mod run;
pub mod scheduler;
pub mod score;
pub mod settings;
pub mod size;
pub mod slab;
pub mod survey;

pub use action::Action;
pub use event::Event;
pub use scheduler::Scheduler;
pub use settings::Settings;
