//! The control thread, which owns the configuration, the membership and the shards led here.
//!
//! State machines without I/O, in the other packages, make all decisions. This thread passes them
//! their inputs, performs the calls that they request, and publishes a view for the traffic threads.

mod causes;
mod config_log;
mod drain;
mod endpoints;
mod io;
mod local_shard;
pub mod message;
mod operator_calls;
mod peer_calls;
mod peers;
pub mod planning;
mod shards;

use async_channel::Receiver;
use marigoldpick_core::clock::System;
use marigoldpick_core::control::Known;
use marigoldpick_core::prelude::*;
use marigoldpick_core::{intent, operator, vm};
use marigoldpick_place::survey::Offer;
use marigoldpick_shard::config;

pub use io::Io;
pub use message::{Message, ask};

use crate::entry::Frontend;
use crate::recorder::{Note, Recorder};
use crate::settings::Settings;
use crate::view::{self, Cell, View};
use causes::Causes;
use endpoints::{Availability, Table};
use local_shard::LocalShard;
use operator_calls::Ticket;
use peers::Peers;
use planning::Plans;

/// `Setup` holds what the control thread needs to start.
#[derive(Debug)]
pub struct Setup {
    /// The entry's name, failure domain and address.
    pub known: Known,
    /// A random number that tells one start of the entry from another.
    pub incarnation: u64,
    /// The entry's settings.
    pub settings: Settings,
    /// The entry's clock.
    pub clock: System,
    /// The cell that receives each new view for the traffic threads.
    pub view: Cell,
    /// The recorder of time-line events.
    pub recorder: Recorder,
    /// The frontend for callers, which reports the state of services for `status`.
    pub frontend: Frontend,
}

/// `Control` is the state of the control thread.
#[derive(Debug)]
pub struct Control {
    setup: Setup,
    io: Io,
    config: config::Log,
    peers: Peers,
    shards: Vec<LocalShard>,
    /// The endpoints of each shard as last copied from its lead, in the order of `shards`.
    tables: Vec<Table>,
    /// The VM list of the entry's failure domain, sorted by worker.
    vms: Vec<vm::Worker>,
    vms_read_at: Option<Millis>,
    plans: Plans,
    /// The proposed changes whose results are pending, sorted by number.
    tickets: Vec<Ticket>,
    causes: Causes,
    /// The last configuration entry for which `config-applied` was recorded.
    recorded_sequence: u64,
    /// Whether the process drains; an operator's drain of the entry is in the configuration.
    draining: bool,
    resign_waiters: Vec<message::ResignWaiter>,
    /// Whether the view has to be published again.
    dirty: bool,
    config_was_old: bool,
}

/// `Flow` says whether the control thread continues after a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Flow {
    Continue,
    End,
}

impl Control {
    /// Creates the state of an entry that has not heard from the store or any peer.
    #[must_use]
    pub fn new(setup: Setup, io: Io) -> Self {
        let known = &setup.known;
        let ownership = &setup.settings.ownership;
        let seed = setup.incarnation;
        let named = setup.settings.peer.iter().map(|peer| Known {
            entry: peer.entry.clone(),
            domain: peer.domain.clone(),
            address: peer.address.clone(),
        });
        let peers = Peers::new(known.clone(), seed, ownership.clone(), named.collect());
        let config = config::Log::new(known.entry.clone(), seed, ownership.clone(), seed);
        let all = marigoldpick_shard::shards::all(ownership, &known.domain);
        let shards: Vec<LocalShard> = all
            .into_iter()
            .map(|shard| LocalShard::new(known.entry.clone(), seed, shard, ownership.clone()))
            .collect();
        let tables = vec![Table::default(); shards.len()];
        Self {
            io,
            config,
            peers,
            shards,
            tables,
            vms: Vec::new(),
            vms_read_at: None,
            plans: Plans::default(),
            tickets: Vec::new(),
            causes: Causes::default(),
            recorded_sequence: 0,
            draining: false,
            resign_waiters: Vec::new(),
            dirty: true,
            config_was_old: true,
            setup,
        }
    }

    /// Handles messages until the entry shuts down.
    pub async fn run(mut self, receiver: Receiver<Message>) {
        let tick = self.setup.settings.span.tick_ms.duration();
        let mut next = std::time::Instant::now();
        loop {
            let wait = next.saturating_duration_since(std::time::Instant::now());
            let flow = match async_std::future::timeout(wait, receiver.recv()).await {
                Ok(Ok(message)) => self.handle(message),
                Ok(Err(_)) => Flow::End,
                Err(_) => {
                    next = std::time::Instant::now() + tick;
                    self.tick();
                    Flow::Continue
                }
            };
            if flow == Flow::End {
                return;
            }
            self.publish();
        }
    }

    fn now(&self) -> Millis {
        self.setup.clock.now()
    }

    fn record_note(
        &self,
        part: &'static str,
        what: &'static str,
        about: impl ToString,
        note: String,
    ) {
        self.setup
            .recorder
            .record(self.now(), Note::new(part, what, about, note));
    }

    fn handle(&mut self, message: Message) -> Flow {
        match message {
            Message::Plan { ask, reply } => self.plan(&ask, reply),
            Message::SurveysGathered(surveyed) => self.handle_surveys(*surveyed),
            Message::Confirm { plan, reply } => self.confirm(&plan, reply),
            Message::PlanFetched { plan, reply } => self.handle_fetched_plan(plan, reply),
            Message::Cancel { jobs, reply } => self.cancel(jobs, reply),
            Message::Drain { target, on, reply } => self.drain(target, on, reply),
            Message::DrainTargetChecked {
                target,
                result,
                reply,
            } => self.handle_drain_target(target, result, reply),
            Message::Status { reply } => self.status(reply),
            Message::Explain { task, reply } => self.explain(task, reply),
            Message::Peer { call, reply } => {
                operator_calls::answer(&reply, self.handle_peer_call(call))
            }
            Message::BeatAnswer(beat) => self.handle_beat(&beat),
            Message::StoreAnswer {
                caller,
                call,
                result,
            } => self.handle_store_answer(&caller, call, result),
            Message::WorkerAnswer {
                shard,
                worker,
                call,
                result,
            } => {
                self.handle_worker_answer(&shard, worker, call, result);
            }
            Message::VmList(list) => self.handle_vm_list(list),
            Message::EntriesAnswer(answer) => self.handle_entries(answer),
            Message::EndpointsAnswer { shard, result } => self.handle_endpoints(&shard, result),
            Message::Resign => self.resign(),
            Message::AwaitResigned(reply) => self.resign_waiters.push(reply),
            Message::Pause(span) => std::thread::sleep(span.duration()),
            Message::Shutdown => return Flow::End,
        }
        Flow::Continue
    }

    fn tick(&mut self) {
        let now = self.now();
        let old = self.is_config_old();
        if self.peers.tick(now) || old != self.config_was_old {
            self.config_was_old = old;
            self.dirty = true;
        }
        let watcher = self.peers.membership().is_watcher(now) && !self.is_leaving();
        self.handle_config_input(config::Input::Watcher(watcher));
        self.handle_config_input(config::Input::Tick);
        self.tick_shards(now);
        self.refresh_vms(now);
        self.send_beats(now);
        self.propose_job_ends(now);
        self.answer_resign_waiters();
    }

    fn refresh_vms(&mut self, now: Millis) {
        let span = self.setup.settings.span.vms_ms;
        if self.vms_read_at.is_none_or(|at| now.since(at) >= span) {
            self.vms_read_at = Some(now);
            self.io.read_vms(self.setup.known.domain.clone());
        }
    }

    fn handle_vm_list(&mut self, list: Result<vm::List, Code>) {
        let Ok(list) = list else { return };
        if list.workers == self.vms {
            return;
        }
        self.vms = list.workers;
        self.vms.sort_by(|a, b| a.id.cmp(&b.id));
        self.dirty = true;
        self.update_shard_workers();
    }

    /// Starts the drain of the process.
    ///
    /// The health check fails from the next view on, the peers are informed, and the next tick gives
    /// up all leads.
    fn resign(&mut self) {
        self.draining = true;
        self.dirty = true;
        self.record_note(
            "entry",
            "entry-draining",
            &self.setup.known.entry,
            String::new(),
        );
        self.broadcast_beat();
    }

    fn answer_resign_waiters(&mut self) {
        if self.shards.iter().all(|local| !local.is_leading()) {
            self.resign_waiters
                .drain(..)
                .for_each(|reply| operator_calls::answer(&reply, ()));
        }
    }

    fn record_shard_event(&self, part: &'static str, event: marigoldpick_shard::event::Event) {
        self.setup
            .recorder
            .record(self.now(), Note::event(part, event));
    }

    fn is_config_old(&self) -> bool {
        self.config.is_old(self.now())
    }

    fn shard_at(&self, shard: &id::Shard) -> Option<usize> {
        self.shards
            .binary_search_by(|local| local.shard().cmp(shard))
            .ok()
    }

    fn is_ready(&self, local: &LocalShard, now: Millis) -> bool {
        let workers = self.workers_of(local.shard());
        let live = workers.iter().filter(|vm| vm.state == vm::State::Live);
        local.is_ready(live.count(), now)
    }

    fn survey_own_shards(&self, jobs: &[intent::Job]) -> Vec<(id::Shard, Vec<Offer>)> {
        let now = self.now();
        let locals = self.shards.iter();
        locals
            .filter_map(|local| Some((local.shard().clone(), local.survey(jobs, now)?)))
            .collect()
    }

    fn explain_locally(&self, task: &id::Task) -> Option<operator::Explain> {
        let now = self.now();
        self.shards
            .iter()
            .find_map(|local| local.explain(task, now))
    }

    fn build_status(&self) -> operator::Status {
        let now = self.now();
        let state = self.config.state();
        let open = state.jobs.iter();
        let ended = state.ended.iter();
        let mut jobs: Vec<operator::Job> = open
            .chain(ended)
            .map(|accepted| job_status(accepted))
            .collect();
        jobs.sort_by(|a, b| a.job.cmp(&b.job));
        // When a name was reused, its open job is listed rather than the ended one.
        jobs.dedup_by(|later, first| later.job == first.job);
        operator::Status {
            entry: self.setup.known.entry.clone(),
            domain: self.setup.known.domain.clone(),
            draining: self.is_leaving(),
            sequence: state.sequence,
            store_age: self.config.age(now),
            config_old: self.is_config_old(),
            shards: self.known_shards(),
            jobs,
            partial: Vec::new(),
            peers: self.peers.status(now),
            services: self.setup.frontend.status(),
        }
    }

    fn progress(&self) -> Vec<operator::Progress> {
        self.shards
            .iter()
            .filter_map(LocalShard::progress)
            .collect()
    }

    fn known_shards(&self) -> Vec<operator::Shard> {
        let own = self.shards.iter().map(LocalShard::status);
        let mut shards: Vec<operator::Shard> = own.collect();
        for (led, _) in self.peers.led_shards() {
            let remote = &led.shard;
            match shards.binary_search_by(|have| have.shard.cmp(&remote.shard)) {
                Ok(_) if self.is_led_here(&remote.shard) => {}
                Ok(at) => shards[at] = remote.clone(),
                Err(at) => shards.insert(at, remote.clone()),
            }
        }
        shards
    }

    fn is_led_here(&self, shard: &id::Shard) -> bool {
        let mut own = self.shards.iter();
        own.any(|local| local.shard() == shard && local.is_leading())
    }

    /// Publishes a new view if anything in it has changed.
    fn publish(&mut self) {
        if !std::mem::take(&mut self.dirty) {
            return;
        }
        let now = self.now();
        let state = self.config.state();
        let availability = Availability {
            state,
            vms: &self.vms,
            domain: &self.setup.known.domain,
        };
        let mut endpoints: Vec<view::Endpoint> = Vec::new();
        for (local, table) in self.shards.iter().zip(&self.tables) {
            let table = local.endpoints().unwrap_or(table);
            endpoints.extend(
                table
                    .endpoints
                    .iter()
                    .map(|endpoint| availability.view_endpoint(endpoint)),
            );
        }
        endpoints.sort_by(|a, b| a.id.cmp(&b.id));
        self.setup.view.store(std::sync::Arc::new(View {
            me: self.setup.known.entry.clone(),
            incarnation: self.setup.incarnation,
            domain: self.setup.known.domain.clone(),
            sequence: state.sequence,
            config_old: self.is_config_old(),
            draining: self.is_leaving(),
            services: state.services.clone(),
            endpoints,
            entries: self.peers.view(now),
        }));
    }
}

fn job_status(accepted: &marigoldpick_core::config::Accepted) -> operator::Job {
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
