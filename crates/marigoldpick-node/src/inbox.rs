//! The inbox of submitted jobs and cancels: read as a whole by a new lead, then watched.

use std::rc::Rc;
use std::sync::Arc;

use async_std::task;
use marigoldpick_core::clock::time_of_day;
use marigoldpick_core::excerpt::Excerpt;
use marigoldpick_core::prelude::*;
use marigoldpick_core::store::{Answer, Call, Change, Item};
use marigoldpick_core::work;
use marigoldpick_job::lead::Origin;
use marigoldpick_job::lead::roster::Part;
use marigoldpick_job::record::Record;

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
/// The pause between two watches of the inbox, so that new jobs arrive in batches.
const WATCH_GAP: Millis = Millis(15);
/// The delay before a failed call to the store is retried.
const STORE_RETRY: Millis = Millis(150);

impl<P: Platform> Control<P> {
    /// Loads the inbox and the records of its jobs, of which `snapshot` may have been read before the claim; returns
    /// the revision from which to watch the inbox.
    ///
    /// Retries until it succeeds; returns nothing if the term ends first.
    pub(crate) async fn load_inbox(
        self: &Rc<Self>,
        leadership: &Leadership,
        snapshot: Snapshot,
    ) -> Option<u64> {
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
        Some(revision)
    }

    /// Reads the whole inbox again; returns the revision from which to watch it, unless the term ends first.
    async fn reread_inbox(self: &Rc<Self>, leadership: &Leadership) -> Option<u64> {
        let mut inbox = Listing::new(keys::INBOX);
        let mut width = MAX_READS;
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
                return Some(revision);
            }
            task::sleep(STORE_RETRY.duration()).await;
        }
        None
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
    ///
    /// If the history after `revision` is no longer available, the whole inbox is read again.
    pub(crate) async fn follow_inbox(
        self: Rc<Self>,
        leadership: Rc<Leadership>,
        mut revision: u64,
    ) {
        while !leadership.is_over() {
            let follow = Call::Follow {
                prefix: keys::INBOX.to_owned(),
                revision,
                wait: WATCH_TIMEOUT,
            };
            match self.call_store(follow).await {
                Ok(Answer::Changes {
                    changes,
                    revision: now,
                }) => {
                    revision = now;
                    for change in &changes {
                        if let Change::Written(item) = change {
                            self.apply_item(&leadership, item);
                        }
                    }
                    task::sleep(WATCH_GAP.duration()).await;
                }
                Ok(_) => {
                    if let Some(now) = self.reread_inbox(&leadership).await {
                        revision = now;
                    }
                }
                Err(_) => task::sleep(STORE_RETRY.duration()).await,
            }
        }
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
