//! Reads all keys with a prefix by several calls at once.
//!
//! Load pattern: an entry takes over while the store has 2,000 jobs and as many records, and a page holds 500 of them.
//! Nothing starts until all are read, so reading one page after the other costs a round trip and the ramp-up of the
//! connection for each.

use std::cmp::Ordering;

use futures::StreamExt;
use futures::future::join_all;
use futures::stream;
use marigoldpick_core::prelude::*;
use marigoldpick_core::store::{Answer, Call, Change, Fault, Item};

use crate::keys;

/// The maximum number of reads in flight.
pub const MAX_READS: usize = 8;
/// The time in which all reads in flight should be answered if each brings a full page. Such a read times out
/// after 3 s.
const FULL_PAGES_LIMIT: Millis = Millis(2_000);
/// The number of prefixes whose first pages are read at once and may be full: jobs and records.
const FULL_PREFIXES: u64 = 2;

/// `Part` is a range of keys that is read page by page.
#[derive(Clone, Debug)]
struct Part {
    prefix: String,
    /// Keys up to and including this one are left out; empty for none.
    after: String,
    items: Vec<Item>,
    /// The lowest and the highest revision of the store at a page; `None` if no page has been read.
    revisions: Option<(u64, u64)>,
    is_complete: bool,
}

impl Part {
    const fn new(prefix: String, after: String) -> Self {
        Self {
            prefix,
            after,
            items: Vec::new(),
            revisions: None,
            is_complete: false,
        }
    }

    /// Reads the next page. What was read before is kept if this fails.
    async fn read_page<F>(&mut self, call: &impl Fn(Call) -> F) -> Result<(), Fault>
    where
        F: Future<Output = Result<Answer, Fault>>,
    {
        let range = Call::Range {
            prefix: self.prefix.clone(),
            after: self.after.clone(),
            stale: false,
            large: true,
        };
        let answer = match call(range).await {
            Ok(Answer::Page {
                items,
                more,
                revision,
            }) => Ok((items, more, revision)),
            Ok(_) => Err(Fault::Unknown),
            Err(fault) => Err(fault),
        };
        let (items, more, revision) = answer.inspect_err(|fault| {
            let (prefix, items) = (&self.prefix, self.items.len());
            log::warn!(target: "node", "event=load-retry prefix={prefix} items={items} why={fault}");
        })?;
        if let Some(last) = items.last() {
            self.after.clone_from(&last.key);
        }
        let (lowest, highest) = self.revisions.unwrap_or((revision, revision));
        self.revisions = Some((lowest.min(revision), highest.max(revision)));
        self.items.extend(items);
        self.is_complete = !more;
        Ok(())
    }

    /// Reads the remaining pages, one after the other.
    async fn read_rest<F>(&mut self, call: &impl Fn(Call) -> F) -> Result<(), Fault>
    where
        F: Future<Output = Result<Answer, Fault>>,
    {
        while !self.is_complete {
            self.read_page(call).await?;
        }
        Ok(())
    }
}

/// `Listing` is what has been read of the keys with a prefix.
#[derive(Clone, Debug)]
pub struct Listing {
    prefix: &'static str,
    /// The ranges that make up the prefix, in the order of their keys: one until the first page is read.
    parts: Vec<Part>,
}

impl Listing {
    /// Creates a listing of which nothing has been read.
    #[must_use]
    pub fn new(prefix: &'static str) -> Self {
        Self {
            prefix,
            parts: vec![Part::new(prefix.to_owned(), String::new())],
        }
    }

    /// Returns the prefix of the keys.
    #[must_use]
    pub const fn prefix(&self) -> &'static str {
        self.prefix
    }

    /// Returns whether all pages have been read.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.parts.iter().all(|part| part.is_complete)
    }

    /// Returns the lowest revision of the store at a page; zero if no page has been read.
    ///
    /// A watch from that revision covers the changes made while later pages were read.
    #[must_use]
    pub fn revision(&self) -> u64 {
        let revisions = self.parts.iter().filter_map(|part| part.revisions);
        revisions.map(|(lowest, _)| lowest).min().unwrap_or(0)
    }

    /// Returns the highest revision of the store at a page; zero if no page has been read.
    #[must_use]
    pub fn highest_revision(&self) -> u64 {
        let revisions = self.parts.iter().filter_map(|part| part.revisions);
        revisions.map(|(_, highest)| highest).max().unwrap_or(0)
    }

    /// Returns the number of items.
    #[must_use]
    pub fn count(&self) -> usize {
        self.parts.iter().map(|part| part.items.len()).sum()
    }

    /// Returns the items, sorted by key.
    #[must_use]
    pub fn into_items(self) -> Vec<Item> {
        // The parts ascend and don't overlap.
        self.parts.into_iter().flat_map(|part| part.items).collect()
    }

    /// Splits what follows the first page by the leading digit of the ids, so that it can be read at once.
    ///
    /// Returns whether more follows and was not split before.
    fn split(&mut self) -> bool {
        let [first] = self.parts.as_mut_slice() else {
            return false;
        };
        if first.is_complete || first.revisions.is_none() {
            return false;
        }
        let rest = keys::split(self.prefix);
        if rest.is_empty() {
            return true;
        }
        first.is_complete = true;
        let last = first.after.clone();
        for prefix in rest {
            if last.starts_with(&prefix) {
                self.parts.push(Part::new(prefix, last.clone()));
            } else if prefix > last {
                self.parts.push(Part::new(prefix, String::new()));
            }
        }
        true
    }

    /// Applies the changes of the keys up to `revision`; all pages must have been read.
    ///
    /// A change that a page already includes has no effect.
    pub fn apply(&mut self, changes: Vec<Change>, revision: u64) {
        let highest = self.highest_revision();
        let mut items: Vec<Item> = Vec::with_capacity(self.count());
        for part in &mut self.parts {
            items.append(&mut part.items);
        }
        for change in changes {
            match change {
                Change::Written(item) => {
                    match items.binary_search_by(|have| have.key.cmp(&item.key)) {
                        Ok(at) if items[at].revision < item.revision => items[at] = item,
                        Ok(_) => {}
                        Err(at) => items.insert(at, item),
                    }
                }
                Change::Removed { key, revision } => {
                    if let Ok(at) = items.binary_search_by(|have| have.key.cmp(&key))
                        && items[at].revision <= revision
                    {
                        items.remove(at);
                    }
                }
            }
        }
        self.parts = vec![Part {
            prefix: self.prefix.to_owned(),
            after: String::new(),
            items,
            revisions: Some((revision, highest.max(revision))),
            is_complete: true,
        }];
    }
}

/// Reads the first page of each listing of which nothing has been read.
///
/// Returns whether more pages follow that were not told of before.
///
/// # Errors
/// Fails with the first fault, after all calls have been answered.
pub async fn read_first<F>(
    listings: &mut [&mut Listing],
    call: impl Fn(Call) -> F,
) -> Result<bool, Fault>
where
    F: Future<Output = Result<Answer, Fault>>,
{
    let is_unread = |listing: &&mut &mut Listing| listing.parts[0].revisions.is_none();
    let unread = listings.iter_mut().filter(is_unread);
    let mut unread: Vec<&mut Listing> = unread.map(|listing| &mut **listing).collect();
    let firsts = unread
        .iter_mut()
        .map(|listing| listing.parts[0].read_page(&call));
    let outcomes = join_all(firsts).await;
    let mut has_more = false;
    for listing in listings.iter_mut() {
        // Also one whose first page arrived in a read that was cut off before it was split.
        has_more |= listing.split();
    }
    outcomes.into_iter().collect::<Result<(), Fault>>()?;
    Ok(has_more)
}

/// Reads the remaining pages of the listings with at most `width` reads in flight.
///
/// The pages that were read are kept if one fails.
///
/// # Errors
/// Fails with the first fault, after all ranges have been tried.
pub async fn read_rest<F>(
    listings: &mut [&mut Listing],
    width: usize,
    call: impl Fn(Call) -> F,
) -> Result<(), Fault>
where
    F: Future<Output = Result<Answer, Fault>>,
{
    let parts = listings
        .iter_mut()
        .flat_map(|listing| listing.parts.iter_mut());
    let mut parts: Vec<&mut Part> = parts.filter(|part| !part.is_complete).collect();
    // Ranges that most likely have no keys go last: ids have either upper-case or lower-case digits.
    parts.sort_by(|a, b| match (is_upper(a), is_upper(b)) {
        (false, true) => Ordering::Less,
        (true, false) => Ordering::Greater,
        _ => Ordering::Equal,
    });
    let reads = parts.into_iter().map(|part| part.read_rest(&call));
    let outcomes: Vec<Result<(), Fault>> =
        stream::iter(reads).buffer_unordered(width).collect().await;
    outcomes.into_iter().collect()
}

fn is_upper(part: &Part) -> bool {
    part.prefix.ends_with(|c: char| c.is_ascii_uppercase())
}

/// Returns how many reads may be in flight on a link on which the first pages of jobs and records took `elapsed`.
///
/// Load pattern: a link of 10 Mbit/s, on which a full page takes 0.8 s. Eight full pages at once would all time out,
/// and the same would happen again each time.
#[must_use]
pub fn read_width(elapsed: Millis) -> usize {
    let width = FULL_PREFIXES * FULL_PAGES_LIMIT.0 / elapsed.0.max(1);
    usize::try_from(width).map_or(MAX_READS, |width| width.clamp(1, MAX_READS))
}

/// Returns how many reads may be in flight after one of `width` has failed.
#[must_use]
pub const fn narrower(width: usize) -> usize {
    if width > 1 { width / 2 } else { 1 }
}
