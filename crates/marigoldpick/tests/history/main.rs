//! Histories: concurrent operators over real entries and stand-ins, through faults.
//!
//! What operators were told is checked for linearizability, and against what the stand-ins alone
//! counted. Verdicts don't depend on timing; waits have generous limits.

mod causes;
mod check;
mod cluster;
mod faults;
mod operators;
mod plans;
