//! Tests the causal order of events of processes whose clocks disagree: one task from its plan to
//! its end, and one request over two failure domains.

use std::time::Duration;

use async_std::net::TcpStream;
use async_std::task::block_on;
use googletest::prelude::*;
use http_types::{Method, Request, Url};
use marigoldpick::client::Client;
use marigoldpick::core::operator::PlanRequest;
use marigoldpick::core::prelude::*;
use marigoldpick::core::timeline::Event;
use marigoldpick::timeline;

use crate::cluster::Cluster;

const SEED: u64 = 3;
/// The offset of the clocks of one failure domain, which is longer than a test.
const CLOCK_OFFSET: Millis = Millis(1_000_000_000);
/// The index of an entry in the failure domain that runs no task.
const NORTH: usize = 0;
/// The indexes of the entries in the other failure domain.
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

/// A service with endpoints in one failure domain, so that requests in the other are forwarded.
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

/// The number of attempts before a caller gives up.
const MAX_ATTEMPTS: u32 = 200;
/// The delay between two attempts.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Waits until each entry knows the leads of all shards and each lead knows all its workers.
pub async fn wait_for_leads(cluster: &Cluster) {
    cluster
        .wait_until("all shards have leads", |statuses| {
            statuses.iter().all(|status| {
                let led = status.shards.iter().filter(|shard| shard.workers == 4);
                !status.config_old && led.count() == 2
            })
        })
        .await;
}

/// Plans an intent at one entry and confirms the plan at another one.
async fn plan_and_confirm(cluster: &Cluster, intent: &str, plan_at: usize, confirm_at: usize) {
    let client = |entry| cluster.client(entry).expect("the entry runs");
    let ask = PlanRequest {
        file: "intent.toml".to_owned(),
        text: intent.to_owned(),
    };
    let plan = client(plan_at).plan(&ask).await.expect("the plan is made");
    expect_that!(plan.made, none());
    let accepted = client(confirm_at).confirm(plan.id).await;
    accepted.expect("the plan is fresh");
}

/// Calls the booking service until it responds and returns the number of the last attempt.
async fn call(callers: &str, request: &str) -> u32 {
    for attempt in 1..=MAX_ATTEMPTS {
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
        async_std::task::sleep(RETRY_DELAY).await;
    }
    panic!("no answer after {MAX_ATTEMPTS} attempts");
}

async fn wait_for_job_end(cluster: &Cluster) {
    cluster
        .wait_until("each entry knows the end of the job", |statuses| {
            statuses.iter().all(|status| {
                let mut jobs = status.jobs.iter();
                jobs.any(|job| job.job.as_str() == "night" && job.completed == 2)
            })
        })
        .await;
}

/// Reads the events of all entries and moves the times of one failure domain ahead.
async fn events(cluster: &Cluster, ahead: &str) -> Vec<Event> {
    let mut events = Vec::new();
    for entry in cluster.entries() {
        let client = Client::of(vec![entry.addresses().operators.clone()]);
        let mut page = client
            .timeline(0)
            .await
            .expect("the events are read")
            .events;
        if entry.known().domain.as_str() == ahead {
            page.iter_mut().for_each(|event| event.at += CLOCK_OFFSET);
        }
        events.append(&mut page);
    }
    events
}

fn event_names(events: &[Event]) -> Vec<&str> {
    events.iter().map(|event| event.what.as_str()).collect()
}

#[googletest::test]
fn follow_task_from_plan_to_end_over_entries_despite_clock_offset() {
    block_on(async {
        let cluster = Cluster::start(SEED).await;
        wait_for_leads(&cluster).await;
        plan_and_confirm(&cluster, INTENT, NORTH, SOUTH[0]).await;
        wait_for_job_end(&cluster).await;
        for ahead in ["north", "south"] {
            let merged = timeline::merge(events(&cluster, ahead).await);
            let task = timeline::follow(merged, "night:0");
            expect_that!(
                event_names(&task),
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
fn merge_orders_applied_configuration_after_its_confirm() {
    block_on(async {
        let cluster = Cluster::start(SEED).await;
        wait_for_leads(&cluster).await;
        plan_and_confirm(&cluster, INTENT, SOUTH[0], SOUTH[1]).await;
        wait_for_job_end(&cluster).await;
        for ahead in ["north", "south"] {
            let merged = timeline::merge(events(&cluster, ahead).await);
            let first =
                |event: &&Event| event.what.as_str() == "plan-confirmed" || event.about == "1";
            let first: Vec<Event> = merged.iter().filter(first).cloned().collect();
            expect_that!(event_names(&first)[0], eq("plan-confirmed"));
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
fn follow_request_over_two_failure_domains_despite_clock_offset() {
    block_on(async {
        let cluster = Cluster::start(SEED).await;
        wait_for_leads(&cluster).await;
        plan_and_confirm(&cluster, SERVICE, NORTH, NORTH).await;
        let address = cluster.entries()[NORTH].addresses().callers.clone();
        let attempt = call(&address, "r-17").await;
        for ahead in ["north", "south"] {
            let merged = timeline::merge(events(&cluster, ahead).await);
            let request = timeline::follow(merged, "r-17");
            let last = format!("attempt={attempt}");
            let of_last = |event: &&Event| event.note.split(' ').next() == Some(&last);
            let path: Vec<Event> = request.iter().filter(of_last).cloned().collect();
            expect_that!(
                event_names(&path),
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
            let south: Vec<bool> = path.iter().map(domain).collect();
            expect_that!(south, eq(&vec![false, false, true, true, false, false]));
        }
    });
}
