//! The decisions of a standby, replayed without a network.

use googletest::prelude::*;
use marigoldpick_core::prelude::*;
use marigoldpick_node::standby::{Reason, Response, Role, Watch, is_current};

fn watch(holder: &str, is_own: bool) -> Watch {
    let mut watch = Watch::default();
    watch.set_standby(true);
    watch.see_claim(holder, is_own, Millis::ZERO);
    watch
}

/// After a restart of all entries the list of the others is not known, and each would take itself for the strongest.
#[googletest::test]
fn is_standby_only_of_the_strongest_that_know_enough() {
    let role = Role {
        strength: 500,
        largest: Some(500),
        ahead: 1,
        knows_members: true,
        has_config: true,
        is_draining: false,
    };
    expect_true!(role.is_standby());
    let others = [
        Role {
            strength: 400,
            ..role
        },
        Role { ahead: 2, ..role },
        Role {
            knows_members: false,
            ..role
        },
        Role {
            has_config: false,
            ..role
        },
        Role {
            is_draining: true,
            ..role
        },
    ];
    expect_false!(others.iter().any(Role::is_standby));
}

/// Load pattern: the lead is lost, and later answers again; a store with many standbys must not be read all the time.
#[googletest::test]
fn begin_read_while_the_lead_is_suspect_at_most_once_in_the_interval() {
    let mut watch = watch("a/1", false);
    expect_that!(watch.begin_read(Millis(0)), none());
    watch.record("a/1", Response::Missing, Millis(700));
    expect_that!(watch.begin_read(Millis(700)), some(eq(Reason::PingFailed)));
    expect_that!(watch.begin_read(Millis(5_600)), none());
    expect_that!(
        watch.begin_read(Millis(5_700)),
        some(eq(Reason::PingFailed))
    );
    watch.record("a/1", Response::Leads, Millis(5_800));
    expect_that!(watch.suspicion(), none());
    watch.record("a/1", Response::Idle, Millis(9_000));
    expect_that!(watch.suspicion(), some(eq(Reason::NotLeading)));
    watch.set_standby(false);
    expect_that!(watch.begin_read(Millis(20_000)), none());
    expect_true!(is_current(Millis(700), Millis(10_600)));
    expect_false!(is_current(Millis(700), Millis(10_700)));
}

/// The key changes hands: a ping of the earlier lead says nothing about the new one, and a lead that still loads
/// answers that it does not lead. All standbys would otherwise read beside it.
#[googletest::test]
fn suspicion_ends_with_the_claim_and_spares_a_lead_that_loads() {
    let mut watch = watch("a/1", true);
    expect_that!(watch.suspicion(), some(eq(Reason::OwnKey)));
    watch.see_claim("b/2", false, Millis(1_000));
    expect_that!(watch.suspicion(), none());
    watch.record("a/1", Response::Missing, Millis(1_100));
    watch.record("b/2", Response::Idle, Millis(1_300));
    expect_that!(watch.suspicion(), none());
    watch.record("b/2", Response::Idle, Millis(4_000));
    expect_that!(watch.suspicion(), some(eq(Reason::NotLeading)));
}

/// A lead that has lost its key in an outage of the store gets the time to claim it again, unless it is surely away.
#[googletest::test]
fn is_missing_after_a_recent_ping_without_a_response() {
    let mut watch = watch("a/1", false);
    watch.record("a/1", Response::Refused, Millis(300));
    expect_false!(watch.is_missing(Millis(300)));
    watch.record("a/1", Response::Missing, Millis(700));
    watch.see_vacancy();
    expect_true!(watch.is_missing(Millis(1_600)));
    expect_false!(watch.is_missing(Millis(1_700)));
}
