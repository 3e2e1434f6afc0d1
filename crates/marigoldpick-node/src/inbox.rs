//! The inbox of submitted jobs and cancels: read as a whole by a new lead, then watched.

use std::rc::Rc;
use std::sync::Arc;

use async_std::task;
use marigoldpick_core::clock::time_of_day;
use marigoldpick_core::excerpt::Excerpt;
use marigoldpick_core::prelude::*;
use marigoldpick_core::store::{Answer, Call, Change, Fault, Item};
use marigoldpick_core::work;
use marigoldpick_job::lead::Origin;
use marigoldpick_job::lead::roster::Part;
use marigoldpick_job::record::Record;

use crate::config::confirmation_interval;
use crate::control::Control;
use crate::keys;
use crate::leadership::Leadership;
use crate::listing::{Listing, MAX_READS};
use crate::phases::Phase;
use crate::platform::Platform;
use crate::snapshot::Snapshot;
use crate::submission;

/// The timeout of a watch on the inbox.
const WATCH_TIMEOUT: Millis = Millis(3_000);
/// The timeout of a confirmation's watch for changes that the store already has; the shortest one.
const CONFIRMATION_WAIT: Millis = Millis(1);
/// The pause between two watches of the inbox, so that new jobs arrive in batches.
const WATCH_GAP: Millis = Millis(15);
/// The delay before a failed call to the store is retried.
const STORE_RETRY: Millis = Millis(150);

/// `View` says how much of the inbox a lead knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct View {
    /// The store's revision up to which all changes are known.
    pub revision: u64,
    /// The send time of the latest call whose answer included all changes until then.
    pub as_of: Millis,
}

impl View {
    /// Returns the view after an answer with all changes up to `revision`, to a call sent at `sent`.
    ///
    /// Answers may overtake each other; an older one takes nothing back.
    #[must_use]
    pub fn advance(self, revision: u64, sent: Millis) -> Self {
        Self {
            revision: self.revision.max(revision),
            as_of: self.as_of.max(sent),
        }
    }

    /// Returns when the next confirmation is due, `interval` after the last answer.
    #[must_use]
    pub fn next_confirmation(self, interval: Millis) -> Millis {
        self.as_of + interval
    }
}

impl<P: Platform> Control<P> {
    /// Loads the inbox and the records of its jobs, of which `snapshot` may have been read before the claim.
    ///
    /// Retries until it succeeds; returns nothing if the term ends first.
    pub(crate) async fn load_inbox(
        self: &Rc<Self>,
        leadership: &Leadership,
        snapshot: Snapshot,
    ) -> Option<()> {
        let ahead = snapshot.count();
        leadership.set_items_ahead(ahead);
        let snapshot = self.complete_snapshot(leadership, snapshot).await?;
        leadership.end_phase(Phase::Read, self.now());
        let revision = snapshot.inbox.revision();
        let now = self.now();
        let roster = snapshot.roster.into_items();
        leadership.update(|lead| lead.inherit_roster(read_roster(&roster), now));
        let (inbox, records) = (snapshot.inbox.into_items(), snapshot.records.into_items());
        self.apply_inbox(leadership, &inbox, &records);
        leadership.end_phase(Phase::Apply, self.now());
        let (term, items, records) = (leadership.term(), inbox.len(), records.len());
        log::info!(target: "node", "event=lead-loaded term={term} items={items} records={records} ahead={ahead}");
        // The snapshot has all changes up to the claim.
        leadership.advance_inbox(revision, leadership.began());
        Some(())
    }

    /// Reads the whole inbox again, unless the term ends first.
    async fn reread_inbox(self: &Rc<Self>, leadership: &Leadership) {
        let mut inbox = Listing::new(keys::INBOX);
        let mut width = MAX_READS;
        // Pages are kept when a later one fails, so that all are known only as of the first attempt.
        let sent = self.now();
        while !leadership.is_over() {
            let call = |call| self.call_store(call);
            if self
                .read_on(&mut [&mut inbox], &mut width, call)
                .await
                .is_ok()
            {
                let revision = inbox.revision();
                log::info!(target: "node", "event=inbox-reread items={}", inbox.count());
                self.apply_inbox(leadership, &inbox.into_items(), &[]);
                leadership.advance_inbox(revision, sent);
                return;
            }
            task::sleep(STORE_RETRY.duration()).await;
        }
    }

    /// Applies the whole inbox; jobs go before their cancels, although the keys of cancels sort first.
    fn apply_inbox(&self, leadership: &Leadership, inbox: &[Item], records: &[Item]) {
        let is_cancel = |item: &&Item| item.key.starts_with(keys::CANCELS);
        let jobs = inbox.iter().filter(|item| !is_cancel(item));
        let jobs = jobs.filter_map(|item| {
            let (id, job) = read_or_log_job(item)?;
            keep_queue(leadership, &job, item);
            Some((id, job))
        });
        let mut jobs: Vec<(id::Job, work::Job)> = jobs.collect();
        // The teams' rates apply to jobs in the order of their submission.
        jobs.sort_by_key(|(_, job)| job.accepted);
        let (now, wall) = (self.now(), time_of_day());
        for (id, job) in jobs {
            let key = keys::record(&id);
            let record = records.binary_search_by(|have| have.key.cmp(&key));
            let record = record.ok().and_then(|at| read_record(&records[at]));
            let origin = Origin::Loaded(record.as_ref());
            leadership.update(|lead| lead.accept(id, Arc::new(job), origin, wall, now));
        }
        for item in inbox.iter().filter(is_cancel) {
            self.apply_item(leadership, item);
        }
    }

    /// Applies one new key of the inbox to the lead.
    fn apply_item(&self, leadership: &Leadership, item: &Item) {
        let now = self.now();
        if item.key.starts_with(keys::JOBS) {
            if let Some((id, job)) = read_or_log_job(item) {
                keep_queue(leadership, &job, item);
                let wall = time_of_day();
                leadership.update(|lead| lead.accept(id, Arc::new(job), Origin::New, wall, now));
            }
        } else if let Some(id) = item.key.strip_prefix(keys::CANCELS)
            && let Ok(id) = id::Job::new(id)
        {
            leadership.update(|lead| lead.cancel(&id, now));
        }
    }

    /// Watches the inbox and applies what entries write to it.
    pub(crate) async fn follow_inbox(self: Rc<Self>, leadership: Rc<Leadership>) {
        while !leadership.is_over() {
            let read = self.read_changes(&leadership, WATCH_TIMEOUT, "watch").await;
            let pause = if read.is_ok() { WATCH_GAP } else { STORE_RETRY };
            task::sleep(pause.duration()).await;
        }
    }

    /// Reads the changes of the inbox at regular intervals in which the watch has not been answered, so that a cancel
    /// reaches the lead in time.
    ///
    /// A watch without events shows nothing: its connection may be dead, or the store may have dropped the history that
    /// it waits on.
    pub(crate) async fn confirm_inbox(self: Rc<Self>, leadership: Rc<Leadership>) {
        let interval = confirmation_interval(self.settings.job.inbox_bound);
        while !leadership.is_over() {
            let due = leadership.inbox().next_confirmation(interval);
            let wait = due.since(self.now());
            if wait > Millis::ZERO {
                task::sleep(wait.duration()).await;
                continue;
            }
            // Other calls probe a store that is lost, and starts wait for the inbox once it is back.
            if self.can_reach_store() {
                let read = self.read_changes(&leadership, CONFIRMATION_WAIT, "confirmation");
                match read.await {
                    Ok(()) => continue,
                    Err(fault) => {
                        log::debug!(target: "node", "event=inbox-unconfirmed why={fault}");
                    }
                }
            }
            task::sleep(STORE_RETRY.duration()).await;
        }
    }

    /// Applies the changes of the inbox that the lead does not know yet; `via` names the caller in the log.
    ///
    /// If the history since then is no longer available, the whole inbox is read again.
    async fn read_changes(
        self: &Rc<Self>,
        leadership: &Leadership,
        wait: Millis,
        via: &'static str,
    ) -> Result<(), Fault> {
        let sent = self.now();
        let follow = Call::Follow {
            prefix: keys::INBOX.to_owned(),
            revision: leadership.inbox().revision,
            wait,
        };
        let Answer::Changes { changes, revision } = self.call_store(follow).await? else {
            self.reread_inbox(leadership).await;
            return Ok(());
        };
        let known = leadership.inbox();
        let mut count = 0;
        for change in &changes {
            if let Change::Written(item) = change
                && item.revision > known.revision
            {
                self.apply_item(leadership, item);
                count += 1;
            }
        }
        if count > 0 {
            metrics::counter!("marigold_inbox_changes_total", "via" => via).increment(count);
            log::debug!(
                target: "node",
                "event=inbox-changed via={via} changes={count} unconfirmed_ms={}",
                sent.since(known.as_of).0
            );
        }
        leadership.advance_inbox(revision, sent);
        Ok(())
    }
}

/// Parses the roster; there is none if no part is stored, or if one can't be read.
fn read_roster(items: &[Item]) -> Option<Vec<Part>> {
    let parse = |item: &Item| {
        let number = item.key.strip_prefix(keys::ROSTER)?.parse().ok()?;
        let workers = serde_json::from_str(&item.value).ok()?;
        Some((number, workers))
    };
    let parts = items.iter().map(|item| {
        let part = parse(item);
        if part.is_none() {
            log::error!(target: "node", "event=roster-unread key=\"{}\"", Excerpt(&item.key));
        }
        part
    });
    let parts: Option<Vec<Part>> = parts.collect();
    parts.filter(|parts| !parts.is_empty())
}

/// Passes the settings of a job's queue to the lead if the configuration no longer has that queue.
fn keep_queue(leadership: &Leadership, job: &work::Job, item: &Item) {
    if leadership.read(|lead| lead.has_queue(&job.queue)) {
        return;
    }
    match submission::read_terms(&item.value) {
        Ok(Some(queue)) if queue.name == job.queue => {
            log::info!(target: "node", "event=queue-kept queue={} service={}", queue.name, queue.service);
            leadership.update(|lead| lead.keep_queue(queue));
        }
        Ok(_) => {}
        Err(error) => {
            let (key, why) = (Excerpt(&item.key), Excerpt(error));
            log::error!(target: "node", "event=job-unread key=\"{key}\" why=\"{why}\"");
        }
    }
}

/// Parses a job and its id; one that is malformed is logged and left out, and the marker of a rejected one is left out.
fn read_or_log_job(item: &Item) -> Option<(id::Job, work::Job)> {
    if submission::is_marker(&item.value) {
        return None;
    }
    match read_job(item) {
        Ok(job) => Some(job),
        Err(why) => {
            let (key, why) = (Excerpt(&item.key), Excerpt(&why));
            log::error!(target: "node", "event=job-unread key=\"{key}\" why=\"{why}\"");
            None
        }
    }
}

/// Parses a job and its id.
fn read_job(item: &Item) -> Result<(id::Job, work::Job), String> {
    let id = item.key.strip_prefix(keys::JOBS).unwrap_or_default();
    let id = id::Job::new(id).map_err(|error| error.to_string())?;
    let job = serde_json::from_str(&item.value).map_err(|error| error.to_string())?;
    Ok((id, job))
}

/// Parses a job's record; one that is malformed is logged and left out.
fn read_record(item: &Item) -> Option<Record> {
    match Record::parse(&item.value) {
        Ok(record) => Some(record),
        Err(error) => {
            let (key, why) = (Excerpt(&item.key), Excerpt(error));
            log::error!(target: "node", "event=record-unread key=\"{key}\" why=\"{why}\"");
            None
        }
    }
}
