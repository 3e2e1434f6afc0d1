//! One wide job beside ordinary ones.

use std::path::Path;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::net::{Value, number, table, text};
use crate::platform::{Settings, Step};
use crate::site::{MEMORY_MB, Site, job_id};

/// How long ordinary jobs are handed in, one each two seconds.
const TRAFFIC: Duration = Duration::from_secs(40);
/// `finish_s` of the settings.
const FINISH: Duration = Duration::from_secs(14);
/// The time for which a job has nothing running, by the rule.
const IDLE: Duration = Duration::from_millis(3_000);
/// How often processes end on a machine, and on how many machines, by the rule.
const FAULT_ENDS: u32 = 3;
const FAULT_MACHINES: usize = 2;
/// The tasks of each step of the wide job.
const TASKS: u64 = 10_000;
/// The processors of each of its tasks, in thousandths of a core, and its work.
const WIDE_CPU: u64 = 20;
const WIDE_MS: u64 = 6_000;
/// The tasks of an ordinary job, and the processors and the work of each.
const SMALL_TASKS: u64 = 4;
const SMALL_CPU: u64 = 500;
const SMALL_MS: u64 = 800;

fn body(spec: &str, steps: u64, count: u64, cpu: u64, ms: u64) -> Value {
    let step = table(vec![
        ("Count", number(count)),
        ("Cpu", number(cpu)),
        ("MemMb", number(1)),
        ("EstimatedMs", number(ms)),
    ]);
    let steps = vec![step; steps as usize];
    table(vec![("Spec", text(spec)), ("Steps", Value::List(steps))])
}

fn truth(steps: u64, cpu: u64, ms: u64) -> Vec<Step> {
    let step = Step {
        work_ms: ms as f64,
        cpu,
        ..Step::default()
    };
    vec![step; steps as usize]
}

/// Hands in one job of `steps` steps beside ordinary jobs, then judges whether those run.
pub fn play(folder: &Path, trouble: bool, steps: u64) -> Verdict {
    let settings = Settings {
        minions: 48,
        zones: 3,
        cpu: 64_000,
        mem_mb: 131_072,
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
    let small = body("a", 1, SMALL_TASKS, SMALL_CPU, SMALL_MS);
    for number in 0..3 {
        let id = job_id(number);
        site.pool.add_job(&id, truth(1, SMALL_CPU, SMALL_MS));
        if !site.submit(&id, &small) || !site.wait_for(&id, Duration::from_secs(10)) {
            site.record.line("a first job was not completed");
            return Verdict::NotRun;
        }
    }
    site.record.line("the first three jobs are completed");
    if trouble {
        let id = job_id(100);
        site.record
            .line(&format!("a job of {steps} steps of {TASKS} tasks: {id}"));
        site.pool.add_job(&id, truth(steps, WIDE_CPU, WIDE_MS));
        site.submit(&id, &body("a", steps, TASKS, WIDE_CPU, WIDE_MS));
    }
    let mut accepted = Vec::new();
    let mut ends = vec![0; site.front_count()];
    let end = Instant::now() + TRAFFIC;
    let mut number = 200;
    while Instant::now() < end {
        let id = job_id(number);
        number += 1;
        site.pool.add_job(&id, truth(1, SMALL_CPU, SMALL_MS));
        if site.submit(&id, &small) {
            accepted.push(id);
        }
        keep_limits(&mut site, &mut ends, Duration::from_secs(2));
        note(&mut site);
    }
    site.record.line("the traffic has ended");
    keep_limits(&mut site, &mut ends, FINISH);
    note(&mut site);
    judge(site, &accepted, &ends)
}

/// Kills programs that hold more than the machine's memory, as the platform does, and starts them again.
fn keep_limits(site: &mut Site, ends: &mut [u32], span: Duration) {
    let until = Instant::now() + span;
    let mut back: Vec<(Instant, usize)> = Vec::new();
    while Instant::now() < until || !back.is_empty() {
        std::thread::sleep(Duration::from_millis(20));
        for (at, ended) in ends.iter_mut().enumerate() {
            if back.iter().any(|(_, down)| *down == at) {
                continue;
            }
            let memory = site.memory_mb(at);
            if memory.is_none_or(|mb| mb > MEMORY_MB) {
                *ended += 1;
                let line = format!("front-{at} ends, with {memory:?} MB of {MEMORY_MB} in use");
                site.record.line(&line);
                site.kill(at);
                back.push((Instant::now() + Duration::from_millis(500), at));
            }
        }
        let now = Instant::now();
        for (_, at) in back.iter().filter(|(due, _)| *due <= now) {
            if site.launch(*at).is_none() {
                site.record.line("a program could not be started again");
            }
        }
        back.retain(|(due, _)| *due > now);
    }
}

fn note(site: &mut Site) {
    let memory: Vec<u64> = (0..site.front_count())
        .map(|at| site.memory_mb(at).unwrap_or(0))
        .collect();
    let (used, all) = site.pool.use_of_cpu();
    let line = format!(
        "starts={} refused_transactions={} cores_in_use={} of {} memory_mb={memory:?}",
        site.pool.start_count(),
        site.store.too_large(),
        used / 1_000,
        all / 1_000
    );
    site.record.line(&line);
}

fn judge(mut site: Site, accepted: &[String], ends: &[u32]) -> Verdict {
    // A job whose tasks have all ended as done, or of which one runs, is not idle.
    let mut idle: Vec<String> = accepted.to_vec();
    idle.retain(|id| site.pool.done_of(id) < SMALL_TASKS as usize);
    let until = Instant::now() + IDLE;
    while Instant::now() < until {
        let (used, all) = site.pool.use_of_cpu();
        if 2 * used >= all {
            site.record.line("half of the capacity is in use");
            idle.clear();
        }
        idle.retain(|id| {
            site.pool.runs_of(id).is_empty() && site.pool.done_of(id) < SMALL_TASKS as usize
        });
        std::thread::sleep(Duration::from_millis(20));
    }
    for id in &idle {
        let state = site.state_of(id);
        site.record.line(&format!(
            "LOST: {id} has nothing running for 3 s, and is shown as {state}"
        ));
    }
    let machines = ends.iter().filter(|ends| **ends >= FAULT_ENDS).count();
    let is_fault = machines >= FAULT_MACHINES;
    let line = format!(
        "accepted {} ordinary jobs, {} of them idle; processes ended {ends:?} times",
        accepted.len(),
        idle.len()
    );
    site.record.line(&line);
    if is_fault {
        site.record
            .line("Fault: on two machines processes have ended three times");
    }
    if accepted.is_empty() {
        return Verdict::NotRun;
    }
    if idle.is_empty() && !is_fault {
        Verdict::Held
    } else {
        Verdict::Broken
    }
}
