//! Tests of the decision on submitted jobs, which replay bursts on a queue in virtual time.

use googletest::prelude::*;
use marigoldpick_core::prelude::*;
use marigoldpick_core::work::load::{Service, Summary, size_class};
use marigoldpick_core::work::{Job, Schedule, Step};
use marigoldpick_job::Queue;
use marigoldpick_job::admission::{
    ERROR_PERCENT, Estimate, MAX_AGE, MAX_DELAY, MIN_DELAY, MIN_LED, Observed, Reason, Verdict,
    decide, estimate, spread,
};
use marigoldpick_job::throughput::Throughput;

/// The capacity of the service in thousandths of a core.
const CAPACITY: u64 = 20_000;
/// The step of the virtual time.
const TICK: Millis = Millis(10);
/// The time between two questions of an entry to the lead.
const REFRESH: Millis = Millis(500);

fn name(text: &str) -> Name {
    Name::new(text).expect("a name")
}

fn job_id(number: u64) -> id::Job {
    id::Job::new(&format!("{number:016x}")).expect("a name")
}

/// Returns a queue whose jobs are late after `target` and 1.5 times their run time.
fn queue(priority: u32, target: u64) -> Queue {
    Queue {
        name: name("q"),
        service: name("s"),
        priority,
        attempts: 3,
        stretch: 1.5,
        target: Millis(target),
        policy: None,
    }
}

fn job(tasks: u32, run_time: u64) -> Job {
    Job {
        queue: name("q"),
        payload: String::new(),
        steps: vec![Step {
            count: tasks,
            needs: Amount::new(1_000, 100),
            estimate: Millis(run_time),
            ..Step::default()
        }],
        schedule: None,
        accepted: 0,
        team: None,
    }
}

/// Returns a summary with `work` of urgent jobs with 1,000 core-milliseconds each.
fn summary(work: u64) -> Summary {
    let mut service = Service {
        name: name("s"),
        millicores: CAPACITY,
        free_percent: 0,
        finished: Some(CAPACITY),
        waiting: Vec::new(),
    };
    service.add(false, 0, size_class(1_000), work);
    Summary {
        age: Millis::ZERO,
        led_for: MIN_LED,
        services: vec![service],
        above_rate: Vec::new(),
    }
}

fn estimate_of(job: &Job, queue: &Queue, summary: &Summary, age: u64) -> Result<Estimate, Reason> {
    let age = Millis(age);
    estimate(job, queue, Some(Observed { summary, age }))
}

/// `Waiting` is an accepted job in the replayed queue.
#[derive(Clone, Debug)]
struct Waiting {
    priority: u32,
    left: u64,
    expires: Millis,
}

/// `Replay` is a queue that is worked off in the order of the lead, and an entry before it.
#[derive(Default)]
struct Replay {
    now: Millis,
    /// The true rate, in percent of the capacity.
    speed_percent: u64,
    queue: Vec<Waiting>,
    throughput: Throughput,
    known: Option<(Millis, Summary)>,
    rejected: usize,
    admitted: usize,
}

impl Replay {
    fn rate(&self) -> u64 {
        CAPACITY * self.speed_percent / 100
    }

    fn summarize(&mut self) -> Summary {
        let mut summary = summary(0);
        let service = &mut summary.services[0];
        service.waiting.clear();
        service.finished = Some(self.throughput.rate(&name("s"), self.now));
        service.free_percent = if self.queue.is_empty() { 100 } else { 0 };
        for have in self.queue.iter().filter(|have| have.expires > self.now) {
            service.add(false, have.priority, size_class(have.left), have.left);
        }
        summary
    }

    /// Works for one step and lets the entry ask the lead when that is due.
    fn tick(&mut self) {
        let mut work = self.rate() * TICK.0 / 1_000;
        self.now += TICK;
        let now = self.now;
        self.queue
            .sort_by_key(|have| (have.priority, have.expires <= now, have.left, have.expires));
        for have in &mut self.queue {
            let done = have.left.min(work);
            have.left -= done;
            work -= done;
            self.throughput.record(&name("s"), done, now);
        }
        self.queue.retain(|have| have.left > 0);
        let due = |(at, _): &(Millis, Summary)| now.since(*at) >= REFRESH;
        if self.known.as_ref().is_none_or(due) {
            self.known = Some((now, self.summarize()));
        }
    }

    /// Returns the time that a new job truly waits if nothing else comes.
    fn true_wait(&self, priority: u32, size: u64) -> Millis {
        let before = |have: &&Waiting| {
            let is_valued = have.expires > self.now;
            (have.priority, !is_valued, have.left) <= (priority, false, size)
        };
        let ahead: u64 = self.queue.iter().filter(before).map(|have| have.left).sum();
        Millis(ahead * 1_000 / self.rate())
    }

    /// Submits a job; returns its delay if it is rejected.
    fn submit(&mut self, number: u64, job: &Job, queue: &Queue) -> Option<Millis> {
        let observed = self.known.as_ref().map(|(at, summary)| Observed {
            summary,
            age: self.now.since(*at),
        });
        let step = &job.steps[0];
        let size = step.estimate.0 * u64::from(step.count);
        let wait = self.true_wait(queue.priority, size);
        let path = step.estimate;
        let limit = Millis(3 * (path.0 * 3 / 2 + queue.target.0));
        match decide(&job_id(number), job, queue, observed) {
            Verdict::Reject { after, .. } => {
                expect_that!(wait + path, gt(limit), "job {number} was not hopeless");
                self.rejected += 1;
                Some(after)
            }
            Verdict::Admit(_) => {
                // Behind a summary of up to 500 ms, the burst and returning callers bring up to ten times the
                // capacity.
                let margin = limit.0 * 100 / (100 - ERROR_PERCENT) + 4_500;
                let margin = Millis(margin * 100 / self.speed_percent.min(100));
                expect_that!(wait, le(margin), "job {number} was hopeless");
                self.admitted += 1;
                self.queue.push(Waiting {
                    priority: queue.priority,
                    left: size,
                    expires: self.now + limit.since(path),
                });
                None
            }
        }
    }
}

/// Load pattern: for 8 s, eight times the capacity arrives in short urgent jobs of 400 to 500 core-milliseconds beside
/// long work, and rejected callers return. Guards against three failures: a job is rejected that could have ended in
/// time, hopeless jobs are accepted, and jobs are still rejected after the burst.
#[googletest::test]
fn decide_rejects_only_hopeless_jobs_in_a_burst() {
    for speed_percent in [85, 100, 125] {
        let mut replay = Replay {
            speed_percent,
            ..Replay::default()
        };
        let (urgent, long) = (queue(0, 700), queue(2, 2_000));
        let mut returning: Vec<(Millis, u64, u32)> = Vec::new();
        let mut number = 0;
        while replay.now < Millis(120_000) {
            replay.tick();
            let due = returning.extract_if(.., |(at, ..)| *at <= replay.now);
            let mut arrivals: Vec<(u64, u32)> = due.map(|(_, id, n)| (id, n)).collect();
            if replay.now < Millis(8_000) && replay.now.0.is_multiple_of(50) {
                // Each 50 ms come 12 jobs of 640 core-milliseconds on average, 7.7 times the capacity.
                arrivals.extend((0..12).map(|index| (number + index, 0)));
                number += 12;
            }
            for (id, attempt) in arrivals {
                let (job, queue) = match id % 40 {
                    0 => (job(2, 4_000), &long),
                    part if part % 2 == 0 => (job(1, 500), &urgent),
                    _ => (job(2, 200), &urgent),
                };
                if let Some(after) = replay.submit(id, &job, queue)
                    && attempt < 4
                {
                    let back = Millis(after.0.div_ceil(1_000) * 1_000);
                    returning.push((replay.now + back, id, attempt + 1));
                }
            }
        }
        expect_that!(replay.rejected, gt(500), "speed {speed_percent}");
        expect_that!(replay.admitted, gt(500), "speed {speed_percent}");
        expect_that!(replay.queue.len(), eq(0));
        for number in 100_000..100_200 {
            let after = replay.submit(number, &job(1, 500), &urgent);
            expect_that!(after, none(), "job {number} came after the burst");
        }
    }
}

/// Guards against a rejection without knowledge: no lead or summary, an old one, a new lead, unknown capacity; and
/// against one of a job that the estimate does not cover.
#[googletest::test]
fn estimate_fails_for_what_is_not_known() {
    let hopeless = summary(10_000_000);
    let with = |age, change: fn(&mut Summary, &mut Job)| {
        let (mut summary, mut job) = (hopeless.clone(), job(1, 1_000));
        change(&mut summary, &mut job);
        estimate_of(&job, &queue(0, 700), &summary, age).err()
    };
    expect_that!(with(MAX_AGE.0, |_, _| ()), none());
    expect_that!(with(MAX_AGE.0 + 1, |_, _| ()), some(eq(Reason::OldSummary)));
    let unknown = estimate(&job(1, 1_000), &queue(0, 700), None);
    expect_that!(unknown, err(eq(Reason::NoSummary)));
    let schedule = |job: &mut Job| {
        let (first, every) = (60_000, Millis::ZERO);
        job.schedule = Some(Schedule {
            first,
            every,
            times: 1,
        });
    };
    let with = |change| with(0, change);
    expect_that!(
        with(|s, _| s.led_for = Millis(2_999)),
        some(eq(Reason::NewLead))
    );
    expect_that!(
        with(|s, _| s.services.clear()),
        some(eq(Reason::UnknownService))
    );
    expect_that!(
        with(|s, _| s.services[0].millicores = 0),
        some(eq(Reason::UnknownRate))
    );
    expect_that!(
        with(|s, _| s.services[0].free_percent = 20),
        some(eq(Reason::FreeCapacity))
    );
    expect_that!(
        with(|_, job| job.steps[0].lasting = true),
        some(eq(Reason::Lasting))
    );
    expect_that!(
        with(|_, job| job.steps[0].fills = true),
        some(eq(Reason::Fills))
    );
    let mut scheduled = job(1, 1_000);
    schedule(&mut scheduled);
    let reason = estimate_of(&scheduled, &queue(0, 700), &hopeless, 0);
    expect_that!(reason, err(eq(Reason::Scheduled)));
}

/// Work that goes after a job must not count against it.
#[googletest::test]
fn estimate_counts_only_work_that_goes_before() {
    let mut hopeless = summary(10_000_000);
    let ahead = |job: &Job, priority, summary: &Summary| {
        let estimate = estimate_of(job, &queue(priority, 700), summary, 0);
        estimate
            .map(|estimate| estimate.ahead)
            .expect("an estimate")
    };
    expect_that!(ahead(&job(1, 500), 0, &hopeless), eq(0), "a smaller job");
    expect_that!(
        ahead(&job(1, 1_000), 0, &hopeless),
        eq(10_000_000),
        "as large"
    );
    expect_that!(
        ahead(&job(1, 500), 1, &hopeless),
        eq(10_000_000),
        "less urgent"
    );
    let mut excess = job(1, 500);
    excess.team = Some(id::Team::new("t").expect("a name"));
    hopeless.above_rate.extend(excess.team.clone());
    expect_that!(
        ahead(&excess, 0, &hopeless),
        eq(10_000_000),
        "above its rate"
    );
}

/// Guards against callers that return all at once, and against delays that grow without need.
#[googletest::test]
fn spread_keeps_delays_apart_and_in_bounds() {
    for base in [0, 1_000, 4_000, 12_000, 90_000] {
        let mut seconds = [0_usize; 31];
        for number in 0..3_000 {
            let delay = spread(&job_id(number), Millis(base));
            expect_that!(delay, all!(ge(MIN_DELAY), le(MAX_DELAY)));
            expect_that!(delay, ge(Millis(base.min(20_000))));
            seconds[delay.0.div_ceil(1_000) as usize] += 1;
        }
        let width = (base.min(20_000) / 2).max(2_000) / 1_000;
        let even = 3_000 / width as usize;
        expect_that!(
            seconds.iter().max(),
            some(le(&(even * 5 / 4))),
            "base {base}"
        );
    }
}

/// A caller that returns after its delay must be admitted if nothing else came, and not much sooner.
#[googletest::test]
fn delay_is_the_time_until_the_job_would_be_admitted() {
    let at = |work: u64| {
        let estimate = estimate_of(&job(1, 1_000), &queue(0, 700), &summary(work), 0);
        estimate.expect("an estimate")
    };
    let delay = at(400_000).delay().0;
    let is_late_after = |delay: u64| at(400_000 - delay * CAPACITY / 1_000).is_late();
    expect_that!(is_late_after(0), eq(true));
    expect_that!(is_late_after(delay - 10), eq(true));
    expect_that!(is_late_after(delay + 10), eq(false));
}
