//! Leads under each failure that they tolerate: no task runs twice at once, and none is lost.

mod support;

use googletest::prelude::*;
use marigoldpick_core::intent::Class;
use marigoldpick_shard::Settings;
use support::FaultRates;
use support::site::Site;
use support::site::job::{Job, job};

/// Longer in milliseconds than any takeover with a silent worker.
const SETTLE: u64 = 30_000;

fn jobs() -> Vec<Job> {
    vec![
        job("web", 6, Class::Service, true, None),
        job("maps", 20, Class::Batch, true, Some(1_500)),
        job("bills", 10, Class::Batch, false, Some(800)),
    ]
}

fn site(seed: u64) -> Site {
    Site::new(seed, 3, 6, jobs())
}

/// Returns a site whose services run, and its lead.
fn serving(seed: u64) -> (Site, usize) {
    let mut site = site(seed);
    assert!(
        site.run_until(20_000, Site::is_serving),
        "seed {seed}: no start"
    );
    let lead = site.leader().expect("somebody leads");
    (site, lead)
}

fn check_end(site: &mut Site) {
    let seed = site.seed;
    site.store_faults = FaultRates::default();
    site.worker_faults = FaultRates::default();
    let done = site.run_until(90_000, |site| site.is_complete() && site.is_serving());
    let state = site.leader().map(|at| {
        (
            site.entries[at].lead.status(),
            site.entries[at].scheduler.placements.len(),
        )
    });
    assert!(
        done,
        "seed {seed}: not all done at {}: {state:?}, leads {:?}, missing {:?}",
        site.now,
        site.leads,
        site.missing()
    );
    site.check_at_most_once();
}

#[googletest::test]
fn lead_without_faults_completes_all() {
    let mut site = site(1);
    check_end(&mut site);
    expect_that!(site.leads.len(), eq(1));
    expect_that!(site.maybe_started.len(), eq(0));
}

#[googletest::test]
fn lead_killed_with_store_up_is_replaced() {
    let (mut site, lead) = serving(2);
    site.kill(lead);
    let killed = site.now;
    let taken = site.run_until(5_000, |site| site.leader().is_some());
    expect_that!(taken, eq(true));
    expect_that!(site.now - killed, lt(5_000));
    check_end(&mut site);
}

#[googletest::test]
fn lead_killed_during_append_loses_no_completion() {
    for seed in 10..16 {
        let (mut site, lead) = serving(seed);
        // The write takes effect, but the process dies before it gets the answer.
        site.store_faults.answer_lost = 1_000;
        site.run(700);
        site.kill(lead);
        site.store_faults = FaultRates::default();
        check_end(&mut site);
    }
}

#[googletest::test]
fn answer_lost_after_write_is_resolved() {
    for seed in 20..24 {
        let mut site = site(seed);
        site.store_faults.answer_lost = 500;
        site.run(SETTLE);
        check_end(&mut site);
    }
}

#[googletest::test]
fn paused_lead_that_resumes_starts_nothing() {
    for seed in 30..36 {
        let (mut site, lead) = serving(seed);
        site.entries[lead].paused_until = site.now + 14_000;
        site.run(20_000);
        expect_that!(site.leads.len(), ge(2));
        check_end(&mut site);
    }
}

#[googletest::test]
fn lease_that_lapses_in_a_pause_of_all_entries_ends_tasks_once() {
    let (mut site, _) = serving(40);
    let until = site.now + 15_000;
    for entry in &mut site.entries {
        entry.paused_until = until;
    }
    site.run(16_000);
    check_end(&mut site);
}

#[googletest::test]
fn store_down_ten_minutes_with_a_lead_killed_meanwhile() {
    let (mut site, lead) = serving(50);
    site.run(SETTLE);
    site.store_faults = FaultRates::AWAY;
    site.run(60_000);
    site.kill(lead);
    let killed = site.now;
    let taken = site.run_until(8_000, |site| site.leader().is_some());
    expect_that!(
        taken,
        eq(true),
        "no lead {} ms after the death",
        site.now - killed
    );
    site.run(540_000);
    expect_that!(site.is_serving(), eq(true));
    check_end(&mut site);
}

#[googletest::test]
fn worker_that_answers_only_the_old_lead_keeps_its_tasks_until_they_lapse() {
    for seed in 60..66 {
        let (mut site, lead) = serving(seed);
        let others: Vec<usize> = (0..3).filter(|at| *at != lead).collect();
        for other in others {
            site.cut_workers.insert((other, 0));
            site.cut_entries.insert((lead, other));
        }
        for worker in 1..6 {
            site.cut_workers.insert((lead, worker));
        }
        site.cut_store.insert(lead);
        site.run(SETTLE + SETTLE);
        site.cut_workers.clear();
        site.cut_entries.clear();
        site.cut_store.clear();
        check_end(&mut site);
    }
}

#[googletest::test]
fn rack_lost_with_more_than_half_of_the_workers() {
    let (mut site, _) = serving(70);
    for worker in 0..4 {
        site.dead_workers.insert(worker);
    }
    site.run(10_000);
    for worker in 0..4 {
        site.vms[worker].state = marigoldpick_core::vm::State::Gone;
    }
    check_end(&mut site);
}

#[googletest::test]
fn dead_worker_is_lost_by_lease_expiry_alone() {
    let (mut site, _) = serving(80);
    site.dead_workers.insert(0);
    check_end(&mut site);
}

#[googletest::test]
fn silent_workers_tasks_are_not_restarted_while_the_store_is_down() {
    let (mut site, _) = serving(85);
    site.run(SETTLE);
    let full = (0..6).find(|at| site.workers[*at].running().count() > 0);
    site.store_faults = FaultRates::AWAY;
    site.run(5_000);
    site.dead_workers.insert(full.expect("something runs"));
    let starts = site.starts.len();
    site.run(60_000);
    // Without the store the lead cannot exclude that a rival has the tenure and renews that worker.
    expect_that!(site.starts.len(), eq(starts));
    check_end(&mut site);
    expect_that!(site.starts.len(), gt(starts));
}

#[googletest::test]
fn two_rival_leads_never_share_a_task() {
    for seed in 90..96 {
        let (mut site, lead) = serving(seed);
        // No entry gets heartbeats from another, so each considers itself the candidate.
        for a in 0..3 {
            for b in 0..3 {
                site.cut_entries.insert((a, b));
            }
        }
        site.run(SETTLE);
        site.store_faults = FaultRates::AWAY;
        site.run(SETTLE);
        let _ = lead;
        site.cut_entries.clear();
        check_end(&mut site);
    }
}

#[googletest::test]
fn killed_lead_is_replaced_and_rejoins() {
    let (mut site, lead) = serving(100);
    site.kill(lead);
    site.run(10_000);
    site.restart(lead);
    site.run(10_000);
    check_end(&mut site);
}

#[googletest::test]
fn task_that_failed_and_was_started_elsewhere_is_held_while_that_worker_is_silent() {
    for seed in 110..130 {
        let (mut site, lead) = serving(seed);
        site.run(3_000);
        site.end_instance();
        // The lead starts the task again, and dies before the first worker discards the ended run.
        let starts = site.starts.len();
        assert!(
            site.run_until(5_000, |site| site.starts.len() > starts),
            "seed {seed}"
        );
        let task = site.starts[starts].1.task.clone();
        let new = (0..6).find(|at| site.workers[*at].running().any(|run| run.task == task));
        let new = new.expect("it runs");
        site.kill(lead);
        for other in (0..3).filter(|other| *other != lead) {
            site.cut_workers.insert((other, new));
        }
        site.run(9_000);
        site.cut_workers.clear();
        check_end(&mut site);
    }
}

#[googletest::test]
fn compacted_log_keeps_its_tenures_for_a_lead_that_resumes_late() {
    for seed in 140..144 {
        let settings = Settings {
            snapshot_every: 5,
            ..Settings::default()
        };
        let mut site = Site::with(settings, seed, 3, 6, jobs());
        site.jobs[1].count = 300;
        site.run(4_000);
        let lead = site.leader().expect("somebody leads");
        site.entries[lead].paused_until = site.now + 60_000;
        let position = site.entries[lead].lead.record().sequence;
        site.run(30_000);
        let logged = |site: &Site| {
            let keys = site.store.items.keys();
            keys.filter(|key| key.contains("/log/")).count()
        };
        expect_that!(logged(&site), lt(25));
        let first = site.leads.len();
        expect_that!(first, ge(2));
        let follower = site.leads[first - 1].1;
        let record = site.entries[follower].lead.record();
        expect_that!(record.sequence, gt(position));
        let tenure = |value: &str| value.contains("tenure\":{");
        let kept = site.store.items.values().filter(|(value, _)| tenure(value));
        expect_that!(kept.count(), ge(2));
        site.run(35_000);
        check_end(&mut site);
    }
}

#[googletest::test]
fn task_completed_before_a_takeover_without_the_store_is_not_run_again() {
    for seed in 100..106 {
        let maps = job("maps", 20, Class::Batch, true, Some(1_500));
        let mut site = Site::new(seed, 3, 6, vec![maps]);
        assert!(site.run_until(30_000, Site::is_complete), "seed {seed}");
        // The workers have discarded the ended runs, so only the log has them.
        site.run(3_000);
        let starts = site.starts.len();
        site.store_faults = FaultRates::AWAY;
        let lead = site.leader().expect("somebody leads");
        site.kill(lead);
        let led = site.run_until(10_000, |site| site.leader().is_some());
        assert!(led, "seed {seed}: no lead without the store");
        site.run(3_000);
        site.store_faults = FaultRates::default();
        check_end(&mut site);
        site.run(5_000);
        expect_that!(site.starts.len(), eq(starts), "seed {seed}");
    }
}

#[googletest::test]
fn checkpoint_survives_a_lead_that_dies_before_the_task_starts_again() {
    for seed in 110..114 {
        let maps = job("maps", 6, Class::Batch, true, Some(600_000));
        let mut site = Site::new(seed, 3, 6, vec![maps]);
        assert!(
            site.run_until(20_000, |site| site.starts.len() == 6),
            "seed {seed}"
        );
        site.holds_starts = true;
        site.run(2_000);
        let run = site.checkpoint_one();
        // Renewals continue meanwhile and could acknowledge the checkpointed run.
        site.run(4_000);
        let first = site.leader().expect("somebody leads");
        expect_that!(site.checkpoints, eq(&vec![(first, run.clone())]));
        site.kill(first);
        assert!(
            site.run_until(10_000, |site| site.leader().is_some()),
            "seed {seed}"
        );
        site.run(2_000);
        let next = site.leader().expect("somebody leads");
        expect_that!(site.checkpoints, contains(eq(&(next, run))), "seed {seed}");
        // Once the task runs again, no worker keeps the checkpoint.
        site.holds_starts = false;
        let forgotten = |site: &Site| site.workers.iter().all(|worker| worker.kept() == 0);
        let started = site.run_until(20_000, |site| site.starts.len() == 7 && forgotten(site));
        expect_that!(started, eq(true), "seed {seed}");
    }
}
