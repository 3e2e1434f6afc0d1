//! Drains of unknown targets, drains that change nothing, and drains of running endpoints.

use googletest::prelude::*;
use marigoldpick_core::config::Target;
use marigoldpick_core::prelude::*;

use crate::client::{confirm, drain, plan};
use crate::site::{INTENT, Site, eventually};

fn worker(name: &str) -> Target {
    Target::Worker(id::Worker::new(name).expect("a name"))
}

fn endpoint(name: &str) -> Target {
    Target::Endpoint(id::Endpoint::new(name).expect("a name"))
}

#[googletest::test]
fn drain_unknown_is_refused_by_name() {
    async_std::task::block_on(async {
        let site = Site::start(2).await;
        site.wait_for_leads().await;
        let name = |text| Name::new(text).expect("a name");
        let unknown = [
            worker("north-a/w77"),
            endpoint("booking.99.1"),
            endpoint("nothing"),
            Target::Rack(id::Rack(name("north-z"))),
            Target::Entry(id::Entry(name("north-9"))),
            Target::Domain(id::Domain(name("west"))),
        ];
        for target in unknown {
            let refused = drain(&site.operators(0), target.clone(), true).await;
            let refused = refused.expect_err("nothing has that name");
            expect_that!(refused.code, eq(Code::UnknownName), "{target}");
            expect_that!(refused.message, contains_substring(target.to_string()));
        }
    });
}

#[googletest::test]
fn drain_that_changes_nothing_is_refused() {
    async_std::task::block_on(async {
        let site = Site::start(2).await;
        site.wait_for_leads().await;
        let operators = site.operators(0);
        let target = worker("north-a/w0");
        for on in [true, false] {
            let accepted = drain(&operators, target.clone(), on).await;
            expect_that!(accepted.is_ok(), eq(true));
            let refused = drain(&operators, target.clone(), on).await;
            let refused = refused.expect_err("it is so already");
            expect_that!(refused.code, eq(Code::NoChange));
            expect_that!(refused.message, contains_substring("north-a/w0"));
        }
    });
}

#[googletest::test]
fn drain_endpoint_that_runs_is_accepted_at_each_entry() {
    async_std::task::block_on(async {
        let site = Site::start(2).await;
        site.wait_for_leads().await;
        let plan = plan(&site.operators(0), INTENT).await.expect("a plan");
        let accepted = confirm(&site.operators(0), &plan.id).await;
        expect_that!(accepted.is_ok(), eq(true));
        eventually("both entries know the endpoints", || {
            let mut entries = site.entries.iter();
            entries.all(|entry| entry.view().endpoints.len() == 4)
        })
        .await;
        for (at, entry) in site.entries.iter().enumerate() {
            let endpoint = Target::Endpoint(entry.view().endpoints[at].id.clone());
            let accepted = drain(&site.operators(at), endpoint, true).await;
            expect_that!(accepted.is_ok(), eq(true));
        }
    });
}
