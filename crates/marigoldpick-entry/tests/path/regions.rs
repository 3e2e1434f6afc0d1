//! Two regions with a link latency of tens of milliseconds, during and after a partition.

use googletest::prelude::*;
use marigoldpick_core::prelude::*;
use marigoldpick_entry::settings::Peer;
use marigoldpick_entry::{Entry, Settings};
use marigoldpick_standin::{Platform, Relay};

use crate::client::{call, confirm, plan, status};
use crate::site::{INTENT, entry_settings, eventually};

/// The one-way latency between the regions.
const LATENCY: Millis = Millis(40);
/// The number of calls to the far region during the partition.
const CALLS: usize = 20;

const PLATFORM: &str = r#"
seed = 7
listen = "127.0.0.1:0"

[[domain]]
name = "near"
[[domain.rack]]
name = "near-a"
workers = 4
kind = "general"
size = { millicores = 16000, memory_mib = 32768 }

[[domain]]
name = "far"
[[domain.rack]]
name = "far-a"
workers = 4
kind = "general"
size = { millicores = 16000, memory_mib = 32768 }
"#;

/// A configuration change during the partition.
const HEAVIER: &str = r#"
[[team]]
name = "sales"
weight = 2
quota = { millicores = 64000, memory_mib = 131072 }
"#;

/// `Regions` is one entry in each of two regions; the store is in the first.
struct Regions {
    platform: Platform,
    near: Entry,
    far: Entry,
    links: Vec<Relay>,
}

impl Regions {
    async fn start() -> Self {
        let settings = marigoldpick_standin::Settings::parse("platform.toml", PLATFORM)
            .expect("the settings are well formed");
        let platform = Platform::start(&settings).expect("the platform starts");
        let base = platform.address();
        let (to_near, near_pending) = Relay::reserve(LATENCY).await.expect("a free port");
        let (to_far, far_pending) = Relay::reserve(LATENCY).await.expect("a free port");
        let store = base.trim_start_matches("http://").parse();
        let to_store = Relay::start(store.expect("an address"), LATENCY)
            .await
            .expect("a free port");

        let near = Settings {
            advertise: Some(to_near.address().to_string()),
            ..settings_in("near", &base, Vec::new())
        };
        let near = Entry::start(near).await.expect("the entry starts");
        near_pending.forward_to(near.addresses().inner.parse().expect("an address"));

        let peer = Peer {
            entry: near.addresses().entry.clone(),
            domain: id::Domain::new("near").expect("a name"),
            address: to_near.address().to_string(),
        };
        let base = format!("http://{}", to_store.address());
        let far = Settings {
            advertise: Some(to_far.address().to_string()),
            ..settings_in("far", &base, vec![peer])
        };
        let far = Entry::start(far).await.expect("the entry starts");
        far_pending.forward_to(far.addresses().inner.parse().expect("an address"));
        Self {
            platform,
            near,
            far,
            links: vec![to_near, to_far, to_store],
        }
    }

    fn set_partitioned(&self, on: bool) {
        self.links.iter().for_each(|link| link.partition(on));
    }

    async fn wait_for_leads(&self) {
        eventually("both know both leads", || {
            let leads = |entry: &Entry| {
                let status = async_std::task::block_on(status(&entry.addresses().operators));
                let shards = status.expect("status is answered").shards;
                shards.iter().filter(|shard| shard.workers == 4).count()
            };
            leads(&self.near) == 2 && leads(&self.far) == 2
        })
        .await;
    }

    async fn submit(&self, text: &str) -> u64 {
        let operators = &self.near.addresses().operators;
        let plan = plan(operators, text).await.expect("a plan");
        let accepted = confirm(operators, &plan.id).await;
        accepted.expect("the plan is fresh").sequence
    }
}

fn settings_in(domain: &str, platform: &str, peers: Vec<Peer>) -> Settings {
    Settings {
        domain: id::Domain::new(domain).expect("a name"),
        entry: id::Entry::new(&format!("{domain}-0")).expect("a name"),
        ..entry_settings(0, platform, peers)
    }
}

async fn sequence(entry: &Entry) -> u64 {
    let status = status(&entry.addresses().operators).await;
    status.expect("status is answered").sequence
}

#[googletest::test]
fn regions_part_and_heal_serve_and_catch_up() {
    async_std::task::block_on(async {
        let regions = Regions::start().await;
        regions.wait_for_leads().await;
        let intent = INTENT.replace("spread = \"rack\"", "spread = \"domain\"");
        let first = regions.submit(&intent).await;
        eventually("each region has endpoints", || {
            let own = |entry: &Entry| entry.view().endpoints.len() >= 2;
            own(&regions.near) && own(&regions.far)
        })
        .await;
        eventually("the batch ends", || {
            regions.platform.truth().tasks_completed == 20
        })
        .await;

        regions.set_partitioned(true);
        let before = sequence(&regions.far).await;
        expect_that!(before, ge(first));
        let second = regions.submit(HEAVIER).await;
        for number in 0..CALLS {
            let request = format!("parted-{number}");
            let callers = &regions.far.addresses().callers;
            let (code, _) = call(callers, "booking", &request).await;
            expect_that!(code, eq(Code::Done));
        }
        expect_that!(sequence(&regions.far).await, lt(second));

        regions.set_partitioned(false);
        eventually("the change is in force in the far region", || {
            async_std::task::block_on(sequence(&regions.far)) >= second
        })
        .await;
        let truth = regions.platform.truth();
        expect_that!(truth.tasks_in_two_places, eq(0));
        expect_that!(truth.configs_reverted, eq(0));
        expect_that!(truth.requests_run, eq(CALLS as u64));
    });
}
