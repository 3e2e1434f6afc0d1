//! Tests the store: conditions, revisions, leases, watches, rate limits, faults, and the counts of
//! the configuration log in the truth.

use std::time::Duration;

use async_std::task::{block_on, sleep, spawn};
use googletest::prelude::*;
use marigoldpick_core::prelude::*;
use marigoldpick_core::store::{Answer, Call, Expect, Fault, Store as _};
use marigoldpick_standin::Fault as PlatformFault;

use crate::common::{Site, settings};

type Outcome = std::result::Result<Answer, Fault>;

fn put(key: &str, value: &str, expect: Expect) -> Call {
    Call::Put {
        key: key.to_owned(),
        value: value.to_owned(),
        expect,
        lease: None,
    }
}

fn get(key: &str) -> Call {
    Call::Get {
        key: key.to_owned(),
    }
}

fn item_value(answer: Outcome) -> Option<String> {
    match answer {
        Ok(Answer::Item(item)) => item.map(|item| item.value),
        other => panic!("not an item: {other:?}"),
    }
}

fn item_keys(answer: Outcome) -> Vec<String> {
    match answer {
        Ok(Answer::Items { items, .. }) => items.into_iter().map(|item| item.key).collect(),
        other => panic!("not items: {other:?}"),
    }
}

#[googletest::test]
fn put_checks_its_condition() {
    block_on(async {
        let site = Site::start(&settings()).await;
        let call = |call| site.store.call(call);
        expect_that!(
            call(put("a", "1", Expect::Absent)).await,
            ok(eq(&Answer::Written(1)))
        );
        let second = call(put("a", "2", Expect::Absent)).await;
        expect_that!(
            second,
            ok(matches_pattern!(Answer::Conflict(some(anything()))))
        );
        let wrong = call(put("a", "2", Expect::Revision(9))).await;
        expect_that!(
            wrong,
            ok(matches_pattern!(Answer::Conflict(some(anything()))))
        );
        let right = call(put("a", "3", Expect::Revision(1))).await;
        expect_that!(right, ok(eq(&Answer::Written(2))));
        expect_that!(item_value(call(get("a")).await), some(eq("3")));
    });
}

#[googletest::test]
fn put_absent_concurrently_succeeds_once() {
    block_on(async {
        let site = Site::start(&settings()).await;
        let tries = (0..20).map(|n| {
            let store = site.store.clone();
            spawn(async move { store.call(put("a", &n.to_string(), Expect::Absent)).await })
        });
        let answers = futures::future::join_all(tries).await;
        let written = answers
            .iter()
            .filter(|answer| matches!(answer, Ok(Answer::Written(_))));
        expect_that!(written.count(), eq(1));
    });
}

#[googletest::test]
fn list_pages_by_key() {
    block_on(async {
        let site = Site::start(&settings()).await;
        for key in ["b/2", "a/1", "b/1", "b/3", "c"] {
            site.store
                .call(put(key, "", Expect::Any))
                .await
                .expect("an answer");
        }
        let list = |after: &str| {
            site.store.call(Call::List {
                prefix: "b/".to_owned(),
                after: after.to_owned(),
                limit: 2,
            })
        };
        expect_that!(item_keys(list("").await), eq(&["b/1", "b/2"]));
        expect_that!(item_keys(list("b/2").await), eq(&["b/3"]));
    });
}

#[googletest::test]
fn lease_expired_deletes_its_keys() {
    block_on(async {
        let site = Site::start(&settings()).await;
        let granted = site.store.call(Call::Grant { span: Millis(300) }).await;
        let Ok(Answer::Lease(lease)) = granted else {
            panic!("no lease: {granted:?}");
        };
        let held = Call::Put {
            key: "a".to_owned(),
            value: String::new(),
            expect: Expect::Any,
            lease: Some(lease),
        };
        expect_that!(
            site.store.call(held.clone()).await,
            ok(eq(&Answer::Written(1)))
        );
        while item_value(site.store.call(get("a")).await).is_some() {}
        let renewed = site.store.call(Call::Renew { lease }).await;
        expect_that!(renewed, ok(eq(&Answer::Gone)));
        expect_that!(site.store.call(held).await, ok(eq(&Answer::Gone)));
    });
}

#[googletest::test]
fn watch_returns_what_changed_after_the_revision() {
    block_on(async {
        let site = Site::start(&settings()).await;
        site.store
            .call(put("a/1", "", Expect::Any))
            .await
            .expect("an answer");
        let watch = |revision, wait| Call::Watch {
            prefix: "a/".to_owned(),
            revision,
            wait,
        };
        let at_once = site.store.call(watch(0, Millis(60_000))).await;
        expect_that!(item_keys(at_once), eq(&["a/1"]));
        let store = site.store.clone();
        let waiting = spawn(async move { store.call(watch(1, Millis(60_000))).await });
        sleep(Duration::from_millis(20)).await;
        for key in ["b/1", "a/2"] {
            site.store
                .call(put(key, "", Expect::Any))
                .await
                .expect("an answer");
        }
        expect_that!(item_keys(waiting.await), eq(&["a/2"]));
        let idle = site.store.call(watch(3, Millis(20))).await;
        expect_that!(item_keys(idle).is_empty(), eq(true));
    });
}

#[googletest::test]
fn rate_limit_exceeded_is_overloaded() {
    block_on(async {
        let mut settings = settings();
        settings.store.writes_per_second = 2;
        let site = Site::start(&settings).await;
        let tries = (0..20).map(|_| site.store.call(put("a", "", Expect::Any)));
        let answers = futures::future::join_all(tries).await;
        let refused = answers.iter().filter(|a| **a == Err(Fault::Overloaded));
        expect_that!(refused.count(), ge(10));
        expect_that!(site.store.call(get("a")).await, ok(anything()));
        let truth = site.platform.truth();
        let puts = truth.store_calls.iter().find(|count| count.kind == "put");
        expect_that!(
            puts.map(|count| (count.calls, count.caller.as_str())),
            some(eq((20, "e1")))
        );
    });
}

#[googletest::test]
fn fault_lost_answer_is_unknown_with_effect() {
    block_on(async {
        let site = Site::start(&settings()).await;
        let fault = PlatformFault::StoreLostAnswer { percent: 100 };
        site.platform.fault(&fault).expect("a fault");
        let lost = site.store.call(put("a", "1", Expect::Absent)).await;
        expect_that!(lost, err(eq(&Fault::Unknown)));
        expect_that!(item_value(site.store.call(get("a")).await), some(eq("1")));
        site.platform.heal(&fault).expect("a fault");
        let next = site.store.call(put("b", "1", Expect::Absent)).await;
        expect_that!(next, ok(eq(&Answer::Written(2))));
    });
}

#[googletest::test]
fn fault_store_down_is_away_without_effect() {
    block_on(async {
        let site = Site::start(&settings()).await;
        site.platform
            .fault(&PlatformFault::StoreDown)
            .expect("a fault");
        let away = site.store.call(put("a", "1", Expect::Absent)).await;
        expect_that!(away, err(eq(&Fault::Away)));
        site.platform
            .heal(&PlatformFault::StoreDown)
            .expect("a fault");
        expect_that!(item_value(site.store.call(get("a")).await), none());
    });
}

#[googletest::test]
fn truth_counts_changed_configuration_and_gap() {
    block_on(async {
        let site = Site::start(&settings()).await;
        let write =
            |key: &'static str, value: &'static str| site.store.call(put(key, value, Expect::Any));
        for key in ["config/log/1", "config/log/00000002"] {
            write(key, "x").await.expect("an answer");
        }
        let truth = site.platform.truth();
        expect_that!((truth.configs_accepted, truth.configs_reverted), eq((2, 0)));
        write("config/log/1", "y").await.expect("an answer");
        write("config/log/7", "z").await.expect("an answer");
        let truth = site.platform.truth();
        expect_that!((truth.configs_accepted, truth.configs_reverted), eq((3, 2)));
    });
}
