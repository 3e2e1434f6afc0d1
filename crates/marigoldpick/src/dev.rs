//! `marigold dev`: whole sites in one process, for a first look and for runs that check promises.

mod report;
mod samples;
mod site;

pub use report::Report;
pub use site::Site;
