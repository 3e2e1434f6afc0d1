//! Passes inputs to the shards of the failure domain and performs their effects.

use marigoldpick_core::prelude::*;
use marigoldpick_core::{store, vm, worker};
use marigoldpick_shard::{lead, shards};

use crate::control::Control;
use crate::control::local_shard::{Context, Effect, LocalShard};
use crate::control::message::StoreCaller;

impl Control {
    /// Calls `handle` with the shard at `at` and its context, and performs the effects.
    fn with_shard(
        &mut self,
        at: usize,
        handle: impl FnOnce(&mut LocalShard, Context<'_>) -> (Vec<Effect>, bool),
    ) {
        let context = Context {
            now: self.setup.clock.now(),
            state: self.config.state(),
            vms: &self.vms,
        };
        let local = &mut self.shards[at];
        let (effects, changed) = handle(local, context);
        let shard = local.shard().clone();
        self.dirty |= changed;
        effects
            .into_iter()
            .for_each(|effect| self.perform(&shard, effect));
    }

    fn perform(&mut self, shard: &id::Shard, effect: Effect) {
        match effect {
            Effect::Store { call, request } => {
                self.io
                    .call_store(StoreCaller::Shard(shard.clone()), call, request);
            }
            Effect::Worker {
                call,
                worker,
                address,
                request,
            } => {
                self.io
                    .call_worker(shard.clone(), worker, address, call, request);
            }
            Effect::Note(note) => {
                let now = self.now();
                self.causes.record(&self.setup.recorder, now, note);
            }
        }
    }

    pub(super) fn handle_shard_store_answer(
        &mut self,
        shard: &id::Shard,
        call: u64,
        result: Result<store::Answer, store::Fault>,
    ) {
        let Some(at) = self.shard_at(shard) else {
            return;
        };
        let input = lead::Input::Store { call, result };
        self.with_shard(at, |local, cx| local.handle(input, cx));
    }

    pub(super) fn handle_worker_answer(
        &mut self,
        shard: &id::Shard,
        worker: id::Worker,
        call: u64,
        result: Result<worker::Answer, worker::Fault>,
    ) {
        let Some(at) = self.shard_at(shard) else {
            return;
        };
        let input = lead::Input::Worker {
            call,
            worker,
            result,
        };
        self.with_shard(at, |local, cx| local.handle(input, cx));
    }

    pub(super) fn tick_shards(&mut self, now: Millis) {
        for at in 0..self.shards.len() {
            let candidate = {
                let shard = self.shards[at].shard();
                self.peers.membership().is_candidate(shard, now) && !self.is_leaving()
            };
            let input = lead::Input::Candidate(candidate);
            self.with_shard(at, |local, cx| local.handle(input, cx));
            self.with_shard(at, LocalShard::tick);
        }
    }

    /// Passes a changed VM list to the shards.
    pub(super) fn update_shard_workers(&mut self) {
        for at in 0..self.shards.len() {
            let input = lead::Input::Workers(self.workers_of(self.shards[at].shard()));
            self.with_shard(at, |local, cx| local.handle(input, cx));
        }
        self.update_shards();
    }

    pub(super) fn workers_of(&self, shard: &id::Shard) -> Vec<vm::Worker> {
        let ownership = &self.setup.settings.ownership;
        let here = |vm: &&vm::Worker| shards::of(ownership, &vm.domain, &vm.rack) == *shard;
        self.vms.iter().filter(here).cloned().collect()
    }

    /// Passes a changed configuration or VM list to the shards.
    pub(super) fn update_shards(&mut self) {
        for at in 0..self.shards.len() {
            self.with_shard(at, LocalShard::apply_config);
        }
    }
}
