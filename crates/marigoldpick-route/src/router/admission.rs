//! Admission: a request is sent, queued or refused at once.

use marigoldpick_core::peer::Class;
use marigoldpick_core::prelude::*;
use rand::Rng;

use super::{MAX_QUEUES, MAX_TEAMS, Output, Request, Router, refuse};
use crate::queue::Item;

/// The shortest and longest advice on when to try again.
const RETRY_AFTER: (u64, u64) = (50, 5_000);

impl Router {
    pub(super) fn admit(&mut self, request: Request, now: Millis, out: &mut Vec<Output>) {
        if !request.retry {
            self.budget.earn();
        } else if !self.budget.take(now) {
            refuse(request.ticket, Code::NotRunBudget, None, out);
            return;
        }
        if request.deadline <= now {
            refuse(request.ticket, Code::NotRunTooLate, None, out);
            return;
        }
        if self.backs.iter().all(|back| back.leaving) {
            let later = self.later(0.0);
            refuse(request.ticket, Code::NotRunNoEndpoint, later, out);
            return;
        }
        let full = self.queue.teams() >= MAX_TEAMS;
        let weight = self.weight(&request.team);
        if !full || self.queue.waiting(&request.team) > 0 {
            self.queue.open(&request.team, weight, now);
        }
        self.refresh(now);
        if let Some(at) = self.direct(&request, now) {
            self.send(item(request), at, now, out);
            return;
        }
        if self.is_dry(now) {
            let later = self.later(0.0);
            refuse(request.ticket, Code::NotRunNoEndpoint, later, out);
            return;
        }
        match self.refusal(&request, weight, now) {
            Some((code, wait)) => {
                let later = self.later(wait);
                refuse(request.ticket, code, later, out);
            }
            None => {
                self.queue.push(item(request), now);
                self.pump(now, out);
            }
        }
    }

    /// Returns the endpoint that takes the request now, if nobody waits before it.
    fn direct(&mut self, request: &Request, now: Millis) -> Option<usize> {
        let may = self.queue.is_empty() && self.queue.used(&request.team) < self.team_cap();
        if !may {
            return None;
        }
        match self.choose(request.avoid.as_ref(), 0, now) {
            None if request.avoid.is_some() => self.choose(None, 0, now),
            found => found,
        }
    }

    /// Returns why the request is not queued, if so, and the expected wait in microseconds.
    fn refusal(&self, request: &Request, weight: u32, now: Millis) -> Option<(Code, f64)> {
        let bound = self.service.queue as usize;
        let full = self.queue.waiting(&request.team) >= bound
            || self.queue.len() >= bound.saturating_mul(MAX_QUEUES)
            || self.queue.teams() >= MAX_TEAMS;
        let wait = self.wait(request, weight);
        if full {
            return Some((Code::NotRunQueueFull, wait));
        }
        if request.spare {
            return Some((Code::NotRunShed, wait));
        }
        let left = request.deadline.since(now).0 as f64 * 1_000.0;
        let need = wait + self.speeds.best();
        if need > left {
            return Some((Code::NotRunTooLate, wait));
        }
        (need > left * share(request.class)).then_some((Code::NotRunShed, wait))
    }

    /// Returns the expected wait in microseconds.
    fn wait(&self, request: &Request, weight: u32) -> f64 {
        let Some(rate) = self.speeds.rate() else {
            return 0.0;
        };
        let ahead = self
            .queue
            .ahead(&request.team, weight, request.class, request.deadline);
        (ahead + 1.0) / rate
    }

    /// Returns when a later try makes sense: after the wait, spread so that callers don't return
    /// all at once.
    pub(super) fn later(&mut self, wait: f64) -> Option<Millis> {
        let millis = (wait / 1_000.0) as u64;
        let spread = self.rng.random_range(0..=millis / 2 + RETRY_AFTER.0);
        Some(Millis(
            (millis + spread).clamp(RETRY_AFTER.0, RETRY_AFTER.1),
        ))
    }
}

/// Returns the share of the time left that a request of the class may spend waiting.
const fn share(class: Class) -> f64 {
    match class {
        Class::Urgent => 1.0,
        Class::Normal => 0.6,
        Class::Low => 0.25,
    }
}

fn item(request: Request) -> Item {
    Item {
        ticket: request.ticket,
        team: request.team,
        class: request.class,
        deadline: request.deadline,
        avoid: request.avoid,
    }
}
