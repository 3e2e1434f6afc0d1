//! One shard at this entry: its leader election and, while this entry leads it, its scheduler.

mod leadership;
mod transition;

use std::collections::VecDeque;

use marigoldpick_core::config::State;
use marigoldpick_core::prelude::*;
use marigoldpick_core::{intent, operator, store, vm, worker};
use marigoldpick_place::action::Action;
use marigoldpick_place::event::Event;
use marigoldpick_place::scheduler::Scheduler;
use marigoldpick_place::survey::Offer;
use marigoldpick_shard::lead::{self, Lead, Notice, Output};
use marigoldpick_shard::{Settings, record};

use crate::control::endpoints::Table;
use crate::recorder::Note;
use leadership::Leadership;
use transition::{Pending, Transition};

/// The time after which a new lead answers surveys although workers of the VM list are missing.
const READY_AFTER: Millis = Millis::from_secs(5);

/// `EndedJob` is a job whose tasks in the shard have all ended.
///
/// It is kept until the configuration has recorded the end too.
#[derive(Clone, Debug)]
pub struct EndedJob {
    /// The job.
    pub job: id::Job,
    /// The number of the configuration entry that accepted the job.
    pub accepted: u64,
    /// The number of completed tasks.
    pub completed: u32,
    /// The number of tasks that were given up.
    pub failed: u32,
    /// When the end was last proposed.
    pub proposed_at: Option<Millis>,
}

/// `Effect` is an action that the shard requests from the control thread.
#[derive(Debug)]
pub enum Effect {
    /// A call to the store.
    Store {
        /// The call's number.
        call: u64,
        /// The call.
        request: store::Call,
    },
    /// A call to a worker.
    Worker {
        /// The call's number.
        call: u64,
        /// The worker.
        worker: id::Worker,
        /// Its address.
        address: String,
        /// The call.
        request: worker::Call,
    },
    /// An event for the time line.
    Note(Note),
}

/// `Context` is the state of the control thread that the shard reads while it handles an input.
#[derive(Clone, Copy, Debug)]
pub struct Context<'a> {
    /// The current time.
    pub now: Millis,
    /// The configuration.
    pub state: &'a State,
    /// The VM list, sorted by worker.
    pub vms: &'a [vm::Worker],
}

/// `LocalShard` is one shard at this entry, whether or not the entry leads it.
#[derive(Debug)]
pub struct LocalShard {
    shard: id::Shard,
    seed: u64,
    lead: Lead,
    leadership: Option<Leadership>,
    /// Job ends that the configuration does not have yet.
    pub ended_jobs: Vec<EndedJob>,
}

impl LocalShard {
    /// Creates a shard that is not led here.
    #[must_use]
    pub fn new(me: id::Entry, seed: u64, shard: id::Shard, settings: Settings) -> Self {
        let lead = Lead::new(me, seed, shard.clone(), settings, seed);
        Self {
            shard,
            seed,
            lead,
            leadership: None,
            ended_jobs: Vec::new(),
        }
    }

    /// Returns the shard's id.
    #[must_use]
    pub const fn shard(&self) -> &id::Shard {
        &self.shard
    }

    /// Returns whether this entry leads the shard.
    #[must_use]
    pub fn is_leading(&self) -> bool {
        self.lead.is_leading()
    }

    /// Returns the endpoints if this entry leads the shard.
    #[must_use]
    pub fn endpoints(&self) -> Option<&Table> {
        self.leadership.as_ref().map(|leadership| &leadership.table)
    }

    /// Returns the shard's status.
    #[must_use]
    pub fn status(&self) -> operator::Shard {
        let mut status = self.lead.status();
        if let Some(leadership) = &self.leadership {
            status.running = leadership.scheduler.running();
            status.waiting = leadership.scheduler.waiting();
        }
        status
    }

    /// Returns the progress of the jobs if this entry leads the shard.
    #[must_use]
    pub fn progress(&self) -> Option<operator::Progress> {
        let leadership = self.leadership.as_ref()?;
        Some(operator::Progress {
            shard: self.shard.clone(),
            epoch: leadership.table.epoch,
            jobs: leadership.scheduler.counts().jobs,
        })
    }

    /// Returns whether the shard's survey can be used for a plan.
    ///
    /// The VM list has `live` workers. A new lead that has not reached them all would answer that
    /// tasks which need the others can never run. Without leadership here the answer is yes.
    #[must_use]
    pub fn is_ready(&self, live: usize, now: Millis) -> bool {
        let Some(leadership) = &self.leadership else {
            return true;
        };
        now.since(leadership.led_since) >= READY_AFTER || self.lead.workers().len() >= live.max(1)
    }

    /// Returns the scheduler's offers for jobs that are being planned.
    #[must_use]
    pub fn survey(&self, jobs: &[intent::Job], now: Millis) -> Option<Vec<Offer>> {
        self.leadership
            .as_ref()
            .map(|leadership| leadership.scheduler.survey(jobs, now))
    }

    /// Explains a task's state; `None` when the scheduler does not know the job.
    #[must_use]
    pub fn explain(&self, task: &id::Task, now: Millis) -> Option<operator::Explain> {
        let leadership = self.leadership.as_ref()?;
        leadership.known_job(&task.job)?;
        Some(leadership.scheduler.explain(task, now))
    }

    /// Handles an input of the lead and everything that follows from it.
    ///
    /// Returns the effects to perform and whether the list of endpoints may have changed.
    pub fn handle(&mut self, input: lead::Input, cx: Context<'_>) -> (Vec<Effect>, bool) {
        let before = self.endpoints_version();
        let mut transition = Transition {
            effects: Vec::new(),
            pending: VecDeque::new(),
            cx,
        };
        transition.send_input(&mut self.lead, input);
        self.process_pending(&mut transition);
        (transition.effects, before != self.endpoints_version())
    }

    /// Passes changes of the configuration and the VM list to the lead and the scheduler.
    pub fn apply_config(&mut self, cx: Context<'_>) -> (Vec<Effect>, bool) {
        let before = self.endpoints_version();
        let mut transition = Transition {
            effects: Vec::new(),
            pending: VecDeque::new(),
            cx,
        };
        transition.send_input(
            &mut self.lead,
            lead::Input::Jobs {
                jobs: lead::homed(cx.state, &self.shard),
                sequence: cx.state.sequence,
            },
        );
        self.update_scheduler(&mut transition);
        self.process_pending(&mut transition);
        (transition.effects, before != self.endpoints_version())
    }

    /// Advances the lead and the scheduler to the current time.
    pub fn tick(&mut self, cx: Context<'_>) -> (Vec<Effect>, bool) {
        let before = self.endpoints_version();
        let mut transition = Transition {
            effects: Vec::new(),
            pending: VecDeque::new(),
            cx,
        };
        transition.send_input(&mut self.lead, lead::Input::Tick);
        if let Some(leadership) = &mut self.leadership {
            transition.send_event(&mut leadership.scheduler, Event::Tick);
        }
        self.process_pending(&mut transition);
        (transition.effects, before != self.endpoints_version())
    }

    fn endpoints_version(&self) -> Option<(worker::Epoch, u64)> {
        self.leadership
            .as_ref()
            .map(|leadership| (leadership.table.epoch, leadership.table.version))
    }

    /// Processes outputs until none is pending; each may add further ones.
    fn process_pending(&mut self, transition: &mut Transition<'_>) {
        while let Some(next) = transition.pending.pop_front() {
            match next {
                Pending::Output(output) => self.handle_output(output, transition),
                Pending::Action(action) => self.handle_action(action, transition),
            }
        }
    }

    fn handle_output(&mut self, output: Output, transition: &mut Transition<'_>) {
        match output {
            Output::Store { call, request } => {
                transition.effects.push(Effect::Store { call, request })
            }
            Output::Worker {
                call,
                worker,
                address,
                request,
            } => {
                transition.effects.push(Effect::Worker {
                    call,
                    worker,
                    address,
                    request,
                });
            }
            Output::Event(event) => transition
                .effects
                .push(Effect::Note(Note::event("shard", event))),
            Output::Notice(notice) => self.handle_notice(notice, transition),
        }
    }

    fn handle_notice(&mut self, notice: Notice, transition: &mut Transition<'_>) {
        match notice {
            Notice::Leading {
                epoch, progress, ..
            } => self.start_leading(epoch, progress, transition),
            Notice::Deposed => self.leadership = None,
            notice => {
                if let Some(leadership) = &mut self.leadership {
                    leadership.handle_notice(notice, transition);
                }
            }
        }
    }

    fn start_leading(
        &mut self,
        epoch: worker::Epoch,
        progress: Vec<record::Job>,
        transition: &mut Transition<'_>,
    ) {
        let settings = marigoldpick_place::settings::Settings::default();
        let scheduler = Scheduler::new(self.shard.clone(), settings, self.seed);
        self.ended_jobs.clear();
        let mut leadership = Leadership {
            scheduler,
            table: Table::new(epoch),
            known_jobs: Vec::new(),
            drained_workers: Vec::new(),
            settings_sequence: u64::MAX,
            progress,
            led_since: transition.cx.now,
        };
        let unheard = self
            .lead
            .workers()
            .into_iter()
            .map(|held| held.worker)
            .collect();
        transition.send_event(&mut leadership.scheduler, Event::Leading { unheard });
        self.leadership = Some(leadership);
        self.update_scheduler(transition);
    }

    fn update_scheduler(&mut self, transition: &mut Transition<'_>) {
        if let Some(leadership) = &mut self.leadership {
            leadership.update_settings(&self.shard, transition);
            leadership.update_drains(transition);
            leadership.update_jobs(&self.shard, transition);
        }
    }

    fn handle_action(&mut self, action: Action, transition: &mut Transition<'_>) {
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        match action {
            Action::Start { worker, spec } => {
                transition.send_input(&mut self.lead, lead::Input::Start { worker, spec });
            }
            Action::Stop {
                run: stopped,
                grace,
                ..
            } => {
                leadership.table.mark_leaving(&stopped);
                transition.send_input(
                    &mut self.lead,
                    lead::Input::Stop {
                        run: stopped,
                        grace,
                    },
                );
            }
            Action::Checkpoint { run: stopped, .. } => {
                leadership.table.mark_leaving(&stopped);
                transition.send_input(&mut self.lead, lead::Input::Checkpoint { run: stopped });
            }
            Action::Throttle {
                run: throttled,
                millicores,
                ..
            } => {
                let input = lead::Input::Throttle {
                    run: throttled,
                    millicores,
                };
                transition.send_input(&mut self.lead, input);
            }
            Action::GiveUp { task, code } => {
                let note = Note::new("place", "task-given-up", &task, code.to_string());
                transition.effects.push(Effect::Note(note));
                transition.send_input(&mut self.lead, lead::Input::GiveUp { task });
            }
            Action::JobEnded {
                job,
                completed,
                failed,
            } => {
                transition
                    .effects
                    .push(Effect::Note(Note::new("place", "job-ended", &job, "")));
                let Some(known) = leadership.known_job(&job) else {
                    return;
                };
                self.ended_jobs.push(EndedJob {
                    accepted: known.accepted,
                    job,
                    completed,
                    failed,
                    proposed_at: None,
                });
            }
            Action::Event { what, about, note } => {
                transition
                    .effects
                    .push(Effect::Note(Note::new("place", what, about, note)));
            }
        }
    }
}
