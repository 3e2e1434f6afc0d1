//! What goes wrong in a run, drawn from its seed alone.

use marigoldpick_core::prelude::*;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::run::Shape;

/// Kinds of a run: a few that come again and overlap tell more than one of each.
const KINDS: usize = 3;
/// When the first fault may begin, in milliseconds from the first job.
const FIRST: u64 = 800;
/// The mean time between two faults, in milliseconds.
const GAP: u64 = 1_400;
/// How long a fault lasts, in milliseconds: up to the time in which leases lapse.
const SPAN: std::ops::RangeInclusive<u64> = 200..=4_000;

/// `Kind` is what a fault does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// An entry is killed and starts again.
    KillEntry,
    /// All entries are killed at once and start again.
    KillAll,
    /// An entry stands still.
    PauseEntry,
    /// An entry is told to stop, and starts again once it has.
    StopEntry,
    /// An entry is told that its settings have changed.
    ReloadEntry,
    /// Nothing passes between an entry and the store.
    SilenceStore,
    /// An entry's calls reach the store, and no answer comes back.
    OneWayStore,
    /// An entry's connections to the store are reset.
    ResetStore,
    /// An entry's way to the store takes long.
    DelayStore,
    /// Nothing passes between a worker and the entries.
    SilenceWorker,
    /// Orders reach a worker, and no answer comes back.
    OneWayWorker,
    /// A worker's connections are reset.
    ResetWorker,
    /// The way to a worker takes long.
    DelayWorker,
    /// Nothing passes between callers and an entry.
    SilenceFront,
    /// Callers' connections to an entry are reset.
    ResetFront,
    /// A fault of the platform itself, by the name that its stand-in knows.
    Platform(&'static str),
}

impl Kind {
    /// All kinds.
    pub const ALL: &'static [Self] = &[
        Self::KillEntry,
        Self::KillAll,
        Self::PauseEntry,
        Self::StopEntry,
        Self::ReloadEntry,
        Self::SilenceStore,
        Self::OneWayStore,
        Self::ResetStore,
        Self::DelayStore,
        Self::SilenceWorker,
        Self::OneWayWorker,
        Self::ResetWorker,
        Self::DelayWorker,
        Self::SilenceFront,
        Self::ResetFront,
        Self::Platform("store-down"),
        Self::Platform("store-slow"),
        Self::Platform("store-lost"),
        Self::Platform("adviser-down"),
        Self::Platform("orders-late"),
        Self::Platform("worker-hung"),
        Self::Platform("worker-refuses"),
        Self::Platform("worker-down"),
        Self::Platform("worker-drains"),
        Self::Platform("configure"),
    ];
}

/// `Fault` is one fault of a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// When it begins, from the first job.
    pub at: Millis,
    /// What it does.
    pub kind: Kind,
    /// The entry or worker that it hits, by position.
    pub target: usize,
    /// How long it lasts.
    pub span: Millis,
}

/// Draws the faults of a run, in the order in which they begin.
#[must_use]
pub fn draw(seed: u64, shape: &Shape) -> Vec<Fault> {
    let mut draws = ChaCha8Rng::seed_from_u64(seed);
    let kinds: Vec<Kind> = Kind::ALL
        .choose_multiple(&mut draws, KINDS)
        .copied()
        .collect();
    let length = u64::from(shape.seconds) * 1_000;
    let count = length / GAP;
    let mut faults: Vec<Fault> = (0..count)
        .map(|_| {
            let kind = *kinds.choose(&mut draws).expect("there are kinds");
            let among = match kind {
                Kind::SilenceWorker
                | Kind::OneWayWorker
                | Kind::ResetWorker
                | Kind::DelayWorker
                | Kind::Platform(_) => shape.workers,
                _ => shape.entries,
            };
            Fault {
                at: Millis(draws.random_range(FIRST..length.max(FIRST + 1))),
                kind,
                target: draws.random_range(0..among.max(1)) as usize,
                span: Millis(draws.random_range(SPAN)),
            }
        })
        .collect();
    faults.sort_by_key(|fault| fault.at);
    faults
}
