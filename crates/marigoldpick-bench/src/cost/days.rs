//! The part `days`: incidents that are played on small sites of real processes.

use std::time::{Duration, Instant};

use async_std::task;
use marigoldpick_core::operator::Status;
use marigoldpick_core::prelude::*;
use marigoldpick_standin::Truth;
use serde::Serialize;

use super::latency::{fetch_truth, switch_fault};
use super::process::Error;
use super::rig::{Rig, Shape};
use super::sites::{job_intent, worker_calls};

/// The numbers of entries and workers of the sites.
const ENTRIES: u32 = 3;
const WORKERS: u32 = 32;
/// The number of jobs that end one after the other while the store is down, and the tasks of each.
const OUTAGE_JOBS: u32 = 10;
const OUTAGE_JOB_TASKS: u32 = 200;
/// The number of jobs that are cancelled at once, and the tasks of each.
const CANCELLED_JOBS: u32 = 100;
const CANCELLED_TASKS: u32 = 100;
/// The number of workers of the site whose tasks are cancelled.
const CANCELLED_WORKERS: u32 = 96;
/// The number of replaced VMs.
const REPLACED_VMS: u32 = 20;
/// The number of VMs that are down at a time.
const VMS_DOWN: u32 = 5;
/// The time between two replaced VMs.
const REPLACE_INTERVAL: Duration = Duration::from_millis(500);
/// The number of tasks that run while VMs, leads or entries are replaced.
const STEADY_TASKS: u32 = 1_600;
/// The number of shards of the failure domain whose leads are killed.
const SHARDS: u32 = 3;
/// The time in which the other entries detect that an entry was killed.
const DETECTION_TIME: Duration = Duration::from_secs(3);
/// The timeout of each wait.
const WAIT_TIMEOUT: Duration = Duration::from_secs(120);
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// How long the store's calls are counted after an incident.
const OBSERVATION_TIME: Duration = Duration::from_secs(5);

/// `Outcome` is one result of an incident.
#[derive(Debug, Serialize)]
pub(crate) struct Outcome {
    day: &'static str,
    what: &'static str,
    value: f64,
    unit: &'static str,
}

impl std::fmt::Display for Outcome {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            f,
            "{:<24} {:<48} {:>10.1} {}",
            self.day, self.what, self.value, self.unit
        )
    }
}

/// `Incident` holds the name and the results of one incident.
struct Incident(&'static str, Vec<Outcome>);

impl Incident {
    fn add(&mut self, what: &'static str, value: f64, unit: &'static str) {
        let day = self.0;
        self.1.push(Outcome {
            day,
            what,
            value,
            unit,
        });
    }
}

/// Plays all incidents; the store is down for `seconds`.
pub(crate) async fn play(seconds: u64, seed: u64) -> Result<Vec<Outcome>, Error> {
    let mut outcomes = play_store_outage(seconds, seed).await?;
    outcomes.extend(play_mass_cancel(seed).await?);
    outcomes.extend(play_lead_losses(seed).await?);
    outcomes.extend(play_rolling_restart(seed).await?);
    outcomes.extend(play_vm_replacement(seed).await?);
    Ok(outcomes)
}

/// Lets tasks end while the store is down; their completions are recorded after the outage.
async fn play_store_outage(seconds: u64, seed: u64) -> Result<Vec<Outcome>, Error> {
    let mut incident = Incident("store out", Vec::new());
    let rig = Rig::start(Shape::new(ENTRIES, WORKERS, seed)).await?;
    let lead = rig.find_lead().await?;
    let step = 1_000 * seconds / u64::from(OUTAGE_JOBS + 1);
    let job = |number: u32| {
        let run = 2_000 + step * u64::from(number);
        (
            format!("wave-{number}"),
            OUTAGE_JOB_TASKS,
            format!("run_ms={run}"),
        )
    };
    rig.confirm(lead, &jobs_intent((0..OUTAGE_JOBS).map(job)))
        .await?;
    let all = u64::from(OUTAGE_JOBS * OUTAGE_JOB_TASKS);
    wait_until("starts", || async {
        Ok(fetch_truth(&rig).await?.tasks_started >= all)
    })
    .await?;
    switch_fault(&rig, "{\"fault\":{\"kind\":\"store-down\"},\"on\":true}").await;
    let before = fetch_truth(&rig).await?;
    let calls = rig.store_calls().await;
    task::sleep(Duration::from_secs(seconds)).await;
    let held = fetch_truth(&rig).await?;
    let unrecorded = sum_shards(&rig.status(lead).await?, |shard| shard.unrecorded);
    let ended = held.tasks_completed - before.tasks_completed;
    incident.add("out for", seconds as f64, "s");
    incident.add("tasks that ended meanwhile", ended as f64, "");
    incident.add("completions kept on the workers", unrecorded, "");
    let mut last = rig.store_calls().await;
    let calls = (last - calls) / seconds as f64;
    incident.add("store calls while it was out", calls, "/s");
    switch_fault(&rig, "{\"fault\":{\"kind\":\"store-down\"},\"on\":false}").await;
    let back = Instant::now();
    let (mut most, mut recorded) = (0.0_f64, None);
    while back.elapsed() < OBSERVATION_TIME {
        task::sleep(Duration::from_secs(1)).await;
        let now = rig.store_calls().await;
        most = most.max(now - last);
        last = now;
        let left = sum_shards(&rig.status(lead).await?, |shard| shard.unrecorded);
        recorded = recorded.or_else(|| (left == 0.0).then(|| back.elapsed()));
    }
    incident.add("most store calls in a second after it", most, "/s");
    let recorded = recorded.ok_or(Error::Timeout("completions in the log"))?;
    incident.add("all recorded within", recorded.as_secs_f64(), "s");
    add_violations(&rig, &mut incident).await?;
    Ok(incident.1)
}

/// Cancels many running tasks by one call.
async fn play_mass_cancel(seed: u64) -> Result<Vec<Outcome>, Error> {
    let mut incident = Incident("cancel wave", Vec::new());
    let rig = Rig::start(Shape::new(ENTRIES, CANCELLED_WORKERS, seed)).await?;
    let lead = rig.find_lead().await?;
    let job = |number: u32| {
        (
            format!("wave-{number}"),
            CANCELLED_TASKS,
            "forever".to_owned(),
        )
    };
    rig.confirm(lead, &jobs_intent((0..CANCELLED_JOBS).map(job)))
        .await?;
    let all = CANCELLED_JOBS * CANCELLED_TASKS;
    let start = Instant::now();
    wait_until("starts", || async {
        Ok(fetch_truth(&rig).await?.tasks_running >= u64::from(all))
    })
    .await?;
    incident.add("tasks", f64::from(all), "");
    incident.add("started within", start.elapsed().as_secs_f64(), "s");
    task::sleep(Duration::from_secs(2)).await;
    let (before, stores_before) = (
        rig.read(lead).await,
        count_store_calls(&fetch_truth(&rig).await?),
    );
    let names =
        (0..CANCELLED_JOBS).map(|number| id::Job::new(&format!("wave-{number}")).expect("a name"));
    let start = Instant::now();
    let cancelled = rig.client(lead).cancel(names.collect()).await;
    cancelled.map_err(|problem| Error::Entry(problem.message))?;
    incident.add("answered within", start.elapsed().as_secs_f64(), "s");
    wait_until("stops", || async {
        Ok(fetch_truth(&rig).await?.tasks_running == 0)
    })
    .await?;
    incident.add("none runs after", start.elapsed().as_secs_f64(), "s");
    wait_until("an empty shard", || async {
        Ok(sum_shards(&rig.status(lead).await?, |shard| shard.running) == 0.0)
    })
    .await?;
    let after = rig.read(lead).await;
    let span = after.seconds(&before);
    incident.add("the lead has heard of all after", span, "s");
    let each = worker_calls(&after, &before) * span / f64::from(all);
    incident.add("worker calls for each task", each, "");
    let busy = after.processor_rate(&before) * span / f64::from(all);
    incident.add("processor time of the lead for each task", busy, "us");
    let calls = count_store_calls(&fetch_truth(&rig).await?) - stores_before;
    incident.add("store calls", calls, "");
    Ok(incident.1)
}

/// Kills all entries of a failure domain but one at once, and with them most leads.
async fn play_lead_losses(seed: u64) -> Result<Vec<Outcome>, Error> {
    let mut incident = Incident("leads lost at once", Vec::new());
    let mut shape = Shape::new(ENTRIES, WORKERS, seed);
    shape.ownership.shards = SHARDS;
    let mut rig = Rig::start(shape).await?;
    start_steady_tasks(&rig).await?;
    let before = fetch_truth(&rig).await?;
    let kept = rig.entries.len() - 1;
    let own = rig.led_by(kept).await?;
    for entry in 0..kept {
        rig.entries[entry].kill();
    }
    let start = Instant::now();
    while rig.led_by(kept).await? < SHARDS as usize {
        check_timeout(start, "leads of all shards")?;
        task::sleep(POLL_INTERVAL).await;
    }
    incident.add(
        "shards taken over by one entry",
        (SHARDS as usize - own) as f64,
        "",
    );
    incident.add("all led after", start.elapsed().as_secs_f64(), "s");
    task::sleep(OBSERVATION_TIME).await;
    let after = fetch_truth(&rig).await?;
    incident.add("tasks that ran on", after.tasks_running as f64, "");
    incident.add("starts", (after.starts - before.starts) as f64, "");
    let calls =
        (count_store_calls(&after) - count_store_calls(&before)) / start.elapsed().as_secs_f64();
    incident.add("store calls from then on", calls, "/s");
    add_violations(&rig, &mut incident).await?;
    Ok(incident.1)
}

/// Kills and restarts all entries, one after the other.
async fn play_rolling_restart(seed: u64) -> Result<Vec<Outcome>, Error> {
    let mut incident = Incident("entries in a roll", Vec::new());
    let mut rig = Rig::start(Shape::new(ENTRIES, WORKERS, seed)).await?;
    start_steady_tasks(&rig).await?;
    let before = fetch_truth(&rig).await?;
    let start = Instant::now();
    for at in 0..rig.entries.len() {
        rig.restart(at)?;
        task::sleep(DETECTION_TIME).await;
        rig.wait_for_leads().await?;
    }
    incident.add("entries", f64::from(ENTRIES), "");
    incident.add("all anew after", start.elapsed().as_secs_f64(), "s");
    let after = fetch_truth(&rig).await?;
    incident.add("tasks that ran on", after.tasks_running as f64, "");
    incident.add("starts", (after.starts - before.starts) as f64, "");
    let calls = (count_store_calls(&after) - count_store_calls(&before)) / f64::from(ENTRIES);
    incident.add("store calls for each entry", calls, "");
    add_violations(&rig, &mut incident).await?;
    Ok(incident.1)
}

/// Takes VMs away and brings them back empty, one after the other.
async fn play_vm_replacement(seed: u64) -> Result<Vec<Outcome>, Error> {
    let mut incident = Incident("VMs replaced", Vec::new());
    let rig = Rig::start(Shape::new(ENTRIES, WORKERS, seed)).await?;
    start_steady_tasks(&rig).await?;
    let before = fetch_truth(&rig).await?;
    let start = Instant::now();
    for number in 0..REPLACED_VMS {
        set_vm_killed(&rig, number, true).await;
        task::sleep(REPLACE_INTERVAL).await;
        if let Some(back) = number.checked_sub(VMS_DOWN) {
            set_vm_killed(&rig, back, false).await;
        }
    }
    wait_until("all tasks", || async {
        Ok(fetch_truth(&rig).await?.tasks_running >= u64::from(STEADY_TASKS))
    })
    .await?;
    let after = fetch_truth(&rig).await?;
    incident.add("VMs", f64::from(REPLACED_VMS), "");
    incident.add(
        "all tasks run again after",
        start.elapsed().as_secs_f64(),
        "s",
    );
    let each = |count: f64| count / f64::from(REPLACED_VMS);
    incident.add(
        "starts for each",
        each((after.starts - before.starts) as f64),
        "",
    );
    incident.add(
        "store calls for each",
        each(count_store_calls(&after) - count_store_calls(&before)),
        "",
    );
    add_violations(&rig, &mut incident).await?;
    Ok(incident.1)
}

/// Takes a VM away, or brings it back empty.
async fn set_vm_killed(rig: &Rig, number: u32, on: bool) {
    let worker = format!("d0-r{}/w{}", number / 8, number % 8);
    let fault = format!("{{\"kind\":\"kill-worker\",\"worker\":\"{worker}\"}}");
    switch_fault(rig, &format!("{{\"fault\":{fault},\"on\":{on}}}")).await;
}

/// Adds the counts of tasks that ran twice or in two places, which must be zero after each incident.
async fn add_violations(rig: &Rig, incident: &mut Incident) -> Result<(), Error> {
    let truth = fetch_truth(rig).await?;
    incident.add("tasks in two places", truth.tasks_in_two_places as f64, "");
    incident.add("tasks done twice", truth.tasks_done_twice as f64, "");
    Ok(())
}

/// Starts the steady tasks and waits until all run.
async fn start_steady_tasks(rig: &Rig) -> Result<(), Error> {
    rig.confirm(0, &job_intent("steady", "service", STEADY_TASKS, "forever"))
        .await?;
    wait_until("tasks", || async {
        Ok(fetch_truth(rig).await?.tasks_running >= u64::from(STEADY_TASKS))
    })
    .await?;
    task::sleep(Duration::from_secs(2)).await;
    Ok(())
}

/// Polls until `holds` is true.
async fn wait_until<F>(what: &'static str, mut holds: impl FnMut() -> F) -> Result<(), Error>
where
    F: Future<Output = Result<bool, Error>>,
{
    let start = Instant::now();
    while !holds().await? {
        check_timeout(start, what)?;
        task::sleep(POLL_INTERVAL).await;
    }
    Ok(())
}

/// Fails when the timeout since `start` has passed.
fn check_timeout(start: Instant, what: &'static str) -> Result<(), Error> {
    if start.elapsed() < WAIT_TIMEOUT {
        return Ok(());
    }
    Err(Error::Timeout(what))
}

/// Sums a count over all shards of a status.
fn sum_shards(status: &Status, count: impl Fn(&marigoldpick_core::operator::Shard) -> u32) -> f64 {
    status
        .shards
        .iter()
        .map(|shard| f64::from(count(shard)))
        .sum()
}

/// Returns the number of store calls that the stand-in counted.
fn count_store_calls(truth: &Truth) -> f64 {
    truth
        .store_calls
        .iter()
        .map(|count| count.calls as f64)
        .sum()
}

/// Returns an intent of several jobs, given their names, numbers of tasks and commands.
fn jobs_intent(jobs: impl Iterator<Item = (String, u32, String)>) -> String {
    let mut text = String::new();
    for (name, count, command) in jobs {
        let one = job_intent(&name, "batch", count, &command);
        let from = if text.is_empty() {
            0
        } else {
            one.find("[[job]]").unwrap_or(0)
        };
        text.push_str(&one[from..]);
    }
    text
}
