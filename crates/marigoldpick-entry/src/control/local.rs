//! One shard at this entry: its lead and, while this entry leads it, its scheduler.

use std::collections::VecDeque;

use marigoldpick_core::config::{Accepted, State, Target};
use marigoldpick_core::prelude::*;
use marigoldpick_core::worker::{Outcome, Running};
use marigoldpick_core::{intent, operator, store, vm, worker};
use marigoldpick_place::action::Action;
use marigoldpick_place::event::{Event, Span};
use marigoldpick_place::scheduler::Scheduler;
use marigoldpick_place::survey::Offer;
use marigoldpick_shard::lead::{self, Lead, Notice, Output};
use marigoldpick_shard::{Settings, quota, record};

use crate::control::endpoints::Table;
use crate::recorder::Note;

/// `Ended` is a job whose tasks in the shard have all ended, until the configuration says so too.
#[derive(Clone, Debug)]
pub struct Ended {
    /// The job.
    pub job: id::Job,
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

#[derive(Debug)]
enum Step {
    Output(Output),
    Action(Action),
}

/// `Led` is what exists only while this entry leads the shard.
#[derive(Debug)]
struct Led {
    scheduler: Scheduler,
    table: Table,
    /// The jobs that the scheduler was told of, sorted, and whether they were cancelled.
    fed: Vec<(id::Job, bool)>,
    drained: Vec<id::Worker>,
    settings_sequence: u64,
    progress: Vec<record::Job>,
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
            let counts = led.scheduler.counts();
            status.running = counts.running;
            status.waiting = counts.waiting;
        }
        status
    }

    /// Returns the progress of the jobs while this entry leads the shard.
    #[must_use]
    pub fn progress(&self) -> Vec<operator::Job> {
        self.led
            .as_ref()
            .map(|led| led.scheduler.counts().jobs)
            .unwrap_or_default()
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
        led.fed
            .binary_search_by(|(job, _)| job.cmp(&task.job))
            .ok()?;
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
            lead::Input::Jobs(lead::homed(cx.state, &self.shard)),
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
                self.ended.push(Ended {
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

impl Led {
    fn notice(&mut self, notice: Notice, run: &mut Run<'_>) {
        match notice {
            Notice::WorkerUp { worker, running } => {
                self.table.keep(&worker.id, &running);
                self.event(Event::WorkerUp { worker, running }, run);
                // A worker that is new to the scheduler has to be told again that it is drained.
                self.drained.clear();
                self.feed_drains(run);
            }
            Notice::WorkerReport { worker, changed } => self.report(&worker, &changed, run),
            Notice::WorkerSilent(worker) => self.event(Event::WorkerSilent { worker }, run),
            Notice::WorkerHeard(worker) => self.event(Event::WorkerHeard { worker }, run),
            Notice::WorkerLost { worker, runs } => {
                runs.iter().for_each(|ended| self.table.remove(ended));
                self.table.keep(&worker, &[]);
                self.event(Event::WorkerGone { worker }, run);
            }
            Notice::Started {
                run: started,
                worker,
            } => {
                run.effects.push(Effect::Note(Note::new(
                    "shard",
                    "task-started",
                    &started.task,
                    format!("attempt={} worker={worker}", started.attempt),
                )));
                self.event(
                    Event::Started {
                        run: started,
                        worker,
                    },
                    run,
                );
            }
            Notice::Refused {
                run: refused,
                worker,
                code,
                refusal,
            } => {
                let event = match code {
                    Code::TaskMaybeStarted => Event::MaybeStarted { run: refused },
                    _ => Event::Refused {
                        run: refused,
                        worker,
                        refusal,
                    },
                };
                self.event(event, run);
            }
            Notice::Throttled {
                run: throttled,
                millicores,
            } => {
                self.event(
                    Event::Throttled {
                        run: throttled,
                        millicores,
                    },
                    run,
                );
            }
            Notice::MaybeStarted(started) => {
                self.event(Event::MaybeStarted { run: started }, run);
            }
            Notice::Finished { worker, finished } => {
                self.table.remove(&finished.run);
                let how = outcome(&finished.outcome);
                let note = format!("attempt={} worker={worker} {how}", finished.run.attempt);
                let note = Note::new("shard", "task-ended", &finished.run.task, note);
                run.effects.push(Effect::Note(note));
                let worker::Finished {
                    run: ended,
                    outcome,
                    age,
                    usage,
                } = finished;
                let event = Event::Finished {
                    run: ended,
                    worker,
                    outcome,
                    age,
                    usage,
                };
                self.event(event, run);
            }
            Notice::Progress(progress) => {
                self.progress = progress;
                self.fed.clear();
            }
            Notice::Leading { .. }
            | Notice::Deposed
            | Notice::WorkerChanged(_)
            | Notice::Silent(_)
            | Notice::Held(_) => {}
        }
    }

    fn report(&mut self, worker: &id::Worker, changed: &[Running], run: &mut Run<'_>) {
        for running in changed {
            self.table.put(worker, running);
            if let Some(amount) = &running.usage {
                let usage = Event::Usage {
                    run: running.spec.run.clone(),
                    amount: amount.clone(),
                };
                self.event(usage, run);
            }
        }
    }

    fn event(&mut self, event: Event, run: &mut Run<'_>) {
        run.event(&mut self.scheduler, event);
    }

    fn feed_settings(&mut self, shard: &id::Shard, run: &mut Run<'_>) {
        let state = run.cx.state;
        if self.settings_sequence != state.settings_sequence {
            self.settings_sequence = state.settings_sequence;
            self.event(Event::Objective(state.objective), run);
            for team in &state.teams {
                self.event(Event::Team(team.clone()), run);
            }
        }
        for allotment in quota::allotments(state, shard) {
            let quota::Allotment { team, amount } = allotment;
            self.event(Event::Allotment { team, amount }, run);
        }
    }

    fn feed_drains(&mut self, run: &mut Run<'_>) {
        let state = run.cx.state;
        let leaves = |vm: &&vm::Worker| {
            vm.state != vm::State::Live
                || state.drains(&Target::Worker(vm.id.clone()))
                || state.drains(&Target::Rack(vm.rack.clone()))
                || state.drains(&Target::Domain(vm.domain.clone()))
        };
        let drained: Vec<id::Worker> = run
            .cx
            .vms
            .iter()
            .filter(leaves)
            .map(|vm| vm.id.clone())
            .collect();
        let before = std::mem::replace(&mut self.drained, drained);
        for worker in before
            .iter()
            .filter(|worker| self.drained.binary_search(worker).is_err())
        {
            let event = Event::WorkerDrain {
                worker: worker.clone(),
                on: false,
            };
            run.event(&mut self.scheduler, event);
        }
        for worker in self
            .drained
            .iter()
            .filter(|worker| before.binary_search(worker).is_err())
        {
            let event = Event::WorkerDrain {
                worker: worker.clone(),
                on: true,
            };
            run.event(&mut self.scheduler, event);
        }
    }

    fn feed_jobs(&mut self, shard: &id::Shard, run: &mut Run<'_>) {
        let first = self.fed.is_empty();
        let state = run.cx.state;
        let mut fed = Vec::with_capacity(state.jobs.len());
        let mut cancelled = Vec::new();
        for accepted in &state.jobs {
            let Some(home) = accepted.homes.iter().find(|home| home.shard == *shard) else {
                continue;
            };
            let name = &accepted.job.name;
            let known = self.fed.binary_search_by(|(job, _)| job.cmp(name)).ok();
            if known.is_none() {
                let span = Span {
                    from: home.from,
                    to: home.to,
                };
                let event = self.job_event(accepted, span, !first);
                self.event(event, run);
            }
            if accepted.cancelled && known.is_none_or(|at| !self.fed[at].1) {
                cancelled.push(name.clone());
            }
            fed.push((name.clone(), accepted.cancelled));
        }
        self.fed = fed;
        if !cancelled.is_empty() {
            self.event(Event::Cancel { jobs: cancelled }, run);
        }
    }

    fn job_event(&self, accepted: &Accepted, span: Span, fresh: bool) -> Event {
        let name = &accepted.job.name;
        let at = self.progress.binary_search_by(|job| job.job.cmp(name)).ok();
        let progress = at
            .map(|at| self.progress[at].progress.clone())
            .unwrap_or_default();
        Event::Job {
            job: Box::new(accepted.job.clone()),
            span,
            displaced: accepted.displaced.clone(),
            done: spans(&progress.completed),
            failed: spans(&progress.failed),
            held: progress.started.iter().map(|(index, _)| *index).collect(),
            fresh,
        }
    }
}

/// `Run` gathers what follows from one input.
#[derive(Debug)]
struct Run<'a> {
    effects: Vec<Effect>,
    steps: VecDeque<Step>,
    cx: Context<'a>,
}

impl Run<'_> {
    fn lead(&mut self, lead: &mut Lead, input: lead::Input) {
        let mut out = Vec::new();
        lead.handle(input, self.cx.now, &mut out);
        self.steps.extend(out.into_iter().map(Step::Output));
    }

    fn event(&mut self, scheduler: &mut Scheduler, event: Event) {
        let mut out = Vec::new();
        scheduler.handle(event, self.cx.now, &mut out);
        self.steps.extend(out.into_iter().map(Step::Action));
    }
}

fn spans(ranges: &record::Ranges) -> Vec<Span> {
    ranges
        .0
        .iter()
        .map(|&(from, to)| Span { from, to })
        .collect()
}

const fn outcome(outcome: &Outcome) -> &'static str {
    match outcome {
        Outcome::Done => "done",
        Outcome::Failed => "failed",
        Outcome::Stopped => "stopped",
        Outcome::Checkpointed(_) => "checkpointed",
        Outcome::Lapsed => "lapsed",
    }
}
