//! Gathers what follows from one input of a shard.

use std::collections::VecDeque;

use marigoldpick_place::action::Action;
use marigoldpick_place::event::Event;
use marigoldpick_place::scheduler::Scheduler;
use marigoldpick_shard::lead::{self, Lead, Output};

use super::{Context, Effect};

/// `Step` is something that a machine put out and that is still to be handled.
#[derive(Debug)]
pub(super) enum Step {
    Output(Output),
    Action(Action),
}

/// `Run` gathers what follows from one input.
#[derive(Debug)]
pub(super) struct Run<'a> {
    pub(super) effects: Vec<Effect>,
    pub(super) steps: VecDeque<Step>,
    pub(super) cx: Context<'a>,
}

impl Run<'_> {
    pub(super) fn lead(&mut self, lead: &mut Lead, input: lead::Input) {
        let mut out = Vec::new();
        lead.handle(input, self.cx.now, &mut out);
        self.steps.extend(out.into_iter().map(Step::Output));
    }

    pub(super) fn event(&mut self, scheduler: &mut Scheduler, event: Event) {
        let mut out = Vec::new();
        scheduler.handle(event, self.cx.now, &mut out);
        self.steps.extend(out.into_iter().map(Step::Action));
    }
}
