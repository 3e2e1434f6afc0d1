//! The lead of a shard at one entry: takeover, leases, starts, log records and lost workers.
//!
//! A lead acts only if, within the last [`Settings::majority_ms`], a majority of the shard's electors
//! answered at its epoch or the store confirmed its tenure. It considers the tasks of a silent worker
//! ended only after a whole lease in which no lead can have renewed that worker.

mod calls;
mod jobs;
mod log_writer;
mod member;
mod message;
mod quorum;
mod renewal;
mod report;
mod start;
mod takeover;

use marigoldpick_core::config::State as Config;
use marigoldpick_core::operator;
use marigoldpick_core::prelude::*;
use marigoldpick_core::store::{self, Answer, Fault};
use marigoldpick_core::worker::Epoch;

use crate::backoff::Backoff;
use crate::compaction::Compactor;
use crate::counter::Counter;
use crate::event::Event;
use crate::journal::Journal;
use crate::record::{self, Record};
use crate::settings::Settings;

use self::member::Member;
pub use self::message::{Homed, Input, Notice, Output, WorkerStatus};
use self::start::Pending;
use self::takeover::Role;

/// `Lead` leads one shard, or follows its log as a standby.
#[derive(Debug)]
pub struct Lead {
    me: id::Entry,
    incarnation: u64,
    shard: id::Shard,
    settings: Settings,
    backoff: Backoff,
    journal: Journal<record::State>,
    compactor: Compactor,
    store_calls: Counter,
    worker_calls: Counter,
    next_call: u64,
    /// The number of the journal's store call in flight.
    journal_call: Option<u64>,
    /// The number of the compactor's store call in flight.
    compaction_call: Option<u64>,
    /// Entries that this process has tried to append, for unique writer ids.
    tries: u64,
    /// When the last complete read of the log began.
    read_at: Option<Millis>,
    /// Whether the membership says that this entry should lead.
    candidate: bool,
    role: Role,
    /// An entry that stepped down is no candidate before this.
    no_candidacy_until: Millis,
    /// A deposed lead defers to a possible successor until this.
    defer_until: Millis,
    epoch: Epoch,
    /// When this tenure was found to be in the log.
    tenure_at: Option<Millis>,
    /// When a majority of the electors first obeyed this tenure's epoch.
    majority_at: Option<Millis>,
    /// When the last read or write that confirmed this tenure began.
    confirmed_at: Option<Millis>,
    /// When the append in flight began.
    append_began_at: Millis,
    /// When the electors were last changed, or else when this entry took the lead.
    joined_at: Millis,
    /// Whether the scheduler was notified that this lead may not act.
    silent: bool,
    /// Whether the scheduler was notified that starts are held.
    starts_held: bool,
    /// Whether all logged workers have sent a whole report, or were lost, since this entry took the lead.
    seen_all: bool,
    /// The shard's workers, sorted.
    members: Vec<Member>,
    /// Worker calls in flight, by number.
    calls: fxhash::FxHashMap<u64, calls::InFlight>,
    /// Where each task runs or may run.
    placements: fxhash::FxHashMap<id::Task, report::Placement>,
    /// Tasks that were seen running under this lead.
    seen_tasks: fxhash::FxHashSet<id::Task>,
    /// Starts without an outcome.
    starts: Vec<Pending>,
    /// Records that wait to be written to the log.
    outbox: Vec<Record>,
    /// Completed runs that are not yet in the log.
    completions: Vec<log_writer::Completion>,
    checkpoints: Vec<log_writer::Checkpoint>,
    /// When completions may be recorded next.
    record_at: Millis,
    /// The jobs homed in the shard, sorted by name.
    jobs: Vec<Homed>,
    /// The sequence number of the configuration that `jobs` is from.
    config_sequence: u64,
}

/// Returns the jobs that are homed in `shard`, for [`Input::Jobs`].
#[must_use]
pub fn homed(config: &Config, shard: &id::Shard) -> Vec<Homed> {
    config
        .jobs
        .iter()
        .filter(|accepted| accepted.homes.iter().any(|home| home.shard == *shard))
        .map(|accepted| Homed {
            job: accepted.job.name.clone(),
            class: accepted.job.class,
            accepted: accepted.sequence,
        })
        .collect()
}

impl Lead {
    /// Creates a standby that follows the shard's log until it becomes a candidate.
    #[must_use]
    pub fn new(
        me: id::Entry,
        incarnation: u64,
        shard: id::Shard,
        settings: Settings,
        seed: u64,
    ) -> Self {
        let prefix = format!("shard/{shard}");
        Self {
            backoff: Backoff::new(&settings, seed),
            journal: Journal::new(prefix, &settings),
            compactor: Compactor::new(format!("{incarnation:016x}"), settings.snapshot_every),
            me,
            incarnation,
            shard,
            settings,
            store_calls: Counter::default(),
            worker_calls: Counter::default(),
            next_call: 0,
            journal_call: None,
            compaction_call: None,
            tries: 0,
            read_at: None,
            candidate: false,
            role: Role::Follow,
            no_candidacy_until: Millis::ZERO,
            defer_until: Millis::ZERO,
            epoch: Epoch::default(),
            tenure_at: None,
            majority_at: None,
            confirmed_at: None,
            append_began_at: Millis::ZERO,
            joined_at: Millis::ZERO,
            silent: false,
            starts_held: false,
            seen_all: false,
            members: Vec::new(),
            calls: fxhash::FxHashMap::default(),
            placements: fxhash::FxHashMap::default(),
            seen_tasks: fxhash::FxHashSet::default(),
            starts: Vec::new(),
            outbox: Vec::new(),
            completions: Vec::new(),
            checkpoints: Vec::new(),
            record_at: Millis::ZERO,
            jobs: Vec::new(),
            config_sequence: 0,
        }
    }

    /// Returns the shard.
    #[must_use]
    pub const fn shard(&self) -> &id::Shard {
        &self.shard
    }

    /// Returns whether this entry leads the shard; it may nevertheless not be entitled to act.
    #[must_use]
    pub fn is_leading(&self) -> bool {
        self.role == Role::Lead
    }

    /// Returns the epoch while leading.
    #[must_use]
    pub fn epoch(&self) -> Option<Epoch> {
        self.is_leading().then_some(self.epoch)
    }

    /// Returns the state of the shard's log as far as it was read here.
    #[must_use]
    pub const fn record(&self) -> &record::State {
        self.journal.state()
    }

    /// Returns the counts of store calls by kind.
    #[must_use]
    pub const fn store_calls(&self) -> &Counter {
        &self.store_calls
    }

    /// Returns the counts of worker calls by kind.
    #[must_use]
    pub const fn worker_calls(&self) -> &Counter {
        &self.worker_calls
    }

    /// Returns the shard's status for operators; the scheduler fills in `waiting`.
    #[must_use]
    pub fn status(&self) -> operator::Shard {
        let there = |m: &&Member| m.up && !m.lost;
        let silent = self.members.iter().filter(there).filter(|m| m.silent);
        let workers = self.members.iter().filter(there).filter(|m| !m.silent);
        let runs: usize = self.members.iter().map(|m| m.runs.len()).sum();
        operator::Shard {
            shard: self.shard.clone(),
            lead: self.is_leading().then(|| self.me.clone()),
            workers: count(workers.count()),
            silent: count(silent.count()),
            running: count(runs),
            waiting: 0,
            unrecorded: count(self.completions.len()),
        }
    }

    /// Returns the workers that this lead has admitted, sorted.
    #[must_use]
    pub fn workers(&self) -> Vec<WorkerStatus> {
        self.members
            .iter()
            .filter(|m| m.up && !m.lost)
            .map(|m| WorkerStatus {
                worker: m.id.clone(),
                silent: m.silent,
                runs: m.runs.len(),
            })
            .collect()
    }

    /// Handles an input and appends the resulting outputs to `out`.
    pub fn handle(&mut self, input: Input, now: Millis, out: &mut Vec<Output>) {
        match input {
            Input::Tick => {}
            Input::Candidate(on) => self.set_candidate(on, now, out),
            Input::Store { call, result } => self.handle_store_answer(call, result, now, out),
            Input::Worker { call, result, .. } => self.handle_worker_answer(call, result, now, out),
            Input::Workers(workers) => self.apply_worker_list(workers, out),
            Input::Jobs { jobs, sequence } => self.set_jobs(jobs, sequence),
            Input::Start { worker, spec } => self.start(worker, spec, now, out),
            Input::Stop { run, grace } => self.stop(&run, grace, out),
            Input::Checkpoint { run } => self.queue(&run, member::Command::Checkpoint(run.clone())),
            Input::Throttle { run, millicores } => {
                let command = member::Command::Throttle(run.clone(), millicores);
                self.queue(&run, command);
            }
            Input::GiveUp { task } => self.give_up(task),
        }
        self.advance(now, out);
        self.send_store_calls(now, out);
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
            for step in steps {
                self.handle_step(step, now, out);
            }
        } else if self.compaction_call == Some(call) {
            self.compaction_call = None;
            self.compactor
                .handle_result(&self.journal, result, now, &mut self.backoff);
        }
    }

    /// Sends the store calls that are due.
    fn send_store_calls(&mut self, now: Millis, out: &mut Vec<Output>) {
        self.flush_records(now);
        if let Some(request) = self.journal.next_call(now, &self.backoff) {
            self.journal_call = Some(self.send_store_call(request, out));
        }
        if self.is_leading()
            && self.epoch.interim == 0
            && let Some(request) = self.compactor.next_call(&self.journal, now, &self.backoff)
        {
            self.compaction_call = Some(self.send_store_call(request, out));
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

    fn push_notice(out: &mut Vec<Output>, notice: Notice) {
        out.push(Output::Notice(notice));
    }

    fn push_event(&self, out: &mut Vec<Output>, what: &'static str, note: impl Into<String>) {
        let event = Event::new(what, &self.shard, note);
        log::info!(target: "shard", "{}: {}. {}", event.what, event.about, event.note);
        out.push(Output::Event(event));
    }
}

fn count(n: usize) -> u32 {
    u32::try_from(n).unwrap_or(u32::MAX)
}
