//! Heartbeats and other calls between the control threads of entries.

use marigoldpick_core::control::{Answer, Beat, Call, Led};
use marigoldpick_core::prelude::*;
use marigoldpick_shard::config;

use crate::control::Control;

/// The most configuration entries in one answer.
const MAX_ENTRIES: usize = 200;

impl Control {
    pub(super) fn send_beats(&mut self, now: Millis) {
        let beat = self.beat(now);
        self.peers.record_own_beat(&beat);
        for peer in self.peers.take_due(now) {
            self.io.send_beat(peer, beat.clone());
        }
    }

    /// Sends all live entries a heartbeat at once, for a change that can't wait until one is due.
    pub(super) fn broadcast_beat(&self) {
        let beat = self.beat(self.now());
        for peer in self.peers.alive() {
            self.io.send_beat(peer.clone(), beat.clone());
        }
    }

    fn beat(&self, now: Millis) -> Beat {
        let led = self.shards.iter().filter_map(|local| {
            let table = local.endpoints()?;
            Some(Led {
                epoch: table.epoch,
                shard: local.status(),
                endpoints: table.version,
            })
        });
        Beat {
            known: self.setup.known.clone(),
            incarnation: self.setup.incarnation,
            age: now,
            draining: self.is_leaving(),
            sequence: self.config.state().sequence,
            store_age: self.config.age(now),
            led: led.collect(),
            others: Vec::new(),
        }
    }

    /// Records a heartbeat, and requests what its sender has and this entry lacks.
    pub(super) fn handle_beat(&mut self, beat: &Beat) {
        let now = self.now();
        if self.peers.record_beat(beat, now) {
            self.dirty = true;
            let about = beat.known.entry.clone();
            self.record_note(
                "entry",
                "entry-heard",
                about,
                format!(
                    "incarnation={} draining={}",
                    beat.incarnation, beat.draining
                ),
            );
        }
        let (sequence, age) = (beat.sequence, beat.store_age);
        self.handle_config_input(config::Input::Peer { sequence, age });
        for led in &beat.led {
            let Some(at) = self.shard_at(&led.shard.shard) else {
                continue;
            };
            if self.tables[at].is_behind(led.epoch, led.endpoints) {
                self.io
                    .request_endpoints(beat.known.clone(), led.shard.shard.clone());
            }
        }
    }

    /// Handles a call of another entry and returns the answer.
    pub(super) fn handle_peer_call(&mut self, call: Call) -> Result<Answer, Code> {
        match call {
            Call::Beat(beat) => {
                self.handle_beat(&beat);
                let mut own = self.beat(self.now());
                if self.peers.is_new(&beat.known.entry, self.now()) {
                    own.others = self.peers.known();
                }
                Ok(Answer::Beat(own))
            }
            Call::Entries { after } => Ok(self.entries_after(after)),
            Call::Push(entries) => {
                self.handle_config_input(config::Input::Entries(entries));
                Ok(Answer::Sequence(self.config.state().sequence))
            }
            Call::Survey { shard, jobs } => {
                let at = self.shard_at(&shard).ok_or(Code::NotLead)?;
                let (local, now) = (&self.shards[at], self.now());
                let ready = Some(local).filter(|local| self.is_ready(local, now));
                let offers = ready.and_then(|local| local.survey(&jobs, now));
                let offers = offers.ok_or(Code::NotLead)?;
                let text = serde_json::to_string(&offers).map_err(|_source| Code::Internal)?;
                Ok(Answer::Offers(text))
            }
            Call::Plan(id) => {
                let plan = self.plans.get(&id, self.now()).cloned();
                Ok(Answer::Plan(plan.map(Box::new)))
            }
            Call::Explain(task) => self
                .explain_locally(&task)
                .map(Answer::Explain)
                .ok_or(Code::UnknownTask),
            Call::Progress => Ok(Answer::Progress(self.progress())),
            Call::Endpoints(shard) => {
                let at = self.shard_at(&shard).ok_or(Code::NotLead)?;
                let table = self.shards[at].endpoints().ok_or(Code::NotLead)?;
                Ok(Answer::Endpoints {
                    epoch: table.epoch,
                    version: table.version,
                    endpoints: table.endpoints.clone(),
                })
            }
        }
    }

    fn entries_after(&self, after: u64) -> Answer {
        match self.config.entries_after(after) {
            Some(mut entries) => {
                entries.truncate(MAX_ENTRIES);
                Answer::Entries(entries)
            }
            None => Answer::State(Box::new(self.config.state().clone())),
        }
    }

    /// Applies the entries or the state that a peer was asked for.
    pub(super) fn handle_entries(&mut self, answer: Result<Answer, Code>) {
        match answer {
            Ok(Answer::Entries(entries)) => {
                self.handle_config_input(config::Input::Entries(entries))
            }
            Ok(Answer::State(state)) => self.handle_config_input(config::Input::Snapshot(state)),
            // The next heartbeat leads to another request.
            Ok(_) | Err(_) => {}
        }
    }

    /// Copies the endpoints of a shard that another entry leads.
    pub(super) fn handle_endpoints(&mut self, shard: &id::Shard, answer: Result<Answer, Code>) {
        let Ok(Answer::Endpoints {
            epoch,
            version,
            endpoints,
        }) = answer
        else {
            return;
        };
        if let Some(at) = self.shard_at(shard) {
            self.tables[at].replace(epoch, version, endpoints);
            self.dirty = true;
        }
    }
}
