//! Gathers what follows from one input of a shard.

use std::collections::VecDeque;

use marigoldpick_place::action::Action;
use marigoldpick_place::event::Event;
use marigoldpick_place::scheduler::Scheduler;
use marigoldpick_shard::lead::{self, Lead, Output};

use super::{Context, Effect};

/// `Pending` is something that a machine put out and that is still to be handled.
#[derive(Debug)]
pub(super) enum Pending {
    Output(Output),
    Action(Action),
}

/// `Transition` gathers what follows from one input.
#[derive(Debug)]
pub(super) struct Transition<'a> {
    pub(super) effects: Vec<Effect>,
    pub(super) pending: VecDeque<Pending>,
    pub(super) cx: Context<'a>,
}

impl Transition<'_> {
    pub(super) fn send_input(&mut self, lead: &mut Lead, input: lead::Input) {
        let mut out = Vec::new();
        lead.handle(input, self.cx.now, &mut out);
        self.pending.extend(out.into_iter().map(Pending::Output));
    }

    pub(super) fn send_event(&mut self, scheduler: &mut Scheduler, event: Event) {
        let mut out = Vec::new();
        scheduler.handle(event, self.cx.now, &mut out);
        self.pending.extend(out.into_iter().map(Pending::Action));
    }
}
