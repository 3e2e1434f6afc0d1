//! Tests of the inner protocol over the loopback interface.

mod common;
mod content;
mod faults;
mod jobs;
