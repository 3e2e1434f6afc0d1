//! Holds the keys, revisions and leases of the store, and wakes the watches on them.
//!
//! Apart from waking watches the state is pure: the caller passes in the time.

use std::collections::BTreeMap;

use async_channel::Sender;
use marigoldpick_core::prelude::*;
use marigoldpick_core::store::{Answer, Call, Change, Condition, Expect, Item, Write};

use crate::truth::Configs;

/// The most deletions that are remembered for watches.
const MAX_DELETED: usize = 10_000;
/// The most items of one page of a range.
const PAGE_ITEMS: usize = 500;
/// The most items of one list.
const MAX_LIST_ITEMS: u32 = 10_000;

/// `State` is the content of the store.
#[derive(Debug, Default)]
pub(super) struct State {
    revision: u64,
    items: BTreeMap<String, Stored>,
    leases: BTreeMap<u64, Lease>,
    next_lease: u64,
    /// Recently deleted keys with the revision of the deletion, oldest first.
    deleted: Vec<(u64, String)>,
    watchers: Vec<Watcher>,
    configs: Configs,
}

#[derive(Debug)]
struct Stored {
    value: String,
    revision: u64,
    lease: Option<u64>,
}

#[derive(Debug)]
struct Lease {
    span: Millis,
    end: Millis,
}

#[derive(Debug)]
struct Watcher {
    prefix: String,
    wake: Sender<()>,
}

impl State {
    /// Carries out one call; a watch is answered as if its wait had ended.
    pub(super) fn apply(&mut self, call: Call, now: Millis) -> Answer {
        self.expire(now);
        match call {
            Call::Get { key } => Answer::Item(self.item(&key)),
            Call::List {
                prefix,
                after,
                limit,
            } => self.list(&prefix, &after, limit),
            Call::Put {
                key,
                value,
                expect,
                lease,
            } => self.put(key, value, expect, lease),
            Call::Delete { key, expect } => self.delete(&key, expect),
            Call::Watch {
                prefix, revision, ..
            } => self.changed_items(&prefix, revision),
            Call::Range { prefix, after, .. } => self.page(&prefix, &after),
            Call::Commit {
                expect,
                puts,
                deletes,
            } => self.commit(&expect, puts, &deletes),
            Call::Follow {
                prefix, revision, ..
            } => self.changes(&prefix, revision),
            Call::Grant { span } => self.grant(span, now),
            Call::Renew { lease } => self.renew(lease, now),
            Call::Revoke { lease } => {
                self.revoke(lease);
                Answer::Gone
            }
        }
    }

    /// Ends the leases that have expired.
    pub(super) fn expire(&mut self, now: Millis) {
        let expired: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.end <= now)
            .map(|(number, _)| *number)
            .collect();
        expired.into_iter().for_each(|lease| self.revoke(lease));
    }

    /// Returns whether a key with `prefix` has changed after `revision`.
    pub(super) fn has_changed(&self, prefix: &str, revision: u64) -> bool {
        let written = self
            .range(prefix)
            .any(|(_, stored)| stored.revision > revision);
        written
            || self
                .deleted
                .iter()
                .rev()
                .take_while(|(at, _)| *at > revision)
                .any(|(_, key)| key.starts_with(prefix))
    }

    /// Subscribes to the next change of a key with `prefix`.
    pub(super) fn subscribe(&mut self, prefix: &str) -> async_channel::Receiver<()> {
        let (wake, woken) = async_channel::bounded(1);
        let prefix = prefix.to_owned();
        self.watchers.retain(|watcher| !watcher.wake.is_closed());
        self.watchers.push(Watcher { prefix, wake });
        woken
    }

    /// Returns the record of the configuration log.
    pub(super) const fn configs(&self) -> &Configs {
        &self.configs
    }

    fn range<'a>(&'a self, prefix: &'a str) -> impl Iterator<Item = (&'a String, &'a Stored)> {
        self.items
            .range(prefix.to_owned()..)
            .take_while(move |(key, _)| key.starts_with(prefix))
    }

    fn item(&self, key: &str) -> Option<Item> {
        self.items.get(key).map(|stored| item(key, stored))
    }

    fn list(&self, prefix: &str, after: &str, limit: u32) -> Answer {
        let limit = limit.min(MAX_LIST_ITEMS) as usize;
        let items = self
            .range(prefix)
            .filter(|(key, _)| key.as_str() > after)
            .take(limit)
            .map(|(key, stored)| item(key, stored))
            .collect();
        let revision = self.revision;
        Answer::Items { items, revision }
    }

    fn changed_items(&self, prefix: &str, revision: u64) -> Answer {
        let items = self
            .range(prefix)
            .filter(|(_, stored)| stored.revision > revision)
            .map(|(key, stored)| item(key, stored))
            .collect();
        let revision = self.revision;
        Answer::Items { items, revision }
    }

    fn page(&self, prefix: &str, after: &str) -> Answer {
        let mut items: Vec<Item> = self
            .range(prefix)
            .filter(|(key, _)| key.as_str() > after)
            .take(PAGE_ITEMS + 1)
            .map(|(key, stored)| item(key, stored))
            .collect();
        let more = items.len() > PAGE_ITEMS;
        items.truncate(PAGE_ITEMS);
        Answer::Page {
            items,
            more,
            revision: self.revision,
        }
    }

    fn commit(&mut self, expect: &[Condition], puts: Vec<Write>, deletes: &[String]) -> Answer {
        let all_met = expect
            .iter()
            .all(|condition| self.is_met(&condition.key, condition.expect));
        if !all_met {
            let rivals = expect
                .iter()
                .filter_map(|condition| self.item(&condition.key));
            return Answer::Rivals(rivals.collect());
        }
        let lacks_lease =
            |write: &Write| write.lease.is_some_and(|l| !self.leases.contains_key(&l));
        if puts.iter().any(lacks_lease) {
            return Answer::Gone;
        }
        deletes.iter().for_each(|key| self.remove(key));
        self.revision += 1;
        let revision = self.revision;
        for write in puts {
            self.configs.record_write(&write.key, &write.value);
            self.wake(&write.key);
            let stored = Stored {
                value: write.value,
                revision,
                lease: write.lease,
            };
            self.items.insert(write.key, stored);
        }
        Answer::Written(revision)
    }

    fn changes(&self, prefix: &str, after: u64) -> Answer {
        let is_compacted = self.deleted.len() >= MAX_DELETED / 2
            && self
                .deleted
                .first()
                .is_some_and(|(first, _)| *first > after);
        if is_compacted {
            return Answer::Compacted;
        }
        let written = self
            .range(prefix)
            .filter(|(_, stored)| stored.revision > after)
            .map(|(key, stored)| (stored.revision, Change::Written(item(key, stored))));
        let removed = self
            .deleted
            .iter()
            .filter(|(at, key)| *at > after && key.starts_with(prefix))
            .map(|(at, key)| {
                let (key, revision) = (key.clone(), *at);
                (*at, Change::Removed { key, revision })
            });
        let mut changes: Vec<(u64, Change)> = written.chain(removed).collect();
        changes.sort_by_key(|(at, _)| *at);
        Answer::Changes {
            changes: changes.into_iter().map(|(_, change)| change).collect(),
            revision: self.revision,
        }
    }

    fn put(&mut self, key: String, value: String, expect: Expect, lease: Option<u64>) -> Answer {
        if !self.is_met(&key, expect) {
            return Answer::Conflict(self.item(&key));
        }
        if lease.is_some_and(|lease| !self.leases.contains_key(&lease)) {
            return Answer::Gone;
        }
        self.revision += 1;
        let revision = self.revision;
        self.configs.record_write(&key, &value);
        self.wake(&key);
        let stored = Stored {
            value,
            revision,
            lease,
        };
        self.items.insert(key, stored);
        Answer::Written(revision)
    }

    fn delete(&mut self, key: &str, expect: Expect) -> Answer {
        if !self.is_met(key, expect) {
            return Answer::Conflict(self.item(key));
        }
        self.remove(key);
        Answer::Written(self.revision)
    }

    fn is_met(&self, key: &str, expect: Expect) -> bool {
        let revision = self.items.get(key).map(|stored| stored.revision);
        match expect {
            Expect::Any => true,
            Expect::Absent => revision.is_none(),
            Expect::Revision(wanted) => revision == Some(wanted),
        }
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_none() {
            return;
        }
        self.revision += 1;
        self.deleted.push((self.revision, key.to_owned()));
        if self.deleted.len() > MAX_DELETED {
            self.deleted.drain(..MAX_DELETED / 2);
        }
        self.wake(key);
    }

    fn grant(&mut self, span: Millis, now: Millis) -> Answer {
        self.next_lease += 1;
        let end = now + span;
        self.leases.insert(self.next_lease, Lease { span, end });
        Answer::Lease(self.next_lease)
    }

    fn renew(&mut self, number: u64, now: Millis) -> Answer {
        match self.leases.get_mut(&number) {
            Some(lease) => {
                lease.end = now + lease.span;
                Answer::Lease(number)
            }
            None => Answer::Gone,
        }
    }

    fn revoke(&mut self, lease: u64) {
        if self.leases.remove(&lease).is_none() {
            return;
        }
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, stored)| stored.lease == Some(lease))
            .map(|(key, _)| key.clone())
            .collect();
        keys.iter().for_each(|key| self.remove(key));
    }

    fn wake(&mut self, key: &str) {
        self.watchers.retain(|watcher| {
            let is_affected = key.starts_with(&watcher.prefix);
            if is_affected {
                let _is_awake = watcher.wake.try_send(());
            }
            !is_affected
        });
    }
}

fn item(key: &str, stored: &Stored) -> Item {
    Item {
        key: key.to_owned(),
        value: stored.value.clone(),
        revision: stored.revision,
    }
}
