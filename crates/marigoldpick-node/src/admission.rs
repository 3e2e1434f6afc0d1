//! Admission of submitted jobs: the lead's summary as this entry knows it, and the leases on rejections' markers.
//!
//! The decision itself is [`marigoldpick_job::admission`].

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use async_std::future::timeout;
use async_std::sync::Mutex;
use async_std::task;
use marigoldpick_core::clock::time_of_day;
use marigoldpick_core::prelude::*;
use marigoldpick_core::store::{Answer, Call};
use marigoldpick_core::work::load::Summary;
use marigoldpick_core::work::{Job, peer};
use marigoldpick_job::Queue;
use marigoldpick_job::admission::{Estimate, Observed, Reason, Verdict, decide, estimate};

use crate::control::Control;
use crate::platform::Platform;

/// The least time between two questions to the lead for its summary.
const ASK_INTERVAL: Millis = Millis(500);
/// The duration of a lease on markers. It exceeds [`LEASE_SHARING`] by 30 s, which a marker lasts at least: longer
/// than an earlier write of the same job can be in flight.
const LEASE_SPAN: Millis = Millis(35_000);
/// The time for which a lease is used for new markers, so that a burst of rejections needs few leases.
const LEASE_SHARING: Millis = Millis(5_000);
/// The timeout of the grant of a lease; a slow store takes a few hundred milliseconds.
const GRANT_TIMEOUT: Millis = Millis(400);
/// The time after a failed grant in which none is tried, so that submissions don't wait one after the other.
const GRANT_PAUSE: Millis = Millis(500);

/// `State` is what an entry knows for the admission of jobs.
#[derive(Debug, Default)]
pub(crate) struct State {
    /// The lead's last summary, and when the lead computed it at the earliest.
    known: RefCell<Option<(Millis, Rc<Summary>)>>,
    /// When the lead was last asked.
    asked: Cell<Option<Millis>>,
    /// The lease for markers, and when it was requested.
    lease: Cell<Option<(u64, Millis)>>,
    /// When the last grant failed.
    grant_failed: Cell<Option<Millis>>,
    /// Held during a grant, so that concurrent rejections share it.
    granting: Mutex<()>,
}

impl<P: Platform> Control<P> {
    /// Decides on a job; returns the numbers and the delay if it is to be rejected.
    pub(crate) fn assess(
        self: &Rc<Self>,
        id: &id::Job,
        job: &Job,
        queue: &Queue,
    ) -> Option<(Estimate, Millis)> {
        if !self.settings.admission {
            return None;
        }
        let known = self.know_load();
        match decide(id, job, queue, self.observe(known.as_ref())) {
            Verdict::Reject { estimate, after } => Some((estimate, after)),
            Verdict::Admit(reason) => {
                count_admitted(reason);
                None
            }
        }
    }

    /// Returns the numbers on which a job would be rejected if it were submitted now.
    pub(crate) fn preview(self: &Rc<Self>, job: &Job, queue: &Queue) -> Option<Estimate> {
        if !self.settings.admission {
            return None;
        }
        let known = self.know_load();
        let estimate = estimate(job, queue, self.observe(known.as_ref())).ok();
        estimate.filter(Estimate::is_late)
    }

    /// Returns a summary with its present age.
    fn observe<'a>(&self, known: Option<&'a (Millis, Rc<Summary>)>) -> Option<Observed<'a>> {
        let now = self.now();
        known.map(|(at, summary)| Observed {
            summary,
            age: now.since(*at),
        })
    }

    /// Returns the lead's summary and the time of its computation; asks for a newer one if that is due.
    fn know_load(self: &Rc<Self>) -> Option<(Millis, Rc<Summary>)> {
        let now = self.now();
        if self.leadership().is_some() {
            let summary = self.summarize_load()?;
            return Some((now - summary.age, Rc::new(summary)));
        }
        let state = &self.admission;
        if state
            .asked
            .get()
            .is_none_or(|at| now.since(at) >= ASK_INTERVAL)
        {
            state.asked.set(Some(now));
            task::spawn_local(Rc::clone(self).ask_load(now));
        }
        state.known.borrow().clone()
    }

    /// Asks the lead for its summary.
    async fn ask_load(self: Rc<Self>, sent: Millis) {
        if let Some(peer::Answer::Load(summary)) = self.ask_lead(peer::Call::Load).await {
            let computed = sent - summary.age;
            *self.admission.known.borrow_mut() = Some((computed, Rc::new(summary)));
        }
    }

    /// Returns the summary of the waiting work if this entry leads.
    pub(crate) fn summarize_load(&self) -> Option<Summary> {
        let (wall, now) = (time_of_day(), self.now());
        let leadership = self.leadership()?;
        Some(leadership.update_quietly(|lead| lead.load(wall, now)))
    }

    /// Returns a lease for a marker, unless none is granted.
    pub(crate) async fn marker_lease(self: &Rc<Self>) -> Option<u64> {
        let _one_at_a_time = self.admission.granting.lock().await;
        let state = &self.admission;
        let sent = self.now();
        if let Some((lease, at)) = state.lease.get()
            && sent.since(at) < LEASE_SHARING
        {
            return Some(lease);
        }
        let failed = state.grant_failed.get();
        if failed.is_some_and(|at| sent.since(at) < GRANT_PAUSE) {
            return None;
        }
        let grant = self.call_store(Call::Grant { span: LEASE_SPAN });
        let answer = timeout(GRANT_TIMEOUT.duration(), grant).await;
        if let Ok(Ok(Answer::Lease(lease))) = answer {
            state.lease.set(Some((lease, sent)));
            Some(lease)
        } else {
            state.grant_failed.set(Some(self.now()));
            None
        }
    }

    /// Drops the lease for markers, which the store no longer has.
    pub(crate) fn drop_marker_lease(&self) {
        self.admission.lease.set(None);
    }
}

/// Counts the outcome of a decision.
pub(crate) fn count_outcome(outcome: &'static str) {
    metrics::counter!("marigold_admission_total", "outcome" => outcome).increment(1);
}

fn count_admitted(reason: Reason) {
    count_outcome(if reason.is_unsure() {
        "unsure"
    } else {
        "admitted"
    });
}
