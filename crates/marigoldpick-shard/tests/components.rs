//! Unit tests of the components: ranges, membership, allotments, backoff, settings and shards.

use googletest::prelude::*;
use marigoldpick_core::config::{Change, Entry, State};
use marigoldpick_core::intent::Intent;
use marigoldpick_core::plan::{Home, Part, Plan};
use marigoldpick_core::prelude::*;
use marigoldpick_core::worker::Epoch;
use marigoldpick_shard::backoff::Backoff;
use marigoldpick_shard::membership::{Beat, Led, Membership};
use marigoldpick_shard::record::Ranges;
use marigoldpick_shard::{Settings, quota, shards};
use proptest::prelude::{any, prop, proptest};

proptest! {
    #[test]
    fn ranges_insert_is_a_set(spans in prop::collection::vec((0_u32..60, 0_u32..9), 0..40)) {
        let mut ranges = Ranges::default();
        let mut set = std::collections::BTreeSet::new();
        for (from, len) in spans {
            ranges.insert(from, from + len);
            set.extend(from..from + len);
        }
        for index in 0..80 {
            assert_eq!(ranges.contains(index), set.contains(&index), "{index} in {ranges:?}");
        }
        assert_eq!(ranges.len() as usize, set.len());
        assert!(ranges.0.windows(2).all(|pair| pair[0].1 < pair[1].0), "{ranges:?}");
    }

    #[test]
    fn backoff_waits_within_its_bounds_and_budget(seed in any::<u64>(), failures in 1_u32..60) {
        let settings = Settings::default();
        let mut backoff = Backoff::new(&settings, seed);
        let mut now = Millis(1);
        for _ in 0..failures {
            backoff.record_failure(now);
            assert!(backoff.ends_at() > now);
            assert!(backoff.ends_at() <= now + settings.backoff_most_ms);
            now = backoff.ends_at();
        }
        // Once the saved retries are used up, each retry must be earned.
        let beyond = u64::from(failures.saturating_sub(settings.retries + 1));
        assert!(now >= settings.retry_ms.times(beyond / 2), "{now} after {failures}");
    }
}

#[googletest::test]
fn backoff_is_spread_over_clients() {
    let settings = Settings::default();
    let mut first: Vec<Millis> = (0..24)
        .map(|seed| {
            let mut backoff = Backoff::new(&settings, seed);
            (0..8).for_each(|_| backoff.record_failure(Millis(1_000)));
            backoff.ends_at()
        })
        .collect();
    first.sort_unstable();
    first.dedup();
    expect_that!(first.len(), ge(20));
}

fn entry(number: usize) -> id::Entry {
    id::Entry::new(&format!("e{number}")).expect("a name")
}

fn domain(name: &str) -> id::Domain {
    id::Domain::new(name).expect("a name")
}

fn beat(number: usize, leads: &[&id::Shard], tenure: u64, draining: bool) -> Beat {
    let epoch = Epoch {
        tenure,
        ..Epoch::default()
    };
    Beat {
        entry: entry(number),
        domain: domain("north"),
        incarnation: 1,
        draining,
        sequence: 0,
        age: Millis::ZERO,
        leads: leads
            .iter()
            .map(|shard| Led {
                shard: (*shard).clone(),
                epoch,
            })
            .collect(),
    }
}

fn member(number: usize) -> Membership {
    let mut member = Membership::new(entry(number), domain("north"), 1, Settings::default());
    member.tick(Millis(0));
    member
}

#[googletest::test]
fn membership_has_one_candidate_and_one_watcher() {
    let shard = id::Shard::new("north/0").expect("a name");
    let mut members: Vec<Membership> = (0..3).map(member).collect();
    for now in (0..2_000).step_by(300).map(Millis) {
        for (at, member) in members.iter_mut().enumerate() {
            member.tick(now);
            for other in (0..3).filter(|other| *other != at) {
                member.record_beat(beat(other, &[], 0, false), now);
            }
        }
    }
    let now = Millis(2_000);
    let candidates = members.iter().filter(|m| m.is_candidate(&shard, now));
    expect_that!(candidates.count(), eq(1));
    let watchers = members.iter().filter(|m| m.is_watcher(now));
    expect_that!(watchers.count(), eq(1));
}

#[googletest::test]
fn membership_live_lead_keeps_its_shard_and_a_draining_one_gives_it_up() {
    let shard = id::Shard::new("north/0").expect("a name");
    for holder in [1, 2] {
        let mut member = member(0);
        let mut now = Millis(0);
        while now < Millis(3_000) {
            member.tick(now);
            member.record_beat(beat(3 - holder, &[], 0, false), now);
            member.record_beat(beat(holder, &[&shard], 4, false), now);
            now += Millis(300);
        }
        expect_that!(member.lead_of(&shard, now), some(eq(&entry(holder))));
        member.record_beat(beat(holder, &[&shard], 4, true), now);
        expect_that!(member.lead_of(&shard, now), some(not(eq(&entry(holder)))));
    }
}

#[googletest::test]
fn membership_dead_lead_is_replaced_and_own_pause_marks_nobody_dead() {
    let shard = id::Shard::new("north/0").expect("a name");
    let mut member = member(0);
    let mut now = Millis(0);
    while now < Millis(3_000) {
        member.tick(now);
        member.record_beat(beat(1, &[&shard], 4, false), now);
        now += Millis(300);
    }
    // This entry's own process is paused for ten seconds.
    now += Millis(10_000);
    member.tick(now);
    expect_that!(member.lead_of(&shard, now), some(eq(&entry(1))));
    let heard = now;
    while now <= heard + Settings::default().dead_ms {
        now += Millis(300);
        member.tick(now);
    }
    expect_that!(member.lead_of(&shard, now), some(eq(&entry(0))));
}

#[googletest::test]
fn shards_of_spreads_racks_over_all_shards() {
    let settings = Settings {
        shards: 8,
        ..Settings::default()
    };
    let north = domain("north");
    let all = shards::all(&settings, &north);
    expect_that!(all.len(), eq(8));
    let mut counts = [0; 8];
    for rack in 0..200 {
        let rack = id::Rack::new(&format!("rack-{rack}")).expect("a name");
        let shard = shards::of(&settings, &north, &rack);
        let at = all
            .binary_search(&shard)
            .expect("one of the domain's shards");
        counts[at] += 1;
    }
    expect_that!(counts.iter().min(), some(ge(&10)));
    let rack = id::Rack::new("r").expect("a name");
    let one = shards::of(&Settings::default(), &north, &rack);
    expect_that!(one.as_str(), eq("north/0"));
}

#[googletest::test]
fn settings_lapse_wait_covers_a_lead_with_clock_drift() {
    for renew in [500, 1_000, 15_000] {
        let settings = Settings::default().with_renew_interval(Millis(renew));
        expect_that!(settings.majority_ms, gt(settings.renew_ms));
        expect_that!(settings.lease_ms, gt(settings.renew_ms.times(2)));
        let span = settings.majority_ms.0 + settings.lease_ms.0;
        // The old lead and the worker have the slowest clocks that the bound allows, the new lead the
        // fastest.
        let slow = span as f64 * 1.005;
        let waited = settings.lapse_wait().0 as f64 * 0.995;
        expect_that!(waited, ge(slow));
    }
}

fn plan(state: &State, name: &str, homes: &[(&str, u32)]) -> std::result::Result<Change, Code> {
    let count: u32 = homes.iter().map(|(_, n)| n).sum();
    let text = format!(
        "[[job]]\nname = \"{name}\"\nclass = \"batch\"\nteam = \"maps\"\ncount = {count}\n\
         needs = {{ millicores = 1000, memory_mib = 100 }}\n"
    );
    let intent = Intent::parse("test.toml", &text).expect("the intent is well formed");
    let mut from = 0;
    let homes = homes
        .iter()
        .map(|(shard, n)| {
            from += n;
            Home {
                shard: id::Shard::new(shard).expect("a name"),
                from: from - n,
                to: from,
            }
        })
        .collect();
    let part = Part {
        job: id::Job::new(name).expect("a name"),
        homes,
        starts: count,
        waits: 0,
        wait: Millis::ZERO,
        never: None,
    };
    let plan = Plan::new(state.sequence, intent, vec![part], Vec::new(), Vec::new());
    let change = Change::Confirm(Box::new(plan));
    state.allows(&change).map(|()| change)
}

fn apply(state: &mut State, change: Change) {
    let entry = Entry {
        sequence: state.sequence + 1,
        writer: "test".to_owned(),
        changes: vec![change],
    };
    assert!(state.apply(&entry));
}

fn held(state: &State) -> u64 {
    ["north/0", "south/0"]
        .iter()
        .flat_map(|shard| quota::allotments(state, &id::Shard::new(shard).expect("a name")))
        .map(|allotment| allotment.amount.millicores)
        .sum()
}

#[googletest::test]
fn allotments_never_exceed_the_quota_while_a_cancelled_job_may_run() {
    let mut state = State::default();
    let text = "[[team]]\nname = \"maps\"\nquota = { millicores = 10000, memory_mib = 10000 }\n";
    let intent = Intent::parse("test.toml", text).expect("the intent is well formed");
    let team = Plan::new(0, intent, Vec::new(), Vec::new(), Vec::new());
    apply(&mut state, Change::Confirm(Box::new(team)));
    let one = plan(&state, "one", &[("north/0", 6), ("south/0", 3)]).expect("it fits");
    apply(&mut state, one);
    expect_that!(held(&state), eq(9_000));
    // The north is cut off, so it does not learn of the cancel and continues to run the job.
    let jobs = vec![id::Job::new("one").expect("a name")];
    apply(&mut state, Change::Cancel { jobs });
    let ended = |shard: &str| Change::Ended {
        job: id::Job::new("one").expect("a name"),
        accepted: 2,
        shard: id::Shard::new(shard).expect("a name"),
        completed: 0,
        failed: 0,
    };
    apply(&mut state, ended("south/0"));
    expect_that!(held(&state), eq(6_000));
    expect_that!(
        plan(&state, "two", &[("south/0", 5)]),
        err(eq(&Code::OverQuota))
    );
    let two = plan(&state, "two", &[("south/0", 4)]).expect("it fits");
    apply(&mut state, two);
    expect_that!(held(&state), eq(10_000));
    apply(&mut state, ended("north/0"));
    expect_that!(plan(&state, "three", &[("south/0", 6)]), ok(anything()));
}
