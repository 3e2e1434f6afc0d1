//! End-to-end tests over loopback: intent, plan, confirm, tasks on workers, requests to endpoints.

mod client;
mod drains;
mod job_names;
mod plans;
mod regions;
mod site;

use googletest::prelude::*;
use marigoldpick_core::prelude::*;
use marigoldpick_standin::Fault;

use client::{call, call_unknown, confirm, plan, status};
use site::{INTENT, QUEUE, Site, eventually};

#[googletest::test]
fn path_from_intent_to_completion_and_answer() {
    async_std::task::block_on(async {
        let site = Site::start(2).await;
        site.wait_for_leads().await;
        let operators = site.operators(0);

        let plan = plan(&operators, INTENT)
            .await
            .expect("the intent is well formed");
        expect_that!(plan.blocked, none());
        let accepted = confirm(&operators, &plan.id)
            .await
            .expect("the plan is fresh");
        expect_that!(accepted.sequence, eq(1));
        let again = confirm(&operators, &plan.id)
            .await
            .expect("a repeated confirm is answered");
        expect_that!(again, eq(accepted));

        eventually("the batch ends", || {
            site.platform.truth().tasks_completed == 20
        })
        .await;
        eventually("both entries know the endpoints", || {
            site.entries
                .iter()
                .all(|entry| entry.view().endpoints.len() == 4)
        })
        .await;
        for entry in &site.entries {
            let (code, body) = call(&entry.addresses().callers, "booking", "one").await;
            expect_that!(code, eq(Code::Done));
            expect_that!(body.is_empty(), eq(false));
        }
        let truth = site.platform.truth();
        expect_that!(truth.tasks_in_two_places, eq(0));
        expect_that!(truth.vm_overloads, eq(0));
        expect_that!(truth.configs_reverted, eq(0));
        expect_that!(truth.requests_run, eq(2));
    });
}

#[googletest::test]
fn confirm_at_another_entry_finds_the_plan() {
    async_std::task::block_on(async {
        let site = Site::start(2).await;
        site.wait_for_leads().await;
        let plan = plan(&site.operators(0), INTENT)
            .await
            .expect("the intent is well formed");
        let accepted = confirm(&site.operators(1), &plan.id).await;
        expect_that!(accepted.expect("the plan is fresh").sequence, eq(1));
    });
}

#[googletest::test]
fn confirm_unknown_plan_is_refused() {
    async_std::task::block_on(async {
        let site = Site::start(1).await;
        site.wait_for_leads().await;
        let unknown = id::Plan::new("000000000000").expect("a name");
        let refused = confirm(&site.operators(0), &unknown)
            .await
            .expect_err("no such plan");
        expect_that!(refused.code, eq(Code::UnknownPlan));
    });
}

#[googletest::test]
fn confirm_race_gives_stale_and_a_fresh_plan() {
    async_std::task::block_on(async {
        let site = Site::start(2).await;
        site.wait_for_leads().await;
        let first = plan(&site.operators(0), INTENT)
            .await
            .expect("the intent is well formed");
        let other = INTENT
            .replace("weight = 1", "weight = 2")
            .replace("night", "day");
        let second = plan(&site.operators(1), &other)
            .await
            .expect("the intent is well formed");
        confirm(&site.operators(0), &first.id)
            .await
            .expect("the first wins");
        let stale = confirm(&site.operators(1), &second.id)
            .await
            .expect_err("the second is stale");
        expect_that!(stale.code, eq(Code::Stale));
        expect_that!(stale.plan.is_some(), eq(true));
    });
}

#[googletest::test]
fn kill_lead_another_takes_over() {
    async_std::task::block_on(async {
        let mut site = Site::start(2).await;
        site.wait_for_leads().await;
        let before = plan(&site.operators(0), INTENT)
            .await
            .expect("the intent is well formed");
        confirm(&site.operators(0), &before.id)
            .await
            .expect("the plan is fresh");
        let lead = site.lead().await;
        let killed = site.entries.remove(lead);
        killed.kill();
        drop(killed);
        eventually("the batch ends under the next lead", || {
            site.platform.truth().tasks_completed == 20
        })
        .await;
        eventually("the services run", || {
            site.platform.truth().tasks_running == 4
        })
        .await;
        let truth = site.platform.truth();
        expect_that!(truth.tasks_in_two_places, eq(0));
        expect_that!(truth.tasks_done_twice, eq(0));
        let status = status(&site.operators(0))
            .await
            .expect("status is answered");
        expect_that!(status.sequence >= 1, eq(true));
    });
}

/// Two tasks that fill both workers of a rack, and that end and are restarted repeatedly.
const RESTARTS: &str = r#"
[[team]]
name = "sales"
quota = { millicores = 64000, memory_mib = 131072 }

[[job]]
name = "watch"
class = "service"
team = "sales"
count = 2
needs = { millicores = 16000, memory_mib = 16384 }
where = { racks = ["north-a"] }
command = "run_ms=200"
"#;

#[googletest::test]
fn kill_lead_next_one_skips_used_attempts() {
    async_std::task::block_on(async {
        let mut site = Site::start(2).await;
        site.wait_for_leads().await;
        site.submit(RESTARTS).await;
        eventually("some restarts", || site.platform.truth().starts >= 8).await;
        let lead = site.lead().await;
        let killed = site.entries.remove(lead);
        killed.kill();
        drop(killed);
        let before = site.platform.truth().starts;
        // Workers refuse attempt numbers that they have seen; the next lead must use higher ones.
        eventually("restarts under the next lead", || {
            site.platform.truth().starts >= before + 10
        })
        .await;
        expect_that!(site.platform.truth().tasks_in_two_places, eq(0));
    });
}

#[googletest::test]
fn kill_lead_without_the_store_ends_the_job_once_it_is_back() {
    async_std::task::block_on(async {
        let mut site = Site::start(2).await;
        site.wait_for_leads().await;
        site.submit(QUEUE).await;
        eventually("some tasks end", || {
            site.platform.truth().tasks_completed >= 20
        })
        .await;
        let lead = site.lead().await;
        site.platform
            .fault(&Fault::StoreDown)
            .expect("the store is there");
        let killed = site.entries.remove(lead);
        killed.kill();
        drop(killed);
        site.wait_for_first_to_lead().await;
        site.platform
            .heal(&Fault::StoreDown)
            .expect("the store is there");
        eventually("all tasks end", || {
            site.platform.truth().tasks_completed == 40
        })
        .await;
        site.wait_for_job_end("night", 40).await;
        expect_that!(site.platform.truth().tasks_done_twice, eq(0));
        expect_that!(site.platform.truth().tasks_in_two_places, eq(0));
    });
}

#[googletest::test]
fn call_unknown_path_or_method_returns_a_result_code() {
    async_std::task::block_on(async {
        let site = Site::start(1).await;
        let address = site.operators(0);
        for (method, path) in [
            (http_types::Method::Get, "/v1/nothing"),
            (http_types::Method::Get, "/v1/plan"),
            (http_types::Method::Post, "/"),
        ] {
            let refused = call_unknown(&address, method, path).await;
            expect_that!(refused.code, eq(Code::BadRequest), "{path}");
        }
    });
}
