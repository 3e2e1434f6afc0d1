//! Re-exports the packages of marigoldpick and provides the modules of the `marigold` program.
//!
//! The packages are `core` (shared types), `place` (task placement), `route` (request placement),
//! `shard` (ownership and logs), `wire` (the inner protocol), `platform` (adapters), `entry` (the
//! daemon) and `standin` (the platform's stand-ins).

pub use marigoldpick_core as core;
pub use marigoldpick_entry as entry;
pub use marigoldpick_place as place;
pub use marigoldpick_platform as platform;
pub use marigoldpick_route as route;
pub use marigoldpick_shard as shard;
pub use marigoldpick_standin as standin;
pub use marigoldpick_wire as wire;

#[macro_use]
mod output;

pub mod arguments;
pub mod client;
pub mod command;
pub mod dev;
pub mod faults;
pub mod files;
pub mod job_history;
pub mod render;
pub mod timeline;
