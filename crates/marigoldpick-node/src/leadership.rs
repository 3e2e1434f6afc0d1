//! The state of a term on the entry that leads: the scheduler, the lease and the chain's revision.

use std::cell::{Cell, RefCell};

use async_channel::{Receiver, Sender};
use marigoldpick_core::prelude::*;
use marigoldpick_job::lead::Counters;
use marigoldpick_job::{Lead, askers};

use crate::config::Config;
use crate::inbox::View;
use crate::paths;
use crate::phases::{Phase, Phases};
use crate::settings::Settings;

/// `Leadership` is the state of a term on the entry that leads.
pub(crate) struct Leadership {
    lead: RefCell<Lead>,
    term: u64,
    /// When the term began.
    began: Millis,
    /// The unique name of this entry's claim to the lead.
    pub(crate) holder: String,
    /// The store's lease on the lead's key.
    pub(crate) lease: Cell<u64>,
    /// The revision of the chain's key after this lead's last write.
    chain: Cell<u64>,
    /// The number of the last write under this claim.
    writes: Cell<u64>,
    /// Why the term is over, if it is.
    end_reason: Cell<Option<&'static str>>,
    /// Why the lead is being offered to another entry, if it is.
    offer: Cell<Option<&'static str>>,
    /// Whether the lead was offered to another entry in this term, which may claim it at any time.
    has_offered: Cell<bool>,
    /// Until when commits are held back for the claim of a successor.
    commits_held_until: Cell<Millis>,
    /// The phases of the takeover with which the term began.
    phases: Cell<Phases>,
    /// The number of items that were read before the claim.
    items_ahead: Cell<usize>,
    /// What the lead knows of the inbox.
    inbox: Cell<View>,
    /// The entries that relay orders.
    pub(crate) paths: RefCell<paths::Table>,
    wake_sender: Sender<()>,
    wake_receiver: Receiver<()>,
}

impl Leadership {
    /// Creates the state of a term that was claimed at `now`; `confirmed` is when the campaign began.
    pub(crate) fn new(
        settings: &Settings,
        term: u64,
        holder: String,
        lease: u64,
        confirmed: Millis,
        now: Millis,
    ) -> Self {
        let (wake_sender, wake_receiver) = async_channel::bounded(1);
        let mut phases = Phases::new(confirmed);
        phases.end(Phase::Claim, now);
        Self {
            lead: RefCell::new(Lead::new(settings.job, term, now).claimed_at(confirmed)),
            term,
            began: now,
            holder,
            lease: Cell::new(lease),
            chain: Cell::new(term),
            writes: Cell::new(0),
            end_reason: Cell::new(None),
            offer: Cell::new(None),
            has_offered: Cell::new(false),
            commits_held_until: Cell::new(Millis::ZERO),
            phases: Cell::new(phases),
            items_ahead: Cell::new(0),
            inbox: Cell::new(View {
                revision: 0,
                as_of: confirmed,
            }),
            paths: RefCell::default(),
            wake_sender,
            wake_receiver,
        }
    }

    pub(crate) const fn term(&self) -> u64 {
        self.term
    }

    pub(crate) const fn began(&self) -> Millis {
        self.began
    }

    /// Returns the revision of the chain's key after this lead's last write.
    pub(crate) fn chain(&self) -> u64 {
        self.chain.get()
    }

    pub(crate) fn set_chain(&self, revision: u64) {
        self.chain.set(self.chain.get().max(revision));
    }

    pub(crate) fn is_over(&self) -> bool {
        self.end_reason.get().is_some()
    }

    /// Returns why the term is over, if it is.
    pub(crate) const fn end_reason(&self) -> Option<&'static str> {
        self.end_reason.get()
    }

    /// Returns the number of the next write under this claim, and counts it.
    pub(crate) fn next_write_number(&self) -> u64 {
        self.writes.set(self.writes.get() + 1);
        self.writes.get()
    }

    /// Waits until the lead's state has changed.
    pub(crate) async fn wait_for_update(&self) {
        // The channel is closed only together with this term.
        let _is_over = self.wake_receiver.recv().await;
    }

    /// Ends the term; the first reason is kept.
    pub(crate) fn end(&self, why: &'static str) {
        if self.end_reason.get().is_none() {
            self.end_reason.set(Some(why));
        }
        self.paths.borrow().close();
        self.wake_loop();
    }

    /// Ends the term since another claim has replaced its own; the reason is that of an offer, or else `why`.
    pub(crate) fn end_as_replaced(&self, why: &'static str) {
        self.end(self.offer.get().unwrap_or(why));
    }

    /// Records that the lead is being offered to another entry, for the reason `why`.
    pub(crate) fn begin_offer(&self, why: &'static str) {
        self.offer.set(Some(why));
        self.has_offered.set(true);
    }

    pub(crate) fn end_offer(&self) {
        self.offer.set(None);
    }

    /// Returns whether another entry may have claimed the lead because it was offered.
    pub(crate) const fn has_offered(&self) -> bool {
        self.has_offered.get()
    }

    pub(crate) fn hold_commits_until(&self, until: Millis) {
        self.commits_held_until.set(until);
    }

    pub(crate) fn holds_commits(&self, now: Millis) -> bool {
        now < self.commits_held_until.get()
    }

    /// Records that the term was confirmed at `at`; see [`Lead::confirm`].
    pub(crate) fn confirm(&self, at: Millis) {
        self.update_quietly(|lead| lead.confirm(at));
    }

    pub(crate) fn confirmed(&self) -> Millis {
        self.read(Lead::confirmed)
    }

    /// Changes the lead's state and wakes the loop of the term.
    pub(crate) fn update<T>(&self, update: impl FnOnce(&mut Lead) -> T) -> T {
        let result = update(&mut self.lead.borrow_mut());
        self.wake_loop();
        result
    }

    /// Changes the lead's state without waking the loop of the term, which is itself the caller.
    pub(crate) fn update_quietly<T>(&self, update: impl FnOnce(&mut Lead) -> T) -> T {
        update(&mut self.lead.borrow_mut())
    }

    /// Reads the lead's state.
    pub(crate) fn read<T>(&self, read: impl FnOnce(&Lead) -> T) -> T {
        read(&self.lead.borrow())
    }

    pub(crate) fn configure(&self, config: &Config) {
        self.update(|lead| {
            lead.set_queues(&config.queues);
            lead.set_teams(config.teams.shares());
        });
    }

    pub(crate) fn set_askers(&self, members: &[askers::Member]) {
        self.update(|lead| lead.set_askers(members));
    }

    /// Returns what the lead knows of the inbox.
    pub(crate) const fn inbox(&self) -> View {
        self.inbox.get()
    }

    /// Records that all changes of the inbox up to `revision` are applied, as an answer to a call sent at `sent` had them.
    pub(crate) fn advance_inbox(&self, revision: u64, sent: Millis) {
        let view = self.inbox.get().advance(revision, sent);
        self.inbox.set(view);
        // Only starts that are held wait for this, and the next regular step orders them.
        self.update_quietly(|lead| lead.confirm_inbox(view.as_of));
    }

    /// Records the number of items that were read before the claim.
    pub(crate) fn set_items_ahead(&self, items: usize) {
        self.items_ahead.set(items);
    }

    /// Records the end of a phase of the takeover.
    pub(crate) fn end_phase(&self, phase: Phase, now: Millis) {
        let mut phases = self.phases.get();
        phases.end(phase, now);
        self.phases.set(phases);
    }

    /// Records the phases that the lead's counts show to have ended, and reports the takeover once it is complete.
    pub(crate) fn report_phases(&self, counters: &Counters, now: Millis) {
        let mut phases = self.phases.get();
        if counters.reports > 0 {
            phases.end(Phase::FirstReport, now);
        }
        if counters.starts > 0 {
            phases.end(Phase::FirstStart, now);
        }
        let is_due = phases.take_report(now);
        self.phases.set(phases);
        if !is_due {
            return;
        }
        let (term, ahead) = (self.term, self.items_ahead.get());
        log::info!(target: "node", "event=lead-ready term={term} ahead={ahead} {phases}");
        for (phase, duration) in phases.durations() {
            metrics::histogram!("marigold_takeover_seconds", "phase" => phase.name())
                .record(duration.duration().as_secs_f64());
        }
    }

    /// Wakes the loop of the term.
    fn wake_loop(&self) {
        // A full channel means that a wake-up is already pending.
        let _is_woken = self.wake_sender.try_send(());
    }
}
