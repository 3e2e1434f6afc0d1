//! The configuration's log at one entry: proposing, following and handing on changes.

mod follow;
mod propose;

use marigoldpick_core::config::{Change, Entry, State};
use marigoldpick_core::prelude::*;
use marigoldpick_core::store::{self, Answer, Fault};

use crate::counter::Counter;
use crate::event::Event;
use crate::gate::Gate;
use crate::journal::{self, Journal};
use crate::settings::Settings;
use crate::trim::Trim;

/// The log's place in the store.
pub const PREFIX: &str = "config";

/// `Input` is what the log is told.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// Time has passed.
    Tick,
    /// A call to the store ended; a call without an answer in time ends as [`Fault::Unknown`].
    Store {
        /// The call's number.
        call: u64,
        /// How it ended.
        result: Result<Answer, Fault>,
    },
    /// An operator or a lead wants a change; the ticket comes back with the answer.
    Propose {
        /// The ticket: the number of the event that proposes it, so that others learn the cause.
        ticket: u64,
        /// The change.
        change: Change,
    },
    /// Whether this entry watches the store for its failure domain.
    Watcher(bool),
    /// Entries that a peer handed on, ascending.
    Entries(Vec<Entry>),
    /// A peer's whole state.
    Snapshot(Box<State>),
    /// What a peer told of its configuration in a beat.
    Peer {
        /// The number it has in force.
        sequence: u64,
        /// How old its knowledge of the store is.
        age: Millis,
    },
}

/// `Output` is what the log wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Make this call to the store, and give the result back.
    Store {
        /// The call's number.
        call: u64,
        /// The call.
        request: store::Call,
    },
    /// The state advanced; see [`Log::state`].
    Applied,
    /// The answer to a proposal: the number under which it was accepted, or why not.
    Answer {
        /// The ticket.
        ticket: u64,
        /// The answer.
        result: Result<u64, Code>,
    },
    /// Ask a peer for the entries after this one, or its snapshot.
    NeedEntries {
        /// The last entry that is known here.
        after: u64,
    },
    /// Something for the time line.
    Event(Event),
}

/// `Log` follows the configuration and proposes changes to it.
#[derive(Clone, Debug)]
pub struct Log {
    me: id::Entry,
    incarnation: u64,
    settings: Settings,
    gate: Gate,
    journal: Journal<State>,
    trim: Trim,
    counter: Counter,
    next_call: u64,
    journal_call: Option<u64>,
    trim_call: Option<u64>,
    watch_call: Option<u64>,
    watcher: bool,
    watched: u64,
    fresh_at: Option<Millis>,
    read_at: Option<Millis>,
    asked_at: Option<Millis>,
    tries: u64,
    queue: Vec<propose::Proposal>,
    flight: Vec<propose::Proposal>,
    announced: u64,
    out: bool,
}

impl journal::Entry for Entry {
    fn sequence(&self) -> u64 {
        self.sequence
    }
    fn writer(&self) -> &str {
        &self.writer
    }
    fn lasts(&self) -> bool {
        false
    }
    fn needs_floor(&self) -> bool {
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
    /// Makes a log that knows nothing yet; the first tick starts to load it.
    #[must_use]
    pub fn new(me: id::Entry, incarnation: u64, settings: Settings, seed: u64) -> Self {
        let mut journal = Journal::new(PREFIX.to_owned(), &settings);
        journal.refresh();
        Self {
            gate: Gate::new(&settings, seed),
            trim: Trim::new(format!("{incarnation:016x}"), settings.snapshot_every),
            me,
            incarnation,
            settings,
            journal,
            counter: Counter::default(),
            next_call: 0,
            journal_call: None,
            trim_call: None,
            watch_call: None,
            watcher: false,
            watched: 0,
            fresh_at: None,
            read_at: None,
            asked_at: None,
            tries: 0,
            queue: Vec::new(),
            flight: Vec::new(),
            announced: 0,
            out: false,
        }
    }

    /// Returns the configuration in force here.
    #[must_use]
    pub const fn state(&self) -> &State {
        self.journal.state()
    }

    /// Tells whether a configuration was loaded, be it the empty one of a new site.
    #[must_use]
    pub const fn is_ready(&self) -> bool {
        self.journal.is_ready()
    }

    /// Returns the entries after `sequence`, or `None` when a peer needs the whole state instead.
    #[must_use]
    pub fn entries_after(&self, sequence: u64) -> Option<Vec<Entry>> {
        self.journal.entries_after(sequence)
    }

    /// Returns an entry that is in force here, while it is still kept.
    #[must_use]
    pub fn entry(&self, sequence: u64) -> Option<&Entry> {
        self.journal.entry(sequence)
    }

    /// Returns how old the knowledge of the store is, or [`Millis::MAX`] when there was none.
    #[must_use]
    pub fn age(&self, now: Millis) -> Millis {
        self.fresh_at.map_or(Millis::MAX, |at| now.since(at))
    }

    /// Tells whether the configuration may be old, since neither the store nor a peer that reaches
    /// it was heard lately.
    #[must_use]
    pub fn is_old(&self, now: Millis) -> bool {
        self.age(now) > self.settings.old_ms
    }

    /// Returns the counts of store calls by kind.
    #[must_use]
    pub const fn counter(&self) -> &Counter {
        &self.counter
    }

    /// Takes an input and adds what is to be done to `out`.
    pub fn handle(&mut self, input: Input, now: Millis, out: &mut Vec<Output>) {
        match input {
            Input::Tick => {}
            Input::Store { call, result } => self.store(call, result, now, out),
            Input::Propose { ticket, change } => self.propose(ticket, change, now, out),
            Input::Watcher(on) => self.watch(on),
            Input::Entries(entries) => drop(self.journal.take_entries(&entries)),
            Input::Snapshot(state) => drop(self.journal.take_state(*state)),
            Input::Peer { sequence, age } => self.peer(sequence, age, now, out),
        }
        self.expire(now, out);
        self.pump(now, out);
        self.announce(out);
    }

    fn store(
        &mut self,
        call: u64,
        result: Result<Answer, Fault>,
        now: Millis,
        out: &mut Vec<Output>,
    ) {
        if self.journal_call == Some(call) {
            self.journal_call = None;
            let steps = self.journal.answer(result, now, &mut self.gate);
            self.after_steps(steps, out);
        } else if self.trim_call == Some(call) {
            self.trim_call = None;
            self.trim.answer(&self.journal, result, now, &mut self.gate);
        } else if self.watch_call == Some(call) {
            self.watch_call = None;
            self.watched(result, now);
        }
        self.note_outage(out);
    }

    /// Makes the calls that are due.
    fn pump(&mut self, now: Millis, out: &mut Vec<Output>) {
        self.compose(now, out);
        if let Some(request) = self.journal.next(now, &self.gate) {
            self.journal_call = Some(self.call(request, out));
        }
        if self.watcher && self.journal.is_ready() {
            if let Some(request) = self.trim.next(&self.journal, now, &self.gate) {
                self.trim_call = Some(self.call(request, out));
            }
            self.start_watch(now, out);
        }
    }

    fn call(&mut self, request: store::Call, out: &mut Vec<Output>) -> u64 {
        self.next_call += 1;
        self.counter.add(request.kind());
        out.push(Output::Store {
            call: self.next_call,
            request,
        });
        self.next_call
    }

    fn announce(&mut self, out: &mut Vec<Output>) {
        let sequence = self.state().sequence;
        if sequence > self.announced {
            self.announced = sequence;
            out.push(Output::Applied);
        }
    }

    fn note_outage(&mut self, out: &mut Vec<Output>) {
        if self.out == self.gate.is_out() {
            return;
        }
        self.out = self.gate.is_out();
        let what = if self.out { "store-lost" } else { "store-back" };
        log::info!(target: "store", "{what}");
        out.push(Output::Event(Event::new(what, PREFIX, "")));
    }
}
