//! An in-memory worker with epochs, a drifting clock for its lease, and tasks that end on their own.

use marigoldpick_core::prelude::*;
use marigoldpick_core::worker::{
    Answer, Call, Epoch, Finished, Outcome, Refusal, Report, Running, Spec,
};

#[derive(Debug)]
struct Task {
    spec: Spec,
    started: Millis,
    /// The run time, or `None` for an instance of a service.
    span: Option<Millis>,
    changed: bool,
}

#[derive(Debug, Default)]
pub struct Worker {
    /// Drift of the clock in parts per thousand.
    pub drift: i64,
    pub offset: u64,
    /// Whether calls with another epoch are refused; some implementations of workers do not check.
    pub fences: bool,
    epoch: Epoch,
    lease_end: Millis,
    tasks: Vec<Task>,
    finished: Vec<Finished>,
    pub started: Vec<id::Run>,
}

impl Worker {
    pub fn new(drift: i64, offset: u64) -> Self {
        Self {
            drift,
            offset,
            fences: true,
            ..Self::default()
        }
    }

    /// Returns the worker's clock at the true time `now`.
    fn time(&self, now: Millis) -> Millis {
        let scaled = i128::from(now.0) * i128::from(1_000 + self.drift) / 1_000;
        Millis(u64::try_from(scaled).expect("time is positive") + self.offset)
    }

    /// Ends the tasks that are completed or lapsed at the true time `now`.
    pub fn settle(&mut self, now: Millis) {
        let time = self.time(now);
        let lapse = self.lease_end;
        let mut kept = Vec::new();
        for task in self.tasks.drain(..) {
            let end = task.span.map_or(Millis::MAX, |span| task.started + span);
            let outcome = if end <= time && end <= lapse {
                Outcome::Done
            } else if lapse <= time {
                Outcome::Lapsed
            } else {
                kept.push(task);
                continue;
            };
            self.finished.push(Finished {
                run: task.spec.run,
                accepted: task.spec.accepted,
                outcome,
                age: time.since(task.started),
                usage: None,
            });
        }
        self.tasks = kept;
    }

    /// Ends the first task as failed.
    pub fn fail_one(&mut self, now: Millis) {
        let age = self.time(now).since(self.tasks[0].started);
        let task = self.tasks.remove(0);
        self.finished.push(Finished {
            run: task.spec.run,
            accepted: task.spec.accepted,
            outcome: Outcome::Failed,
            age,
            usage: None,
        });
    }

    /// Returns the number of ended runs that the worker keeps.
    pub fn kept(&self) -> usize {
        self.finished.len()
    }

    pub fn running(&self) -> impl Iterator<Item = &id::Run> {
        self.tasks.iter().map(|task| &task.spec.run)
    }

    /// Carries out a call at the true time `now`.
    pub fn call(&mut self, call: &Call, now: Millis) -> Answer {
        self.settle(now);
        let time = self.time(now);
        let refused = self.act(call, time).err();
        let whole = matches!(call, Call::Claim { .. } | Call::List);
        let mut running = Vec::new();
        for task in &mut self.tasks {
            if whole || task.changed {
                running.push(Running {
                    spec: task.spec.clone(),
                    age: time.since(task.started),
                    endpoint: None,
                    stopping: false,
                    usage: None,
                });
            }
            task.changed = false;
        }
        let report = Report {
            epoch: self.epoch,
            stamp: time,
            lease_end: self.lease_end,
            whole,
            running,
            finished: self.finished.clone(),
        };
        Answer { refused, report }
    }

    fn act(&mut self, call: &Call, time: Millis) -> Result<(), Refusal> {
        match call {
            Call::List => Ok(()),
            Call::Claim { epoch } => {
                if *epoch < self.epoch {
                    return Err(Refusal::Fenced);
                }
                self.epoch = *epoch;
                Ok(())
            }
            Call::Renew {
                epoch,
                stamp,
                span,
                acknowledged,
            } => {
                self.obey(*epoch)?;
                if *stamp + *span <= time {
                    return Err(Refusal::Lapsed);
                }
                self.lease_end = self.lease_end.max(*stamp + *span);
                self.finished.retain(|f| !acknowledged.contains(&f.run));
                Ok(())
            }
            Call::Start {
                epoch,
                stamp,
                span,
                spec,
            } => {
                self.obey(*epoch)?;
                if *stamp + *span < time || self.lease_end <= time {
                    return Err(Refusal::Lapsed);
                }
                self.start(spec, time)
            }
            Call::Stop { epoch, run, .. } | Call::Checkpoint { epoch, run } => {
                self.obey(*epoch)?;
                let at = self.tasks.iter().position(|t| t.spec.run == *run);
                let task = self.tasks.swap_remove(at.ok_or(Refusal::UnknownRun)?);
                let outcome = match call {
                    Call::Checkpoint { .. } => Outcome::Checkpointed("half".to_owned()),
                    _ => Outcome::Stopped,
                };
                self.finished.push(Finished {
                    run: task.spec.run,
                    accepted: task.spec.accepted,
                    outcome,
                    age: time.since(task.started),
                    usage: None,
                });
                Ok(())
            }
            Call::Throttle { epoch, .. } => self.obey(*epoch),
        }
    }

    fn obey(&self, epoch: Epoch) -> Result<(), Refusal> {
        if self.fences && epoch != self.epoch {
            return Err(Refusal::Fenced);
        }
        Ok(())
    }

    fn start(&mut self, spec: &Spec, time: Millis) -> Result<(), Refusal> {
        if self.running().any(|run| run.task == spec.run.task) {
            return Err(Refusal::Runs);
        }
        if self.started.contains(&spec.run) {
            return Err(Refusal::Again);
        }
        self.started.push(spec.run.clone());
        self.tasks.push(Task {
            spec: spec.clone(),
            started: time,
            span: spec.command.parse().ok().map(Millis),
            changed: true,
        });
        Ok(())
    }
}
