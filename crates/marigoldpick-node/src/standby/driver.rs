//! Pings the lead and reads what is stored, as the decisions of a standby say.

use std::cell::{Cell, RefCell};
use std::pin::pin;
use std::rc::Rc;

use async_channel::{Receiver, Sender};
use async_std::future::timeout;
use async_std::task;
use futures::future::{Either, join, select};
use marigoldpick_core::prelude::*;
use marigoldpick_core::store::Call;
use marigoldpick_core::work::peer;
use marigoldpick_wire as wire;

use super::{PING_INTERVAL, Reason, Response, Role, Watch, is_current};
use crate::control::Control;
use crate::election::PING_TIMEOUT;
use crate::member::Member;
use crate::platform::Platform;
use crate::snapshot::Snapshot;

/// How long one read lasts at most; what was read by then is kept.
const READ_LIMIT: Millis = Millis(2_000);
/// The maximum number of calls of one read, failed ones included. 2,000 jobs and as many
/// records take at most 47 calls: three first pages and 22 ranges of each.
const MAX_READ_CALLS: usize = 50;
/// The delay before a failed read is retried.
const READ_RETRY: Millis = Millis(150);
/// The time after which a process that has just started checks again whether it is a standby.
const SETTLE_INTERVAL: Millis = Millis(50);

/// `State` is what the election shares with the standby.
#[derive(Debug)]
pub(crate) struct State {
    pub(crate) watch: RefCell<Watch>,
    /// Tells the reader that the watch has changed.
    wake_sender: Sender<()>,
    wake_receiver: Receiver<()>,
}

impl Default for State {
    fn default() -> Self {
        let (wake_sender, wake_receiver) = async_channel::bounded(1);
        Self {
            watch: RefCell::default(),
            wake_sender,
            wake_receiver,
        }
    }
}

impl State {
    /// Records the claim that the store names; `is_own` says whether it was made by a process of this entry.
    pub(crate) fn see_claim(&self, holder: &str, is_own: bool, now: Millis) {
        self.watch.borrow_mut().see_claim(holder, is_own, now);
        self.wake();
    }

    /// Tells the reader that the watch has changed.
    fn wake(&self) {
        // A full channel means that a wake-up is already pending.
        let _is_woken = self.wake_sender.try_send(());
    }
}

/// `Kept` is a snapshot and when its read began.
#[derive(Debug)]
struct Kept {
    snapshot: Snapshot,
    began: Millis,
}

/// `Shelf` holds the snapshots of a standby.
#[derive(Debug, Default)]
pub(crate) struct Shelf {
    /// The last one whose read has ended.
    kept: Option<Kept>,
    /// The one that is being read; it is kept if the read is cut short by the end of the lead's key.
    reading: Option<Kept>,
}

impl Shelf {
    /// Creates a shelf with a snapshot that was read at `began`.
    pub(crate) fn new(snapshot: Snapshot, began: Millis) -> Self {
        Self {
            kept: Some(Kept { snapshot, began }),
            reading: None,
        }
    }

    pub(crate) fn clear(&mut self) {
        *self = Self::default();
    }

    /// Returns what was read, if it may still be used. A complete snapshot goes before one that is being read.
    pub(crate) fn take(&mut self, now: Millis) -> Snapshot {
        let Self { kept, reading } = std::mem::take(self);
        let kept = kept.into_iter().chain(reading);
        let mut current = kept.filter(|kept| is_current(kept.began, now));
        current.next().map(|kept| kept.snapshot).unwrap_or_default()
    }

    /// Drops what is too old.
    pub(crate) fn expire(&mut self, now: Millis) {
        self.kept.take_if(|kept| !is_current(kept.began, now));
        self.reading.take_if(|kept| !is_current(kept.began, now));
    }

    /// Returns the snapshot to read: an incomplete one, or else a new one.
    fn begin(&mut self, now: Millis) -> &mut Snapshot {
        let cut_short = self.reading.take();
        let incomplete = self.kept.take_if(|kept| !kept.snapshot.is_complete());
        let resumed = incomplete.or(cut_short).unwrap_or_else(|| Kept {
            snapshot: Snapshot::default(),
            began: now,
        });
        &mut self.reading.insert(resumed).snapshot
    }

    /// Keeps what was read, unless an earlier snapshot is complete and it is not; returns the number of its items.
    fn finish(&mut self) -> usize {
        let read = self.reading.take();
        let items = read.as_ref().map_or(0, |read| read.snapshot.count());
        if self.kept.is_none()
            || read
                .as_ref()
                .is_some_and(|read| read.snapshot.is_complete())
        {
            self.kept = read;
        }
        items
    }
}

impl<P: Platform> Control<P> {
    /// Pings the lead and reads ahead into `shelf` while it is suspect, without end; does nothing unless the settings
    /// ask for it.
    ///
    /// What was read remains on the shelf when this is dropped.
    pub(crate) async fn stand_by(self: &Rc<Self>, shelf: &mut Shelf) {
        if !self.settings.standby {
            return std::future::pending().await;
        }
        join(self.ping_lead(), self.read_while_suspect(shelf)).await;
    }

    /// Pings the lead that the store names at regular intervals.
    async fn ping_lead(&self) {
        let state = &self.standby;
        loop {
            let began = self.now();
            let role = self.role();
            state.watch.borrow_mut().set_standby(role.is_standby());
            state.wake();
            let lead = self.lead.borrow().clone();
            let lead = lead.filter(|lead| lead.entry != self.settings.entry);
            let holder = state.watch.borrow().holder().map(str::to_owned);
            if let (true, Some(lead), Some(holder)) = (role.is_standby(), lead, holder) {
                let answer = self.call_peer(&lead, peer::Call::Ping, PING_TIMEOUT).await;
                let response = classify(answer);
                let mut watch = state.watch.borrow_mut();
                watch.record(&holder, response, self.now());
                drop(watch);
                state.wake();
            }
            let pause = if role.is_settled() {
                PING_INTERVAL
            } else {
                SETTLE_INTERVAL
            };
            task::sleep((began + pause).since(self.now()).duration()).await;
        }
    }

    /// Returns what decides whether this entry is a standby.
    fn role(&self) -> Role {
        let settings = &self.settings;
        let peers = self.peers.borrow();
        let is_ahead = |member: &&Member| {
            member.known.domain == settings.domain
                && member.strength >= settings.strength
                && member.known.entry < settings.entry
        };
        Role {
            strength: settings.strength,
            largest: self.largest_strength(),
            ahead: peers.iter().filter(is_ahead).count(),
            knows_members: self.knows_members.get(),
            has_config: self.has_config(),
            is_draining: self.is_draining(),
        }
    }

    /// Reads ahead when that is due, and drops what was read when the lead is no longer suspect.
    async fn read_while_suspect(self: &Rc<Self>, shelf: &mut Shelf) {
        let state = &self.standby;
        loop {
            // The channel is closed only together with the state.
            let _is_over = state.wake_receiver.recv().await;
            if state.watch.borrow().suspicion().is_none() {
                shelf.clear();
                continue;
            }
            let began = self.now();
            shelf.expire(began);
            // Reads would be calls without an answer, beside the probes of the store.
            let due = if self.can_reach_store() {
                state.watch.borrow_mut().begin_read(began)
            } else {
                None
            };
            if let Some(why) = due {
                self.read_for(why, shelf).await;
            }
        }
    }

    /// Reads what is stored until it is complete, the time is over or the lead is no longer suspect.
    async fn read_for(self: &Rc<Self>, why: Reason, shelf: &mut Shelf) {
        metrics::counter!("marigold_standby_reads_total", "reason" => why.name()).increment(1);
        let state = &self.standby;
        let began = self.now();
        {
            let read = self.read_within_calls(shelf.begin(began));
            let mut read = pin!(timeout(READ_LIMIT.duration(), read));
            loop {
                match select(read.as_mut(), pin!(state.wake_receiver.recv())).await {
                    Either::Left(_) => break,
                    Either::Right(_) if state.watch.borrow().suspicion().is_none() => break,
                    Either::Right(_) => {}
                }
            }
        }
        let items = shelf.finish();
        log::info!(
            target: "node",
            "event=standby-read why={} items={items} took_ms={}",
            why.name(), self.now().since(began).0
        );
        // The reader may have consumed the wake-up that says so.
        state.wake();
    }

    /// Reads the remaining pages of a snapshot with a limited number of calls; those beyond it are never answered.
    async fn read_within_calls(self: &Rc<Self>, snapshot: &mut Snapshot) {
        let left = Cell::new(MAX_READ_CALLS);
        let left = &left;
        let call = move |call: Call| async move {
            let Some(rest) = left.get().checked_sub(1) else {
                return std::future::pending().await;
            };
            left.set(rest);
            self.call_store(call).await
        };
        while self.read_pages(snapshot, call).await.is_err() {
            task::sleep(READ_RETRY.duration()).await;
        }
    }
}

/// Returns what the answer to a ping says of the lead.
fn classify(answer: Result<peer::Answer, wire::Error>) -> Response {
    match answer {
        Ok(peer::Answer::Pong { term: 0, .. }) => Response::Idle,
        Ok(peer::Answer::Pong { .. }) => Response::Leads,
        Ok(_) | Err(wire::Error::Refused(_)) => Response::Refused,
        Err(wire::Error::Away | wire::Error::Unknown) => Response::Missing,
    }
}
