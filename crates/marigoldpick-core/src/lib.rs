//! Shared types of marigoldpick: names, resources, time, result codes and the platform's traits.

pub mod clock;
pub mod code;
pub mod config;
pub mod control;
pub mod document;
pub mod id;
pub mod intent;
pub mod name;
pub mod operator;
pub mod peer;
pub mod plan;
pub mod prelude;
pub mod resource;

pub mod store;
pub mod timeline;
pub mod vm;
pub mod work;
pub mod worker;
