//! Plans at an entry that does not know all leads, or whose lead does not know its workers yet.

use googletest::prelude::*;
use marigoldpick_core::operator::Problem;
use marigoldpick_core::plan::Plan;
use marigoldpick_core::prelude::*;
use marigoldpick_entry::Entry;
use marigoldpick_entry::settings::Peer;
use marigoldpick_standin::{Fault, Platform};

use crate::client::{plan, status};
use crate::site::{INTENT, PLATFORM, entry_settings};

/// A timeout that does not expire during a test.
const LONG_TIMEOUT: Millis = Millis::from_secs(3_600);
/// A timeout that expires during a test.
const SHORT_TIMEOUT: Millis = Millis::from_secs(2);
/// The maximum number of attempts to get a plan or a status.
const MAX_ATTEMPTS: u32 = 600;
/// The pause between two attempts.
const PAUSE: Millis = Millis(100);

/// Starts an entry with one peer in another failure domain, which does not run.
///
/// An entry that is unheard for `dead` counts as dead.
async fn start(dead: Millis) -> (Platform, Entry) {
    let settings = marigoldpick_standin::Settings::parse("platform.toml", PLATFORM)
        .expect("the settings are well formed");
    let platform = Platform::start(&settings).expect("the platform starts");
    let peer = Peer {
        entry: id::Entry::new("south-0").expect("a name"),
        domain: id::Domain::new("south").expect("a name"),
        address: "127.0.0.1:1".to_owned(),
    };
    let mut settings = entry_settings(0, &platform.address(), vec![peer]);
    settings.ownership.far_dead_ms = dead;
    let entry = Entry::start(settings).await.expect("the entry starts");
    wait_for_workers(&entry).await;
    (platform, entry)
}

/// Waits until the lead of the own shard has all workers, since earlier plans find too few.
async fn wait_for_workers(entry: &Entry) {
    for _ in 0..MAX_ATTEMPTS {
        let status = status(&entry.addresses().operators).await;
        let status = status.expect("status is answered");
        if status.shards.iter().any(|shard| shard.workers == 4) {
            return;
        }
        async_std::task::sleep(PAUSE.duration()).await;
    }
    panic!("the shard's workers are not known after {MAX_ATTEMPTS} attempts");
}

/// Asks for plans until one is made, or refused with a problem that `wanted` accepts.
async fn plan_until(
    entry: &Entry,
    text: &str,
    wanted: impl Fn(&Problem) -> bool,
) -> std::result::Result<Plan, Problem> {
    for _ in 0..MAX_ATTEMPTS {
        match plan(&entry.addresses().operators, text).await {
            Err(problem) if !wanted(&problem) => {}
            answer => return answer,
        }
        async_std::task::sleep(PAUSE.duration()).await;
    }
    panic!("no such answer after {MAX_ATTEMPTS} plans");
}

fn names_south(problem: &Problem) -> bool {
    problem.message.contains("shard south/0 has no lead")
}

#[googletest::test]
fn plan_before_all_failure_domains_are_heard_is_refused() {
    async_std::task::block_on(async {
        let (_platform, entry) = start(LONG_TIMEOUT).await;
        let refused = plan_until(&entry, INTENT, names_south).await;
        let refused = refused.expect_err("a failure domain is missing");
        expect_that!(refused.code, eq(Code::NoLead));
        expect_that!(refused.retry_after_ms, some(anything()));
    });
}

#[googletest::test]
fn plan_for_failure_domains_that_are_known_is_made() {
    async_std::task::block_on(async {
        let (_platform, entry) = start(LONG_TIMEOUT).await;
        let rack = r#"where = { spread = "rack" }"#;
        let here = r#"where = { domains = ["north"] }"#;
        let mut text = INTENT.replace(rack, here);
        text.push_str(here);
        let plan = plan_until(&entry, &text, names_south).await;
        expect_that!(plan.expect("no other one is needed").blocked, none());
    });
}

#[googletest::test]
fn plan_without_an_unavailable_failure_domain_is_made() {
    async_std::task::block_on(async {
        let (_platform, entry) = start(SHORT_TIMEOUT).await;
        let plan = plan_until(&entry, INTENT, |_| false).await;
        expect_that!(plan.expect("the other one is unavailable").blocked, none());
    });
}

#[googletest::test]
fn plan_at_a_lead_that_has_not_heard_its_workers_is_refused() {
    async_std::task::block_on(async {
        let settings = marigoldpick_standin::Settings::parse("platform.toml", PLATFORM)
            .expect("the settings are well formed");
        let platform = Platform::start(&settings).expect("the platform starts");
        // The VM list still contains the killed workers.
        for worker in ["north-a/w0", "north-a/w1", "north-b/w0", "north-b/w1"] {
            let worker = id::Worker::new(worker).expect("a name");
            let killed = platform.fault(&Fault::KillWorker { worker });
            killed.expect("the worker is there");
        }
        let settings = entry_settings(0, &platform.address(), Vec::new());
        let entry = Entry::start(settings).await.expect("the entry starts");
        let unheard = |problem: &Problem| problem.message.contains("its workers yet");
        let refused = plan_until(&entry, INTENT, unheard).await;
        expect_that!(
            refused.expect_err("no worker is known").code,
            eq(Code::NoLead)
        );
    });
}
