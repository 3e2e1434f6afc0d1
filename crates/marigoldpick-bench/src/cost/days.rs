//! Bad days, played on small sites of real processes.

use std::time::{Duration, Instant};

use async_std::task;
use marigoldpick_core::operator::Status;
use marigoldpick_core::prelude::*;
use marigoldpick_standin::Truth;
use serde::Serialize;

use super::process::Error;
use super::rig::{Rig, Shape};
use super::sites::{intent, worker_calls};
use super::spans::{switch, truth};

/// Entries and workers of the sites.
const ENTRIES: u32 = 3;
const WORKERS: u32 = 32;
/// Jobs whose tasks end one after the other while the store is out, and the tasks of each.
const WAVES: u32 = 10;
const WAVE: u32 = 200;
/// Jobs that are cancelled at once, and the tasks of each.
const CANCELLED: u32 = 100;
const CANCELLED_TASKS: u32 = 100;
/// Workers of the site whose tasks are cancelled.
const CANCELLED_WORKERS: u32 = 96;
/// VMs that are replaced, and the time between two.
const REPLACED: u32 = 20;
/// VMs that are away at a time.
const AWAY: u32 = 5;
const REPLACE: Duration = Duration::from_millis(500);
/// Tasks that run while VMs, leads or entries are replaced.
const STEADY: u32 = 1_600;
/// Shards of the failure domain whose leads are lost.
const SHARDS: u32 = 3;
/// By then the others have noticed that an entry was killed.
const NOTICED: Duration = Duration::from_secs(3);
const LONGEST: Duration = Duration::from_secs(120);
const POLL: Duration = Duration::from_millis(50);
/// How long the store is watched after it is back.
const AFTER: Duration = Duration::from_secs(5);

/// `Outcome` is one figure of a day.
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

/// `Day` gathers the figures of one day.
struct Day(&'static str, Vec<Outcome>);

impl Day {
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

/// Plays all days; the store is out for `seconds`.
pub(crate) async fn play(seconds: u64, seed: u64) -> Result<Vec<Outcome>, Error> {
    let mut outcomes = store_out(seconds, seed).await?;
    outcomes.extend(cancel_wave(seed).await?);
    outcomes.extend(leads_lost(seed).await?);
    outcomes.extend(entries_rolled(seed).await?);
    outcomes.extend(vms_replaced(seed).await?);
    Ok(outcomes)
}

/// Tasks end while the store is out; their completions are recorded once it is back.
async fn store_out(seconds: u64, seed: u64) -> Result<Vec<Outcome>, Error> {
    let mut day = Day("store out", Vec::new());
    let rig = Rig::start(Shape::new(ENTRIES, WORKERS, seed)).await?;
    let lead = rig.lead().await?;
    let step = 1_000 * seconds / u64::from(WAVES + 1);
    let job = |number: u32| {
        let run = 2_000 + step * u64::from(number);
        (format!("wave-{number}"), WAVE, format!("run_ms={run}"))
    };
    rig.confirm(lead, &jobs((0..WAVES).map(job))).await?;
    let all = u64::from(WAVES * WAVE);
    wait("starts", || async {
        Ok(truth(&rig).await?.tasks_started >= all)
    })
    .await?;
    switch(&rig, "{\"fault\":{\"kind\":\"store-down\"},\"on\":true}").await;
    let before = truth(&rig).await?;
    let calls = rig.store_calls().await;
    task::sleep(Duration::from_secs(seconds)).await;
    let held = truth(&rig).await?;
    let unrecorded = sum(&rig.status(lead).await?, |shard| shard.unrecorded);
    let ended = held.tasks_completed - before.tasks_completed;
    day.add("out for", seconds as f64, "s");
    day.add("tasks that ended meanwhile", ended as f64, "");
    day.add("completions kept on the workers", unrecorded, "");
    let mut last = rig.store_calls().await;
    let calls = (last - calls) / seconds as f64;
    day.add("store calls while it was out", calls, "/s");
    switch(&rig, "{\"fault\":{\"kind\":\"store-down\"},\"on\":false}").await;
    let back = Instant::now();
    let (mut most, mut recorded) = (0.0_f64, None);
    while back.elapsed() < AFTER {
        task::sleep(Duration::from_secs(1)).await;
        let now = rig.store_calls().await;
        most = most.max(now - last);
        last = now;
        let left = sum(&rig.status(lead).await?, |shard| shard.unrecorded);
        recorded = recorded.or_else(|| (left == 0.0).then(|| back.elapsed()));
    }
    day.add("most store calls in a second after it", most, "/s");
    let recorded = recorded.ok_or(Error::Late("completions in the log"))?;
    day.add("all recorded within", recorded.as_secs_f64(), "s");
    finish(&rig, &mut day).await?;
    Ok(day.1)
}

/// Many running tasks are cancelled by one call.
async fn cancel_wave(seed: u64) -> Result<Vec<Outcome>, Error> {
    let mut day = Day("cancel wave", Vec::new());
    let rig = Rig::start(Shape::new(ENTRIES, CANCELLED_WORKERS, seed)).await?;
    let lead = rig.lead().await?;
    let job = |number: u32| {
        (
            format!("wave-{number}"),
            CANCELLED_TASKS,
            "forever".to_owned(),
        )
    };
    rig.confirm(lead, &jobs((0..CANCELLED).map(job))).await?;
    let all = CANCELLED * CANCELLED_TASKS;
    let start = Instant::now();
    wait("starts", || async {
        Ok(truth(&rig).await?.tasks_running >= u64::from(all))
    })
    .await?;
    day.add("tasks", f64::from(all), "");
    day.add("started within", start.elapsed().as_secs_f64(), "s");
    task::sleep(Duration::from_secs(2)).await;
    let (before, stores_before) = (rig.read(lead).await, stores(&truth(&rig).await?));
    let names =
        (0..CANCELLED).map(|number| id::Job::new(&format!("wave-{number}")).expect("a name"));
    let start = Instant::now();
    let cancelled = rig.client(lead).cancel(names.collect()).await;
    cancelled.map_err(|problem| Error::Entry(problem.message))?;
    day.add("answered within", start.elapsed().as_secs_f64(), "s");
    wait("stops", || async {
        Ok(truth(&rig).await?.tasks_running == 0)
    })
    .await?;
    day.add("none runs after", start.elapsed().as_secs_f64(), "s");
    wait("an empty shard", || async {
        Ok(sum(&rig.status(lead).await?, |shard| shard.running) == 0.0)
    })
    .await?;
    let after = rig.read(lead).await;
    let span = after.seconds(&before);
    day.add("the lead has heard of all after", span, "s");
    let each = worker_calls(&after, &before) * span / f64::from(all);
    day.add("worker calls for each task", each, "");
    let busy = after.processor(&before) * span / f64::from(all);
    day.add("processor time of the lead for each task", busy, "us");
    let calls = stores(&truth(&rig).await?) - stores_before;
    day.add("store calls", calls, "");
    Ok(day.1)
}

/// A failure domain loses all entries but one, at once, and with them most leads.
async fn leads_lost(seed: u64) -> Result<Vec<Outcome>, Error> {
    let mut day = Day("leads lost at once", Vec::new());
    let mut shape = Shape::new(ENTRIES, WORKERS, seed);
    shape.ownership.shards = SHARDS;
    let mut rig = Rig::start(shape).await?;
    steady(&rig).await?;
    let before = truth(&rig).await?;
    let kept = rig.entries.len() - 1;
    let own = rig.led_by(kept).await?;
    for entry in 0..kept {
        rig.entries[entry].kill();
    }
    let start = Instant::now();
    while rig.led_by(kept).await? < SHARDS as usize {
        late(start, "leads of all shards")?;
        task::sleep(POLL).await;
    }
    day.add(
        "shards taken over by one entry",
        (SHARDS as usize - own) as f64,
        "",
    );
    day.add("all led after", start.elapsed().as_secs_f64(), "s");
    task::sleep(AFTER).await;
    let after = truth(&rig).await?;
    day.add("tasks that ran on", after.tasks_running as f64, "");
    day.add("starts", (after.starts - before.starts) as f64, "");
    let calls = (stores(&after) - stores(&before)) / start.elapsed().as_secs_f64();
    day.add("store calls from then on", calls, "/s");
    finish(&rig, &mut day).await?;
    Ok(day.1)
}

/// All entries are killed and started again, one after the other.
async fn entries_rolled(seed: u64) -> Result<Vec<Outcome>, Error> {
    let mut day = Day("entries in a roll", Vec::new());
    let mut rig = Rig::start(Shape::new(ENTRIES, WORKERS, seed)).await?;
    steady(&rig).await?;
    let before = truth(&rig).await?;
    let start = Instant::now();
    for at in 0..rig.entries.len() {
        rig.restart(at)?;
        task::sleep(NOTICED).await;
        rig.wait_for_leads().await?;
    }
    day.add("entries", f64::from(ENTRIES), "");
    day.add("all anew after", start.elapsed().as_secs_f64(), "s");
    let after = truth(&rig).await?;
    day.add("tasks that ran on", after.tasks_running as f64, "");
    day.add("starts", (after.starts - before.starts) as f64, "");
    let calls = (stores(&after) - stores(&before)) / f64::from(ENTRIES);
    day.add("store calls for each entry", calls, "");
    finish(&rig, &mut day).await?;
    Ok(day.1)
}

/// VMs go and come back empty, one after the other.
async fn vms_replaced(seed: u64) -> Result<Vec<Outcome>, Error> {
    let mut day = Day("VMs replaced", Vec::new());
    let rig = Rig::start(Shape::new(ENTRIES, WORKERS, seed)).await?;
    steady(&rig).await?;
    let before = truth(&rig).await?;
    let start = Instant::now();
    for number in 0..REPLACED {
        kill(&rig, number, true).await;
        task::sleep(REPLACE).await;
        if let Some(back) = number.checked_sub(AWAY) {
            kill(&rig, back, false).await;
        }
    }
    wait("all tasks", || async {
        Ok(truth(&rig).await?.tasks_running >= u64::from(STEADY))
    })
    .await?;
    let after = truth(&rig).await?;
    day.add("VMs", f64::from(REPLACED), "");
    day.add(
        "all tasks run again after",
        start.elapsed().as_secs_f64(),
        "s",
    );
    let each = |count: f64| count / f64::from(REPLACED);
    day.add(
        "starts for each",
        each((after.starts - before.starts) as f64),
        "",
    );
    day.add(
        "store calls for each",
        each(stores(&after) - stores(&before)),
        "",
    );
    finish(&rig, &mut day).await?;
    Ok(day.1)
}

/// Takes a VM away, or brings it back empty.
async fn kill(rig: &Rig, number: u32, on: bool) {
    let worker = format!("d0-r{}/w{}", number / 8, number % 8);
    let fault = format!("{{\"kind\":\"kill-worker\",\"worker\":\"{worker}\"}}");
    switch(rig, &format!("{{\"fault\":{fault},\"on\":{on}}}")).await;
}

/// Tells whether a task ran twice or in two places, which no day may bring.
async fn finish(rig: &Rig, day: &mut Day) -> Result<(), Error> {
    let truth = truth(rig).await?;
    day.add("tasks in two places", truth.tasks_in_two_places as f64, "");
    day.add("tasks done twice", truth.tasks_done_twice as f64, "");
    Ok(())
}

async fn steady(rig: &Rig) -> Result<(), Error> {
    rig.confirm(0, &intent("steady", "service", STEADY, "forever"))
        .await?;
    wait("tasks", || async {
        Ok(truth(rig).await?.tasks_running >= u64::from(STEADY))
    })
    .await?;
    task::sleep(Duration::from_secs(2)).await;
    Ok(())
}

async fn wait<F>(what: &'static str, mut holds: impl FnMut() -> F) -> Result<(), Error>
where
    F: Future<Output = Result<bool, Error>>,
{
    let start = Instant::now();
    while !holds().await? {
        late(start, what)?;
        task::sleep(POLL).await;
    }
    Ok(())
}

fn late(start: Instant, what: &'static str) -> Result<(), Error> {
    if start.elapsed() < LONGEST {
        return Ok(());
    }
    Err(Error::Late(what))
}

fn sum(status: &Status, count: impl Fn(&marigoldpick_core::operator::Shard) -> u32) -> f64 {
    status
        .shards
        .iter()
        .map(|shard| f64::from(count(shard)))
        .sum()
}

fn stores(truth: &Truth) -> f64 {
    truth
        .store_calls
        .iter()
        .map(|count| count.calls as f64)
        .sum()
}

/// Writes an intent of several jobs: their names, numbers of tasks and commands.
fn jobs(jobs: impl Iterator<Item = (String, u32, String)>) -> String {
    let mut text = String::new();
    for (name, count, command) in jobs {
        let one = intent(&name, "batch", count, &command);
        let from = if text.is_empty() {
            0
        } else {
            one.find("[[job]]").unwrap_or(0)
        };
        text.push_str(&one[from..]);
    }
    text
}
