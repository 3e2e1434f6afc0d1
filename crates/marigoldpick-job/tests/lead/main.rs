//! Tests of the lead's guarantees in a simulated cluster, with and without faults.

mod crashes;
mod disruption;
mod explain;
mod faults;
mod leases;
mod load;
mod loading;
mod numbers;
mod outages;
mod records;
mod releases;
mod repeats;
mod repetition;
mod restarts;
mod teams;
mod withheld;
mod work;
mod world;
