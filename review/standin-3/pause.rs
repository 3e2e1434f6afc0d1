//! Filling tasks beside serving ones whose load is high for some seconds.

use std::path::Path;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::net::{Value, number, table, text};
use crate::platform::{Settings, Step};
use crate::site::{Site, job_id};

/// The tasks of each job: one on each minion.
const TASKS: u64 = 3;
/// `TargetMs` of the serving tasks.
const TARGET_MS: u64 = 300;
/// The tail of a serving task by itself, while its load is usual and while it is high.
const USUAL_MS: f64 = 100.0;
const HIGH_MS: f64 = 250.0;
/// The work of a filling task at the full share.
const WORK_MS: u64 = 6_000;
/// How long the filling job is waited for.
const LIMIT: Duration = Duration::from_secs(70);

/// `Trouble` is what happens while the load is high.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    /// The serving job is cancelled.
    Cancel,
    /// The machine that leads is killed.
    Kill,
}

/// Plays a high load of the serving tasks, with a trouble meanwhile, and judges whether the filling job goes on.
pub fn play(folder: &Path, trouble: Option<Trouble>) -> Verdict {
    let settings = Settings {
        minions: 3,
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
    site.pool.set_load(USUAL_MS);
    let (serving, filling) = (job_id(1), job_id(2));
    let serve = Step {
        cpu: 4_000,
        lasts: true,
        ..Step::default()
    };
    site.pool.add_job(&serving, vec![serve]);
    let fill = Step {
        work_ms: WORK_MS as f64,
        cpu: 4_000,
        fills: true,
        ..Step::default()
    };
    site.pool.add_job(&filling, vec![fill]);
    let step = |mut fields: Vec<(&'static str, Value)>| {
        fields.extend([
            ("Count", number(TASKS)),
            ("Cpu", number(4_000)),
            ("MemMb", number(512)),
            ("AntiAffinity", number(1)),
        ]);
        let steps = Value::List(vec![table(fields)]);
        table(vec![("Spec", text("a")), ("Steps", steps)])
    };
    let serving_body = step(vec![
        ("EstimatedMs", number(500)),
        ("LongRunning", Value::Bool(true)),
        ("Image", text("watch")),
        ("TargetMs", number(TARGET_MS)),
    ]);
    let filling_body = step(vec![
        ("EstimatedMs", number(WORK_MS)),
        ("Fills", Value::Bool(true)),
        ("Image", text("batch")),
    ]);
    if !site.submit(&serving, &serving_body) || !wait_for_runs(&site, &serving) {
        site.record.line("the serving job does not run");
        return Verdict::NotRun;
    }
    if !site.submit(&filling, &filling_body) || !wait_for_runs(&site, &filling) {
        site.record.line("the filling job does not run");
        return Verdict::NotRun;
    }
    std::thread::sleep(Duration::from_millis(1_000));
    note(&mut site, &filling);
    site.record.line("the load of the serving tasks rises");
    site.pool.set_load(HIGH_MS);
    let end = Instant::now() + Duration::from_secs(4);
    while !is_paused(&site, &filling) {
        if Instant::now() > end {
            site.record.line("the filling tasks are not paused");
            return Verdict::NotRun;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    std::thread::sleep(Duration::from_millis(1_000));
    note(&mut site, &filling);
    match trouble {
        None => {}
        Some(Trouble::Cancel) => {
            let answer = site.call("DELETE", &serving, "");
            let status = answer.map_or(0, |(status, _)| status);
            site.record.line(&format!("DELETE {serving} -> {status}"));
        }
        Some(Trouble::Kill) => {
            let Some(lead) = site.store.last_writer() else {
                return Verdict::NotRun;
            };
            site.record.line(&format!(
                "front-{lead}, which last wrote under a condition, is killed"
            ));
            site.kill(lead);
            std::thread::sleep(Duration::from_millis(500));
            if site.launch(lead).is_none() {
                return Verdict::NotRun;
            }
        }
    }
    std::thread::sleep(Duration::from_millis(500));
    site.record.line("the load of the serving tasks falls");
    site.pool.set_load(USUAL_MS);
    let end = Instant::now() + LIMIT;
    let mut noted = Instant::now();
    while Instant::now() < end {
        if site.state_of(&filling) == "completed" {
            site.record.line("the filling job is shown as completed");
            return Verdict::Held;
        }
        if noted.elapsed() >= Duration::from_secs(10) {
            noted = Instant::now();
            note(&mut site, &filling);
        }
        std::thread::sleep(Duration::from_millis(500));
    }
    note(&mut site, &filling);
    let state = site.state_of(&filling);
    let line = format!(
        "LOST: {filling} is shown as {state}; no task of it has worked for the last minute"
    );
    let runs = site.pool.runs_of(&filling);
    if runs.is_empty() || runs.iter().any(|run| run.4 > 0.0) {
        site.record.line("the filling job is late, but works");
        return Verdict::Held;
    }
    site.record.line(&line);
    Verdict::Broken
}

/// Waits until all tasks of a job run.
fn wait_for_runs(site: &Site, job: &str) -> bool {
    let end = Instant::now() + Duration::from_secs(10);
    while Instant::now() < end {
        if site.pool.runs_of(job).len() == TASKS as usize {
            return true;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    false
}

/// Returns whether all tasks of a job have a share of zero.
fn is_paused(site: &Site, job: &str) -> bool {
    let runs = site.pool.runs_of(job);
    runs.len() == TASKS as usize && runs.iter().all(|run| run.4 == 0.0)
}

fn note(site: &mut Site, job: &str) {
    for (minion, task, run, done_ms, share) in site.pool.runs_of(job) {
        let line =
            format!("{minion} runs {task} run {run}: {done_ms:.0} ms of work done, share {share}");
        site.record.line(&line);
    }
    let orders = site.pool.paces().len();
    site.record
        .line(&format!("{orders} orders on the share so far"));
}
