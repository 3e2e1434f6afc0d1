//! Decisions of a standby: an entry that reads what is stored while the lead is suspect, before the lead's key is gone.
//!
//! Load pattern: the lead is killed or cut off, or all entries lose power, while 2,000 jobs are stored. The lease on the
//! lead's key lasts for up to 1.5 s, and reading takes 0.6 s with the store 9 ms away. A standby reads in that time and
//! claims the lead once the key is gone. It never claims a key that is held.

mod driver;

use marigoldpick_core::prelude::*;

use crate::election::campaign_delay;

pub(crate) use driver::{Shelf, State};

/// The time from one ping of the lead to the next. A loss is noticed within this time and the ping's timeout, which
/// leaves most of the lease on the lead's key for the read.
pub const PING_INTERVAL: Millis = Millis(400);
/// The minimum time between the beginnings of two reads.
pub const READ_INTERVAL: Millis = Millis(5_000);
/// The age at which a snapshot is dropped; by then the changes since take as long to fetch as what is stored.
pub const SNAPSHOT_LIFETIME: Millis = Millis(10_000);
/// How long a lead may load what is stored after its claim. It answers until then that it does not lead.
pub const LOAD_LIMIT: Millis = Millis(3_000);
/// How long a ping without a response counts in place of one before the campaign. It covers an interval and a timeout;
/// an older one says nothing about a lead that has lost its key in an outage of the store since.
pub const PING_LIFETIME: Millis = Millis(1_000);

/// The maximum number of standbys in a failure domain. Each pings the lead and may read all that is stored; one domain
/// may be cut off together with the lead.
pub const MAX_STANDBYS: usize = 2;

/// `Role` is what decides whether an entry is a standby.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Role {
    /// The strength of the entry.
    pub strength: u32,
    /// The greatest strength of another entry, if there is one.
    pub largest: Option<u32>,
    /// The number of other entries of the failure domain that are at least as strong and come first by name.
    pub ahead: usize,
    /// Whether the list of the entries has been read since the start of the process.
    pub knows_members: bool,
    /// Whether there is a configuration, without which no entry campaigns.
    pub has_config: bool,
    /// Whether the process is about to end.
    pub is_draining: bool,
}

impl Role {
    /// Returns whether the entry would campaign without delay and is one of the first such entries of its domain.
    ///
    /// After a restart of all entries most of them would count as the strongest until they have read the list.
    #[must_use]
    pub fn is_standby(&self) -> bool {
        self.is_settled()
            && !self.is_draining
            && self.ahead < MAX_STANDBYS
            && campaign_delay(self.strength, self.largest) == Millis::ZERO
    }

    /// Returns whether a process that has just started knows enough to tell whether it is a standby.
    #[must_use]
    pub const fn is_settled(&self) -> bool {
        self.knows_members && self.has_config
    }
}

/// `Response` is the outcome of a ping of the lead.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Response {
    /// It leads.
    Leads,
    /// It does not lead: it has restarted, or still loads what is stored.
    Idle,
    /// It refused the call.
    Refused,
    /// There was no response in time.
    Missing,
}

/// `Reason` says why the lead is suspect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// A ping failed.
    PingFailed,
    /// It answers that it does not lead.
    NotLeading,
    /// The key names an earlier process of this entry.
    OwnKey,
}

impl Reason {
    /// Returns the name of the reason in the log and in metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::PingFailed => "ping-failed",
            Self::NotLeading => "not-leading",
            Self::OwnKey => "own-key",
        }
    }
}

/// `Watch` is what an entry knows of the lead that the store names, and when it last read ahead.
#[derive(Clone, Debug, Default)]
pub struct Watch {
    /// The name of the claim.
    holder: Option<String>,
    /// When the claim was seen to appear; `None` if it was there when this process first looked.
    appeared: Option<Millis>,
    /// Whether this process has looked at the lead's key.
    has_looked: bool,
    suspicion: Option<Reason>,
    /// When the last ping of the claim's entry ended, if it had no response.
    missed: Option<Millis>,
    is_standby: bool,
    /// When the last read began.
    last_read: Option<Millis>,
}

impl Watch {
    /// Records the claim that the store names; `is_own` says whether it was made by a process of this entry.
    pub fn see_claim(&mut self, holder: &str, is_own: bool, now: Millis) {
        if self.holder.as_deref() != Some(holder) {
            self.holder = Some(holder.to_owned());
            self.appeared = self.has_looked.then_some(now);
            self.suspicion = is_own.then_some(Reason::OwnKey);
            self.missed = None;
        }
        self.has_looked = true;
    }

    /// Records that the store names no lead. What is known of the last one is kept for the campaign.
    pub const fn see_vacancy(&mut self) {
        self.has_looked = true;
    }

    /// Records whether this entry is a standby.
    pub const fn set_standby(&mut self, is_standby: bool) {
        self.is_standby = is_standby;
    }

    /// Returns the name of the claim that was last seen.
    #[must_use]
    pub fn holder(&self) -> Option<&str> {
        self.holder.as_deref()
    }

    /// Records the outcome of a ping of the entry that made the claim `holder`.
    ///
    /// It says nothing about another claim that was seen meanwhile.
    pub fn record(&mut self, holder: &str, response: Response, now: Millis) {
        if self.holder.as_deref() != Some(holder) {
            return;
        }
        self.missed = (response == Response::Missing).then_some(now);
        let loads = self.appeared.is_some_and(|at| now.since(at) < LOAD_LIMIT);
        match response {
            Response::Leads => self.suspicion = None,
            // All standbys would read beside a new lead that does the same.
            Response::Idle if loads => {}
            Response::Idle => self.suspicion = Some(Reason::NotLeading),
            Response::Refused | Response::Missing => self.suspicion = Some(Reason::PingFailed),
        }
    }

    /// Returns why the lead is suspect to this standby; nothing if it is not, or if this entry is no standby.
    #[must_use]
    pub fn suspicion(&self) -> Option<Reason> {
        self.suspicion.filter(|_| self.is_standby)
    }

    /// Returns why to read now, if a read is due; it then counts as begun.
    pub fn begin_read(&mut self, now: Millis) -> Option<Reason> {
        let why = self.suspicion()?;
        let is_due = self
            .last_read
            .is_none_or(|at| now.since(at) >= READ_INTERVAL);
        if !is_due {
            return None;
        }
        self.last_read = Some(now);
        Some(why)
    }

    /// Returns whether the last ping of the entry that the store named last had no response, a short time ago.
    #[must_use]
    pub fn is_missing(&self, now: Millis) -> bool {
        self.missed.is_some_and(|at| now.since(at) < PING_LIFETIME)
    }
}

/// Returns whether a snapshot whose read began at `began` may still be used.
#[must_use]
pub fn is_current(began: Millis, now: Millis) -> bool {
    now.since(began) < SNAPSHOT_LIFETIME
}
