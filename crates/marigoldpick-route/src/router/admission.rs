//! Admission control: sends a request, queues it or refuses it at once.

use marigoldpick_core::peer::Class;
use marigoldpick_core::prelude::*;
use rand::Rng;

use super::{MAX_QUEUED_FACTOR, MAX_TEAMS, Output, Request, Router, refuse};
use crate::queue::Item;

/// The shortest and the longest advised delay before a retry, in milliseconds.
const RETRY_AFTER_MS: (u64, u64) = (50, 5_000);

impl Router {
    pub(super) fn admit(&mut self, request: Request, now: Millis, out: &mut Vec<Output>) {
        if !request.retry {
            self.budget.record_first_attempt();
        } else if !self.budget.take_retry(now) {
            refuse(request.ticket, Code::NotRunBudget, None, out);
            return;
        }
        if request.deadline <= now {
            refuse(request.ticket, Code::NotRunTooLate, None, out);
            return;
        }
        if self.endpoints.iter().all(|state| state.leaving) {
            let retry_after = self.retry_delay(0.0);
            refuse(request.ticket, Code::NotRunNoEndpoint, retry_after, out);
            return;
        }
        let full = self.queue.teams() >= MAX_TEAMS;
        let weight = self.team_weight(&request.team);
        if !full || self.queue.waiting(&request.team) > 0 {
            self.queue.open_flow(&request.team, weight, now);
        }
        self.refresh_speeds(now);
        if let Some(at) = self.choose_unqueued(&request, now) {
            self.send(queue_item(request), at, now, out);
            return;
        }
        if self.is_slotless(now) {
            let retry_after = self.retry_delay(0.0);
            refuse(request.ticket, Code::NotRunNoEndpoint, retry_after, out);
            return;
        }
        match self.check_admission(&request, weight, now) {
            Some((code, wait_us)) => {
                let retry_after = self.retry_delay(wait_us);
                refuse(request.ticket, code, retry_after, out);
            }
            None => {
                self.queue.push(queue_item(request), now);
                self.dispatch_queued(now, out);
            }
        }
    }

    /// Returns the endpoint that can take the request now, if no request waits before it.
    fn choose_unqueued(&mut self, request: &Request, now: Millis) -> Option<usize> {
        let can_bypass_queue =
            self.queue.is_empty() && self.queue.in_flight(&request.team) < self.team_cap();
        if !can_bypass_queue {
            return None;
        }
        match self.choose_endpoint(request.avoid.as_ref(), 0, now) {
            None if request.avoid.is_some() => self.choose_endpoint(None, 0, now),
            found => found,
        }
    }

    /// Returns why the request must not be queued, if so, and the expected wait in microseconds.
    fn check_admission(&self, request: &Request, weight: u32, now: Millis) -> Option<(Code, f64)> {
        let bound = self.service.queue as usize;
        let full = self.queue.waiting(&request.team) >= bound
            || self.queue.len() >= bound.saturating_mul(MAX_QUEUED_FACTOR)
            || self.queue.teams() >= MAX_TEAMS;
        let wait_us = self.expected_wait_us(request, weight);
        if full {
            return Some((Code::NotRunQueueFull, wait_us));
        }
        if request.never_queue {
            return Some((Code::NotRunShed, wait_us));
        }
        let left_us = request.deadline.since(now).0 as f64 * 1_000.0;
        let need_us = wait_us + self.speeds.shortest_us();
        if need_us > left_us {
            return Some((Code::NotRunTooLate, wait_us));
        }
        (need_us > left_us * wait_share(request.class)).then_some((Code::NotRunShed, wait_us))
    }

    /// Returns the expected wait of the request in microseconds.
    fn expected_wait_us(&self, request: &Request, weight: u32) -> f64 {
        let Some(rate) = self.speeds.rate_per_us() else {
            return 0.0;
        };
        let ahead = self
            .queue
            .count_ahead(&request.team, weight, request.class, request.deadline);
        (ahead + 1.0) / rate
    }

    /// Returns the advised delay before a retry: the expected wait, with jitter added so that
    /// callers don't return all at once.
    pub(super) fn retry_delay(&mut self, wait_us: f64) -> Option<Millis> {
        let millis = (wait_us / 1_000.0) as u64;
        let spread = self.rng.random_range(0..=millis / 2 + RETRY_AFTER_MS.0);
        Some(Millis(
            (millis + spread).clamp(RETRY_AFTER_MS.0, RETRY_AFTER_MS.1),
        ))
    }
}

/// Returns the largest share of the time left that the expected wait and run of a request may take.
const fn wait_share(class: Class) -> f64 {
    match class {
        Class::Urgent => 1.0,
        Class::Normal => 0.6,
        Class::Low => 0.25,
    }
}

fn queue_item(request: Request) -> Item {
    Item {
        ticket: request.ticket,
        team: request.team,
        class: request.class,
        deadline: request.deadline,
        avoid: request.avoid,
    }
}
