//! Plans at an entry that does not know all leads yet.

use googletest::prelude::*;
use marigoldpick_core::operator::Problem;
use marigoldpick_core::plan::Plan;
use marigoldpick_core::prelude::*;
use marigoldpick_entry::Entry;
use marigoldpick_entry::settings::Peer;
use marigoldpick_standin::{Fault, Platform};

use crate::client::{plan, status};
use crate::site::{INTENT, PLATFORM, entry_settings};

/// Longer than any test.
const LONG: Millis = Millis::from_secs(3_600);
/// Shorter than a test.
const SHORT: Millis = Millis::from_secs(2);
/// Plans that are asked for at most, and the pause between two.
const TRIES: u32 = 600;
const PAUSE: Millis = Millis(100);

/// Starts an entry that has one peer, in another failure domain, which nobody has ever heard; an
/// entry unheard for `dead` counts as away.
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

/// Waits until the own shard's lead has all workers; until then a plan finds too few of them.
async fn wait_for_workers(entry: &Entry) {
    for _ in 0..TRIES {
        let status = status(&entry.addresses().operators).await;
        let status = status.expect("status is answered");
        if status.shards.iter().any(|shard| shard.workers == 4) {
            return;
        }
        async_std::task::sleep(PAUSE.duration()).await;
    }
    panic!("the shard's workers are not known after {TRIES} looks");
}

/// Asks for plans until one is made, or refused as `wanted` says.
async fn plan_until(
    entry: &Entry,
    text: &str,
    wanted: impl Fn(&Problem) -> bool,
) -> std::result::Result<Plan, Problem> {
    for _ in 0..TRIES {
        match plan(&entry.addresses().operators, text).await {
            Err(problem) if !wanted(&problem) => {}
            answer => return answer,
        }
        async_std::task::sleep(PAUSE.duration()).await;
    }
    panic!("no such answer after {TRIES} plans");
}

fn names_south(problem: &Problem) -> bool {
    problem.message.contains("shard south/0 has no lead")
}

#[googletest::test]
fn plan_before_all_failure_domains_are_heard_is_refused() {
    async_std::task::block_on(async {
        let (_platform, entry) = start(LONG).await;
        let refused = plan_until(&entry, INTENT, names_south).await;
        let refused = refused.expect_err("a failure domain is missing");
        expect_that!(refused.code, eq(Code::NoLead));
        expect_that!(refused.retry_after_ms, some(anything()));
    });
}

#[googletest::test]
fn plan_for_failure_domains_that_are_known_is_made() {
    async_std::task::block_on(async {
        let (_platform, entry) = start(LONG).await;
        let rack = r#"where = { spread = "rack" }"#;
        let here = r#"where = { domains = ["north"] }"#;
        let mut text = INTENT.replace(rack, here);
        text.push_str(here);
        let plan = plan_until(&entry, &text, names_south).await;
        expect_that!(plan.expect("no other one is needed").blocked, none());
    });
}

#[googletest::test]
fn plan_without_a_failure_domain_that_is_away_is_made() {
    async_std::task::block_on(async {
        let (_platform, entry) = start(SHORT).await;
        let plan = plan_until(&entry, INTENT, |_| false).await;
        expect_that!(plan.expect("the other one is away").blocked, none());
    });
}

#[googletest::test]
fn plan_at_a_lead_that_has_not_heard_its_workers_is_refused() {
    async_std::task::block_on(async {
        let settings = marigoldpick_standin::Settings::parse("platform.toml", PLATFORM)
            .expect("the settings are well formed");
        let platform = Platform::start(&settings).expect("the platform starts");
        // The VM list still has them.
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
