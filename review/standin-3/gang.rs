//! A gang with checkpoints, one of whose minions crashes.

use std::collections::BTreeMap;
use std::path::Path;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::net::{Value, number, table, text};
use crate::platform::{Settings, Step};
use crate::site::{Site, job_id};

/// The members of the gang, one on a minion.
const MEMBERS: u64 = 3;
/// The work of the gang.
const WORK_MS: u64 = 12_000;
/// How long the job is waited for.
const LIMIT: Duration = Duration::from_secs(50);

/// Plays a gang of which one minion crashes, and judges the checkpoints that its members are started with.
pub fn play(folder: &Path, trouble: bool) -> Verdict {
    let settings = Settings {
        minions: 6,
        zones: 3,
        cpu: 16_000,
        mem_mb: 32_768,
        gpu: 0,
        large: 0,
        max_hold_ms: 6_000,
        stop_ms: 900,
        gang_ms: 3_000,
        checkpoint_ms: 500.0,
    };
    let Some(mut site) = Site::start(folder, 3, settings) else {
        return Verdict::NotRun;
    };
    let id = job_id(1);
    let truth = Step {
        work_ms: WORK_MS as f64,
        cpu: 4_000,
        gang: MEMBERS as usize,
        saves: true,
        ..Step::default()
    };
    site.pool.add_job(&id, vec![truth]);
    let step = table(vec![
        ("Count", number(MEMBERS)),
        ("Cpu", number(4_000)),
        ("MemMb", number(512)),
        ("EstimatedMs", number(WORK_MS)),
        ("AntiAffinity", number(1)),
        ("Gang", Value::Bool(true)),
        ("Checkpointing", Value::Bool(true)),
    ]);
    let body = table(vec![
        ("Spec", text("a")),
        ("Steps", Value::List(vec![step])),
    ]);
    if !site.submit(&id, &body) {
        return Verdict::NotRun;
    }
    let end = Instant::now() + Duration::from_secs(10);
    while site.pool.runs_of(&id).len() < MEMBERS as usize {
        if Instant::now() > end {
            site.record.line("the gang does not run");
            return Verdict::NotRun;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    std::thread::sleep(Duration::from_millis(5_300));
    if trouble {
        let Some(at) = site.pool.find(&format!("{id}.0.0.0")) else {
            return Verdict::NotRun;
        };
        site.record
            .line("the minion of the gang's first member crashes, for 4 s");
        site.pool.crash(at);
        std::thread::sleep(Duration::from_secs(4));
        site.pool.restart(at);
        site.record.line("it is back");
    }
    let is_done = site.wait_for(&id, LIMIT);
    let mut runs: BTreeMap<u64, Vec<(String, String)>> = BTreeMap::new();
    for start in site.pool.starts() {
        let at = site.record.seconds(start.at);
        let line = format!(
            "start of {} run {} with {:?}, at {at:.3} s",
            start.task, start.run, start.checkpoint
        );
        site.record.line(&line);
        runs.entry(start.run)
            .or_default()
            .push((start.task, start.checkpoint));
    }
    site.record.line(&format!("shown as completed: {is_done}"));
    let mut is_broken = false;
    for (run, members) in &runs {
        if members
            .iter()
            .any(|(_, checkpoint)| *checkpoint != members[0].1)
        {
            is_broken = true;
            let line = format!("UNASKED: run {run} has members with different checkpoints");
            site.record.line(&line);
        }
    }
    if is_broken {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
