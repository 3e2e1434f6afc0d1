//! Tests of the lead's guarantees in a simulated cluster, with and without faults.

mod crashes;
mod explain;
mod faults;
mod leases;
mod numbers;
mod outages;
mod teams;
mod work;
mod world;
