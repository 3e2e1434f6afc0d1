//! The whole path as separate processes over loopback: plan, confirm, status, a caller's request,
//! and an entry that is told to stop under load.

mod common;

use std::collections::BTreeSet;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use common::{Call, Daemon, Site, call, is_healthy, marigold, wait_for};
use googletest::prelude::*;
use marigoldpick::core::operator::{Job, Status};

/// The time between two looks of the balancer at the entries' health.
const HEALTH: Duration = Duration::from_millis(50);
/// Requests in flight at one time while an entry is told to stop.
const CALLERS: usize = 12;
/// Requests that each entry has answered before one is told to stop.
const WARM: usize = 40;

fn status(site: &Site, entry: usize) -> Option<Status> {
    let output = marigold(&[
        "status",
        "--json",
        "--entry",
        &site.entries[entry].operators,
    ]);
    serde_json::from_slice(&output.stdout).ok()
}

fn confirm_all(site: &Site) {
    for intent in ["site.toml", "service.toml", "night.toml"] {
        let file = site.file(intent);
        wait_for(&format!("{intent} is accepted"), || {
            let words = [
                "plan",
                &file,
                "--yes",
                "--json",
                "--entry",
                &site.operators(),
            ];
            let output = marigold(&words);
            output.status.success()
        });
    }
}

fn wait_for_endpoints(site: &Site) {
    wait_for("each entry has endpoints", || {
        (0..site.entries.len()).all(|entry| {
            status(site, entry).is_some_and(|s| s.services.iter().any(|s| s.endpoints > 0))
        })
    });
}

#[googletest::test]
fn whole_path_runs_over_separate_processes() {
    let site = Site::start("path");
    confirm_all(&site);
    wait_for_endpoints(&site);
    for (number, entry) in site.entries.iter().enumerate() {
        let request = format!("path-{number}");
        wait_for("a request is answered whole", || {
            let attempt = 1;
            matches!(call(&entry.callers, &request, attempt), Call::Answered)
        });
    }
    wait_for("the night's batch has ended", || {
        let ended = |job: &Job| job.job.as_str() == "night" && job.completed == 12;
        status(&site, 0).is_some_and(|status| status.jobs.iter().any(ended))
    });
    let truth = site.truth();
    expect_that!(truth.tasks_in_two_places, eq(0));
    expect_that!(truth.vm_overloads, eq(0));
    expect_that!(truth.configs_reverted, eq(0));
    expect_that!(truth.tasks_completed, eq(12));
    let explained = marigold(&["explain", "booking:0", "--entry", &site.operators()]);
    let text = String::from_utf8_lossy(&explained.stdout).into_owned();
    expect_that!(text, contains_substring("running"));
    let events = marigold(&[
        "timeline",
        "--task",
        "booking:0",
        "--entry",
        &site.operators(),
    ]);
    expect_that!(events.stdout.is_empty(), eq(false));
}

#[googletest::test]
fn sigterm_under_load_cuts_off_no_request() {
    let mut site = Site::start("sigterm");
    confirm_all(&site);
    wait_for_endpoints(&site);
    let stop = Arc::new(AtomicBool::new(false));
    let record = Arc::new(Mutex::new(Record::default()));
    let doors: Vec<String> = site.entries.iter().map(|e| e.callers.clone()).collect();
    let balancer = Balancer::start(doors, &stop);
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let (stop, record) = (Arc::clone(&stop), Arc::clone(&record));
            let balancer = balancer.clone();
            std::thread::spawn(move || load(caller, &balancer, &stop, &record))
        })
        .collect();
    wait_for("both entries answer under load", || {
        let record = record.lock().expect("no caller has panicked");
        record
            .answered
            .iter()
            .filter(|count| **count >= WARM)
            .count()
            == 2
    });
    let stopped = site.entries.remove(0);
    expect_that!(stopped.end(), some(eq(0)), "the entry's exit code");
    let answered = record.lock().expect("no caller has panicked").answered[1];
    wait_for("the other entry goes on", || {
        let record = record.lock().expect("no caller has panicked");
        record.answered[1] >= answered + WARM
    });
    stop.store(true, Ordering::SeqCst);
    for caller in callers {
        caller.join().expect("no caller has panicked");
    }
    let record = record.lock().expect("no caller has panicked");
    expect_that!(record.cut, is_empty());
    expect_that!(record.twice, is_empty());
    expect_that!(site.truth().requests_cut, eq(0));
}

/// `Record` is what the callers saw.
#[derive(Debug, Default)]
struct Record {
    answered: [usize; 2],
    cut: Vec<String>,
    seen: BTreeSet<String>,
    twice: Vec<String>,
}

/// `Balancer` stands for the platform's: it sends callers to entries whose health is good.
#[derive(Clone, Debug)]
struct Balancer {
    doors: Arc<Vec<(String, AtomicBool)>>,
}

impl Balancer {
    /// Asks each entry for its health, again and again, until `stop`.
    fn start(doors: Vec<String>, stop: &Arc<AtomicBool>) -> Self {
        let doors = doors.into_iter().map(|door| (door, AtomicBool::new(false)));
        let balancer = Self {
            doors: Arc::new(doors.collect()),
        };
        let (asking, stop) = (balancer.clone(), Arc::clone(stop));
        std::thread::spawn(move || {
            while !stop.load(Ordering::SeqCst) {
                for (door, good) in asking.doors.iter() {
                    good.store(is_healthy(door), Ordering::SeqCst);
                }
                std::thread::sleep(HEALTH);
            }
        });
        balancer
    }

    /// Picks the door for a caller's request, if its entry is in good health.
    fn pick(&self, turn: usize) -> Option<(usize, &str)> {
        let at = turn % self.doors.len();
        let (door, good) = &self.doors[at];
        good.load(Ordering::SeqCst).then_some((at, door.as_str()))
    }
}

/// Sends request after request to the entries that the balancer picks.
fn load(caller: usize, balancer: &Balancer, stop: &AtomicBool, record: &Mutex<Record>) {
    let mut number = 0;
    while !stop.load(Ordering::SeqCst) {
        number += 1;
        let Some((door, address)) = balancer.pick(caller + number) else {
            std::thread::sleep(Duration::from_millis(5));
            continue;
        };
        let request = format!("load-{caller}-{number}");
        let outcome = call(address, &request, 1);
        let mut record = record.lock().expect("no caller has panicked");
        match outcome {
            Call::Answered => {
                record.answered[door] += 1;
                if !record.seen.insert(request.clone()) {
                    record.twice.push(request);
                }
            }
            Call::NotRun => {}
            Call::NotReached => record.cut.push(format!("{request} at {door}: not reached")),
            Call::Cut(why) => record.cut.push(format!("{request} at {door}: {why}")),
        }
    }
}

#[googletest::test]
fn entry_with_wrong_settings_names_the_field() {
    let (code, errors) = Daemon::refused("marigold-entry", "entry = \"e\"\ncolour = 1\n");
    expect_that!(code, some(eq(2)));
    expect_that!(errors, contains_substring("colour"));
    expect_that!(errors, contains_substring(":2"));
}

#[googletest::test]
fn standin_with_wrong_settings_names_the_field() {
    let (code, errors) = Daemon::refused("marigold-standin", "colour = 1\n");
    expect_that!(code, some(eq(2)));
    expect_that!(errors, contains_substring("colour"));
}
