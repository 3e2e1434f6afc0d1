//! The control thread: it owns the configuration, the membership and the shards led here.
//!
//! All decisions are made by pure machines of the other packages. This thread hands them what
//! comes in, carries out what they ask for, and publishes a view for the traffic threads.

mod beats;
mod drain;
mod endpoints;
mod follow;
mod io;
mod local;
pub mod message;
mod operate;
mod peers;
pub mod planning;
mod shards;
mod trace;

use async_channel::Receiver;
use marigoldpick_core::clock::System;
use marigoldpick_core::control::Known;
use marigoldpick_core::prelude::*;
use marigoldpick_core::{intent, operator, vm};
use marigoldpick_place::survey::Offer;
use marigoldpick_shard::config;

pub use io::Io;
pub use message::{Message, ask};

use crate::entry::Face;
use crate::recorder::{Note, Recorder};
use crate::settings::Settings;
use crate::view::{self, Cell, View};
use endpoints::{Leaving, Table};
use local::Local;
use operate::Ticket;
use peers::Peers;
use planning::Plans;
use trace::Trace;

/// `Start` is what the control thread begins with.
#[derive(Debug)]
pub struct Start {
    /// The entry.
    pub known: Known,
    /// Its incarnation.
    pub incarnation: u64,
    /// Its settings.
    pub settings: Settings,
    /// Its clock.
    pub clock: System,
    /// Where the view for traffic goes.
    pub view: Cell,
    /// The time line.
    pub recorder: Recorder,
    /// The traffic face, for `status`.
    pub face: Face,
}

/// `Control` is the state of the control thread.
#[derive(Debug)]
pub struct Control {
    start: Start,
    io: Io,
    config: config::Log,
    peers: Peers,
    shards: Vec<Local>,
    /// The endpoints of the failure domain's shards, in the order of `shards`.
    tables: Vec<Table>,
    vms: Vec<vm::Worker>,
    vms_at: Option<Millis>,
    plans: Plans,
    tickets: Vec<Ticket>,
    trace: Trace,
    /// The last entry whose coming into force was recorded.
    in_force: u64,
    draining: bool,
    left: Vec<message::Left>,
    dirty: bool,
    was_old: bool,
}

/// `Flow` tells whether the control thread goes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Flow {
    Go,
    End,
}

impl Control {
    /// Makes the state of an entry that knows nothing yet.
    #[must_use]
    pub fn new(start: Start, io: Io) -> Self {
        let known = &start.known;
        let ownership = &start.settings.ownership;
        let seed = start.incarnation;
        let named = start.settings.peer.iter().map(|peer| Known {
            entry: peer.entry.clone(),
            domain: peer.domain.clone(),
            address: peer.address.clone(),
        });
        let peers = Peers::new(known.clone(), seed, ownership.clone(), named.collect());
        let config = config::Log::new(known.entry.clone(), seed, ownership.clone(), seed);
        let all = marigoldpick_shard::shards::all(ownership, &known.domain);
        let shards: Vec<Local> = all
            .into_iter()
            .map(|shard| Local::new(known.entry.clone(), seed, shard, ownership.clone()))
            .collect();
        let tables = vec![Table::default(); shards.len()];
        Self {
            io,
            config,
            peers,
            shards,
            tables,
            vms: Vec::new(),
            vms_at: None,
            plans: Plans::default(),
            tickets: Vec::new(),
            trace: Trace::default(),
            in_force: 0,
            draining: false,
            left: Vec::new(),
            dirty: true,
            was_old: true,
            start,
        }
    }

    /// Handles messages until the entry ends.
    pub async fn run(mut self, receiver: Receiver<Message>) {
        let tick = self.start.settings.span.tick_ms.duration();
        let mut next = std::time::Instant::now();
        loop {
            let wait = next.saturating_duration_since(std::time::Instant::now());
            let flow = match async_std::future::timeout(wait, receiver.recv()).await {
                Ok(Ok(message)) => self.handle(message),
                Ok(Err(_)) => Flow::End,
                Err(_) => {
                    next = std::time::Instant::now() + tick;
                    self.tick();
                    Flow::Go
                }
            };
            if flow == Flow::End {
                return;
            }
            self.publish();
        }
    }

    fn now(&self) -> Millis {
        self.start.clock.now()
    }

    fn note(&self, part: &'static str, what: &'static str, about: impl ToString, note: String) {
        self.start
            .recorder
            .record(self.now(), Note::new(part, what, about, note));
    }

    fn handle(&mut self, message: Message) -> Flow {
        match message {
            Message::Plan { ask, reply } => self.plan(&ask, reply),
            Message::Surveyed(surveyed) => self.surveyed(*surveyed),
            Message::Confirm { plan, reply } => self.confirm(&plan, reply),
            Message::Fetched { plan, reply } => self.fetched(plan, reply),
            Message::Cancel { jobs, reply } => self.cancel(jobs, reply),
            Message::Drain { target, on, reply } => self.drain(target, on, reply),
            Message::Sought {
                target,
                result,
                reply,
            } => self.sought(target, result, reply),
            Message::Status { reply } => self.status(reply),
            Message::Explain { task, reply } => self.explain(task, reply),
            Message::Peer { call, reply } => operate::answer(&reply, self.peer(call)),
            Message::Beat(beat) => self.heard(&beat),
            Message::Store { part, call, result } => self.stored(&part, call, result),
            Message::Worker {
                shard,
                worker,
                call,
                result,
            } => {
                self.worked(&shard, worker, call, result);
            }
            Message::Vms(list) => self.listed(list),
            Message::Entries(answer) => self.caught_up(answer),
            Message::Endpoints { shard, result } => self.copied(&shard, result),
            Message::Leave => self.leave(),
            Message::Left(reply) => self.left.push(reply),
            Message::Pause(span) => std::thread::sleep(span.duration()),
            Message::End => return Flow::End,
        }
        Flow::Go
    }

    fn tick(&mut self) {
        let now = self.now();
        let old = self.config_old();
        if self.peers.tick(now) || old != self.was_old {
            self.was_old = old;
            self.dirty = true;
        }
        let watcher = self.peers.membership().is_watcher(now) && !self.is_leaving();
        self.config_input(config::Input::Watcher(watcher));
        self.config_input(config::Input::Tick);
        self.shard_ticks(now);
        self.refresh_vms(now);
        self.send_beats(now);
        self.retry_ended(now);
        self.answer_left();
    }

    fn refresh_vms(&mut self, now: Millis) {
        let span = self.start.settings.span.vms_ms;
        if self.vms_at.is_none_or(|at| now.since(at) >= span) {
            self.vms_at = Some(now);
            self.io.vms(self.start.known.domain.clone());
        }
    }

    fn listed(&mut self, list: Result<vm::List, Code>) {
        let Ok(list) = list else { return };
        if list.workers == self.vms {
            return;
        }
        self.vms = list.workers;
        self.vms.sort_by(|a, b| a.id.cmp(&b.id));
        self.dirty = true;
        self.shard_workers();
    }

    /// The process leaves: the balancer and the other entries are told, leads are given up.
    fn leave(&mut self) {
        self.draining = true;
        self.dirty = true;
        self.note(
            "entry",
            "entry-draining",
            &self.start.known.entry,
            String::new(),
        );
        self.tell_all();
    }

    fn answer_left(&mut self) {
        if self.shards.iter().all(|local| !local.is_leading()) {
            self.left
                .drain(..)
                .for_each(|reply| operate::answer(&reply, ()));
        }
    }

    fn record(&self, part: &'static str, event: marigoldpick_shard::event::Event) {
        self.start
            .recorder
            .record(self.now(), Note::event(part, event));
    }

    fn config_old(&self) -> bool {
        self.config.is_old(self.now())
    }

    fn shard_at(&self, shard: &id::Shard) -> Option<usize> {
        self.shards
            .binary_search_by(|local| local.shard().cmp(shard))
            .ok()
    }

    fn is_ready(&self, local: &Local, now: Millis) -> bool {
        let workers = self.workers_of(local.shard());
        let live = workers.iter().filter(|vm| vm.state == vm::State::Live);
        local.is_ready(live.count(), now)
    }

    fn own_offers(&self, jobs: &[intent::Job]) -> Vec<(id::Shard, Vec<Offer>)> {
        let now = self.now();
        let locals = self.shards.iter();
        locals
            .filter_map(|local| Some((local.shard().clone(), local.survey(jobs, now)?)))
            .collect()
    }

    fn explain_here(&self, task: &id::Task) -> Option<operator::Explain> {
        let now = self.now();
        self.shards
            .iter()
            .find_map(|local| local.explain(task, now))
    }

    fn own_status(&self) -> operator::Status {
        let now = self.now();
        let state = self.config.state();
        let open = state.jobs.iter();
        let ended = state.ended.iter();
        let mut jobs: Vec<operator::Job> = open
            .chain(ended)
            .map(|accepted| status_of(accepted))
            .collect();
        jobs.sort_by(|a, b| a.job.cmp(&b.job));
        // A name that was used again stands for the job that has not ended.
        jobs.dedup_by(|later, first| later.job == first.job);
        operator::Status {
            entry: self.start.known.entry.clone(),
            domain: self.start.known.domain.clone(),
            draining: self.is_leaving(),
            sequence: state.sequence,
            store_age: self.config.age(now),
            config_old: self.config_old(),
            shards: self.known_shards(),
            jobs,
            partial: Vec::new(),
            peers: self.peers.status(now),
            services: self.start.face.status(),
        }
    }

    fn progress(&self) -> Vec<operator::Progress> {
        self.shards.iter().filter_map(Local::progress).collect()
    }

    fn known_shards(&self) -> Vec<operator::Shard> {
        let own = self.shards.iter().map(Local::status);
        let mut shards: Vec<operator::Shard> = own.collect();
        for (led, _) in self.peers.led() {
            let told = &led.shard;
            match shards.binary_search_by(|have| have.shard.cmp(&told.shard)) {
                Ok(_) if self.leads(&told.shard) => {}
                Ok(at) => shards[at] = told.clone(),
                Err(at) => shards.insert(at, told.clone()),
            }
        }
        shards
    }

    fn leads(&self, shard: &id::Shard) -> bool {
        let mut own = self.shards.iter();
        own.any(|local| local.shard() == shard && local.is_leading())
    }

    /// Publishes a new view if something in it has changed.
    fn publish(&mut self) {
        if !std::mem::take(&mut self.dirty) {
            return;
        }
        let now = self.now();
        let state = self.config.state();
        let leaving = Leaving {
            state,
            vms: &self.vms,
            domain: &self.start.known.domain,
        };
        let mut endpoints: Vec<view::Endpoint> = Vec::new();
        for (local, table) in self.shards.iter().zip(&self.tables) {
            let table = local.endpoints().unwrap_or(table);
            endpoints.extend(
                table
                    .endpoints
                    .iter()
                    .map(|endpoint| leaving.view(endpoint)),
            );
        }
        endpoints.sort_by(|a, b| a.id.cmp(&b.id));
        self.start.view.store(std::sync::Arc::new(View {
            me: self.start.known.entry.clone(),
            incarnation: self.start.incarnation,
            domain: self.start.known.domain.clone(),
            sequence: state.sequence,
            config_old: self.config_old(),
            draining: self.is_leaving(),
            services: state.services.clone(),
            endpoints,
            entries: self.peers.view(now),
        }));
    }
}

fn status_of(accepted: &marigoldpick_core::config::Accepted) -> operator::Job {
    operator::Job {
        job: accepted.job.name.clone(),
        count: accepted.job.count,
        running: 0,
        waiting: 0,
        completed: accepted.completed,
        failed: accepted.failed,
        cancelled: accepted.cancelled,
    }
}
