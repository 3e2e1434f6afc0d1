//! Provides the settings of the entries in a soak run.

use std::net::SocketAddr;

use marigoldpick_core::prelude::*;

/// The longest leases that the platform allows: what leads grant, and more than that.
const LONGEST_LEASES: [Millis; 2] = [Millis(6_000), Millis(10_000)];
/// After how long entries send an order without an answer again: as deployed, and never. Eight seeds in a row have the
/// same.
const RETRIES: [Millis; 2] = [Millis(150), Millis::ZERO];

/// Returns the longest lease that the platform allows in the run of a seed.
pub(crate) const fn longest_lease(seed: u64) -> Millis {
    LONGEST_LEASES[(seed % LONGEST_LEASES.len() as u64) as usize]
}

/// Returns the section on workers in the settings of all entries.
pub(crate) fn worker_section(seed: u64) -> String {
    let retry = RETRIES[(seed / 8 % RETRIES.len() as u64) as usize];
    format!(
        "\n[worker]\nlease_ms = {}\nstop_ms = 400\nremote_slowdown = 2.0\nretry_ms = {}\n",
        longest_lease(seed).0,
        retry.0
    )
}

/// Returns the other settings of an entry; entries with even numbers declare more cores.
pub(crate) fn toml_of(
    number: usize,
    ports: &[String; 4],
    store: SocketAddr,
    adviser: SocketAddr,
) -> String {
    let [callers, ready, inner, metrics] = ports;
    let cores = if number.is_multiple_of(2) { 0.5 } else { 0.1 };
    format!(
        "entry = \"e{number}\"\ndomain = \"d{}\"\ncallers = \"{callers}\"\nready = \"{ready}\"\n\
         inner = \"{inner}\"\nmetrics = \"{metrics}\"\nstore = \"{store}\"\nadviser = \"{adviser}\"\n\
         cores = {cores}\nlink_mbps = 100.0\ngrace_s = 6.0\nrequires_keys = true\n\n\
         [revocation]\nbound_ms = 3000\nconfig_ms = 2000\n",
        number % 3
    )
}
