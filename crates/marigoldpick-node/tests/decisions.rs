//! Pure decisions of a node: campaign delay, hand-over, leases that remain, choice of relays, retry delay,
//! reachability.

use googletest::prelude::*;
use marigoldpick_core::control::Known;
use marigoldpick_core::prelude::*;
use marigoldpick_core::store::Fault;
use marigoldpick_core::work::lease::{Bound, Handover};
use marigoldpick_node::attestation::is_majority;
use marigoldpick_node::config::confirmation_interval;
use marigoldpick_node::election::{campaign_delay, is_worth_handing_over};
use marigoldpick_node::handover::{claimant, remaining_after};
use marigoldpick_node::inbox::View;
use marigoldpick_node::member::Member;
use marigoldpick_node::paths::{Path, is_kept};
use marigoldpick_node::peer_reports::{Outage, PeerReports, UNRECORDED_ALLOWANCE};
use marigoldpick_node::phases::{Phase, Phases};
use marigoldpick_node::reachability::Reachability;
use marigoldpick_node::{relay, retry};

/// Entries of very unequal strength: a strong one should lead, but any entry may lead if need be.
#[googletest::test]
fn campaign_delay_lets_stronger_entries_go_first() {
    expect_that!(campaign_delay(500, Some(500)), eq(Millis::ZERO));
    expect_that!(campaign_delay(500, Some(250)), eq(Millis::ZERO));
    expect_that!(campaign_delay(250, None), eq(Millis::ZERO));
    let (half, small) = (
        campaign_delay(250, Some(500)),
        campaign_delay(90, Some(500)),
    );
    // An entry of half the strength lets the strongest go first, whose campaign takes about 20 ms.
    expect_that!(half, ge(Millis(200)));
    expect_that!(campaign_delay(200, Some(500)), gt(half));
    expect_that!(small, gt(campaign_delay(200, Some(500))));
    expect_that!(small, lt(Millis(1_000)));
    expect_that!(campaign_delay(90, Some(90)), eq(Millis::ZERO));
}

/// After a power loss a weak entry came back first and leads; stronger entries come back later, and one of
/// them leaves and returns.
#[googletest::test]
fn is_worth_handing_over_only_to_a_much_stronger_entry_and_not_at_once() {
    let long = Millis(10_000);
    expect_true!(is_worth_handing_over(200, 500, long));
    expect_true!(is_worth_handing_over(90, 200, long));
    expect_false!(is_worth_handing_over(200, 500, Millis(1_000)));
    for equal in [90, 250, 500] {
        expect_false!(is_worth_handing_over(equal, equal, long));
    }
    expect_false!(is_worth_handing_over(400, 500, long));
    // The new lead never hands back to an entry that handed over to it.
    for (own, other) in [(200, 500), (90, 200), (90, 500)] {
        expect_false!(is_worth_handing_over(other, own, long));
    }
}

fn member(entry: &str, domain: &str, strength: u32) -> Member {
    Member {
        known: Known {
            entry: id::Entry::new(entry).expect("a name"),
            domain: id::Domain::new(domain).expect("a name"),
            address: "10.0.0.1:1".to_owned(),
        },
        strength,
        draining: false,
    }
}

/// 540 workers in three domains, one of which has only weak entries.
#[googletest::test]
fn choose_takes_the_strongest_entry_of_each_domain() {
    let others = [
        member("a1", "a", 90),
        member("a2", "a", 500),
        member("a3", "a", 200),
        member("b1", "b", 200),
        member("c1", "c", 90),
    ];
    let entries = |workers: usize| -> Vec<String> {
        let chosen = relay::choose(&others, workers);
        chosen.iter().map(|known| known.entry.to_string()).collect()
    };
    expect_that!(entries(540), elements_are![eq("a2"), eq("b1")]);
    // With few workers the lead sends its own orders.
    expect_that!(entries(48), is_empty());
}

/// A retry through the relay that carried the order before, or a weak entry, would not arrive any sooner.
#[googletest::test]
fn choose_pairs_adds_the_next_strongest_entry_if_strong_enough() {
    let others = [
        member("a1", "a", 300),
        member("a2", "a", 500),
        member("a3", "a", 400),
        member("b1", "b", 90),
        member("b2", "b", 200),
    ];
    let name = |known: &Known| known.entry.to_string();
    let pairs = relay::choose_pairs(&others, 540).into_iter();
    let names = pairs.map(|pair| (name(&pair.first), pair.second.as_ref().map(name)));
    let expected = [("a2", Some("a3")), ("b2", None)];
    let expected = expected.map(|(first, second)| (first.to_owned(), second.map(str::to_owned)));
    expect_that!(names.collect::<Vec<_>>(), container_eq(expected));
    expect_that!(relay::choose_pairs(&others, 48), is_empty());
}

/// A second relay must cost nothing on calm days, and one that does not answer must not be used again too soon.
#[googletest::test]
fn is_kept_closes_the_session_with_an_unused_second_relay_only() {
    let (short, long) = (Millis(4_000), Millis(6_000));
    expect_true!(is_kept(Some(Path::First), long, false));
    expect_true!(is_kept(Some(Path::Second), short, false));
    expect_false!(is_kept(Some(Path::Second), long, false));
    expect_false!(is_kept(None, short, false));
    expect_true!(is_kept(Some(Path::Second), long, true));
    expect_true!(is_kept(None, long, true));
}

/// Callers arrive at 0 to 4.9 s of an outage of 5.3 s and make five attempts each: the delays that they
/// are told must carry each of them past the outage's end.
#[googletest::test]
fn retry_delay_carries_callers_past_an_outage_of_five_seconds() {
    let end = 5_300;
    for arrival in (0..5_000).step_by(100) {
        let mut now = arrival;
        let mut tries = 1;
        while now < end && tries < 5 {
            now += retry::delay(Some(Millis(now))).0;
            tries += 1;
        }
        expect_that!(now, ge(end), "arrival at {arrival} ms");
        // The last attempt is not much later than necessary.
        expect_that!(now, le(end + 2_000), "arrival at {arrival} ms");
    }
    expect_that!(retry::delay(None), eq(Millis(1_000)));
}

/// A store that was silent answers again at 1,000 ms; calls sent before that still time out.
#[googletest::test]
fn reachability_ignores_timeout_of_an_earlier_call() {
    let mut reachability = Reachability::default();
    expect_true!(reachability.record(Millis(100), Some(Fault::Unknown), Millis(800)));
    expect_false!(reachability.is_answering());
    expect_true!(reachability.record(Millis(1_000), None, Millis(1_005)));
    expect_false!(reachability.record(Millis(900), Some(Fault::Unknown), Millis(1_600)));
    expect_true!(reachability.is_answering());
    expect_that!(reachability.state_age(Millis(1_605)), eq(Millis(600)));
    // The failure of a later call counts.
    expect_true!(reachability.record(Millis(1_700), Some(Fault::Unknown), Millis(2_400)));
    expect_false!(reachability.is_answering());
}

#[googletest::test]
fn reachability_counts_consecutive_refusals_as_outage() {
    let mut reachability = Reachability::default();
    let refused = Some(Fault::Overloaded);
    expect_false!(reachability.record(Millis(1), refused, Millis(1)));
    expect_false!(reachability.record(Millis(2), refused, Millis(2)));
    expect_false!(reachability.record(Millis(3), None, Millis(3)));
    expect_false!(reachability.record(Millis(4), refused, Millis(4)));
    expect_false!(reachability.record(Millis(5), refused, Millis(5)));
    expect_true!(reachability.record(Millis(6), refused, Millis(6)));
    expect_false!(reachability.is_answering());
}

/// A connection dies right after a confirmation on it, and the next call on it fails only after 700 ms and is
/// retried 200 ms later.
#[googletest::test]
fn confirmation_interval_leaves_time_for_a_lost_call() {
    let bound = Millis(2_000);
    let (timeout, retry, answer) = (Millis(700), Millis(200), Millis(100));
    let longest = confirmation_interval(bound) + timeout + retry + answer;
    expect_that!(longest, le(bound));
}

#[googletest::test]
fn remaining_after_shortens_each_span_to_zero_at_least() {
    let handover = |longest: u64, remaining: u64, lapsed: u64| Handover {
        longest: Millis(longest),
        bounds: vec![Bound {
            worker: id::Worker::new("w1").expect("a name"),
            remaining: Millis(remaining),
            lapsed: Millis(lapsed),
            born: 5,
            has_restarted: true,
        }],
        settled: true,
    };
    let made = handover(900, 400, 0);
    expect_that!(remaining_after(&made, Millis::ZERO), eq(&made));
    let later = remaining_after(&made, Millis(500));
    expect_that!(later, eq(&handover(400, 0, 100)));
    let later = remaining_after(&later, Millis(500));
    expect_that!(later, eq(&handover(0, 0, 600)));
}

/// An earlier lead had the denials of more than half of the entries that it knew.
#[googletest::test]
fn is_majority_needs_more_than_half_of_all_entries_known_to_either_lead() {
    expect_true!(is_majority(5, 9, 9));
    expect_false!(is_majority(4, 8, 8));
    // Entries whose keys lapsed in the outage are unknown to the successor.
    expect_false!(is_majority(3, 3, 9));
    expect_false!(is_majority(5, 16, 9));
    expect_false!(is_majority(0, 1, 0));
    expect_true!(is_majority(1, 1, 1));
}

#[googletest::test]
fn claimant_is_the_entry_before_the_last_slash() {
    let entry = id::Entry::new("e1").expect("a name");
    expect_that!(claimant("e1/00000000000000aa"), some(eq(&entry)));
    expect_that!(claimant("e1"), none());
    expect_that!(claimant("/00000000000000aa"), none());
}

/// A phase that did not end must not be counted, and a takeover is reported once.
#[googletest::test]
fn phases_report_once_at_the_first_start_or_two_seconds_after_the_jobs_are_applied() {
    let mut phases = Phases::new(Millis(100));
    phases.end(Phase::Claim, Millis(120));
    phases.end(Phase::Read, Millis(300));
    phases.end(Phase::Apply, Millis(310));
    expect_false!(phases.take_report(Millis(320)));
    let mut idle = phases;
    expect_true!(idle.take_report(Millis(2_310)));
    expect_that!(
        idle.to_string(),
        eq(
            "claim_ms=20 read_ms=180 apply_ms=10 first_report_ms=none first_start_ms=none total_ms=210"
        )
    );
    phases.end(Phase::FirstReport, Millis(350));
    phases.end(Phase::FirstStart, Millis(360));
    phases.end(Phase::FirstStart, Millis(900));
    expect_that!(phases.duration(Phase::FirstStart), some(eq(Millis(10))));
    expect_true!(phases.take_report(Millis(900)));
    expect_false!(phases.take_report(Millis(3_000)));
}

#[googletest::test]
fn view_advance_ignores_older_answers() {
    let view = View {
        revision: 7,
        as_of: Millis(1_000),
    };
    let newer = view.advance(9, Millis(1_500));
    expect_that!(newer.advance(8, Millis(1_200)), eq(newer));
    expect_that!(newer.next_confirmation(Millis(500)), eq(Millis(2_000)));
}

/// Incident 0020: a lead that was paused reads answers of other entries long after they were sent.
#[googletest::test]
fn outage_counts_from_the_time_at_which_the_entries_were_asked() {
    let asked = Millis(20_000);
    let reports = |cut_off| PeerReports {
        asked,
        cut_off,
        known: 6,
        ..PeerReports::default()
    };
    let outage = Outage {
        confirmed: None,
        unrecorded_until: asked + UNRECORDED_ALLOWANCE,
    };
    expect_that!(reports(2).outage(), none());
    expect_that!(reports(3).outage(), some(eq(outage)));
    // An entry that did not answer may have taken over.
    let confirmed = reports(6).outage().and_then(|outage| outage.confirmed);
    expect_that!(confirmed, some(eq(asked)));
}
