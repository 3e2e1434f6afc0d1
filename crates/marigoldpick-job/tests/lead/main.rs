//! Tests of the lead's guarantees in a simulated cluster, with and without faults.

mod faults;
mod work;
mod world;
