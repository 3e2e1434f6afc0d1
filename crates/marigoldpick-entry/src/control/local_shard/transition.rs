//! The processing of one input of a shard, with the outputs that are still pending.

use std::collections::VecDeque;

use marigoldpick_place::action::Action;
use marigoldpick_place::event::Event;
use marigoldpick_place::scheduler::Scheduler;
use marigoldpick_shard::lead::{self, Lead, Output};

use super::{Context, Effect};

/// `Pending` is an output of the lead or the scheduler that has not been handled yet.
#[derive(Debug)]
pub(super) enum Pending {
    Output(Output),
    Action(Action),
}

/// `Transition` collects the outputs and effects of one input.
#[derive(Debug)]
pub(super) struct Transition<'a> {
    pub(super) effects: Vec<Effect>,
    pub(super) pending: VecDeque<Pending>,
    pub(super) cx: Context<'a>,
}

impl Transition<'_> {
    /// Passes an input to the lead and queues its outputs.
    pub(super) fn send_input(&mut self, lead: &mut Lead, input: lead::Input) {
        let mut out = Vec::new();
        lead.handle(input, self.cx.now, &mut out);
        self.pending.extend(out.into_iter().map(Pending::Output));
    }

    /// Passes an event to the scheduler and queues its actions.
    pub(super) fn send_event(&mut self, scheduler: &mut Scheduler, event: Event) {
        let mut out = Vec::new();
        scheduler.handle(event, self.cx.now, &mut out);
        self.pending.extend(out.into_iter().map(Pending::Action));
    }
}
