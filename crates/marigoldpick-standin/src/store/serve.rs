//! Serves the store over HTTP, with rate limits, delays, faults and call counters.

use std::num::NonZeroU32;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use async_std::future::timeout;
use async_std::task;
use governor::{DefaultDirectRateLimiter, Quota, RateLimiter};
use http_types::{Request, Response, StatusCode};
use marigoldpick_core::clock::System;
use marigoldpick_core::prelude::*;
use marigoldpick_core::store::{Answer, Call, MAX_VALUE_BYTES};
use marigoldpick_platform::ENTRY_HEADER;
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use super::state::State;
use crate::http::{drop_connection, header, json, parse, refused};
use crate::seed::Seed;
use crate::settings;
use crate::truth::{Configs, Counters};

/// The largest accepted body: a value whose characters are all escaped, and the rest of a call.
const MAX_BODY_BYTES: usize = 7 * MAX_VALUE_BYTES;
/// The longest wait of a watch.
const MAX_WAIT: Millis = Millis::from_secs(60);

/// `Refused` is the reason why a call was not answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refused {
    /// The store is down; the call was not carried out.
    Down,
    /// The rate limit is exceeded; the call was not carried out.
    Rate,
    /// A value is too large; the call was not carried out.
    Size,
    /// The connection closes without an answer; the call may have been carried out.
    Dropped,
}

/// `Store` is the simulated key-value service.
#[derive(Clone, Debug)]
pub struct Store {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    state: Mutex<State>,
    draws: Mutex<ChaCha8Rng>,
    counters: Mutex<Counters>,
    writes: DefaultDirectRateLimiter,
    reads: DefaultDirectRateLimiter,
    delay: crate::settings::Range,
    clock: System,
    added_delay_ms: AtomicU64,
    lost_percent: AtomicU32,
    down: AtomicBool,
}

impl Store {
    /// Creates an empty store whose random draws depend only on `seed`.
    #[must_use]
    pub fn new(seed: u64, settings: &settings::Store, clock: System) -> Self {
        Self {
            inner: Arc::new(Inner {
                state: Mutex::default(),
                draws: Mutex::new(Seed(seed).generator("store", "")),
                counters: Mutex::default(),
                writes: rate_limiter(settings.writes_per_second),
                reads: rate_limiter(settings.reads_per_second),
                delay: settings.delay_ms,
                clock,
                added_delay_ms: AtomicU64::new(0),
                lost_percent: AtomicU32::new(0),
                down: AtomicBool::new(false),
            }),
        }
    }

    /// Sets a delay that is added before each call takes effect.
    pub fn set_delay(&self, delay: Millis) {
        self.inner.added_delay_ms.store(delay.0, Ordering::SeqCst);
    }

    /// Sets the percentage of writes whose answers are lost.
    pub fn set_lost_percent(&self, percent: u32) {
        self.inner.lost_percent.store(percent, Ordering::SeqCst);
    }

    /// Sets whether the store is down.
    ///
    /// While it is down, it refuses new calls; calls in flight get no answer and take no effect.
    pub fn set_down(&self, on: bool) {
        self.inner.down.store(on, Ordering::SeqCst);
    }

    /// Returns the number of calls by caller and kind.
    pub(crate) fn counters(&self) -> Counters {
        lock(&self.inner.counters).clone()
    }

    /// Returns the record of the configuration log.
    pub(crate) fn configs(&self) -> Configs {
        lock(&self.inner.state).configs().clone()
    }

    /// Ends the leases that have expired.
    pub fn tick(&self) {
        lock(&self.inner.state).expire(self.inner.clock.now());
    }

    /// Answers one HTTP request.
    pub(crate) async fn answer(&self, mut request: Request) -> http_types::Result<Response> {
        let call: Call = match parse(&mut request, MAX_BODY_BYTES).await {
            Ok(call) => call,
            Err(status) => return Ok(Response::new(status)),
        };
        let caller = header(&request, ENTRY_HEADER).unwrap_or_default();
        match self.execute(caller, call).await {
            Ok(answer) => Ok(json(&answer)),
            Err(Refused::Down) => Ok(refused()),
            Err(Refused::Rate) => Ok(Response::new(StatusCode::TooManyRequests)),
            Err(Refused::Size) => Ok(Response::new(StatusCode::PayloadTooLarge)),
            Err(Refused::Dropped) => Err(drop_connection()),
        }
    }

    /// Carries out one call with the store's delays and faults, and counts it for `caller`.
    ///
    /// # Errors
    /// Returns the reason why there is no answer.
    pub async fn execute(&self, caller: &str, call: Call) -> Result<Answer, Refused> {
        lock(&self.inner.counters).add(caller, call.kind());
        if self.is_down() {
            return Err(Refused::Down);
        }
        self.check_limits(&call)?;
        self.sleep_delay().await;
        if let Call::Watch {
            prefix,
            revision,
            wait,
        }
        | Call::Follow {
            prefix,
            revision,
            wait,
        } = &call
        {
            self.wait_for_change(prefix, *revision, *wait).await;
        }
        if self.is_down() {
            return Err(Refused::Dropped);
        }
        let is_lost = call.is_write() && self.draw_lost_answer();
        let answer = self.apply(call);
        if is_lost {
            return Err(Refused::Dropped);
        }
        Ok(answer)
    }

    fn is_down(&self) -> bool {
        self.inner.down.load(Ordering::SeqCst)
    }

    /// Carries out a call of the platform itself at once, regardless of faults and rate limits.
    pub fn apply(&self, call: Call) -> Answer {
        lock(&self.inner.state).apply(call, self.inner.clock.now())
    }

    fn check_limits(&self, call: &Call) -> Result<(), Refused> {
        if matches!(call, Call::Put { value, .. } if value.len() > MAX_VALUE_BYTES) {
            return Err(Refused::Size);
        }
        let limiter = if call.is_write() {
            &self.inner.writes
        } else {
            &self.inner.reads
        };
        limiter.check().map_err(|_until| Refused::Rate)
    }

    async fn sleep_delay(&self) {
        let range = self.inner.delay;
        let usual = lock(&self.inner.draws).random_range(range.from..=range.to);
        let added = Millis(self.inner.added_delay_ms.load(Ordering::SeqCst));
        task::sleep(
            added
                .duration()
                .saturating_add(std::time::Duration::from_secs_f64(usual / 1_000.0)),
        )
        .await;
    }

    fn draw_lost_answer(&self) -> bool {
        let percent = self.inner.lost_percent.load(Ordering::SeqCst);
        percent > 0 && lock(&self.inner.draws).random_range(0..100) < percent
    }

    async fn wait_for_change(&self, prefix: &str, revision: u64, wait: Millis) {
        let end = self.inner.clock.now() + wait.min(MAX_WAIT);
        loop {
            let woken = {
                let mut state = lock(&self.inner.state);
                if state.has_changed(prefix, revision) {
                    return;
                }
                state.subscribe(prefix)
            };
            let left = end.since(self.inner.clock.now());
            if left == Millis::ZERO || timeout(left.duration(), woken.recv()).await.is_err() {
                return;
            }
        }
    }
}

fn rate_limiter(rate: u32) -> DefaultDirectRateLimiter {
    let rate = NonZeroU32::new(rate).unwrap_or(NonZeroU32::MIN);
    RateLimiter::direct(Quota::per_second(rate))
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
