//! A shard's lead at one entry: taking the lead, leases, starts, records and loss of workers.
//!
//! A lead acts only while a majority of its shard's electors answered it at its own epoch, or the
//! store confirmed its tenure, not longer ago than [`Settings::majority_ms`]. It takes a silent
//! worker's tasks for ended only after nobody can have renewed that worker for a whole lease.

mod evidence;
mod homes;
mod ledger;
mod member;
mod message;
mod pace;
mod report;
mod start;
mod takeover;
mod work;

use marigoldpick_core::config::State as Config;
use marigoldpick_core::operator;
use marigoldpick_core::prelude::*;
use marigoldpick_core::store::{self, Answer, Fault};
use marigoldpick_core::worker::Epoch;

use crate::counter::Counter;
use crate::event::Event;
use crate::gate::Gate;
use crate::journal::Journal;
use crate::record::{self, Record};
use crate::settings::Settings;
use crate::trim::Trim;

use self::member::Member;
pub use self::message::{Held, Homed, Input, Notice, Output};
use self::start::Pending;
use self::takeover::Role;

/// `Lead` leads one shard, or stands by to lead it.
#[derive(Debug)]
pub struct Lead {
    me: id::Entry,
    incarnation: u64,
    shard: id::Shard,
    settings: Settings,
    gate: Gate,
    journal: Journal<record::State>,
    trim: Trim,
    store_calls: Counter,
    worker_calls: Counter,
    next_call: u64,
    journal_call: Option<u64>,
    trim_call: Option<u64>,
    tries: u64,
    read_at: Option<Millis>,
    candidate: bool,
    role: Role,
    rest_until: Millis,
    cautious_until: Millis,
    epoch: Epoch,
    tenure_at: Option<Millis>,
    majority_at: Option<Millis>,
    confirmed_at: Option<Millis>,
    appended_from: Millis,
    joined_at: Millis,
    silent: bool,
    held: bool,
    settled: bool,
    members: Vec<Member>,
    calls: fxhash::FxHashMap<u64, work::Sent>,
    placed: fxhash::FxHashMap<id::Task, report::Place>,
    seen: fxhash::FxHashSet<id::Task>,
    starts: Vec<Pending>,
    outbox: Vec<Record>,
    endings: Vec<ledger::Ending>,
    checkpoints: Vec<ledger::Checkpoint>,
    record_at: Millis,
    jobs: Vec<Homed>,
    config_sequence: u64,
}

/// Returns the jobs homed in `shard`, for [`Input::Jobs`].
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
    /// Makes a machine that follows the shard's log until it is a candidate.
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
            gate: Gate::new(&settings, seed),
            journal: Journal::new(prefix, &settings),
            trim: Trim::new(format!("{incarnation:016x}"), settings.snapshot_every),
            me,
            incarnation,
            shard,
            settings,
            store_calls: Counter::default(),
            worker_calls: Counter::default(),
            next_call: 0,
            journal_call: None,
            trim_call: None,
            tries: 0,
            read_at: None,
            candidate: false,
            role: Role::Follow,
            rest_until: Millis::ZERO,
            cautious_until: Millis::ZERO,
            epoch: Epoch::default(),
            tenure_at: None,
            majority_at: None,
            confirmed_at: None,
            appended_from: Millis::ZERO,
            joined_at: Millis::ZERO,
            silent: false,
            held: false,
            settled: false,
            members: Vec::new(),
            calls: fxhash::FxHashMap::default(),
            placed: fxhash::FxHashMap::default(),
            seen: fxhash::FxHashSet::default(),
            starts: Vec::new(),
            outbox: Vec::new(),
            endings: Vec::new(),
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

    /// Tells whether this entry leads the shard; it may yet be silent.
    #[must_use]
    pub fn is_leading(&self) -> bool {
        self.role == Role::Lead
    }

    /// Returns the epoch while leading.
    #[must_use]
    pub fn epoch(&self) -> Option<Epoch> {
        self.is_leading().then_some(self.epoch)
    }

    /// Returns the shard's log as far as it is known here.
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

    /// Returns the shard's state for operators; `waiting` is the scheduler's to fill in.
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
            unrecorded: count(self.endings.len()),
        }
    }

    /// Returns the workers that this lead holds, sorted.
    #[must_use]
    pub fn workers(&self) -> Vec<Held> {
        self.members
            .iter()
            .filter(|m| m.up && !m.lost)
            .map(|m| Held {
                worker: m.id.clone(),
                silent: m.silent,
                runs: m.runs.len(),
            })
            .collect()
    }

    /// Takes an input and adds what is to be done to `out`.
    pub fn handle(&mut self, input: Input, now: Millis, out: &mut Vec<Output>) {
        match input {
            Input::Tick => {}
            Input::Candidate(on) => self.candidate(on, now, out),
            Input::Store { call, result } => self.store(call, result, now, out),
            Input::Worker { call, result, .. } => self.answered(call, result, now, out),
            Input::Workers(workers) => self.listed(workers, out),
            Input::Jobs { jobs, sequence } => self.homed(jobs, sequence),
            Input::Start { worker, spec } => self.start(worker, spec, now, out),
            Input::Stop { run, grace } => self.stop(&run, grace, out),
            Input::Checkpoint { run } => self.act(&run, member::Act::Checkpoint(run.clone())),
            Input::Throttle { run, millicores } => {
                let act = member::Act::Throttle(run.clone(), millicores);
                self.act(&run, act);
            }
            Input::GiveUp { task } => self.give_up(task),
        }
        self.advance(now, out);
        self.pump(now, out);
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
            for step in steps {
                self.after_step(step, now, out);
            }
        } else if self.trim_call == Some(call) {
            self.trim_call = None;
            self.trim.answer(&self.journal, result, now, &mut self.gate);
        }
    }

    /// Makes the store calls that are due.
    fn pump(&mut self, now: Millis, out: &mut Vec<Output>) {
        self.flush(now);
        if let Some(request) = self.journal.next(now, &self.gate) {
            self.journal_call = Some(self.store_call(request, out));
        }
        if self.is_leading()
            && self.epoch.interim == 0
            && let Some(request) = self.trim.next(&self.journal, now, &self.gate)
        {
            self.trim_call = Some(self.store_call(request, out));
        }
    }

    fn store_call(&mut self, request: store::Call, out: &mut Vec<Output>) -> u64 {
        self.next_call += 1;
        self.store_calls.add(request.kind());
        out.push(Output::Store {
            call: self.next_call,
            request,
        });
        self.next_call
    }

    fn notice(out: &mut Vec<Output>, notice: Notice) {
        out.push(Output::Notice(notice));
    }

    fn event(&self, out: &mut Vec<Output>, what: &'static str, note: impl Into<String>) {
        let event = Event::new(what, &self.shard, note);
        log::info!(target: "shard", "{}: {}. {}", event.what, event.about, event.note);
        out.push(Output::Event(event));
    }
}

fn count(n: usize) -> u32 {
    u32::try_from(n).unwrap_or(u32::MAX)
}
