//! Faults of a soak run, drawn from the run's seed alone.

use marigoldpick_core::prelude::*;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::run::Shape;

/// The number of fault kinds in one run.
///
/// A few kinds that repeat and overlap find more faults of the system than one of each kind.
const KINDS_PER_RUN: usize = 3;
/// The earliest start of a fault, in milliseconds after the first job.
const FIRST_FAULT_MS: u64 = 800;
/// The mean time between the starts of two faults, in milliseconds.
const MEAN_GAP_MS: u64 = 1_400;
/// The duration of a fault, in milliseconds: up to the time in which leases expire.
const DURATION_MS: std::ops::RangeInclusive<u64> = 200..=4_000;

/// `Kind` is the effect of a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// An entry is killed and starts again.
    KillEntry,
    /// All entries are killed at once and start again.
    KillAll,
    /// An entry is paused and resumed.
    PauseEntry,
    /// The entry that leads is paused and resumed; the target if no lead is known.
    PauseLead,
    /// An entry receives the stop signal, and starts again after it has exited.
    StopEntry,
    /// An entry receives the signal to reload its settings.
    ReloadEntry,
    /// The link between an entry and the store drops everything in both directions.
    SilenceStore,
    /// An entry's calls reach the store, but the answers are dropped.
    OneWayStore,
    /// An entry's connections to the store are reset.
    ResetStore,
    /// The open connections between an entry and the store go silent for good; new ones work.
    StallStore,
    /// The open connections between a worker and the entries go silent for good; new ones work.
    StallWorker,
    /// The link from an entry to the store has a high latency.
    DelayStore,
    /// The link between a worker and the entries drops everything in both directions.
    SilenceWorker,
    /// Orders reach a worker, but its answers are dropped.
    OneWayWorker,
    /// A worker's connections are reset.
    ResetWorker,
    /// The link to a worker has a high latency.
    DelayWorker,
    /// Orders to a worker are held back and arrive late; its answers arrive.
    HoldOrders,
    /// The link between callers and an entry drops everything in both directions.
    SilenceFront,
    /// Callers' connections to an entry are reset.
    ResetFront,
    /// Under the addresses at which all entries but the lead find a worker, nothing arrives in both directions.
    KeepLeadOnly,
    /// Under the address at which the lead finds a worker, nothing arrives in both directions.
    CutLeadOnly,
    /// The link between the lead and the store drops everything in both directions.
    SilenceLead,
    /// A worker is stopped as by SIGSTOP: its clock goes on, and it reads what has arrived meanwhile all at once.
    StopWorker,
    /// A fault of the platform itself, under its name in the stand-in's control interface.
    Platform(&'static str),
}

impl Kind {
    /// The kinds that [`draw`] chooses from; the others are drawn apart, so that seeds keep their faults.
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

/// The changes of teams that operators make in a run, under their names in the stand-in's control
/// interface.
///
/// They are drawn apart from the other faults, so that a seed keeps the faults that it had.
const TEAM_CHANGES: [&str; 2] = ["key-replaced", "limits-lowered"];
/// The stream of random numbers from which changes of teams are drawn.
const TEAM_STREAM: u64 = 1;
/// The mean time between two changes of teams, in milliseconds.
const MEAN_TEAM_GAP_MS: u64 = 2_000;

/// The stream of random numbers from which restarts are drawn, so that a seed keeps the other faults.
const RESTART_STREAM: u64 = 2;
/// The mean time between two restarts, in milliseconds.
const MEAN_RESTART_GAP_MS: u64 = 2_500;
/// How long a worker that restarts is down, in milliseconds.
const DARK_MS: std::ops::RangeInclusive<u64> = 200..=1_200;
/// How long orders to a worker that restarts are held back after it is up again, in milliseconds.
const HELD_MS: std::ops::RangeInclusive<u64> = 100..=1_800;
/// The time from a restart until the worker is cut off, in milliseconds.
const CUT_DELAY_MS: std::ops::RangeInclusive<u64> = 300..=3_000;
/// How long a worker is cut off after a restart, in milliseconds: up to the time in which leases expire.
const CUT_MS: std::ops::RangeInclusive<u64> = 1_000..=9_000;
/// The stream of random numbers from which connections that go silent are drawn, so that a seed keeps the other faults.
const STALL_STREAM: u64 = 3;
/// The mean time between two moments at which connections go silent, in milliseconds.
const MEAN_STALL_GAP_MS: u64 = 2_500;
/// The stream of random numbers from which stops of workers are drawn, so that a seed keeps the other faults.
const STOP_STREAM: u64 = 4;
/// The mean time between two stops of workers, in milliseconds.
const MEAN_STOP_GAP_MS: u64 = 2_500;
/// How long a worker is stopped, in milliseconds: up to the time in which leases expire.
const STOPPED_MS: std::ops::RangeInclusive<u64> = 200..=9_000;
/// How long the lead is paused beside it, in milliseconds: the time in which another entry leads, and twice as long.
const LEAD_PAUSED_MS: std::ops::RangeInclusive<u64> = 3_000..=6_000;
/// The stream of random numbers from which cuts of workers from some entries are drawn, so that a seed keeps the other
/// faults.
const CUT_STREAM: u64 = 5;
/// The mean time between two cuts of workers from some entries, in milliseconds.
const MEAN_CUT_GAP_MS: u64 = 4_000;
/// How long workers are cut off from some entries, in milliseconds: longer than a successor waits for leases.
const PARTLY_CUT_MS: std::ops::RangeInclusive<u64> = 9_000..=16_000;
/// How long the lead is paused or without the store in such a cut, in milliseconds: beyond the time in which its term
/// ends unconfirmed.
const LEAD_AWAY_MS: std::ops::RangeInclusive<u64> = 4_000..=7_000;
/// The time from such a cut until the lead changes, in milliseconds.
const LEAD_DELAY_MS: std::ops::Range<u64> = 0..3_000;
/// The number of failure domains over which workers are spread.
const DOMAINS: usize = 3;

/// `Fault` is one fault of a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// The start, counted from the first job.
    pub at: Millis,
    /// The effect.
    pub kind: Kind,
    /// The index of the affected entry or worker.
    pub target: usize,
    /// The duration.
    pub duration: Millis,
}

/// Draws the faults of a run, in the order of their starts.
#[must_use]
pub fn draw(seed: u64, shape: &Shape) -> Vec<Fault> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let kinds: Vec<Kind> = Kind::ALL
        .choose_multiple(&mut rng, KINDS_PER_RUN)
        .copied()
        .collect();
    let length = u64::from(shape.seconds) * 1_000;
    let count = length / MEAN_GAP_MS;
    let mut faults: Vec<Fault> = (0..count)
        .map(|_| {
            let kind = *kinds.choose(&mut rng).expect("there are kinds");
            let targets = match kind {
                Kind::SilenceWorker
                | Kind::OneWayWorker
                | Kind::ResetWorker
                | Kind::DelayWorker
                | Kind::Platform(_) => shape.workers,
                _ => shape.entries,
            };
            Fault {
                at: Millis(rng.random_range(FIRST_FAULT_MS..length.max(FIRST_FAULT_MS + 1))),
                kind,
                target: rng.random_range(0..targets.max(1)) as usize,
                duration: Millis(rng.random_range(DURATION_MS)),
            }
        })
        .collect();
    faults.extend(draw_team_changes(seed, length));
    faults.sort_by_key(|fault| fault.at);
    faults
}

/// Draws the changes of teams in a run of `length` milliseconds.
fn draw_team_changes(seed: u64, length: u64) -> Vec<Fault> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream(TEAM_STREAM);
    let latest = length.max(FIRST_FAULT_MS + 1);
    let change = |_| Fault {
        at: Millis(rng.random_range(FIRST_FAULT_MS..latest)),
        kind: Kind::Platform(TEAM_CHANGES.choose(&mut rng).expect("there are changes")),
        target: 0,
        duration: Millis(rng.random_range(DURATION_MS)),
    };
    (0..length / MEAN_TEAM_GAP_MS).map(change).collect()
}

/// Draws the moments at which open connections of an entry to the store, or of a worker, go silent for good.
#[must_use]
pub fn draw_stalls(seed: u64, shape: &Shape) -> Vec<Fault> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream(STALL_STREAM);
    let length = u64::from(shape.seconds) * 1_000;
    let stall = |_| {
        let (kind, targets) = if rng.random_range(0..3) > 0 {
            (Kind::StallStore, shape.entries)
        } else {
            (Kind::StallWorker, shape.workers)
        };
        Fault {
            at: Millis(rng.random_range(FIRST_FAULT_MS..length.max(FIRST_FAULT_MS + 1))),
            kind,
            target: rng.random_range(0..targets.max(1)) as usize,
            duration: Millis::ZERO,
        }
    };
    let mut faults: Vec<Fault> = (0..length / MEAN_STALL_GAP_MS).map(stall).collect();
    faults.sort_by_key(|fault| fault.at);
    faults
}

/// Draws the restarts of workers under their ids in a run, in the order of their starts.
///
/// One in three takes all workers of a failure domain. In two of three, orders that are sent meanwhile are held
/// back until after the restart, and in two of three, the workers are cut off soon after.
#[must_use]
pub fn draw_restarts(seed: u64, shape: &Shape) -> Vec<Fault> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream(RESTART_STREAM);
    let length = u64::from(shape.seconds) * 1_000;
    let workers = shape.workers as usize;
    let mut faults = Vec::new();
    for _ in 0..length / MEAN_RESTART_GAP_MS {
        let at = Millis(rng.random_range(FIRST_FAULT_MS..length.max(FIRST_FAULT_MS + 1)));
        let dark = Millis(rng.random_range(DARK_MS));
        let held = Millis(rng.random_range(HELD_MS));
        let delay = Millis(rng.random_range(CUT_DELAY_MS));
        let cut = Millis(rng.random_range(CUT_MS));
        let mut parts = vec![(Kind::Platform("worker-down"), at, dark)];
        if rng.random_range(0..3) > 0 {
            parts.push((Kind::HoldOrders, at, dark + held));
        }
        if rng.random_range(0..3) > 0 {
            parts.push((Kind::SilenceWorker, at + dark + delay, cut));
        }
        for target in draw_workers(&mut rng, workers) {
            faults.extend(parts.iter().map(|(kind, at, duration)| Fault {
                at: *at,
                kind: *kind,
                target,
                duration: *duration,
            }));
        }
    }
    faults.sort_by_key(|fault| fault.at);
    faults
}

/// Draws the stops of workers in a run, with pauses of the lead beside them, in the order of their starts.
///
/// One in three takes all workers of a failure domain, and one in three cuts the workers off instead. In two of
/// three, the lead is paused at some time in it.
#[must_use]
pub fn draw_stops(seed: u64, shape: &Shape) -> Vec<Fault> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream(STOP_STREAM);
    let length = u64::from(shape.seconds) * 1_000;
    let workers = shape.workers as usize;
    let mut faults = Vec::new();
    for _ in 0..length / MEAN_STOP_GAP_MS {
        let at = Millis(rng.random_range(FIRST_FAULT_MS..length.max(FIRST_FAULT_MS + 1)));
        let duration = Millis(rng.random_range(STOPPED_MS));
        let kind = if rng.random_range(0..3) > 0 {
            Kind::StopWorker
        } else {
            Kind::SilenceWorker
        };
        let targets = draw_workers(&mut rng, workers);
        faults.extend(targets.map(|target| Fault {
            at,
            kind,
            target,
            duration,
        }));
        if rng.random_range(0..3) > 0 {
            faults.push(Fault {
                at: at + Millis(rng.random_range(0..duration.0)),
                kind: Kind::PauseLead,
                target: rng.random_range(0..shape.entries.max(1)) as usize,
                duration: Millis(rng.random_range(LEAD_PAUSED_MS)),
            });
        }
    }
    faults.sort_by_key(|fault| fault.at);
    faults
}

/// Draws the cuts of workers from some entries alone, in the order of their starts.
///
/// One in three takes all workers of a failure domain. Meanwhile the lead is paused or loses the store, so that
/// another entry leads.
#[must_use]
pub fn draw_cuts(seed: u64, shape: &Shape) -> Vec<Fault> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream(CUT_STREAM);
    let length = u64::from(shape.seconds) * 1_000;
    let mut faults = Vec::new();
    for _ in 0..length / MEAN_CUT_GAP_MS {
        let at = Millis(rng.random_range(FIRST_FAULT_MS..length.max(FIRST_FAULT_MS + 1)));
        let duration = Millis(rng.random_range(PARTLY_CUT_MS));
        let kind = if rng.random_range(0..3) > 0 {
            Kind::KeepLeadOnly
        } else {
            Kind::CutLeadOnly
        };
        let targets = draw_workers(&mut rng, shape.workers as usize);
        faults.extend(targets.map(|target| Fault {
            at,
            kind,
            target,
            duration,
        }));
        faults.push(Fault {
            at: at + Millis(rng.random_range(LEAD_DELAY_MS)),
            kind: if rng.random() {
                Kind::PauseLead
            } else {
                Kind::SilenceLead
            },
            target: rng.random_range(0..shape.entries.max(1)) as usize,
            duration: Millis(rng.random_range(LEAD_AWAY_MS)),
        });
    }
    faults.sort_by_key(|fault| fault.at);
    faults
}

/// Draws a worker, or in one of three cases all workers of a failure domain.
fn draw_workers(rng: &mut ChaCha8Rng, workers: usize) -> impl Iterator<Item = usize> + use<> {
    let target = rng.random_range(0..workers.max(1));
    let step = if rng.random_range(0..3) == 0 {
        DOMAINS
    } else {
        workers.max(1)
    };
    (target % step..workers).step_by(step)
}
