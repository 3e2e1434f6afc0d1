//! Slot leases of several entries, leaving endpoints and forwarding to another failure domain.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use async_std::task::{JoinHandle, sleep, spawn};
use futures::future::join_all;
use googletest::prelude::*;
use marigoldpick_core::prelude::*;

use super::site::{Answer, Site, call, start, start_with, test_settings, until};

const IDEMPOTENT: (&str, &str) = ("x-marigold-idempotent", "true");
/// Longer than the service's `deadline_ms`, which some tests set low so that lapsed slots return soon.
const PATIENT: (&str, &str) = ("x-marigold-deadline-ms", "20000");
const SLOTS: usize = 8;
const CONNECTIONS: usize = 60;

/// Starts `count` calls at an entry.
fn calls(site: &Site, at: usize, count: usize, body: &str) -> Vec<JoinHandle<Answer>> {
    let one = |_| {
        let (address, body) = (site.nodes[at].address.clone(), body.to_owned());
        spawn(async move { call(&address, &[IDEMPOTENT, PATIENT], &body).await })
    };
    (0..count).map(one).collect()
}

/// Starts `count` calls that are repeated after the advised wait while they are refused as not run. An
/// entry that loses its arbiter may for a moment have no leases.
fn calls_with_retry(site: &Site, at: usize, count: usize, body: &str) -> Vec<JoinHandle<Answer>> {
    let one = |_| {
        let (address, body) = (site.nodes[at].address.clone(), body.to_owned());
        spawn(async move {
            loop {
                let answer = call(&address, &[IDEMPOTENT, PATIENT], &body).await;
                let Some(after) = answer.retry_after().filter(|_| answer.result == "not-run")
                else {
                    return answer;
                };
                sleep(after.duration()).await;
            }
        })
    };
    (0..count).map(one).collect()
}

/// `Load` is a group of callers that call again as soon as they are answered.
struct Load {
    callers: Vec<JoinHandle<Vec<Answer>>>,
    ends: Arc<AtomicBool>,
}

impl Load {
    /// Starts `count` callers at an entry.
    fn start(site: &Site, at: usize, count: usize, body: &str) -> Self {
        let ends = Arc::new(AtomicBool::new(false));
        let one = |_| {
            let (address, body) = (site.nodes[at].address.clone(), body.to_owned());
            let ends = Arc::clone(&ends);
            spawn(async move {
                let mut answers = Vec::new();
                while !ends.load(Ordering::Relaxed) {
                    answers.push(call(&address, &[IDEMPOTENT, PATIENT], &body).await);
                }
                answers
            })
        };
        let callers = (0..count).map(one).collect();
        Self { callers, ends }
    }

    /// Ends the load and returns all answers.
    async fn end(self) -> Vec<Answer> {
        self.ends.store(true, Ordering::Relaxed);
        join_all(self.callers).await.concat()
    }
}

/// Returns whether no endpoint had too many requests at once or has too many connections.
fn are_limits_kept(site: &Site) -> bool {
    let within = |e: &super::endpoint::Endpoint| e.most() <= SLOTS && e.open() <= CONNECTIONS;
    site.endpoints.iter().all(within)
}

#[googletest::test]
#[async_std::test]
async fn slots_move_to_the_entry_with_the_demand_and_are_never_exceeded() {
    let site = start(&[3], &[2]).await;
    site.ready().await;
    // Each idle entry may keep one slot of each endpoint.
    let most = (SLOTS - 2) * site.endpoints.len();
    for at in [0, 1] {
        let load = Load::start(&site, at, 40, "slow 1000");
        until("one entry uses all but a few", || site.in_flight() >= most).await;
        for answer in load.end().await {
            expect_that!(answer.result_and_code(), eq("done 0"));
        }
    }
    expect_true!(are_limits_kept(&site));
}

#[googletest::test]
#[async_std::test]
async fn slots_of_a_dead_entry_are_reclaimed() {
    let site = start_with(&[3], &[2], test_settings(), "deadline_ms = 1000\n").await;
    site.ready().await;
    // No call may be answered before the entry is killed, however long its slots take to arrive.
    let lost = calls(&site, 0, 20, "gated");
    until("the entry uses slots", || site.in_flight() >= 6).await;
    site.kill(0);
    for endpoint in &site.endpoints {
        endpoint.release();
    }
    site.mark_dead(0);
    until("the others hold all slots", || {
        site.held_by(&[1, 2]) == 2 * SLOTS
    })
    .await;
    for call in lost {
        expect_that!(call.await.result, not(eq("done")));
    }
    let calls = calls(&site, 1, 30, "slow 50");
    for call in calls {
        expect_that!(call.await.result_and_code(), eq("done 0"));
    }
    expect_true!(are_limits_kept(&site));
}

#[googletest::test]
#[async_std::test]
async fn slots_of_drained_entries_go_to_the_remaining_one() {
    let site = start_with(&[3], &[2], test_settings(), "deadline_ms = 1000\n").await;
    site.ready().await;
    for at in [0, 1] {
        site.drain(at);
        until("it has given its slots back", || site.held_by(&[at]) == 0).await;
        site.kill(at);
        site.mark_dead(at);
    }
    until("the last holds all slots", || {
        site.held_by(&[2]) == 2 * SLOTS
    })
    .await;
    for call in calls(&site, 2, 20, "slow 20") {
        expect_that!(call.await.result_and_code(), eq("done 0"));
    }
    expect_true!(are_limits_kept(&site));
}

#[googletest::test]
#[async_std::test]
async fn slots_are_not_exceeded_when_an_entry_and_an_endpoint_die_at_once() {
    let site = start(&[3], &[3]).await;
    site.ready().await;
    let busy = calls_with_retry(&site, 1, 40, "slow 100");
    site.kill(0);
    site.mark_dead(0);
    site.change(|view| view.endpoints[0].address = "127.0.0.1:1".to_owned());
    for call in busy {
        expect_that!(call.await.result_and_code(), eq("done 0"));
    }
    expect_true!(are_limits_kept(&site));
}

#[googletest::test]
#[async_std::test]
async fn slots_lapse_while_an_entry_is_paused() {
    let site = start_with(&[3], &[1], test_settings(), "deadline_ms = 500\n").await;
    site.ready().await;
    site.nodes[0].frontend.gate().close();
    site.mark_dead(0);
    until("the others hold all slots", || {
        site.held_by(&[1, 2]) == SLOTS
    })
    .await;
    let busy = calls(&site, 1, 16, "slow 100");
    site.nodes[0].frontend.gate().open();
    for call in busy {
        expect_that!(call.await.result_and_code(), eq("done 0"));
    }
    expect_true!(are_limits_kept(&site));
}

#[googletest::test]
#[async_std::test]
async fn leaving_endpoint_gets_no_new_requests_and_finishes_its_own() {
    let site = start(&[2], &[2]).await;
    site.ready().await;
    let busy = calls(&site, 0, 12, "slow 1500");
    until("they are in flight", || site.in_flight() == 12).await;
    site.change(|view| view.endpoints[0].leaving = true);
    for call in busy {
        expect_that!(call.await.result_and_code(), eq("done 0"));
    }
    let before = site.endpoints[0].served();
    for call in calls(&site, 1, 20, "plain") {
        expect_that!(call.await.result_and_code(), eq("done 0"));
    }
    expect_that!(site.endpoints[0].served(), eq(before));
}

#[googletest::test]
#[async_std::test]
async fn refusing_endpoint_fails_no_calls() {
    let site = start(&[1], &[3]).await;
    site.ready().await;
    site.endpoints[0].refuse(true);
    for _ in 0..60 {
        let answer = site.call(0, &[], "plain").await;
        expect_that!(answer.result_and_code(), eq("done 0"));
    }
    expect_that!(site.endpoints[0].served(), eq(0));
}

#[googletest::test]
#[async_std::test]
async fn call_without_a_local_endpoint_runs_in_the_other_failure_domain() {
    let site = start(&[1, 1], &[0, 1]).await;
    until("slots are held", || site.held() == SLOTS).await;
    let answer = site
        .call(0, &[("x-marigold-request", "far")], "plain")
        .await;
    expect_that!(answer.body, eq("answer to far: plain"));
    expect_that!(site.runs("far"), eq(1));
}

#[googletest::test]
#[async_std::test]
async fn partitioned_failure_domain_serves_its_own_calls() {
    let site = start(&[1, 1], &[1, 1]).await;
    site.ready().await;
    site.partition(0, 1);
    for at in [0, 1] {
        for call in calls(&site, at, 20, "slow 20") {
            expect_that!(call.await.result_and_code(), eq("done 0"));
        }
    }
    site.change(|view| view.endpoints.clear());
    until("no entry holds slots", || site.held() == 0).await;
    let answer = site.call(0, &[IDEMPOTENT], "plain").await;
    expect_that!(
        answer.result_and_code(),
        eq(&format!("not-run {}", Code::NotRunNoEndpoint.number()))
    );
}
