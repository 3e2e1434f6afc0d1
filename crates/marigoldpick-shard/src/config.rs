//! The configuration log at one entry: proposing, following and forwarding changes.

mod follow;
mod propose;

use marigoldpick_core::config::{Change, Entry, State};
use marigoldpick_core::prelude::*;
use marigoldpick_core::store::{self, Answer, Fault};

use crate::backoff::Backoff;
use crate::compaction::Compactor;
use crate::counter::Counter;
use crate::event::Event;
use crate::journal::{self, Journal};
use crate::settings::Settings;

/// The key prefix of the configuration log in the store.
pub const PREFIX: &str = "config";

/// `Input` is an event or a request that the log handles.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// Time has passed.
    Tick,
    /// A call to the store ended; a timeout counts as [`Fault::Unknown`].
    Store {
        /// The call's number.
        call: u64,
        /// How it ended.
        result: Result<Answer, Fault>,
    },
    /// An operator or a lead proposes a change; the answer carries the ticket.
    Propose {
        /// The ticket: the number of the event that proposes the change.
        ///
        /// Other entries see that event as the cause of the change.
        ticket: u64,
        /// The change.
        change: Change,
    },
    /// Whether this entry watches the store for its failure domain.
    Watcher(bool),
    /// Log entries that a peer forwarded, ascending.
    Entries(Vec<Entry>),
    /// The complete state of a peer.
    Snapshot(Box<State>),
    /// The state of a peer's configuration, from a heartbeat.
    Peer {
        /// The sequence number in force there.
        sequence: u64,
        /// The age of its knowledge of the store.
        age: Millis,
    },
}

/// `Output` is an action that the log requests.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Make this call to the store, and return the result as an input.
    Store {
        /// The call's number.
        call: u64,
        /// The call.
        request: store::Call,
    },
    /// The state advanced; see [`Log::state`].
    Applied,
    /// The answer to a proposal: the sequence number at which it was accepted, or a code.
    Answer {
        /// The ticket.
        ticket: u64,
        /// The answer.
        result: Result<u64, Code>,
    },
    /// Request the entries after this one, or a snapshot, from a peer.
    NeedEntries {
        /// The sequence number of the last entry that is known here.
        after: u64,
    },
    /// Record an event in the time line.
    Event(Event),
}

/// `Log` follows the configuration log and proposes changes to it.
#[derive(Clone, Debug)]
pub struct Log {
    me: id::Entry,
    incarnation: u64,
    settings: Settings,
    backoff: Backoff,
    journal: Journal<State>,
    compactor: Compactor,
    store_calls: Counter,
    next_call: u64,
    journal_call: Option<u64>,
    compaction_call: Option<u64>,
    watch_call: Option<u64>,
    /// Whether this entry watches the store for its failure domain.
    watcher: bool,
    /// The store's revision up to which the watch has seen no change.
    watched_revision: u64,
    /// The latest time at which the store, or a peer, confirmed the state.
    fresh_at: Option<Millis>,
    /// When the last complete read of the log began.
    read_at: Option<Millis>,
    /// When entries were last requested from a peer.
    peer_asked_at: Option<Millis>,
    /// Entries that this process has tried to append, for unique writer ids.
    tries: u64,
    /// Proposals that wait for the next entry.
    queue: Vec<propose::Proposal>,
    /// Proposals in the entry that is being written.
    in_flight: Vec<propose::Proposal>,
    /// The sequence number that [`Output::Applied`] last reported.
    applied_sequence: u64,
    /// Whether the store was last reported as unavailable.
    store_down: bool,
}

impl journal::Entry for Entry {
    fn sequence(&self) -> u64 {
        self.sequence
    }
    fn writer(&self) -> &str {
        &self.writer
    }
    fn is_permanent(&self) -> bool {
        false
    }
    fn has_floor_check(&self) -> bool {
        true
    }
}

impl journal::State for State {
    type Entry = Entry;
    fn sequence(&self) -> u64 {
        self.sequence
    }
    fn apply(&mut self, entry: &Entry) -> bool {
        self.apply(entry)
    }
}

impl Log {
    /// Creates an empty log, which the first tick begins to load.
    #[must_use]
    pub fn new(me: id::Entry, incarnation: u64, settings: Settings, seed: u64) -> Self {
        let mut journal = Journal::new(PREFIX.to_owned(), &settings);
        journal.refresh();
        Self {
            backoff: Backoff::new(&settings, seed),
            compactor: Compactor::new(format!("{incarnation:016x}"), settings.snapshot_every),
            me,
            incarnation,
            settings,
            journal,
            store_calls: Counter::default(),
            next_call: 0,
            journal_call: None,
            compaction_call: None,
            watch_call: None,
            watcher: false,
            watched_revision: 0,
            fresh_at: None,
            read_at: None,
            peer_asked_at: None,
            tries: 0,
            queue: Vec::new(),
            in_flight: Vec::new(),
            applied_sequence: 0,
            store_down: false,
        }
    }

    /// Returns the configuration in force here.
    #[must_use]
    pub const fn state(&self) -> &State {
        self.journal.state()
    }

    /// Returns whether a configuration was loaded, including the empty one of a new site.
    #[must_use]
    pub const fn is_ready(&self) -> bool {
        self.journal.is_ready()
    }

    /// Returns the entries after `sequence`, or `None` if some are no longer kept.
    ///
    /// A peer then needs the complete state.
    #[must_use]
    pub fn entries_after(&self, sequence: u64) -> Option<Vec<Entry>> {
        self.journal.entries_after(sequence)
    }

    /// Returns an entry that is in force, if it is still kept in memory.
    #[must_use]
    pub fn entry(&self, sequence: u64) -> Option<&Entry> {
        self.journal.entry(sequence)
    }

    /// Returns the age of the knowledge of the store, or [`Millis::MAX`] without any.
    #[must_use]
    pub fn age(&self, now: Millis) -> Millis {
        self.fresh_at.map_or(Millis::MAX, |at| now.since(at))
    }

    /// Returns whether the configuration may be out of date.
    ///
    /// This is so if for `old_ms` neither the store nor a peer that reaches it has answered.
    #[must_use]
    pub fn is_old(&self, now: Millis) -> bool {
        self.age(now) > self.settings.old_ms
    }

    /// Returns the counts of store calls by kind.
    #[must_use]
    pub const fn store_calls(&self) -> &Counter {
        &self.store_calls
    }

    /// Handles an input and appends the resulting outputs to `out`.
    pub fn handle(&mut self, input: Input, now: Millis, out: &mut Vec<Output>) {
        match input {
            Input::Tick => {}
            Input::Store { call, result } => self.handle_store_answer(call, result, now, out),
            Input::Propose { ticket, change } => self.propose(ticket, change, now, out),
            Input::Watcher(on) => self.set_watcher(on),
            Input::Entries(entries) => drop(self.journal.take_entries(&entries)),
            Input::Snapshot(state) => drop(self.journal.take_state(*state)),
            Input::Peer { sequence, age } => self.compare_with_peer(sequence, age, now, out),
        }
        self.expire_proposals(now, out);
        self.send_due_calls(now, out);
        self.report_applied(out);
    }

    fn handle_store_answer(
        &mut self,
        call: u64,
        result: Result<Answer, Fault>,
        now: Millis,
        out: &mut Vec<Output>,
    ) {
        if self.journal_call == Some(call) {
            self.journal_call = None;
            let steps = self.journal.handle_result(result, now, &mut self.backoff);
            self.handle_steps(steps, out);
        } else if self.compaction_call == Some(call) {
            self.compaction_call = None;
            self.compactor
                .handle_result(&self.journal, result, now, &mut self.backoff);
        } else if self.watch_call == Some(call) {
            self.watch_call = None;
            self.handle_watch_answer(result, now);
        }
        self.report_outage(out);
    }

    /// Sends the store calls that are due.
    fn send_due_calls(&mut self, now: Millis, out: &mut Vec<Output>) {
        self.compose_entry(now, out);
        if let Some(request) = self.journal.next_call(now, &self.backoff) {
            self.journal_call = Some(self.send_store_call(request, out));
        }
        if self.watcher && self.journal.is_ready() {
            if let Some(request) = self.compactor.next_call(&self.journal, now, &self.backoff) {
                self.compaction_call = Some(self.send_store_call(request, out));
            }
            self.start_watch(now, out);
        }
    }

    fn send_store_call(&mut self, request: store::Call, out: &mut Vec<Output>) -> u64 {
        self.next_call += 1;
        self.store_calls.add(request.kind());
        out.push(Output::Store {
            call: self.next_call,
            request,
        });
        self.next_call
    }

    fn report_applied(&mut self, out: &mut Vec<Output>) {
        let sequence = self.state().sequence;
        if sequence > self.applied_sequence {
            self.applied_sequence = sequence;
            out.push(Output::Applied);
        }
    }

    fn report_outage(&mut self, out: &mut Vec<Output>) {
        if self.store_down == self.backoff.is_store_down() {
            return;
        }
        self.store_down = self.backoff.is_store_down();
        let what = if self.store_down {
            "store-lost"
        } else {
            "store-back"
        };
        log::info!(target: "store", "{what}");
        out.push(Output::Event(Event::new(what, PREFIX, "")));
    }
}
