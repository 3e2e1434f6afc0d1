//! Jobs that wait for good, and what they keep from the jobs beside them.

use std::path::Path;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::net::{Value, number, table, text};
use crate::platform::{Settings, Step};
use crate::site::{RESERVE, Route, Site, Tenant, job_id};

/// How long ordinary jobs are handed in, one each two seconds.
const TRAFFIC: Duration = Duration::from_secs(30);
/// `finish_s` of the settings.
const FINISH: Duration = Duration::from_secs(14);
/// The time for which a job has nothing running, by the rule.
const IDLE: Duration = Duration::from_millis(3_000);
/// The tenant; it may have 20 cores.
const TENANT: Tenant = Tenant {
    name: "market",
    key: "k3y-0f-market",
    max_cpu: 20_000,
};
/// A queue that goes after the first one.
const SETTLE: Route = Route {
    name: "settle",
    prefix: "/wela310/",
    priority: 2,
    advised: false,
};
/// The same queues with an adviser.
const ADVISED_RESERVE: Route = Route {
    advised: true,
    ..RESERVE
};
const ADVISED_SETTLE: Route = Route {
    advised: true,
    ..SETTLE
};
/// The urgent jobs that wait for lost minions, their tasks, and the processors of each: the most of a job in the site
/// file.
const URGENT_JOBS: u64 = 4;
const URGENT_TASKS: u64 = 36;
const URGENT_CPU: u64 = 15_000;
/// The work of an ordinary task.
const SMALL_MS: u64 = 800;

fn body(fields: Vec<(&str, Value)>) -> Value {
    let steps = Value::List(vec![table(fields)]);
    table(vec![("Spec", text("a")), ("Steps", steps)])
}

/// Plays a gang that does not fit beside the lasting tasks of its tenant.
pub fn play_quota(folder: &Path, trouble: bool) -> Verdict {
    let settings = Settings {
        minions: 12,
        zones: 3,
        cpu: 16_000,
        mem_mb: 65_536,
        gpu: 0,
        large: 0,
        max_hold_ms: 10_000,
        stop_ms: 200,
        gang_ms: 4_000,
        checkpoint_ms: 1_000.0,
    };
    let site = Site::start_with(folder, 3, settings, &[RESERVE], Some(TENANT));
    let Some(mut site) = site else {
        return Verdict::NotRun;
    };
    // The lasting tasks hold 8 of the tenant's 20 cores.
    let watch = job_id(1);
    let lasting = body(vec![
        ("Count", number(2)),
        ("Cpu", number(4_000)),
        ("MemMb", number(512)),
        ("EstimatedMs", number(500)),
        ("LongRunning", Value::Bool(true)),
    ]);
    if !start_lasting(&mut site, &watch, &lasting, 4_000, 2) {
        return Verdict::NotRun;
    }
    if trouble {
        let gang = job_id(2);
        let truth = Step {
            work_ms: 1_000.0,
            cpu: 4_000,
            gang: 4,
            ..Step::default()
        };
        site.pool.add_job(&gang, vec![truth]);
        site.record
            .line("a gang of 4 tasks of 4 cores: within the tenant's 20 cores, but not beside its lasting tasks");
        let fields = vec![
            ("Count", number(4)),
            ("Cpu", number(4_000)),
            ("MemMb", number(512)),
            ("EstimatedMs", number(1_000)),
            ("Gang", Value::Bool(true)),
        ];
        site.submit(&gang, &body(fields));
    }
    let small = body(vec![
        ("Count", number(1)),
        ("Cpu", number(500)),
        ("MemMb", number(512)),
        ("EstimatedMs", number(SMALL_MS)),
    ]);
    judge(site, RESERVE, &small, 500)
}

/// Plays a job of an urgent queue whose tasks need all GPUs of a minion, where each such minion has a lasting task.
pub fn play_reserve(folder: &Path, trouble: bool) -> Verdict {
    let settings = Settings {
        minions: 13,
        zones: 3,
        cpu: 32_000,
        mem_mb: 65_536,
        gpu: 8,
        large: 3,
        max_hold_ms: 6_000,
        stop_ms: 400,
        gang_ms: 3_000,
        checkpoint_ms: 1_000.0,
    };
    let site = Site::start_with(folder, 3, settings, &[RESERVE, SETTLE], None);
    let Some(mut site) = site else {
        return Verdict::NotRun;
    };
    let watch = job_id(1);
    let lasting = body(vec![
        ("Count", number(3)),
        ("Cpu", number(1_000)),
        ("MemMb", number(512)),
        ("Gpu", number(1)),
        ("EstimatedMs", number(500)),
        ("Constraints", text("large")),
        ("AntiAffinity", number(1)),
        ("LongRunning", Value::Bool(true)),
    ]);
    if !start_lasting(&mut site, &watch, &lasting, 1_000, 3) {
        return Verdict::NotRun;
    }
    if trouble {
        let whole = job_id(2);
        site.pool.add_job(
            &whole,
            vec![Step {
                work_ms: 1_000.0,
                cpu: 4_000,
                ..Step::default()
            }],
        );
        site.record
            .line("an urgent job of 3 tasks of 8 GPUs each: no large minion has them beside its lasting task");
        let fields = vec![
            ("Count", number(3)),
            ("Cpu", number(4_000)),
            ("MemMb", number(512)),
            ("Gpu", number(8)),
            ("EstimatedMs", number(1_000)),
            ("Constraints", text("large")),
        ];
        site.submit(&whole, &body(fields));
    }
    let small = body(vec![
        ("Count", number(1)),
        ("Cpu", number(500)),
        ("MemMb", number(512)),
        ("Gpu", number(1)),
        ("EstimatedMs", number(SMALL_MS)),
        ("Constraints", text("large")),
    ]);
    judge(site, SETTLE, &small, 500)
}

/// Plays urgent jobs that wait for a kind of minion of which none is left.
pub fn play_advice(folder: &Path, trouble: bool) -> Verdict {
    let settings = Settings {
        minions: 15,
        zones: 3,
        cpu: 64_000,
        mem_mb: 131_072,
        gpu: 0,
        large: 2,
        max_hold_ms: 6_000,
        stop_ms: 900,
        gang_ms: 3_000,
        checkpoint_ms: 500.0,
    };
    let routes = [ADVISED_RESERVE, ADVISED_SETTLE];
    let Some(mut site) = Site::start_with(folder, 3, settings, &routes, None) else {
        return Verdict::NotRun;
    };
    if trouble {
        site.record
            .line("the two large minions of 15 are lost for good");
        (0..2).for_each(|at| site.pool.crash(at));
        // Their entries go after three heartbeats.
        std::thread::sleep(Duration::from_millis(4_500));
        (0..2).for_each(|at| site.pool.unregister(at, &site.store));
    }
    site.record.line("urgent jobs for large minions");
    for number in 0..URGENT_JOBS {
        let urgent = job_id(10 + number);
        let truth = Step {
            work_ms: 1_000.0,
            cpu: URGENT_CPU,
            ..Step::default()
        };
        site.pool.add_job(&urgent, vec![truth]);
        let fields = vec![
            ("Count", Value::Number(URGENT_TASKS as f64)),
            ("Cpu", Value::Number(URGENT_CPU as f64)),
            ("MemMb", Value::Number(512.0)),
            ("EstimatedMs", Value::Number(1_000.0)),
            ("Constraints", text("large")),
        ];
        site.submit(&urgent, &body(fields));
    }
    let small = body(vec![
        ("Count", number(1)),
        ("Cpu", number(500)),
        ("MemMb", number(512)),
        ("EstimatedMs", number(SMALL_MS)),
    ]);
    judge(site, SETTLE, &small, 500)
}

/// Hands in a job of lasting tasks and waits until they run.
fn start_lasting(site: &mut Site, id: &str, body: &Value, cpu: u64, tasks: usize) -> bool {
    let truth = Step {
        cpu,
        lasts: true,
        ..Step::default()
    };
    site.pool.add_job(id, vec![truth]);
    let end = Instant::now() + Duration::from_secs(10);
    if site.submit(id, body) {
        while Instant::now() < end {
            if site.pool.runs_of(id).len() == tasks {
                site.record.line("the lasting tasks run");
                return true;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
    }
    site.record.line("the lasting tasks do not run");
    false
}

/// Hands in ordinary jobs at a route, then judges whether they run.
fn judge(mut site: Site, route: Route, small: &Value, cpu: u64) -> Verdict {
    let mut idle = Vec::new();
    let end = Instant::now() + TRAFFIC;
    let mut number = 200;
    while Instant::now() < end {
        let id = job_id(number);
        number += 1;
        let truth = Step {
            work_ms: SMALL_MS as f64,
            cpu,
            ..Step::default()
        };
        site.pool.add_job(&id, vec![truth]);
        if site.submit_at(route, &id, small) {
            idle.push(id);
        }
        std::thread::sleep(Duration::from_secs(2));
    }
    let accepted = idle.len();
    site.record.line("the traffic has ended");
    std::thread::sleep(FINISH);
    let until = Instant::now() + IDLE;
    while Instant::now() < until {
        let (used, all) = site.pool.use_of_cpu();
        if 2 * used >= all {
            idle.clear();
        }
        idle.retain(|id| site.pool.runs_of(id).is_empty() && site.pool.done_of(id) == 0);
        std::thread::sleep(Duration::from_millis(20));
    }
    let (used, all) = site.pool.use_of_cpu();
    let line = format!("{} of {} cores are in use", used as f64 / 1e3, all / 1_000);
    site.record.line(&line);
    for id in &idle {
        let answer = site.call_at(route, "GET", id, "");
        let line = format!("LOST: {id} has nothing running for 3 s; its state: {answer:?}");
        site.record.line(&line);
    }
    let line = format!(
        "accepted {accepted} ordinary jobs, {} of them idle",
        idle.len()
    );
    site.record.line(&line);
    match (accepted, idle.len()) {
        (0, _) => Verdict::NotRun,
        (_, 0) => Verdict::Held,
        _ => Verdict::Broken,
    }
}
