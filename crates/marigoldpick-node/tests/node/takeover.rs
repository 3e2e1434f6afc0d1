//! Takeover of the lead: reading of what is stored, and planned handovers.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use async_std::future::{pending, timeout};
use async_std::task;
use googletest::prelude::*;
use marigoldpick_core::prelude::*;
use marigoldpick_core::store::{Answer, Call, Change, Fault, Item};
use marigoldpick_core::work::peer::{self, Receipt};
use marigoldpick_core::work::{Phase, Task};
use marigoldpick_node::keys;
use marigoldpick_node::listing::{self, Listing, MAX_READS, read_width};
use marigoldpick_wire as wire;
use marigoldpick_wire::Handler as _;

use crate::cluster::{Cluster, lock, wait_until};

/// The round trip to the store.
const ROUND_TRIP: Duration = Duration::from_millis(9);
/// The number of items in a full page.
const PAGE_ITEMS: usize = 500;

/// `FakeStore` is a store with keys and pages, which counts round trips instead of time.
#[derive(Debug, Default)]
struct FakeStore {
    keys: BTreeMap<String, u64>,
    /// The number of calls.
    calls: usize,
    in_flight: usize,
    /// The most calls in flight at once.
    most_in_flight: usize,
    /// The greatest number of answered calls of which each was sent after the one before was answered.
    round_trips: usize,
    /// The call to fail, counted from one; zero for none.
    failing: usize,
}

impl FakeStore {
    fn write(&mut self, key: String) {
        let revision = self.keys.len() as u64 + 1;
        self.keys.insert(key, revision);
    }

    fn page(&self, prefix: &str, after: &str) -> Answer {
        let keys = self.keys.range(prefix.to_owned()..);
        let keys = keys.take_while(|(key, _)| key.starts_with(prefix));
        let item = |(key, revision): (&String, &u64)| Item {
            key: key.clone(),
            value: String::new(),
            revision: *revision,
        };
        let rest = keys.filter(|(key, _)| key.as_str() > after);
        let mut items: Vec<Item> = rest.take(PAGE_ITEMS + 1).map(item).collect();
        let more = items.len() > PAGE_ITEMS;
        items.truncate(PAGE_ITEMS);
        Answer::Page {
            items,
            more,
            revision: self.keys.len() as u64,
        }
    }
}

async fn call(store: &RefCell<FakeStore>, call: Call) -> std::result::Result<Answer, Fault> {
    let (number, round_trip) = {
        let mut store = store.borrow_mut();
        store.calls += 1;
        store.in_flight += 1;
        store.most_in_flight = store.most_in_flight.max(store.in_flight);
        (store.calls, store.round_trips + 1)
    };
    task::sleep(ROUND_TRIP).await;
    let mut store = store.borrow_mut();
    store.in_flight -= 1;
    store.round_trips = store.round_trips.max(round_trip);
    match call {
        Call::Range { prefix, after, .. } if number != store.failing => {
            Ok(store.page(&prefix, &after))
        }
        _ => Err(Fault::Unknown),
    }
}

/// Returns the `number`th of ids that are spread over their digits.
fn id(number: u64) -> String {
    format!("{:016x}", number.wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

/// Returns a store with jobs, as many records, and some cancels and parts of the roster.
fn store(jobs: u64) -> RefCell<FakeStore> {
    let mut store = FakeStore::default();
    for number in 0..jobs {
        let id = id(number);
        // Callers choose the case.
        let id = if number % 3 == 0 {
            id.to_uppercase()
        } else {
            id
        };
        store.write(format!("{}{id}", keys::JOBS));
        store.write(format!("{}{id}", keys::RECORDS));
        if number % 100 == 0 {
            store.write(format!("{}{id}", keys::CANCELS));
            store.write(keys::roster(number as usize / 100 % 16));
        }
    }
    RefCell::new(store)
}

fn listings() -> [Listing; 3] {
    [keys::INBOX, keys::RECORDS, keys::ROSTER].map(Listing::new)
}

async fn read(store: &RefCell<FakeStore>, listings: &mut [Listing; 3]) -> bool {
    let mut listings: Vec<&mut Listing> = listings.iter_mut().collect();
    let first = listing::read_first(&mut listings, |sent| call(store, sent)).await;
    let rest = listing::read_rest(&mut listings, MAX_READS, |sent| call(store, sent)).await;
    first.is_ok() && rest.is_ok()
}

fn expect_all_read(store: &RefCell<FakeStore>, listings: [Listing; 3]) {
    for listing in listings {
        let prefix = listing.prefix();
        let read: Vec<String> = listing.into_items().into_iter().map(|i| i.key).collect();
        let store = store.borrow();
        let stored = store.keys.keys().filter(|key| key.starts_with(prefix));
        expect_that!(read, eq(&stored.cloned().collect::<Vec<String>>()));
    }
}

/// Load pattern: a takeover while 2,000 jobs and as many records are stored. Reads one after the other, of ranges as
/// small as these, would take about forty round trips.
#[googletest::test]
fn listings_of_many_keys_take_few_round_trips() {
    let (store, mut listings) = (store(2_000), listings());
    expect_true!(task::block_on(read(&store, &mut listings)));
    expect_all_read(&store, listings);
    let store = store.borrow();
    expect_that!(store.round_trips, le(7));
    expect_that!(store.most_in_flight, eq(MAX_READS));
}

/// A small store must not cost more calls than it has prefixes.
#[googletest::test]
fn listings_of_few_keys_take_one_call_each() {
    let (store, mut listings) = (store(400), listings());
    expect_true!(task::block_on(read(&store, &mut listings)));
    expect_all_read(&store, listings);
    expect_that!(store.borrow().calls, eq(3));
}

/// A retry that begins anew makes no progress on a slow link (docs/incidents/0008-lead-on-a-slow-link.md).
#[googletest::test]
fn listings_keep_their_pages_when_a_read_fails() {
    let (store, mut listings) = (store(2_000), listings());
    store.borrow_mut().failing = 10;
    expect_false!(task::block_on(read(&store, &mut listings)));
    let calls = store.borrow().calls;
    expect_true!(task::block_on(read(&store, &mut listings)));
    expect_that!(store.borrow().calls, eq(calls + 1));
    expect_all_read(&store, listings);
}

/// A standby's read is cut off when the lead's key ends. What was read by then must not be continued page by page.
#[googletest::test]
fn listings_are_read_at_once_after_a_read_that_was_cut_off() {
    let (store, mut listings) = (store(2_000), listings());
    let mut unread: Vec<&mut Listing> = listings.iter_mut().collect();
    let first = listing::read_first(&mut unread, |sent| async {
        match &sent {
            Call::Range { prefix, .. } if prefix == keys::ROSTER => pending().await,
            _ => call(&store, sent).await,
        }
    });
    let limit = Duration::from_millis(500);
    expect_true!(task::block_on(timeout(limit, first)).is_err());
    expect_true!(task::block_on(read(&store, &mut listings)));
    expect_all_read(&store, listings);
    expect_that!(store.borrow().most_in_flight, eq(MAX_READS));
}

/// Full pages at once on a link of 10 Mbit/s would all time out.
#[googletest::test]
fn read_width_allows_for_a_slow_link() {
    expect_that!(read_width(Millis::ZERO), eq(MAX_READS));
    expect_that!(read_width(Millis(300)), eq(MAX_READS));
    expect_that!(read_width(Millis(1_600)), eq(2));
    expect_that!(read_width(Millis(3_000)), eq(1));
    expect_that!(listing::narrower(2), eq(1));
    expect_that!(listing::narrower(1), eq(1));
}

fn item(key: &str, revision: u64) -> Item {
    Item {
        key: format!("{}{key}", keys::RECORDS),
        value: revision.to_string(),
        revision,
    }
}

fn removed(key: &str, revision: u64) -> Change {
    let key = item(key, revision).key;
    Change::Removed { key, revision }
}

/// Changes that a page includes already must not undo later ones, nor bring back what was removed.
#[googletest::test]
fn apply_keeps_the_newest_state_of_each_key() {
    let mut listing = Listing::new(keys::RECORDS);
    let page = |_| async {
        Ok(Answer::Page {
            items: vec![item("1", 8), item("2", 3), item("3", 4), item("5", 2)],
            more: false,
            revision: 8,
        })
    };
    let read = task::block_on(listing::read_first(&mut [&mut listing], page));
    expect_that!(read, ok(eq(false)));
    let written = |key, revision| Change::Written(item(key, revision));
    let changes = vec![
        removed("1", 5),
        written("1", 8),
        written("2", 9),
        written("4", 10),
        removed("3", 11),
        written("0", 12),
        removed("0", 13),
    ];
    listing.apply(changes, 13);
    expect_that!(listing.revision(), eq(13));
    expect_that!(
        listing.into_items(),
        eq(&vec![
            item("1", 8),
            item("2", 9),
            item("4", 10),
            item("5", 2)
        ])
    );
}

fn succeed(cluster: &Cluster, at: usize) -> thread::JoinHandle<()> {
    let handle = cluster.nodes[at].handle().clone();
    thread::spawn(move || {
        let call = wire::Call::Jobs(peer::Call::Succeed);
        // A process that ends meanwhile gives no answer.
        let _answer = task::block_on(handle.handle(call));
    })
}

/// Submits jobs while `change` is made, and expects that each runs once, to completion.
pub fn expect_nothing_lost(cluster: &Cluster, change: impl FnOnce()) {
    const JOBS: u32 = 60;
    const TASKS: u32 = 2;
    // What a successor reads before its claim is outdated when it arrives.
    cluster.page_delay_ms.store(200, Ordering::SeqCst);
    let last = cluster.nodes.len() - 1;
    let ids = thread::scope(|scope| {
        let submit = scope.spawn(|| {
            let submit = |number| {
                thread::sleep(Duration::from_millis(20));
                let (id, receipt) = cluster.submit(last, number, TASKS, 60);
                assert_eq!(receipt, Receipt::Stored);
                id
            };
            (1..=JOBS).map(submit).collect::<Vec<id::Job>>()
        });
        thread::sleep(Duration::from_millis(300));
        change();
        submit.join().expect("submissions")
    });
    for id in &ids {
        cluster.wait_for_phase(last, id, Phase::Completed);
    }
    let fake_workers = lock(&cluster.fake_workers);
    let mut tasks: Vec<&Task> = fake_workers.starts.iter().map(|(task, _)| task).collect();
    tasks.sort();
    tasks.dedup();
    expect_that!(tasks.len(), eq((JOBS * TASKS * 2) as usize));
    expect_that!(fake_workers.starts.len(), eq(tasks.len()));
    expect_that!(fake_workers.violations, is_empty());
}

/// Load pattern: a rolling restart while callers submit jobs. Records that change between the read and the claim must
/// not be lost, or their tasks would run again.
#[googletest::test]
fn hand_over_during_submissions_loses_and_doubles_nothing() {
    let cluster = Cluster::start_with_strengths(&[1_000; 3], 8);
    let first = cluster.lead();
    expect_nothing_lost(&cluster, || {
        cluster.nodes[first].handle().drain();
        wait_until("another entry leads", || {
            cluster.lead_if_any().is_some_and(|lead| lead != first)
        });
    });
}

/// The store has dropped the changes between the read and the claim.
#[googletest::test]
fn hand_over_without_the_history_loses_and_doubles_nothing() {
    let cluster = Cluster::start_with_strengths(&[1_000; 2], 8);
    cluster.lost_histories[1].store(3, Ordering::SeqCst);
    expect_nothing_lost(&cluster, || {
        let asked = succeed(&cluster, 1);
        wait_until("the other entry leads", || cluster.lead_if_any() == Some(1));
        asked.join().expect("an answer");
    });
    expect_that!(cluster.lost_histories[1].load(Ordering::SeqCst), eq(0));
}

/// A successor that dies while it reads must not cost the earlier lead its term.
#[googletest::test]
fn successor_that_dies_before_its_claim_leaves_the_lead_in_place() {
    let mut cluster = Cluster::start_with_strengths(&[1_000; 2], 3);
    expect_that!(cluster.lead(), eq(0));
    let holder = cluster.holder();
    cluster.slow[1].store(true, Ordering::SeqCst);
    let asked = succeed(&cluster, 1);
    thread::sleep(Duration::from_millis(100));
    // The request keeps the process alive until it is answered, but the store hears nothing more of it.
    cluster.silent[1].store(true, Ordering::SeqCst);
    cluster.kill(1);
    asked.join().expect("an answer");
    thread::sleep(Duration::from_millis(1_000));
    let (id, _) = cluster.submit(0, 1, 2, 50);
    cluster.wait_for_phase(0, &id, Phase::Completed);
    expect_that!(cluster.holder(), eq(&holder));
    expect_that!(lock(&cluster.fake_workers).violations, is_empty());
}

/// A successor that dies after its claim is replaced when its lease ends.
#[googletest::test]
fn successor_that_dies_after_its_claim_is_replaced() {
    let mut cluster = Cluster::start_with_strengths(&[1_000; 2], 3);
    let (id, _) = cluster.submit(0, 1, 2, 1_000);
    cluster.wait_for_phase(0, &id, Phase::Running);
    cluster.slow[1].store(true, Ordering::SeqCst);
    let asked = succeed(&cluster, 1);
    wait_until("the successor has claimed", || {
        cluster.lead_if_any() == Some(1)
    });
    asked.join().expect("an answer");
    cluster.kill(1);
    cluster.wait_for_phase(0, &id, Phase::Completed);
    expect_that!(cluster.lead(), eq(0));
    expect_that!(lock(&cluster.fake_workers).starts.len(), eq(4));
    expect_that!(lock(&cluster.fake_workers).violations, is_empty());
}

/// Load pattern: two entries are stopped at once, and the one that is asked to take over ends first.
#[googletest::test]
fn lead_that_drains_asks_another_entry_if_its_successor_dies() {
    let mut cluster = Cluster::start_with_strengths(&[1_000, 1_100, 1_000], 3);
    // A lead reads the list of the others each second.
    thread::sleep(Duration::from_millis(1_500));
    let (id, _) = cluster.submit(2, 1, 2, 1_000);
    cluster.wait_for_phase(2, &id, Phase::Running);
    cluster.slow[1].store(true, Ordering::SeqCst);
    cluster.nodes[0].handle().drain();
    thread::sleep(Duration::from_millis(100));
    expect_that!(cluster.holder(), starts_with("e0/"));
    // The call in flight may keep the process alive, but the store hears nothing more of it.
    cluster.silent[1].store(true, Ordering::SeqCst);
    cluster.kill(1);
    wait_until("the third entry leads", || {
        cluster.holder().starts_with("e2/")
    });
    cluster.wait_for_phase(1, &id, Phase::Completed);
    expect_that!(lock(&cluster.fake_workers).starts.len(), eq(4));
    expect_that!(lock(&cluster.fake_workers).violations, is_empty());
}
