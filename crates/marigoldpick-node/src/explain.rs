//! Explains where a job would go: the admission as this entry decides it, the placement as the lead does.
//!
//! Load pattern: an operator asks any entry. Only the lead has the workers' state, so an entry that does not
//! lead forwards the question once. An entry that is asked by another one answers only if it leads, so that no
//! question travels further while two entries disagree about who leads.

use std::rc::Rc;
use std::sync::Arc;

use marigoldpick_core::clock::time_of_day;
use marigoldpick_core::work::{Job, explain, peer};
use marigoldpick_job::admission::MIN_DELAY;
use marigoldpick_job::quota;

use crate::config::Config;
use crate::control::Control;
use crate::platform::Platform;

impl<P: Platform> Control<P> {
    /// Returns where a job would go, without accepting it.
    ///
    /// The admission is that of the configuration that this entry knows; the placement is the lead's.
    pub(crate) async fn explain(self: &Rc<Self>, job: Arc<Job>) -> explain::Answer {
        let lead = self.lead.borrow().clone();
        let placement = match self.place_own(Arc::clone(&job)) {
            Some(placement) => placement,
            None => match self.ask_lead(peer::Call::Explain(Arc::clone(&job))).await {
                Some(peer::Answer::Placement(placement)) => placement,
                _ => None,
            },
        };
        let active = self.shared.config.load_full();
        let config = active.as_ref().map(|active| &active.config);
        let now = self.now();
        explain::Answer {
            entry: self.settings.entry.clone(),
            lead: lead.map(|lead| lead.entry),
            version: config.map_or(0, |config| config.version),
            config_age: active
                .as_ref()
                .and_then(|active| active.confirmed())
                .map(|at| now.since(at)),
            admission: self.explain_admission(config.map(|config| &**config), &job),
            placement,
        }
    }

    /// Returns the placement of a job if this entry leads; the inner `None` says that its queue is unknown.
    pub(crate) fn place_own(&self, job: Arc<Job>) -> Option<Option<explain::Placement>> {
        let leadership = self.leadership()?;
        let now = self.now();
        Some(leadership.read(|lead| lead.explain(job, time_of_day(), now)))
    }

    /// Returns whether a job would be accepted.
    fn explain_admission(
        self: &Rc<Self>,
        config: Option<&Config>,
        job: &Job,
    ) -> explain::Admission {
        let Some(config) = config else {
            return explain::Admission {
                rejected_by: Some("no configuration yet".to_owned()),
                retry_after: None,
            };
        };
        let queue = config.queue(&job.queue);
        let late = queue.and_then(|queue| self.preview(job, queue));
        explain::Admission {
            rejected_by: find_bound(config, job)
                .or_else(|| late.map(|estimate| format!("it could not end in time: {estimate}"))),
            retry_after: late.map(|estimate| estimate.delay().max(MIN_DELAY)),
        }
    }
}

/// Returns the bound of the configuration that rejects a job, if there is one.
fn find_bound(config: &Config, job: &Job) -> Option<String> {
    if config.queue(&job.queue).is_none() {
        return Some(format!("no queue {}", job.queue));
    }
    let team = job.team.as_ref()?;
    let mut shares = config.teams.shares().iter();
    let Some(share) = shares.find(|share| share.team == *team) else {
        return Some(format!("no team {team}"));
    };
    let step = quota::find_unservable(&share.limit, job)?;
    let limit = share.limit;
    Some(format!(
        "step {step} can never run within the limit of {limit}"
    ))
}
