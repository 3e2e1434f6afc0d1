//! Readers and writers behind the floor of a compacted log, where entries were created again.

mod support;

use googletest::prelude::*;
use marigoldpick_core::prelude::*;
use marigoldpick_core::store::{Call, Expect};
use marigoldpick_shard::Settings;
use marigoldpick_shard::backoff::Backoff;
use marigoldpick_shard::journal::{Journal, Manifest, Step, entry_key, manifest_key, part_key};
use marigoldpick_shard::record::{Entry, Record, State};
use support::store::Store;

const PREFIX: &str = "shard/north/0";

fn entry(sequence: u64, writer: &str) -> Entry {
    Entry {
        sequence,
        writer: writer.to_owned(),
        records: vec![Record::Worker(id::Worker::new(writer).expect("a name"))],
    }
}

fn put(store: &mut Store, key: String, value: &impl serde::Serialize) {
    let value = serde_json::to_string(value).expect("plain data");
    store.call(&Call::Put {
        key,
        value,
        expect: Expect::Any,
        lease: None,
    });
}

/// Returns a store whose log was compacted up to entry 6 and has entry 7.
///
/// Entries 2 to 6 were created again after their removal and are void.
fn compacted_store() -> Store {
    let mut store = Store::default();
    let mut state = State::default();
    for sequence in 1..=6 {
        let name = format!("true{sequence}");
        assert!(marigoldpick_shard::journal::State::apply(
            &mut state,
            &entry(sequence, &name)
        ));
    }
    let manifest = Manifest {
        sequence: 6,
        floor: 6,
        parts: format!("{PREFIX}/part/6/"),
        count: 1,
    };
    put(&mut store, part_key(&manifest, 0), &state);
    put(&mut store, manifest_key(PREFIX), &manifest);
    for sequence in 2..=6 {
        put(
            &mut store,
            entry_key(PREFIX, sequence),
            &entry(sequence, "void"),
        );
    }
    put(&mut store, entry_key(PREFIX, 7), &entry(7, "true7"));
    store
}

fn settle(journal: &mut Journal<State>, store: &mut Store) -> Vec<Step<Entry>> {
    let mut backoff = Backoff::new(&Settings::default(), 1);
    let mut steps = Vec::new();
    while let Some(call) = journal.next_call(Millis(1), &backoff) {
        let answer = store.call(&call);
        steps.extend(journal.handle_result(Ok(answer), Millis(1), &mut backoff));
    }
    steps
}

#[googletest::test]
fn read_behind_the_floor_takes_the_snapshot() {
    let mut store = compacted_store();
    let mut journal: Journal<State> = Journal::new(PREFIX.to_owned(), &Settings::default());
    assert!(journal.take_entries(&[entry(1, "true1")]));
    journal.refresh();
    expect_that!(
        settle(&mut journal, &mut store),
        elements_are![eq(&Step::CaughtUp)]
    );
    expect_that!(journal.state().sequence, eq(7));
    let void = id::Worker::new("void").expect("a name");
    expect_that!(journal.state().workers.contains(&void), eq(false));
}

#[googletest::test]
fn append_behind_the_floor_is_lost() {
    let mut store = compacted_store();
    store.items.remove(&entry_key(PREFIX, 2));
    let mut journal: Journal<State> = Journal::new(PREFIX.to_owned(), &Settings::default());
    assert!(journal.take_entries(&[entry(1, "true1")]));
    let tenure = Entry {
        records: vec![Record::Tenure {
            entry: id::Entry::new("e0").expect("a name"),
            incarnation: 1,
        }],
        ..entry(2, "late")
    };
    journal.append(tenure.clone());
    let steps = settle(&mut journal, &mut store);
    expect_that!(steps, contains(eq(&Step::Superseded(tenure))));
    expect_that!(journal.state().sequence, eq(7));
    expect_that!(journal.state().tenure, eq(0));
}
