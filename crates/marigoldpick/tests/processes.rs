//! Tests a site of separate processes over loopback: plan, confirm, status, callers' requests, and
//! SIGTERM to an entry under load.

mod common;

use std::collections::BTreeSet;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use common::{Call, Daemon, Site, call, is_healthy, marigold, wait_for};
use googletest::prelude::*;
use marigoldpick::core::operator::{Job, Status};

/// The interval between the load balancer's health checks.
const HEALTH_INTERVAL: Duration = Duration::from_millis(50);
/// The number of concurrent callers while an entry is stopped.
const CALLERS: usize = 12;
/// The number of requests that each entry answers before one of them is stopped, and that the other
/// one answers after it.
const WARM_UP_REQUESTS: usize = 40;

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
fn path_from_plan_to_completion_over_separate_processes() {
    let site = Site::start("path");
    confirm_all(&site);
    wait_for_endpoints(&site);
    for (number, entry) in site.entries.iter().enumerate() {
        let request = format!("path-{number}");
        wait_for("a request gets its complete response", || {
            let attempt = 1;
            matches!(call(&entry.callers, &request, attempt), Call::Answered)
        });
    }
    wait_for("the batch job has completed", || {
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
fn sigterm_under_load_interrupts_no_request() {
    let mut site = Site::start("sigterm");
    confirm_all(&site);
    wait_for_endpoints(&site);
    let stop = Arc::new(AtomicBool::new(false));
    let record = Arc::new(Mutex::new(Record::default()));
    let addresses: Vec<String> = site.entries.iter().map(|e| e.callers.clone()).collect();
    let balancer = Balancer::start(addresses, &stop);
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let (stop, record) = (Arc::clone(&stop), Arc::clone(&record));
            let balancer = balancer.clone();
            std::thread::spawn(move || send_requests(caller, &balancer, &stop, &record))
        })
        .collect();
    wait_for("both entries respond under load", || {
        let record = record.lock().expect("no caller has panicked");
        record
            .answered
            .iter()
            .filter(|count| **count >= WARM_UP_REQUESTS)
            .count()
            == 2
    });
    let stopped = site.entries.remove(0);
    expect_that!(stopped.stop(), some(eq(0)), "the entry's exit code");
    let answered = record.lock().expect("no caller has panicked").answered[1];
    wait_for("the other entry continues to respond", || {
        let record = record.lock().expect("no caller has panicked");
        record.answered[1] >= answered + WARM_UP_REQUESTS
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

/// `Record` holds the outcomes that the callers observed.
#[derive(Debug, Default)]
struct Record {
    answered: [usize; 2],
    cut: Vec<String>,
    seen: BTreeSet<String>,
    twice: Vec<String>,
}

/// `Balancer` stands in for the platform's load balancer and picks healthy entries.
#[derive(Clone, Debug)]
struct Balancer {
    entries: Arc<Vec<(String, AtomicBool)>>,
}

impl Balancer {
    /// Checks the health of each entry periodically until `stop` is set.
    fn start(addresses: Vec<String>, stop: &Arc<AtomicBool>) -> Self {
        let entries = addresses
            .into_iter()
            .map(|address| (address, AtomicBool::new(false)));
        let balancer = Self {
            entries: Arc::new(entries.collect()),
        };
        let (checker, stop) = (balancer.clone(), Arc::clone(stop));
        std::thread::spawn(move || {
            while !stop.load(Ordering::SeqCst) {
                for (address, healthy) in checker.entries.iter() {
                    healthy.store(is_healthy(address), Ordering::SeqCst);
                }
                std::thread::sleep(HEALTH_INTERVAL);
            }
        });
        balancer
    }

    /// Returns the index and address of the entry that is next in turn, if it is healthy.
    fn pick(&self, turn: usize) -> Option<(usize, &str)> {
        let at = turn % self.entries.len();
        let (address, healthy) = &self.entries[at];
        healthy
            .load(Ordering::SeqCst)
            .then_some((at, address.as_str()))
    }
}

/// Sends requests one after the other to the entries that the balancer picks.
fn send_requests(caller: usize, balancer: &Balancer, stop: &AtomicBool, record: &Mutex<Record>) {
    let mut number = 0;
    while !stop.load(Ordering::SeqCst) {
        number += 1;
        let Some((entry, address)) = balancer.pick(caller + number) else {
            std::thread::sleep(Duration::from_millis(5));
            continue;
        };
        let request = format!("load-{caller}-{number}");
        let outcome = call(address, &request, 1);
        let mut record = record.lock().expect("no caller has panicked");
        match outcome {
            Call::Answered => {
                record.answered[entry] += 1;
                if !record.seen.insert(request.clone()) {
                    record.twice.push(request);
                }
            }
            Call::NotRun => {}
            Call::NotReached => record
                .cut
                .push(format!("{request} at {entry}: not reached")),
            Call::Cut(why) => record.cut.push(format!("{request} at {entry}: {why}")),
        }
    }
}

#[googletest::test]
fn entry_with_invalid_settings_names_the_field() {
    let (code, errors) = Daemon::run_rejected("marigold-entry", "entry = \"e\"\ncolour = 1\n");
    expect_that!(code, some(eq(2)));
    expect_that!(errors, contains_substring("colour"));
    expect_that!(errors, contains_substring(":2"));
}

#[googletest::test]
fn standin_with_invalid_settings_names_the_field() {
    let (code, errors) = Daemon::run_rejected("marigold-standin", "colour = 1\n");
    expect_that!(code, some(eq(2)));
    expect_that!(errors, contains_substring("colour"));
}
