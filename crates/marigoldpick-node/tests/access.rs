//! Tests of the decision on callers' keys, with the clock given.

use googletest::prelude::*;
use marigoldpick_core::prelude::*;
use marigoldpick_core::team::{Limit, Share};
use marigoldpick_node::Config;
use marigoldpick_node::access::{Bounds, Digest, Directory, Policy, Team, Verdict};
use marigoldpick_node::config::Route;

fn name(text: &str) -> Name {
    Name::new(text).expect("a name")
}

fn team(text: &str, keys: &[&str]) -> Team {
    Team {
        share: Share {
            team: id::Team::new(text).expect("a name"),
            weight: 1.0,
            limit: Limit::UNLIMITED,
        },
        keys: keys.iter().map(|key| Digest::of(key)).collect(),
    }
}

fn route(queue: &str, is_open: bool) -> Route {
    Route {
        queue: name(queue),
        host: "h".to_owned(),
        prefix: format!("/{queue}/"),
        is_open,
    }
}

fn config() -> Config {
    Config {
        version: 1,
        revision: 1,
        routes: vec![route("closed", false), route("open", true)],
        teams: Directory::new(vec![team("a", &["key-a", "key-a2"]), team("b", &["key-b"])]),
        ..Config::default()
    }
}

fn policy() -> Policy {
    Policy {
        requires_keys: true,
        bounds: Some(Bounds::new(Millis(5_000), Millis(3_000))),
    }
}

/// Returns the verdict as text: the team admitted, or the reason.
fn verdict(policy: Policy, age: u64, path: &str, key: Option<&str>) -> String {
    match policy.admit(&config(), Millis(age), "h", path, key) {
        Verdict::Admitted { access, .. } => {
            let team = access
                .team
                .map_or("none".to_owned(), |team| team.to_string());
            let open = if access.open_queue.is_some() {
                " open"
            } else {
                ""
            };
            format!("{team}{open}")
        }
        Verdict::NoRoute => "no route".to_owned(),
        Verdict::Unauthorized => "unauthorized".to_owned(),
        Verdict::Unsure => "unsure".to_owned(),
    }
}

#[googletest::test]
fn admit_fresh_configuration_decides() {
    let decide = |path, key| verdict(policy(), 0, path, key);
    expect_that!(decide("/closed/1", Some("key-a")), eq("a"));
    expect_that!(decide("/closed/1", Some("key-a2")), eq("a"));
    expect_that!(decide("/closed/1", Some("key-b")), eq("b"));
    expect_that!(decide("/closed/1", Some("key-c")), eq("unauthorized"));
    expect_that!(decide("/closed/1", None), eq("unauthorized"));
    expect_that!(decide("/open/1", None), eq("none open"));
    expect_that!(decide("/open/1", Some("key-a")), eq("a open"));
    expect_that!(decide("/open/1", Some("key-c")), eq("none open"));
    expect_that!(decide("/missing/1", Some("key-a")), eq("no route"));
}

/// Load pattern: an entry is cut off, and keys and routes change meanwhile.
#[googletest::test]
fn admit_aged_configuration_neither_serves_nor_rejects() {
    // Bounds of 5,000 and 3,000 ms, less 2% for the clock and 50 ms.
    let at = |age, path, key| verdict(policy(), age, path, key);
    expect_that!(at(4_849, "/closed/1", Some("key-a")), eq("a"));
    expect_that!(at(4_850, "/closed/1", Some("key-a")), eq("unsure"));
    expect_that!(at(2_889, "/closed/1", Some("key-c")), eq("unauthorized"));
    expect_that!(at(2_890, "/closed/1", Some("key-c")), eq("unsure"));
    expect_that!(at(2_890, "/closed/1", None), eq("unsure"));
    expect_that!(at(2_889, "/missing/1", None), eq("no route"));
    expect_that!(at(2_890, "/missing/1", None), eq("unsure"));
    expect_that!(at(u64::MAX, "/open/1", Some("key-a")), eq("none open"));
}

#[googletest::test]
fn admit_without_requirement_serves_all() {
    let open = Policy::default();
    expect_that!(verdict(open, u64::MAX, "/closed/1", None), eq("none open"));
    expect_that!(
        verdict(open, u64::MAX, "/closed/1", Some("key-c")),
        eq("none open")
    );
    expect_that!(verdict(open, u64::MAX, "/missing/1", None), eq("no route"));
}

#[googletest::test]
fn directory_key_of_two_teams_admits_neither() {
    let directory = Directory::new(vec![team("a", &["shared", "own"]), team("b", &["shared"])]);
    expect_that!(directory.find("shared"), none());
    expect_that!(directory.find("own"), some(anything()));
    expect_that!(directory.key_count(), eq(1));
}

#[googletest::test]
fn directory_key_repeated_in_a_team_is_kept() {
    let directory = Directory::new(vec![team("a", &["key", "key"])]);
    expect_that!(directory.find("key"), some(anything()));
}

#[googletest::test]
fn directory_repeated_team_keeps_the_first() {
    let directory = Directory::new(vec![team("a", &["first"]), team("a", &["second"])]);
    expect_that!(directory.find("first"), some(anything()));
    expect_that!(directory.find("second"), none());
    expect_that!(directory.shares().len(), eq(1));
}

#[googletest::test]
fn debug_shows_no_key_and_no_digest() {
    let shown = format!("{:?}", config());
    expect_that!(shown, not(contains_substring("key-a")));
    expect_that!(shown, contains_substring("Digest(..)"));
}
