//! The cost of each role of an entry per team and per request, idle and busy.

use std::time::{Duration, Instant};

use async_std::net::TcpStream;
use async_std::task;
use http_types::{Method, Request, Url};

use super::process::Error;
use super::rig::{Reading, Rig, Shape};
use super::sites::{ENTRY_BYTES, Series, store_calls, worker_bytes};
use super::slope::Slope;

/// Numbers of teams of the measured sites.
const TEAMS: [u32; 4] = [1, 35, 70, 140];
/// Configuration changes per second while a site with teams is busy.
const CHANGES_PER_SECOND: u32 = 4;
/// Requests per second at the measured sites.
const REQUESTS_PER_SECOND: [u32; 4] = [0, 50, 100, 200];
/// The number of caller connections.
const CONNECTIONS: u32 = 16;
/// The number of endpoints of the sites with requests.
const ENDPOINTS: u32 = 16;
/// The number of workers of the measured sites.
const WORKERS: u32 = 8;
/// The number of entries: one is the lead, one watches the store, and one does neither.
const ENTRIES: u32 = 3;

/// `Roles` holds the index of the entry in each role.
struct Roles {
    lead: usize,
    watcher: usize,
    entry: usize,
}

impl Roles {
    /// Finds the roles: the watcher is the entry with the highest rate of watch calls to the store.
    async fn find(rig: &Rig) -> Result<Self, Error> {
        let lead = rig.find_lead().await?;
        let mut watches = Vec::new();
        for at in 0..rig.entries.len() {
            let (before, after) = rig.read_twice(at, 6).await;
            watches.push(after.rate(&before, &["target=\"store\"", "kind=\"watch\""]));
        }
        let busiest = |a: &usize, b: &usize| watches[*a].total_cmp(&watches[*b]);
        let all = 0..rig.entries.len();
        let watcher = all.clone().max_by(busiest).unwrap_or(lead);
        let has_no_role = |at: &usize| *at != lead && *at != watcher;
        let entry = all.rev().find(has_no_role).unwrap_or(watcher);
        Ok(Self {
            lead,
            watcher,
            entry,
        })
    }

    async fn read(&self, rig: &Rig) -> [Reading; 3] {
        [
            rig.read(self.lead).await,
            rig.read(self.watcher).await,
            rig.read(self.entry).await,
        ]
    }
}

/// The names of each role's slopes: processor time, bytes to entries and workers, store calls, memory.
const SLOPE_NAMES: [[&str; 4]; 3] = [
    [
        "lead.processor",
        "lead.bytes",
        "lead.store-calls",
        "lead.memory",
    ],
    [
        "watcher.processor",
        "watcher.bytes",
        "watcher.store-calls",
        "watcher.memory",
    ],
    [
        "entry.processor",
        "entry.bytes",
        "entry.store-calls",
        "entry.memory",
    ],
];

/// Adds a point to the slopes of each role.
fn add_points(series: &mut Series, x: f64, before: &[Reading; 3], after: &[Reading; 3]) {
    for (names, (before, after)) in SLOPE_NAMES.iter().zip(before.iter().zip(after)) {
        let bytes = after.rate(before, &ENTRY_BYTES) + worker_bytes(after, before);
        series.add(names[0], "us/s", x, after.processor_rate(before));
        series.add(names[1], "B/s", x, bytes);
        series.add(names[2], "1/s", x, store_calls(after, before));
        series.add(names[3], "KiB", x, after.memory_kib);
    }
}

/// Measures sites with different numbers of teams, idle and with configuration changes.
pub(super) async fn by_teams(seconds: u64, seed: u64) -> Result<Vec<Slope>, Error> {
    let mut idle = Series::new("team, idle");
    let mut busy = Series::new("team, busy");
    for teams in TEAMS {
        let rig = Rig::start(Shape::new(ENTRIES, WORKERS, seed)).await?;
        rig.confirm(0, &teams_intent(teams)).await?;
        let roles = Roles::find(&rig).await?;
        let x = f64::from(teams);
        let before = roles.read(&rig).await;
        task::sleep(Duration::from_secs(seconds)).await;
        add_points(&mut idle, x, &before, &roles.read(&rig).await);
        let before = roles.read(&rig).await;
        let start = Instant::now();
        for number in 0..CHANGES_PER_SECOND * seconds as u32 {
            let team = number % teams;
            rig.confirm(roles.entry, &job_intent(number, team)).await?;
            let due = Duration::from_secs(1) * (number + 1) / CHANGES_PER_SECOND;
            task::sleep(due.saturating_sub(start.elapsed())).await;
        }
        add_points(&mut busy, x, &before, &roles.read(&rig).await);
    }
    let mut slopes = idle.fit();
    slopes.extend(busy.fit());
    Ok(slopes)
}

/// Measures sites at different request rates to the entry without another role.
///
/// At rate zero the callers keep their connections open.
pub(super) async fn by_requests(seconds: u64, seed: u64) -> Result<Vec<Slope>, Error> {
    let mut series = Series::new("request a second");
    for rate in REQUESTS_PER_SECOND {
        let rig = Rig::start(Shape::new(ENTRIES, WORKERS, seed)).await?;
        rig.confirm(0, &service_intent()).await?;
        rig.wait_for_status(0, "endpoints", |status| {
            status.shards.iter().any(|shard| shard.running >= ENDPOINTS)
        })
        .await?;
        let roles = Roles::find(&rig).await?;
        let address = rig.entries[roles.entry].address("callers");
        let before = roles.read(&rig).await;
        let mut callers = Vec::new();
        for number in 0..CONNECTIONS {
            let share = f64::from(rate) / f64::from(CONNECTIONS);
            callers.push(task::spawn(send_requests(
                address.clone(),
                share,
                number,
                seconds,
            )));
        }
        let mut done = 0;
        for caller in callers {
            done += caller.await;
        }
        let after = roles.read(&rig).await;
        let x = f64::from(done) / after[2].seconds(&before[2]);
        add_points(&mut series, x, &before, &after);
    }
    Ok(series.fit())
}

/// Sends `rate` requests per second at fixed times for `seconds`.
///
/// Returns the number of successful answers that arrived whole.
async fn send_requests(address: String, rate: f64, number: u32, seconds: u64) -> u32 {
    let start = Instant::now();
    let end = Duration::from_secs(seconds);
    let Ok(stream) = TcpStream::connect(&address).await else {
        return 0;
    };
    if stream.set_nodelay(true).is_err() {
        return 0;
    }
    let url = Url::parse(&format!("http://{address}/v1/call/booking")).expect("it is a URL");
    let phase = f64::from(number) / f64::from(CONNECTIONS);
    let mut done = 0;
    for nth in 0..(rate * seconds as f64) as u64 {
        let due = Duration::from_secs_f64((nth as f64 + phase) / rate);
        task::sleep(due.saturating_sub(start.elapsed())).await;
        let mut request = Request::new(Method::Post, url.clone());
        request.insert_header("x-marigold-team", "team-0");
        request.insert_header("x-marigold-request", format!("bench-{number}-{nth}"));
        request.insert_header("x-marigold-idempotent", "true");
        request.set_body("row=7");
        let Ok(mut response) = async_h1::connect(stream.clone(), request).await else {
            return done;
        };
        let whole = response.body_bytes().await.is_ok();
        done += u32::from(whole && response.status().is_success());
    }
    task::sleep(end.saturating_sub(start.elapsed())).await;
    done
}

fn teams_intent(teams: u32) -> String {
    let team = |number| {
        format!(
            "[[team]]\nname = \"team-{number}\"\n\
             quota = {{ millicores = 1000000, memory_mib = 1000000 }}\n"
        )
    };
    (0..teams).map(team).collect()
}

fn job_intent(number: u32, team: u32) -> String {
    format!(
        "[[job]]\nname = \"job-{number}\"\nclass = \"batch\"\nteam = \"team-{team}\"\ncount = 1\n\
         needs = {{ millicores = 500, memory_mib = 512 }}\ncommand = \"run_ms=300\"\n"
    )
}

fn service_intent() -> String {
    format!(
        "{}[[service]]\nname = \"booking\"\n[[job]]\nname = \"booking\"\nclass = \"service\"\n\
         team = \"team-0\"\ncount = {ENDPOINTS}\nservice = \"booking\"\n\
         needs = {{ millicores = 1000, memory_mib = 512 }}\ncommand = \"forever work_ms=5\"\n",
        teams_intent(1)
    )
}
