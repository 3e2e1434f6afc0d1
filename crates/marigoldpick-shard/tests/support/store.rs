//! An in-memory key-value store.

use std::collections::BTreeMap;

use marigoldpick_core::store::{Answer, Call, Expect, Item};

#[derive(Debug, Default)]
pub struct Store {
    pub items: BTreeMap<String, (String, u64)>,
    pub revision: u64,
    pub calls: u64,
}

impl Store {
    pub fn item(&self, key: &str) -> Option<Item> {
        self.items.get(key).map(|(value, revision)| Item {
            key: key.to_owned(),
            value: value.clone(),
            revision: *revision,
        })
    }

    pub fn call(&mut self, call: &Call) -> Answer {
        self.calls += 1;
        match call {
            Call::Get { key } => Answer::Item(self.item(key)),
            Call::List {
                prefix,
                after,
                limit,
            } => self.list(prefix, |item| item.key > *after, *limit as usize),
            Call::Watch {
                prefix, revision, ..
            } => self.list(prefix, |item| item.revision > *revision, usize::MAX),
            Call::Put {
                key, value, expect, ..
            } => {
                if !self.holds(key, *expect) {
                    return Answer::Conflict(self.item(key));
                }
                self.revision += 1;
                self.items
                    .insert(key.clone(), (value.clone(), self.revision));
                Answer::Written(self.revision)
            }
            Call::Delete { key, expect } => {
                if !self.holds(key, *expect) {
                    return Answer::Conflict(self.item(key));
                }
                self.revision += 1;
                self.items.remove(key);
                Answer::Written(self.revision)
            }
            Call::Grant { .. }
            | Call::Renew { .. }
            | Call::Revoke { .. }
            | Call::Range { .. }
            | Call::Commit { .. }
            | Call::Follow { .. } => Answer::Gone,
        }
    }

    fn holds(&self, key: &str, expect: Expect) -> bool {
        match expect {
            Expect::Any => true,
            Expect::Absent => !self.items.contains_key(key),
            Expect::Revision(revision) => self.items.get(key).is_some_and(|i| i.1 == revision),
        }
    }

    fn list(&self, prefix: &str, wanted: impl Fn(&Item) -> bool, limit: usize) -> Answer {
        let items = self
            .items
            .keys()
            .filter(|key| key.starts_with(prefix))
            .filter_map(|key| self.item(key))
            .filter(wanted)
            .take(limit)
            .collect();
        Answer::Items {
            items,
            revision: self.revision,
        }
    }
}
