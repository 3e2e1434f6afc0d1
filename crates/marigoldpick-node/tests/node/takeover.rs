//! Takeover of the lead: reading of what is stored, and planned handovers.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::Duration;

use async_std::task;
use googletest::prelude::*;
use marigoldpick_core::prelude::*;
use marigoldpick_core::store::{Answer, Call, Fault, Item};
use marigoldpick_node::keys;
use marigoldpick_node::listing::{self, Listing, MAX_READS, read_width};

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
