//! `dev --once`: each site to the end of its work, then the counts and the verdict.

use std::sync::Arc;
use std::time::{Duration, Instant};

use async_std::task;
use indicatif::{ProgressBar, ProgressDrawTarget, ProgressStyle};
use marigoldpick_core::code::Code;
use marigoldpick_core::operator::{Problem, Status};

use super::book::{Attempt, Book, Job, Pages};
use super::cluster::{Cluster, Ports};
use super::mix::Mix;
use super::report::Report;
use super::site::Site;
use super::{caller, inject, operator, ready, watch};
use crate::arguments;
use crate::faults::{Fault, Kind};

/// The time between two looks at how far the work is.
const EVERY: Duration = Duration::from_millis(100);
/// In how much time an accepted configuration has to be in force everywhere, and the status whole.
const IN_FORCE: Duration = Duration::from_secs(11);

/// `Ended` is how one site's run ended.
#[derive(Debug)]
struct Ended {
    report: Report,
    broken: Vec<String>,
}

/// Runs the sites one after the other.
///
/// # Errors
/// A problem of a site that could not start, or of an intent that is wrong.
pub(super) async fn run(
    arguments: &arguments::Dev,
    sites: &[Site],
    faults: &[Fault],
) -> Result<Code, Problem> {
    let mut sum = Report::default();
    let mut broken = Vec::new();
    for (site, requests) in sites.iter().zip(shares(arguments.requests, sites.len())) {
        let targets = site.targets();
        let own: Vec<Fault> = faults
            .iter()
            .filter(|fault| fault.hits(&targets))
            .cloned()
            .collect();
        let ended = run_site(arguments, site, requests, &own).await?;
        sum += ended.report;
        let named = ended
            .broken
            .iter()
            .map(|what| format!("{}: {what}", site.name));
        broken.extend(named);
    }
    for what in &broken {
        eprintln!(
            "error {} PromiseBroken: {what}",
            Code::PromiseBroken.number()
        );
    }
    show(&sum, arguments.json);
    Ok(if broken.is_empty() {
        Code::Done
    } else {
        Code::PromiseBroken
    })
}

/// Splits the callers' requests evenly over the sites.
fn shares(requests: u32, sites: usize) -> impl Iterator<Item = u32> {
    let sites = u32::try_from(sites).unwrap_or(u32::MAX).max(1);
    (0..sites).map(move |at| requests / sites + u32::from(at < requests % sites))
}

fn show(report: &Report, json: bool) {
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
) -> Result<Ended, Problem> {
    let until = Instant::now() + Duration::from_secs(arguments.limit);
    let bar = progress(&site.name);
    let cluster = Arc::new(Cluster::start(site, Ports::Free).await?);
    let book = Arc::new(Book::default());
    let watch = watch::start(&cluster, &book);
    let injected = inject::play(&cluster, &book, site, faults);
    let act = act(&cluster, &book, site, arguments.seed, requests, &bar);
    let in_time = match async_std::future::timeout(left(until), act).await {
        Ok(acted) => {
            acted?;
            heal(injected, until).await && settle(&cluster, &book, faults, &bar, until).await
        }
        Err(_) => false,
    };
    watch.cancel().await;
    let mut broken = if in_time {
        Vec::new()
    } else {
        let limit = arguments.limit;
        vec![format!("the work did not end within {limit} s")]
    };
    let pages = book.read();
    let status = whole_status(&cluster, &pages).await;
    broken.extend(status.as_ref().err().cloned());
    let status = status.ok();
    broken.extend(unfinished(&cluster, &book, status.as_ref(), site, requests).await);
    bar.finish_and_clear();
    let pages = book.read();
    let failed = status.map_or(0, |status| failed(&status, &pages));
    let report = count(&cluster, &pages, failed);
    broken.extend(report.broken());
    broken.extend(uncompleted(&cluster, &pages, hits_workers(faults)));
    broken.extend(book.read().notes);
    cluster.drain().await;
    Ok(Ended { report, broken })
}

fn progress(name: &str) -> ProgressBar {
    let bar = ProgressBar::with_draw_target(None, ProgressDrawTarget::stderr());
    let style = ProgressStyle::with_template("{spinner} {prefix}: {msg} [{elapsed}]");
    bar.set_style(style.unwrap_or_else(|_source| ProgressStyle::default_spinner()));
    bar.set_prefix(name.to_owned());
    bar.enable_steady_tick(EVERY);
    bar
}

fn left(until: Instant) -> Duration {
    until.saturating_duration_since(Instant::now())
}

/// Confirms the intents, then sends the callers' requests.
async fn act(
    cluster: &Arc<Cluster>,
    book: &Arc<Book>,
    site: &Site,
    seed: u64,
    requests: u32,
    bar: &ProgressBar,
) -> Result<(), Problem> {
    bar.set_message("waiting for the shards' leads");
    ready::leads(cluster, site).await;
    bar.set_message("confirming intents");
    operator::submit(cluster, book, &site.intents).await?;
    bar.set_message("waiting for endpoints");
    let services = site.services();
    ready::endpoints(cluster, &services).await;
    bar.set_message("sending requests");
    let mix = Mix {
        site: site_name(site),
        seed,
        teams: site.teams(),
        services,
    };
    caller::run(cluster, book, mix, requests).await;
    Ok(())
}

/// Returns the part of the site's name that request ids begin with.
fn site_name(site: &Site) -> String {
    let last = site.name.trim_end_matches('/').rsplit('/').next();
    let plain = |c: char| if c.is_ascii_alphanumeric() { c } else { '-' };
    last.unwrap_or_default().chars().map(plain).collect()
}

/// Waits until all faults are healed; tells whether that was in time.
async fn heal(injected: Vec<task::JoinHandle<()>>, until: Instant) -> bool {
    for fault in injected {
        if async_std::future::timeout(left(until), fault)
            .await
            .is_err()
        {
            return false;
        }
    }
    true
}

/// Waits until all accepted work is done and recorded; tells whether that was in time.
async fn settle(
    cluster: &Cluster,
    book: &Book,
    faults: &[Fault],
    bar: &ProgressBar,
    until: Instant,
) -> bool {
    bar.set_message("waiting for the accepted tasks");
    while Instant::now() < until {
        let pages = book.read();
        let done = completed(cluster, &pages);
        let due = accepted(&pages);
        bar.set_message(format!("{done} of {due} tasks completed"));
        if uncompleted(cluster, &pages, hits_workers(faults)).is_empty()
            && is_recorded(cluster, &pages).await
            && services_run(cluster, &pages)
        {
            return true;
        }
        task::sleep(EVERY).await;
    }
    false
}

/// Tells whether the end of all accepted jobs is told as recorded.
async fn is_recorded(cluster: &Cluster, pages: &Pages) -> bool {
    match operator::client(cluster).status().await {
        Ok(status) => partial(&status, pages).is_empty() && open_jobs(&status, pages).is_empty(),
        Err(problem) => {
            log::info!(target: "dev", "No status yet; problem={}.", problem.message);
            false
        }
    }
}

fn accepted(pages: &Pages) -> u64 {
    pages.due().map(|job| u64::from(job.count)).sum()
}

fn completed(cluster: &Cluster, pages: &Pages) -> u64 {
    let completed = cluster.platform.completed();
    pages
        .due()
        .map(|job| completed.iter().filter(|task| task.job == job.name).count() as u64)
        .sum()
}

/// Tells whether a worker may fail tasks; non-idempotent ones are then not started again.
fn hits_workers(faults: &[Fault]) -> bool {
    let kinds = [Kind::KillWorker, Kind::FailWorker];
    faults.iter().any(|fault| kinds.contains(&fault.kind))
}

/// Names the accepted jobs that must be completed and are not.
fn uncompleted(cluster: &Cluster, pages: &Pages, workers_fail: bool) -> Vec<String> {
    let completed = cluster.platform.completed();
    let done = |job: &Job| completed.iter().filter(|task| task.job == job.name).count();
    pages
        .due()
        .filter(|job| job.idempotent || !workers_fail)
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

/// Counts the tasks of non-idempotent jobs that are told as failed.
fn failed(status: &Status, pages: &Pages) -> u64 {
    let jobs = pages.due().filter(|job| !job.idempotent);
    jobs.filter_map(|job| status.jobs.iter().find(|told| told.job == job.name))
        .map(|told| u64::from(told.failed))
        .sum()
}

/// Asks for the status until it tells all parts of the accepted jobs.
///
/// # Errors
/// What is missing in the last status, after [`IN_FORCE`].
async fn whole_status(cluster: &Cluster, pages: &Pages) -> Result<Status, String> {
    let until = Instant::now() + IN_FORCE;
    loop {
        let missing = match operator::client(cluster).status().await {
            Ok(status) => match partial(&status, pages) {
                missing if missing.is_empty() => return Ok(status),
                missing => format!("some shards don't tell of: {}", missing.join(", ")),
            },
            Err(problem) => format!("no entry answers: {}", problem.message),
        };
        if Instant::now() > until {
            return Err(missing);
        }
        task::sleep(EVERY).await;
    }
}

/// Names the accepted jobs whose counts are lower bounds.
fn partial(status: &Status, pages: &Pages) -> Vec<String> {
    pages
        .due()
        .filter(|due| status.partial.contains(&due.name))
        .map(|due| due.name.to_string())
        .collect()
}

/// Tells whether all tasks of the accepted services run.
fn services_run(cluster: &Cluster, pages: &Pages) -> bool {
    let running = cluster.platform.running();
    pages
        .services
        .iter()
        .filter(|job| !job.cancelled)
        .all(|job| {
            let count = running.iter().filter(|task| task.job == job.name).count();
            count >= job.count as usize
        })
}

/// Names the accepted batch and gang jobs whose end is not recorded yet.
fn open_jobs(status: &Status, pages: &Pages) -> Vec<String> {
    let recorded = |due: &Job| {
        let told = status.jobs.iter().find(|job| job.job == due.name);
        told.is_none_or(|job| job.completed + job.failed >= due.count)
    };
    pages
        .due()
        .filter(|job| !recorded(job))
        .map(|job| job.name.to_string())
        .collect()
}

/// Names what is missing at the end of a run.
async fn unfinished(
    cluster: &Cluster,
    book: &Book,
    status: Option<&Status>,
    site: &Site,
    requests: u32,
) -> Vec<String> {
    let pages = book.read();
    let mut missing = Vec::new();
    if pages.intents < site.intents.len() {
        missing.push(format!(
            "{} of {} intents were accepted",
            pages.intents,
            site.intents.len()
        ));
    }
    let open = status.map_or_else(Vec::new, |status| open_jobs(status, &pages));
    if !open.is_empty() {
        missing.push(format!("the end is not recorded of: {}", open.join(", ")));
    }
    if !services_run(cluster, &pages) {
        missing.push("some tasks of accepted services don't run".to_owned());
    }
    let expected = if site.services().is_empty() {
        0
    } else {
        requests
    };
    if pages.requests.sent < u64::from(expected) {
        missing.push(format!(
            "{} of {expected} requests were sent",
            pages.requests.sent
        ));
    }
    missing.extend(not_in_force(cluster, pages.sequence).await);
    missing
}

async fn not_in_force(cluster: &Cluster, sequence: u64) -> Option<String> {
    let until = Instant::now() + IN_FORCE;
    loop {
        let behind = watch::behind(cluster, sequence).await;
        if behind.is_empty() {
            return None;
        }
        if Instant::now() > until {
            let list = behind.join(", ");
            return Some(format!("configuration {sequence} is not in force: {list}"));
        }
        task::sleep(EVERY).await;
    }
}

fn count(cluster: &Cluster, pages: &Pages, failed: u64) -> Report {
    let truth = cluster.platform.truth();
    let executed = cluster.platform.executed();
    let runs = |request: &str| {
        let found = executed.binary_search_by(|e| e.request.as_str().cmp(request));
        found.map_or(&[][..], |at| &executed[at].runs)
    };
    let ran = |told: &&Attempt| {
        let mut runs = runs(&told.request).iter();
        runs.any(|run| run.attempt == told.attempt)
    };
    let twice = |request: &&String| runs(request).len() > 1;
    Report {
        tasks_accepted: accepted(pages),
        tasks_completed: completed(cluster, pages),
        tasks_failed: failed,
        tasks_started_twice: truth.tasks_started_twice,
        tasks_in_two_places: truth.tasks_in_two_places,
        vm_overloads: truth.vm_overloads,
        requests_sent: pages.requests.sent,
        requests_answered: pages.requests.answered,
        requests_not_run: pages.requests.not_run,
        requests_unknown: pages.requests.unknown,
        requests_run_twice: pages.once_only.iter().filter(twice).count() as u64,
        answers_wrong_or_cut: pages.requests.wrong + truth.requests_cut,
        not_run_but_ran: pages.told_not_run.iter().filter(ran).count() as u64,
        configs_accepted: truth.configs_accepted,
        configs_reverted: truth.configs_reverted + pages.reverted,
    }
}
