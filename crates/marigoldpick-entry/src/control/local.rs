//! One shard at this entry: its lead and, while this entry leads it, its scheduler.

mod led;
mod run;

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
use led::Led;
use run::{Run, Step};

/// After this time a lead's word counts although workers of the VM list are missing.
const READY: Millis = Millis::from_secs(5);

/// `Ended` is a job whose tasks in the shard have all ended, until the configuration says so too.
#[derive(Clone, Debug)]
pub struct Ended {
    /// The job.
    pub job: id::Job,
    /// The configuration's entry that accepted it.
    pub accepted: u64,
    /// Tasks that were completed.
    pub completed: u32,
    /// Tasks that were given up.
    pub failed: u32,
    /// When the end was last proposed.
    pub proposed_at: Option<Millis>,
}

/// `Effect` is what the shard wants done outside.
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
    /// Something for the time line.
    Note(Note),
}

/// `Context` is what the shard sees of the control thread while it handles an input.
#[derive(Clone, Copy, Debug)]
pub struct Context<'a> {
    /// The time.
    pub now: Millis,
    /// The configuration.
    pub state: &'a State,
    /// The VM list, sorted by worker.
    pub vms: &'a [vm::Worker],
}

/// `Local` is one shard at this entry.
#[derive(Debug)]
pub struct Local {
    shard: id::Shard,
    seed: u64,
    lead: Lead,
    led: Option<Led>,
    /// Ends that the configuration does not have yet.
    pub ended: Vec<Ended>,
}

impl Local {
    /// Makes a shard that is not led here.
    #[must_use]
    pub fn new(me: id::Entry, seed: u64, shard: id::Shard, settings: Settings) -> Self {
        let lead = Lead::new(me, seed, shard.clone(), settings, seed);
        Self {
            shard,
            seed,
            lead,
            led: None,
            ended: Vec::new(),
        }
    }

    /// Returns the shard.
    #[must_use]
    pub const fn shard(&self) -> &id::Shard {
        &self.shard
    }

    /// Tells whether this entry leads the shard.
    #[must_use]
    pub fn is_leading(&self) -> bool {
        self.lead.is_leading()
    }

    /// Returns the endpoints while this entry leads the shard.
    #[must_use]
    pub fn endpoints(&self) -> Option<&Table> {
        self.led.as_ref().map(|led| &led.table)
    }

    /// Returns the shard's state.
    #[must_use]
    pub fn status(&self) -> operator::Shard {
        let mut status = self.lead.status();
        if let Some(led) = &self.led {
            status.running = led.scheduler.running();
            status.waiting = led.scheduler.waiting();
        }
        status
    }

    /// Returns the progress of the jobs while this entry leads the shard.
    #[must_use]
    pub fn progress(&self) -> Option<operator::Progress> {
        let led = self.led.as_ref()?;
        Some(operator::Progress {
            shard: self.shard.clone(),
            epoch: led.table.epoch,
            jobs: led.scheduler.counts().jobs,
        })
    }

    /// Tells whether a lead here knows its workers, of which the VM list has `live`. One that has just
    /// begun would say that what it has not seen yet can never run.
    #[must_use]
    pub fn is_ready(&self, live: usize, now: Millis) -> bool {
        let Some(led) = &self.led else { return true };
        now.since(led.since) >= READY || self.lead.workers().len() >= live.max(1)
    }

    /// Asks the scheduler about jobs that are being planned.
    #[must_use]
    pub fn survey(&self, jobs: &[intent::Job], now: Millis) -> Option<Vec<Offer>> {
        self.led.as_ref().map(|led| led.scheduler.survey(jobs, now))
    }

    /// Asks the scheduler about a task; `None` when it does not know the job.
    #[must_use]
    pub fn explain(&self, task: &id::Task, now: Millis) -> Option<operator::Explain> {
        let led = self.led.as_ref()?;
        led.fed(&task.job)?;
        Some(led.scheduler.explain(task, now))
    }

    /// Handles an input of the lead, with all that follows from it.
    ///
    /// Returns what is to be done outside and whether the list of endpoints may have changed.
    pub fn handle(&mut self, input: lead::Input, cx: Context<'_>) -> (Vec<Effect>, bool) {
        let before = self.version();
        let mut run = Run {
            effects: Vec::new(),
            steps: VecDeque::new(),
            cx,
        };
        run.lead(&mut self.lead, input);
        self.settle(&mut run);
        (run.effects, before != self.version())
    }

    /// Tells the machines what is new in the configuration and the VM list.
    pub fn follow(&mut self, cx: Context<'_>) -> (Vec<Effect>, bool) {
        let before = self.version();
        let mut run = Run {
            effects: Vec::new(),
            steps: VecDeque::new(),
            cx,
        };
        run.lead(
            &mut self.lead,
            lead::Input::Jobs {
                jobs: lead::homed(cx.state, &self.shard),
                sequence: cx.state.sequence,
            },
        );
        self.feed(&mut run);
        self.settle(&mut run);
        (run.effects, before != self.version())
    }

    /// Lets time pass.
    pub fn tick(&mut self, cx: Context<'_>) -> (Vec<Effect>, bool) {
        let before = self.version();
        let mut run = Run {
            effects: Vec::new(),
            steps: VecDeque::new(),
            cx,
        };
        run.lead(&mut self.lead, lead::Input::Tick);
        if let Some(led) = &mut self.led {
            run.event(&mut led.scheduler, Event::Tick);
        }
        self.settle(&mut run);
        (run.effects, before != self.version())
    }

    fn version(&self) -> Option<(worker::Epoch, u64)> {
        self.led
            .as_ref()
            .map(|led| (led.table.epoch, led.table.version))
    }

    fn settle(&mut self, run: &mut Run<'_>) {
        while let Some(step) = run.steps.pop_front() {
            match step {
                Step::Output(output) => self.output(output, run),
                Step::Action(action) => self.action(action, run),
            }
        }
    }

    fn output(&mut self, output: Output, run: &mut Run<'_>) {
        match output {
            Output::Store { call, request } => run.effects.push(Effect::Store { call, request }),
            Output::Worker {
                call,
                worker,
                address,
                request,
            } => {
                run.effects.push(Effect::Worker {
                    call,
                    worker,
                    address,
                    request,
                });
            }
            Output::Event(event) => run.effects.push(Effect::Note(Note::event("shard", event))),
            Output::Notice(notice) => self.notice(notice, run),
        }
    }

    fn notice(&mut self, notice: Notice, run: &mut Run<'_>) {
        match notice {
            Notice::Leading {
                epoch, progress, ..
            } => self.start_leading(epoch, progress, run),
            Notice::Deposed => self.led = None,
            notice => {
                if let Some(led) = &mut self.led {
                    led.notice(notice, run);
                }
            }
        }
    }

    fn start_leading(
        &mut self,
        epoch: worker::Epoch,
        progress: Vec<record::Job>,
        run: &mut Run<'_>,
    ) {
        let settings = marigoldpick_place::settings::Settings::default();
        let scheduler = Scheduler::new(self.shard.clone(), settings, self.seed);
        self.ended.clear();
        let mut led = Led {
            scheduler,
            table: Table::new(epoch),
            fed: Vec::new(),
            drained: Vec::new(),
            settings_sequence: u64::MAX,
            progress,
            since: run.cx.now,
        };
        let unheard = self
            .lead
            .workers()
            .into_iter()
            .map(|held| held.worker)
            .collect();
        run.event(&mut led.scheduler, Event::Leading { unheard });
        self.led = Some(led);
        self.feed(run);
    }

    fn feed(&mut self, run: &mut Run<'_>) {
        if let Some(led) = &mut self.led {
            led.feed_settings(&self.shard, run);
            led.feed_drains(run);
            led.feed_jobs(&self.shard, run);
        }
    }

    fn action(&mut self, action: Action, run: &mut Run<'_>) {
        let Some(led) = &mut self.led else { return };
        match action {
            Action::Start { worker, spec } => {
                run.lead(&mut self.lead, lead::Input::Start { worker, spec });
            }
            Action::Stop {
                run: stopped,
                grace,
                ..
            } => {
                led.table.leave(&stopped);
                run.lead(
                    &mut self.lead,
                    lead::Input::Stop {
                        run: stopped,
                        grace,
                    },
                );
            }
            Action::Checkpoint { run: stopped, .. } => {
                led.table.leave(&stopped);
                run.lead(&mut self.lead, lead::Input::Checkpoint { run: stopped });
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
                run.lead(&mut self.lead, input);
            }
            Action::GiveUp { task, code } => {
                let note = Note::new("place", "task-given-up", &task, code.to_string());
                run.effects.push(Effect::Note(note));
                run.lead(&mut self.lead, lead::Input::GiveUp { task });
            }
            Action::JobEnded {
                job,
                completed,
                failed,
            } => {
                run.effects
                    .push(Effect::Note(Note::new("place", "job-ended", &job, "")));
                let Some(fed) = led.fed(&job) else { return };
                self.ended.push(Ended {
                    accepted: fed.accepted,
                    job,
                    completed,
                    failed,
                    proposed_at: None,
                });
            }
            Action::Event { what, about, note } => {
                run.effects
                    .push(Effect::Note(Note::new("place", what, about, note)));
            }
        }
    }
}
