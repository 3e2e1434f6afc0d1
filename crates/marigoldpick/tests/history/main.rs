//! Tests histories of concurrent operators over real entries and stand-ins, through faults.
//!
//! The responses to operators are checked for linearizability, and against the independent counts
//! of the stand-ins. Results don't depend on timing; waits have generous timeouts.

mod causality;
mod check;
mod cluster;
mod faults;
mod operators;
mod plans;
