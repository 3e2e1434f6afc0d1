//! The types and traits that all packages of marigoldpick share.
//!
//! The basic types are in [`clock`], [`id`], [`name`], [`resource`] and [`code`]. [`intent`],
//! [`plan`] and [`config`] hold what operators declare and what the system has accepted; [`work`]
//! holds the jobs that callers submit. [`store`], [`worker`], [`vm`] and [`work::port`] are the
//! interfaces of the platform. [`team`] holds the teams' limits and weights. [`control`], [`peer`] and [`work::peer`] are the messages between
//! entries. [`excerpt`] prints texts from outside in the log.

pub mod clock;
pub mod code;
pub mod config;
pub mod control;
pub mod document;
pub mod excerpt;
pub mod id;
pub mod intent;
pub mod name;
pub mod operator;
pub mod peer;
pub mod plan;
pub mod prelude;
pub mod resource;

pub mod store;
pub mod team;
pub mod timeline;
pub mod vm;
pub mod work;
pub mod worker;
