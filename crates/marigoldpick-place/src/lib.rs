//! Provides task placement: plans, packing, gangs, displacement, quotas, estimates and worker health.
//!
//! [`scheduler::Scheduler`] places the tasks of one shard. It performs no I/O and reads no clock: it
//! takes events with the current time and returns actions. [`planner::plan`] combines the surveys of
//! the shards into the plan that answers an intent.
//!
//! A caller must observe these rules:
//!
//! * After a change of lead, the first event is [`event::Event::Leading`]. It names every worker that
//!   may still run tasks of an earlier lead. Jobs that were accepted before the change have
//!   `fresh: false`, and none of their tasks starts until each of these workers is up or gone.
//! * [`event::Event::Tick`] is sent several times a second. Backoff, aging and probation depend on it.
//! * A run holds its resources until `Finished`, `Refused`, `MaybeStarted` or `WorkerGone`, or until
//!   [`Settings::missing_timeout`] has passed since its worker no longer listed it.

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
