//! The inner protocol over loopback.

mod common;
mod content;
mod faults;
mod jobs;
