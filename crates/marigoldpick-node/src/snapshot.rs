//! Reads what is stored for a new lead: the jobs, their records and the roster.
//!
//! A successor reads before its claim while the earlier lead goes on. What it has read is then brought up to the
//! revision of its claim, from which on only the new lead changes records and the roster, or removes jobs.

use std::rc::Rc;

use async_std::future::timeout;
use async_std::task;
use futures::future::join3;
use marigoldpick_core::prelude::*;
use marigoldpick_core::store::{Answer, Call, Fault};

use crate::control::Control;
use crate::keys;
use crate::leadership::Leadership;
use crate::listing::{self, Listing, MAX_READS};
use crate::platform::Platform;

/// The delay before a failed call to the store is retried.
const STORE_RETRY: Millis = Millis(150);
/// The timeout of a watch for changes that the store already has; the shortest one, since there may be none.
const CATCH_UP_WAIT: Millis = Millis(1);
/// The maximum number of such watches in a row. One is enough unless its answer comes from a part of the store that
/// lags behind the claim.
const MAX_CATCH_UPS: usize = 10;
/// How often listings are completed for one claim before the store gets a pause. A listing that is begun anew after
/// the claim needs no changes.
const MAX_ROUNDS: usize = 2;

/// `Snapshot` is what has been read of the jobs, their records and the roster.
#[derive(Debug)]
pub(crate) struct Snapshot {
    pub(crate) inbox: Listing,
    pub(crate) records: Listing,
    pub(crate) roster: Listing,
    /// The maximum number of reads in flight.
    width: usize,
}

impl Default for Snapshot {
    fn default() -> Self {
        Self {
            inbox: Listing::new(keys::INBOX),
            records: Listing::new(keys::RECORDS),
            roster: Listing::new(keys::ROSTER),
            width: MAX_READS,
        }
    }
}

impl Snapshot {
    /// Returns the number of items.
    pub(crate) fn count(&self) -> usize {
        self.inbox.count() + self.records.count() + self.roster.count()
    }

    /// Returns whether all pages have been read.
    pub(crate) fn is_complete(&self) -> bool {
        let listings = [&self.inbox, &self.records, &self.roster];
        listings.into_iter().all(Listing::is_complete)
    }
}

impl<P: Platform> Control<P> {
    /// Completes a snapshot so that it is as of the claim to the term or later.
    ///
    /// Retries until it succeeds; returns nothing if the term ends first.
    pub(crate) async fn complete_snapshot(
        self: &Rc<Self>,
        leadership: &Leadership,
        mut snapshot: Snapshot,
    ) -> Option<Snapshot> {
        while !leadership.is_over() {
            let completed = self.read_as_of(&mut snapshot, leadership.term()).await;
            if completed.is_ok() {
                return Some(snapshot);
            }
            task::sleep(STORE_RETRY.duration()).await;
        }
        None
    }

    /// Reads what is stored before a claim, for at most `limit`; what was read by then is kept.
    pub(crate) async fn read_ahead(self: &Rc<Self>, limit: Millis) -> Snapshot {
        let mut snapshot = Snapshot::default();
        let read = async {
            let call = |call| self.call_store(call);
            while self.read_pages(&mut snapshot, call).await.is_err() {
                task::sleep(STORE_RETRY.duration()).await;
            }
        };
        let _is_complete = timeout(limit.duration(), read).await;
        snapshot
    }

    /// Reads the remaining pages of a snapshot and what has changed until the store's revision `claim`.
    async fn read_as_of(self: &Rc<Self>, snapshot: &mut Snapshot, claim: u64) -> Result<(), Fault> {
        for _ in 0..MAX_ROUNDS {
            self.read_pages(snapshot, |call| self.call_store(call))
                .await?;
            let (inbox, records, roster) = join3(
                self.catch_up(&mut snapshot.inbox, claim),
                self.catch_up(&mut snapshot.records, claim),
                self.catch_up(&mut snapshot.roster, claim),
            )
            .await;
            if inbox? && records? && roster? {
                return Ok(());
            }
        }
        Err(Fault::Unknown)
    }

    /// Reads the remaining pages of a snapshot by calls that `call` makes.
    pub(crate) async fn read_pages<F>(
        &self,
        snapshot: &mut Snapshot,
        call: impl Fn(Call) -> F + Copy,
    ) -> Result<(), Fault>
    where
        F: Future<Output = Result<Answer, Fault>>,
    {
        let Snapshot {
            inbox,
            records,
            roster,
            width,
        } = snapshot;
        self.read_on(&mut [inbox, records, roster], width, call)
            .await
    }

    /// Reads the remaining pages of listings, with at most `width` reads in flight.
    ///
    /// The pages that were read are kept if one fails. Fewer reads are then in flight, since they may have shared a
    /// link that is too slow for all of them.
    pub(crate) async fn read_on<F>(
        &self,
        listings: &mut [&mut Listing],
        width: &mut usize,
        call: impl Fn(Call) -> F + Copy,
    ) -> Result<(), Fault>
    where
        F: Future<Output = Result<Answer, Fault>>,
    {
        let began = self.now();
        if listing::read_first(listings, call).await? {
            *width = (*width).min(listing::read_width(self.now().since(began)));
        }
        let result = listing::read_rest(listings, *width, call).await;
        if result.is_err() {
            *width = listing::narrower(*width);
        }
        result
    }

    /// Applies to a complete listing what has changed until the store's revision `claim` or later.
    ///
    /// Returns whether the listing is as of that revision. Otherwise it has been emptied and has to be read again: the
    /// history is gone, or the changes did not arrive in time, as on a slow link, where only pages make progress.
    async fn catch_up(self: &Rc<Self>, listing: &mut Listing, claim: u64) -> Result<bool, Fault> {
        let mut revision = listing.revision();
        if revision >= claim {
            return Ok(true);
        }
        // Until then a page may include a part of the changes only.
        let target = claim.max(listing.highest_revision());
        let mut changes = Vec::new();
        for _ in 0..MAX_CATCH_UPS {
            let follow = Call::Follow {
                prefix: listing.prefix().to_owned(),
                revision,
                wait: CATCH_UP_WAIT,
            };
            match self.call_store(follow).await {
                Ok(Answer::Changes {
                    changes: more,
                    revision: now,
                }) => {
                    changes.extend(more);
                    revision = revision.max(now);
                    if revision >= target {
                        listing.apply(changes, revision);
                        return Ok(true);
                    }
                }
                Err(fault @ (Fault::Away | Fault::Overloaded)) => return Err(fault),
                Ok(_) | Err(Fault::Unknown | Fault::Invalid) => break,
            }
        }
        let (prefix, items) = (listing.prefix(), listing.count());
        log::info!(target: "node", "event=listing-discarded prefix={prefix} items={items} revision={revision} claim={claim}");
        *listing = Listing::new(prefix);
        Ok(false)
    }
}
