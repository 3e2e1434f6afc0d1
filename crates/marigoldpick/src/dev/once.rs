//! Implements `dev --once`, which runs each site to the end of its work and reports the counts and
//! the broken promises.

use std::sync::Arc;
use std::time::{Duration, Instant};

use async_std::task;
use indicatif::{ProgressBar, ProgressDrawTarget, ProgressStyle};
use marigoldpick_core::code::Code;
use marigoldpick_core::operator::{Problem, Status};

use super::cluster::{Cluster, Ports};
use super::mix::Mix;
use super::record::{Attempt, Job, Record, State};
use super::report::Report;
use super::site::Site;
use super::{caller, inject, operator, ready, watch};
use crate::arguments;
use crate::faults::{Fault, Kind};

/// The interval between two checks of the progress.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// The time limit for a configuration to be in force everywhere, and for the status to be complete.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(11);

/// `Outcome` is the result of one site's run.
#[derive(Debug)]
struct Outcome {
    report: Report,
    broken: Vec<String>,
}

/// Runs the sites one after the other.
///
/// # Errors
/// A problem of a site that could not start, or of an invalid intent.
pub(super) async fn run(
    arguments: &arguments::Dev,
    sites: &[Site],
    faults: &[Fault],
) -> Result<Code, Problem> {
    let mut sum = Report::default();
    let mut broken = Vec::new();
    for (site, requests) in sites
        .iter()
        .zip(split_requests(arguments.requests, sites.len()))
    {
        let targets = site.targets();
        let site_faults: Vec<Fault> = faults
            .iter()
            .filter(|fault| fault.has_target_in(&targets))
            .cloned()
            .collect();
        let outcome = run_site(arguments, site, requests, &site_faults).await?;
        sum += outcome.report;
        let labelled = outcome
            .broken
            .iter()
            .map(|what| format!("{}: {what}", site.name));
        broken.extend(labelled);
    }
    for what in &broken {
        eprintln!(
            "error {} PromiseBroken: {what}",
            Code::PromiseBroken.number()
        );
    }
    print_report(&sum, arguments.json);
    Ok(if broken.is_empty() {
        Code::Done
    } else {
        Code::PromiseBroken
    })
}

/// Splits the requests evenly over the sites.
fn split_requests(requests: u32, sites: usize) -> impl Iterator<Item = u32> {
    let sites = u32::try_from(sites).unwrap_or(u32::MAX).max(1);
    (0..sites).map(move |at| requests / sites + u32::from(at < requests % sites))
}

fn print_report(report: &Report, json: bool) {
    if json {
        crate::command::print_json(report);
        return;
    }
    let value = serde_json::to_value(report).unwrap_or_default();
    for (name, count) in value.as_object().into_iter().flatten() {
        print_line!("{name:>22} {count}");
    }
}

async fn run_site(
    arguments: &arguments::Dev,
    site: &Site,
    requests: u32,
    faults: &[Fault],
) -> Result<Outcome, Problem> {
    let until = Instant::now() + Duration::from_secs(arguments.limit);
    let bar = progress_bar(&site.name);
    let cluster = Arc::new(Cluster::start(site, Ports::Free).await?);
    let record = Arc::new(Record::default());
    let watcher = watch::start(&cluster, &record);
    let injected = inject::start(&cluster, &record, site, faults);
    let work = run_workload(&cluster, &record, site, arguments.seed, requests, &bar);
    let in_time = match async_std::future::timeout(time_left(until), work).await {
        Ok(result) => {
            result?;
            wait_for_faults(injected, until).await
                && wait_for_work(&cluster, &record, faults, &bar, until).await
        }
        Err(_) => false,
    };
    watcher.cancel().await;
    let mut broken = if in_time {
        Vec::new()
    } else {
        let limit = arguments.limit;
        vec![format!("the work did not end within {limit} s")]
    };
    let state = record.snapshot();
    let status = complete_status(&cluster, &state).await;
    broken.extend(status.as_ref().err().cloned());
    let status = status.ok();
    broken.extend(missing_work(&cluster, &record, status.as_ref(), site, requests).await);
    bar.finish_and_clear();
    let state = record.snapshot();
    let failed = status.map_or(0, |status| count_failed(&status, &state));
    let report = make_report(&cluster, &state, failed);
    broken.extend(report.broken());
    broken.extend(incomplete_jobs(&cluster, &state, can_fail_workers(faults)));
    broken.extend(record.snapshot().violations);
    cluster.drain().await;
    Ok(Outcome { report, broken })
}

fn progress_bar(name: &str) -> ProgressBar {
    let bar = ProgressBar::with_draw_target(None, ProgressDrawTarget::stderr());
    let style = ProgressStyle::with_template("{spinner} {prefix}: {msg} [{elapsed}]");
    bar.set_style(style.unwrap_or_else(|_source| ProgressStyle::default_spinner()));
    bar.set_prefix(name.to_owned());
    bar.enable_steady_tick(POLL_INTERVAL);
    bar
}

fn time_left(until: Instant) -> Duration {
    until.saturating_duration_since(Instant::now())
}

/// Confirms the intents, then sends the callers' requests.
async fn run_workload(
    cluster: &Arc<Cluster>,
    record: &Arc<Record>,
    site: &Site,
    seed: u64,
    requests: u32,
    bar: &ProgressBar,
) -> Result<(), Problem> {
    bar.set_message("waiting for the leads of the shards");
    ready::wait_for_leads(cluster, site).await;
    bar.set_message("confirming intents");
    operator::submit_intents(cluster, record, &site.intents).await?;
    bar.set_message("waiting for endpoints");
    let services = site.services();
    ready::wait_for_endpoints(cluster, &services).await;
    bar.set_message("sending requests");
    let mix = Mix {
        site: request_id_prefix(site),
        seed,
        teams: site.teams(),
        services,
    };
    caller::run(cluster, record, mix, requests).await;
    Ok(())
}

/// Returns the part of the site's name with which request ids begin.
fn request_id_prefix(site: &Site) -> String {
    let last = site.name.trim_end_matches('/').rsplit('/').next();
    let plain = |c: char| if c.is_ascii_alphanumeric() { c } else { '-' };
    last.unwrap_or_default().chars().map(plain).collect()
}

/// Waits until all faults are healed and returns whether that was in time.
async fn wait_for_faults(injected: Vec<task::JoinHandle<()>>, until: Instant) -> bool {
    for fault in injected {
        if async_std::future::timeout(time_left(until), fault)
            .await
            .is_err()
        {
            return false;
        }
    }
    true
}

/// Waits until all accepted work is done and recorded and returns whether that was in time.
async fn wait_for_work(
    cluster: &Cluster,
    record: &Record,
    faults: &[Fault],
    bar: &ProgressBar,
    until: Instant,
) -> bool {
    bar.set_message("waiting for the accepted tasks");
    while Instant::now() < until {
        let state = record.snapshot();
        let done = count_completed(cluster, &state);
        let expected = count_accepted(&state);
        bar.set_message(format!("{done} of {expected} tasks completed"));
        if incomplete_jobs(cluster, &state, can_fail_workers(faults)).is_empty()
            && is_recorded(cluster, &state).await
            && are_services_running(cluster, &state)
        {
            return true;
        }
        task::sleep(POLL_INTERVAL).await;
    }
    false
}

/// Returns whether the status reports the end of all accepted jobs as recorded.
async fn is_recorded(cluster: &Cluster, state: &State) -> bool {
    match operator::client(cluster).status().await {
        Ok(status) => partial(&status, state).is_empty() && open_jobs(&status, state).is_empty(),
        Err(problem) => {
            log::info!(target: "dev", "Could not read the status; problem={}.", problem.message);
            false
        }
    }
}

fn count_accepted(state: &State) -> u64 {
    state.expected_jobs().map(|job| u64::from(job.count)).sum()
}

fn count_completed(cluster: &Cluster, state: &State) -> u64 {
    let completed = cluster.platform.completed();
    state
        .expected_jobs()
        .map(|job| completed.iter().filter(|task| task.job == job.name).count() as u64)
        .sum()
}

/// Returns whether faults may make workers fail tasks.
///
/// Non-idempotent tasks are not started again after such a failure.
fn can_fail_workers(faults: &[Fault]) -> bool {
    let kinds = [Kind::KillWorker, Kind::FailWorker];
    faults.iter().any(|fault| kinds.contains(&fault.kind))
}

/// Describes the accepted jobs that must complete and have not.
fn incomplete_jobs(cluster: &Cluster, state: &State, workers_can_fail: bool) -> Vec<String> {
    let completed = cluster.platform.completed();
    let done = |job: &Job| completed.iter().filter(|task| task.job == job.name).count();
    state
        .expected_jobs()
        .filter(|job| job.idempotent || !workers_can_fail)
        .filter(|job| done(job) != job.count as usize)
        .map(|job| {
            format!(
                "{} of {} tasks of {} were completed",
                done(job),
                job.count,
                job.name
            )
        })
        .collect()
}

/// Counts the tasks of non-idempotent jobs that the status reports as failed.
fn count_failed(status: &Status, state: &State) -> u64 {
    let jobs = state.expected_jobs().filter(|job| !job.idempotent);
    jobs.filter_map(|job| status.jobs.iter().find(|reported| reported.job == job.name))
        .map(|reported| u64::from(reported.failed))
        .sum()
}

/// Reads the status until it includes all shards of the accepted jobs.
///
/// # Errors
/// What is missing in the last status, after [`IN_FORCE_TIMEOUT`].
async fn complete_status(cluster: &Cluster, state: &State) -> Result<Status, String> {
    let until = Instant::now() + IN_FORCE_TIMEOUT;
    loop {
        let missing = match operator::client(cluster).status().await {
            Ok(status) => match partial(&status, state) {
                missing if missing.is_empty() => return Ok(status),
                missing => format!("some shards don't report: {}", missing.join(", ")),
            },
            Err(problem) => format!("no entry responds: {}", problem.message),
        };
        if Instant::now() > until {
            return Err(missing);
        }
        task::sleep(POLL_INTERVAL).await;
    }
}

/// Returns the names of accepted jobs whose counts are lower bounds.
fn partial(status: &Status, state: &State) -> Vec<String> {
    state
        .expected_jobs()
        .filter(|job| status.partial.contains(&job.name))
        .map(|job| job.name.to_string())
        .collect()
}

/// Returns whether all tasks of the accepted services run.
fn are_services_running(cluster: &Cluster, state: &State) -> bool {
    let running = cluster.platform.running();
    state
        .services
        .iter()
        .filter(|job| !job.cancelled)
        .all(|job| {
            let count = running.iter().filter(|task| task.job == job.name).count();
            count >= job.count as usize
        })
}

/// Returns the names of accepted batch and gang jobs whose end is not recorded yet.
fn open_jobs(status: &Status, state: &State) -> Vec<String> {
    let is_recorded = |expected: &Job| {
        let reported = status.jobs.iter().find(|job| job.job == expected.name);
        reported.is_none_or(|job| job.completed + job.failed >= expected.count)
    };
    state
        .expected_jobs()
        .filter(|job| !is_recorded(job))
        .map(|job| job.name.to_string())
        .collect()
}

/// Describes the work that is missing at the end of a run.
async fn missing_work(
    cluster: &Cluster,
    record: &Record,
    status: Option<&Status>,
    site: &Site,
    requests: u32,
) -> Vec<String> {
    let state = record.snapshot();
    let mut missing = Vec::new();
    if state.intents < site.intents.len() {
        missing.push(format!(
            "{} of {} intents were accepted",
            state.intents,
            site.intents.len()
        ));
    }
    let open = status.map_or_else(Vec::new, |status| open_jobs(status, &state));
    if !open.is_empty() {
        missing.push(format!("the end is not recorded of: {}", open.join(", ")));
    }
    if !are_services_running(cluster, &state) {
        missing.push("some tasks of accepted services don't run".to_owned());
    }
    let expected = if site.services().is_empty() {
        0
    } else {
        requests
    };
    if state.requests.sent < u64::from(expected) {
        missing.push(format!(
            "{} of {expected} requests were sent",
            state.requests.sent
        ));
    }
    missing.extend(not_in_force(cluster, state.sequence).await);
    missing
}

async fn not_in_force(cluster: &Cluster, sequence: u64) -> Option<String> {
    let until = Instant::now() + IN_FORCE_TIMEOUT;
    loop {
        let behind = watch::entries_behind(cluster, sequence).await;
        if behind.is_empty() {
            return None;
        }
        if Instant::now() > until {
            let list = behind.join(", ");
            return Some(format!("configuration {sequence} is not in force: {list}"));
        }
        task::sleep(POLL_INTERVAL).await;
    }
}

fn make_report(cluster: &Cluster, state: &State, failed: u64) -> Report {
    let truth = cluster.platform.truth();
    let executed = cluster.platform.executed();
    let runs = |request: &str| {
        let found = executed.binary_search_by(|e| e.request.as_str().cmp(request));
        found.map_or(&[][..], |at| &executed[at].runs)
    };
    let has_run = |attempt: &&Attempt| {
        let mut runs = runs(&attempt.request).iter();
        runs.any(|run| run.attempt == attempt.attempt)
    };
    let ran_twice = |request: &&String| runs(request).len() > 1;
    Report {
        tasks_accepted: count_accepted(state),
        tasks_completed: count_completed(cluster, state),
        tasks_failed: failed,
        tasks_started_twice: truth.tasks_started_twice,
        tasks_in_two_places: truth.tasks_in_two_places,
        vm_overloads: truth.vm_overloads,
        requests_sent: state.requests.sent,
        requests_answered: state.requests.answered,
        requests_not_run: state.requests.not_run,
        requests_unknown: state.requests.unknown,
        requests_run_twice: state.non_idempotent.iter().filter(ran_twice).count() as u64,
        answers_wrong_or_cut: state.requests.wrong + truth.requests_cut,
        not_run_but_ran: state.not_run_attempts.iter().filter(has_run).count() as u64,
        configs_accepted: truth.configs_accepted,
        configs_reverted: truth.configs_reverted + state.reverted_configs,
    }
}
