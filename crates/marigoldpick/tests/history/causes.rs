//! What led to what over processes whose clocks disagree: one task from its plan to its end.

use async_std::task::block_on;
use googletest::prelude::*;
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
const SOUTH: [usize; 2] = [2, 3];

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

/// Waits until each entry knows the leads of all shards, which have all their workers.
async fn wait_for_leads(cluster: &Cluster) {
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
async fn confirm(cluster: &Cluster, plan_at: usize, confirm_at: usize) {
    let client = |seat| cluster.client(seat).expect("the entry runs");
    let ask = Ask {
        file: "night.toml".to_owned(),
        text: INTENT.to_owned(),
    };
    let plan = client(plan_at).plan(&ask).await.expect("a plan");
    expect_that!(plan.made, none());
    let accepted = client(confirm_at).confirm(plan.id).await;
    accepted.expect("the plan is fresh");
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
        confirm(&cluster, NORTH, SOUTH[0]).await;
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
        confirm(&cluster, SOUTH[0], SOUTH[1]).await;
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
