//! What led to what over processes whose clocks disagree: one task from its plan to its end, and
//! one request over two failure domains.

use std::time::Duration;

use async_std::net::TcpStream;
use async_std::task::block_on;
use googletest::prelude::*;
use http_types::{Method, Request, Url};
use marigoldpick::client::Client;
use marigoldpick::core::operator::Ask;
use marigoldpick::core::prelude::*;
use marigoldpick::core::timeline::Event;
use marigoldpick::timeline;

use crate::cluster::Cluster;

const SEED: u64 = 3;
/// By how much one clock is ahead of the others: longer than a test.
const AHEAD: Millis = Millis(1_000_000_000);
/// The seat of an entry in the failure domain that runs no task.
const NORTH: usize = 0;
/// The seats of the entries in the other failure domain.
pub const SOUTH: [usize; 2] = [2, 3];

const INTENT: &str = r#"
[[team]]
name = "sellers"
quota = { millicores = 60000, memory_mib = 60000 }

[[job]]
name = "night"
class = "batch"
team = "sellers"
count = 2
needs = { millicores = 500, memory_mib = 512 }
where = { domains = ["south"] }
command = "run_ms=100"
"#;

/// Endpoints in one failure domain alone, so that requests of the other one overflow.
const SERVICE: &str = r#"
[[team]]
name = "sellers"
quota = { millicores = 60000, memory_mib = 60000 }

[[service]]
name = "booking"

[[job]]
name = "booking"
class = "service"
team = "sellers"
service = "booking"
count = 2
needs = { millicores = 500, memory_mib = 512 }
where = { domains = ["south"] }
command = "forever"
"#;

/// Attempts of a caller before it gives up.
const ATTEMPTS: u32 = 200;
/// The pause between two attempts.
const PAUSE: Duration = Duration::from_millis(50);

/// Waits until each entry knows the leads of all shards, which have all their workers.
pub async fn wait_for_leads(cluster: &Cluster) {
    cluster
        .until("leads of all shards", |statuses| {
            statuses.iter().all(|status| {
                let led = status.shards.iter().filter(|shard| shard.workers == 4);
                !status.config_old && led.count() == 2
            })
        })
        .await;
}

/// Plans at one entry and confirms at another one.
async fn confirm(cluster: &Cluster, intent: &str, plan_at: usize, confirm_at: usize) {
    let client = |seat| cluster.client(seat).expect("the entry runs");
    let ask = Ask {
        file: "intent.toml".to_owned(),
        text: intent.to_owned(),
    };
    let plan = client(plan_at).plan(&ask).await.expect("a plan");
    expect_that!(plan.made, none());
    let accepted = client(confirm_at).confirm(plan.id).await;
    accepted.expect("the plan is fresh");
}

/// Asks the booking service until it answers, each time as another attempt.
async fn call(callers: &str, request: &str) -> u32 {
    for attempt in 1..=ATTEMPTS {
        let url = format!("http://{callers}/v1/call/booking");
        let mut asked = Request::new(Method::Post, Url::parse(&url).expect("a URL"));
        asked.insert_header("x-marigold-team", "sellers");
        asked.insert_header("x-marigold-request", request);
        asked.insert_header("x-marigold-attempt", attempt.to_string());
        asked.insert_header("x-marigold-idempotent", "true");
        let stream = TcpStream::connect(callers).await.expect("a connection");
        let answer = async_h1::connect(stream, asked).await.expect("an answer");
        let result = answer.header("x-marigold-result").expect("a result");
        if result.last().as_str() == "done" {
            return attempt;
        }
        async_std::task::sleep(PAUSE).await;
    }
    panic!("no answer after {ATTEMPTS} attempts");
}

async fn ended(cluster: &Cluster) {
    cluster
        .until("the job's end at each entry", |statuses| {
            statuses.iter().all(|status| {
                let mut jobs = status.jobs.iter();
                jobs.any(|job| job.job.as_str() == "night" && job.completed == 2)
            })
        })
        .await;
}

/// Reads the events of all entries; the clocks of one failure domain are moved ahead.
async fn events(cluster: &Cluster, ahead: &str) -> Vec<Event> {
    let mut events = Vec::new();
    for entry in cluster.entries() {
        let client = Client::of(vec![entry.addresses().operators.clone()]);
        let mut page = client.timeline(0).await.expect("a page").events;
        if entry.known().domain.as_str() == ahead {
            page.iter_mut().for_each(|event| event.at += AHEAD);
        }
        events.append(&mut page);
    }
    events
}

fn words(events: &[Event]) -> Vec<&str> {
    events.iter().map(|event| event.what.as_str()).collect()
}

#[googletest::test]
fn follow_task_from_plan_to_end_over_entries_whatever_their_clocks() {
    block_on(async {
        let cluster = Cluster::start(SEED).await;
        wait_for_leads(&cluster).await;
        confirm(&cluster, INTENT, NORTH, SOUTH[0]).await;
        ended(&cluster).await;
        for ahead in ["north", "south"] {
            let merged = timeline::merge(events(&cluster, ahead).await);
            let task = timeline::follow(merged, "night:0");
            expect_that!(
                words(&task),
                elements_are![
                    eq(&"plan-made"),
                    eq(&"plan-confirmed"),
                    eq(&"config-applied"),
                    eq(&"task-started"),
                    eq(&"task-ended")
                ]
            );
        }
    });
}

#[googletest::test]
fn merge_puts_an_entry_in_force_after_its_proposal_at_each_entry() {
    block_on(async {
        let cluster = Cluster::start(SEED).await;
        wait_for_leads(&cluster).await;
        confirm(&cluster, INTENT, SOUTH[0], SOUTH[1]).await;
        ended(&cluster).await;
        for ahead in ["north", "south"] {
            let merged = timeline::merge(events(&cluster, ahead).await);
            let first =
                |event: &&Event| event.what.as_str() == "plan-confirmed" || event.about == "1";
            let first: Vec<Event> = merged.iter().filter(first).cloned().collect();
            expect_that!(words(&first)[0], eq("plan-confirmed"));
            let in_force = |event: &&Event| event.what.as_str() == "config-applied";
            let in_force: Vec<&Event> = first.iter().filter(in_force).collect();
            expect_that!(in_force.len(), eq(4));
            let proposed = Some(&first[0].mark);
            expect_that!(
                in_force.iter().all(|e| e.cause.as_ref() == proposed),
                eq(true)
            );
        }
    });
}

#[googletest::test]
fn follow_request_over_two_failure_domains_whatever_their_clocks() {
    block_on(async {
        let cluster = Cluster::start(SEED).await;
        wait_for_leads(&cluster).await;
        confirm(&cluster, SERVICE, NORTH, NORTH).await;
        let door = cluster.entries()[NORTH].addresses().callers.clone();
        let attempt = call(&door, "r-17").await;
        for ahead in ["north", "south"] {
            let merged = timeline::merge(events(&cluster, ahead).await);
            let request = timeline::follow(merged, "r-17");
            let last = format!("attempt={attempt}");
            let of_last = |event: &&Event| event.note.split(' ').next() == Some(&last);
            let way: Vec<Event> = request.iter().filter(of_last).cloned().collect();
            expect_that!(
                words(&way),
                elements_are![
                    eq(&"request-accepted"),
                    eq(&"request-forwarded"),
                    eq(&"request-received"),
                    eq(&"request-replied"),
                    eq(&"request-returned"),
                    eq(&"request-answered")
                ]
            );
            let domain = |event: &Event| event.mark.process.as_str().starts_with("south");
            let south: Vec<bool> = way.iter().map(domain).collect();
            expect_that!(south, eq(&vec![false, false, true, true, false, false]));
        }
    });
}
