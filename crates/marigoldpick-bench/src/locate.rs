//! Measures how long a lead takes to explain where a job would go.
//!
//! The lead has many workers, most of them full, and a backlog of jobs that do not fit.

use std::process::ExitCode;
use std::sync::Arc;
use std::time::Instant;

use gumdrop::Options;
use hdrhistogram::Histogram;
use marigoldpick::render;
use marigoldpick_core::prelude::*;
use marigoldpick_core::work::explain::{Admission, Answer};
use marigoldpick_core::work::port::Node;
use marigoldpick_core::work::{Job, Step};
use marigoldpick_job::action::Action;
use marigoldpick_job::lead::Origin;
use marigoldpick_job::lead::commit::Outcome;
use marigoldpick_job::{Lead, Queue, Settings};
use marigoldpick_standin::jobs::{Limits, Pool, Worker};

/// The bound on one explanation, in microseconds.
const BOUND_US: u64 = 1_000;
/// The Unix time at the start, in milliseconds.
const WALL: u64 = 1_780_000_000_000;
/// The explanations that are measured.
const ROUNDS: usize = 500;

/// `Arguments` is the command line of `where`.
#[derive(Debug, Options)]
pub struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "workers of the lead", default = "7400", meta = "N")]
    workers: usize,
    #[options(
        help = "percent of the workers that are filled",
        default = "80",
        meta = "N"
    )]
    filled: usize,
    #[options(help = "jobs that wait", default = "200", meta = "N")]
    waiting: u32,
    #[options(help = "print three explanations as operators see them")]
    show: bool,
}

/// Prints the times of explanations; fails if more than one in a hundred is over the bound.
pub fn run(arguments: &Arguments) -> ExitCode {
    let mut site = Site::new(arguments.workers);
    site.run(300);
    // Filled workers get a task that leaves a quarter of them.
    let filling = u32::try_from(arguments.workers * arguments.filled / 100)
        .unwrap_or(u32::MAX)
        .min(9_999);
    if filling > 0 {
        site.submit(1, "slow", filling, 12_000, 600_000);
    }
    site.run(1_000);
    for number in 0..arguments.waiting {
        site.submit(2 + number, "fast", 40, 24_000, 600_000);
    }
    site.run(1_000);
    let job = Arc::new(job("fast", 20, 2_000, 800));
    if arguments.show {
        for job in [&job, &Arc::new(self::job("slow", 90, 12_000, 3_000))] {
            site.show(job);
        }
        site.show(&Arc::new(self::job("slow", 4, 20_000, 3_000)));
    }
    let bounds = Histogram::new_with_bounds(1, 60_000_000, 3);
    let mut times: Histogram<u64> = bounds.expect("valid bounds");
    for _ in 0..ROUNDS {
        let started = Instant::now();
        let placement = site
            .lead
            .explain(Arc::clone(&job), WALL + site.now.0, site.now);
        times.saturating_record(started.elapsed().as_micros() as u64);
        std::hint::black_box(placement);
    }
    let (median, high) = (times.value_at_quantile(0.5), times.value_at_quantile(0.99));
    println!(
        "{} workers, {} jobs wait: {median} us, 99 of 100 within {high} us",
        arguments.workers, arguments.waiting
    );
    if high > BOUND_US {
        println!("over the bound of {BOUND_US} us");
        return ExitCode::FAILURE;
    }
    ExitCode::SUCCESS
}

/// `Site` is a lead with workers that answer at once.
struct Site {
    now: Millis,
    lead: Lead,
    pool: Pool,
}

fn name(text: &str) -> Name {
    Name::new(text).expect("a name")
}

fn job(queue: &str, count: u32, millicores: u64, estimate: u64) -> Job {
    Job {
        queue: name(queue),
        payload: String::new(),
        steps: vec![Step {
            count,
            needs: Amount::new(millicores, 100),
            estimate: Millis(estimate),
            ..Step::default()
        }],
        schedule: None,
        accepted: WALL,
        team: None,
    }
}

impl Site {
    fn new(workers: usize) -> Self {
        let settings = Settings::default();
        let limits = Limits {
            lease: settings.lease,
            stop: settings.stop,
        };
        let now = Millis(10);
        let queue = |text: &str, priority| Queue {
            name: name(text),
            service: name("booking"),
            priority,
            attempts: 3,
            stretch: 1.5,
            target: Millis(250),
            policy: None,
        };
        let mut lead = Lead::new(settings, 10, now);
        lead.set_queues(&[queue("fast", 0), queue("slow", 2)]);
        let pool = Pool::new((0..workers).map(worker).collect(), limits, now);
        let nodes: Vec<Node> = pool.workers.iter().map(|w| w.node.clone()).collect();
        lead.update_workers(&nodes, now);
        Self { now, lead, pool }
    }

    fn submit(&mut self, number: u32, queue: &str, count: u32, millicores: u64, estimate: u64) {
        let id = id::Job::new(&format!("{number:016x}")).expect("a name");
        let job = Arc::new(job(queue, count, millicores, estimate));
        self.pool.jobs.insert(id.clone(), Arc::clone(&job));
        let wall = WALL + self.now.0;
        self.lead.accept(id, job, Origin::New, wall, self.now);
    }

    fn run(&mut self, span: u64) {
        for _ in 0..span / 10 {
            self.now += Millis(10);
            self.pool.advance(self.now);
            self.lead.confirm(self.now);
            for action in self.lead.tick(self.now) {
                match action {
                    Action::Order {
                        target,
                        order,
                        number,
                        ..
                    } => {
                        let workers = &self.pool.workers;
                        let found = workers.binary_search_by(|w| w.node.id.cmp(&target.id));
                        let Ok(at) = found else { continue };
                        let answer = self.pool.order(at, self.lead.term(), &order);
                        self.lead.handle_reply(
                            &target.id,
                            (&order, number),
                            answer,
                            self.now,
                            self.now,
                        );
                    }
                    Action::Commit(_) => self.lead.handle_commit(Outcome::Stored, self.now),
                    Action::Ask { .. } => {}
                }
            }
            self.lead.take_decisions();
        }
    }

    fn show(&self, job: &Arc<Job>) {
        let entry = id::Entry::new("e1").expect("a name");
        let answer = Answer {
            entry: entry.clone(),
            lead: Some(entry),
            version: 1,
            config_age: Some(Millis(340)),
            admission: Admission::default(),
            placement: self
                .lead
                .explain(Arc::clone(job), WALL + self.now.0, self.now),
        };
        print!("{}", render::location(&answer));
    }
}

fn worker(number: usize) -> Worker {
    Worker::new(Node {
        id: id::Worker::new(&format!("w{number:05}")).expect("a name"),
        born: 1,
        address: format!("10.0.0.1:{number}"),
        service: name("booking"),
        domain: id::Domain::new("north").expect("a name"),
        kind: None,
        rack: Some(name(&format!("r{}", number / 20))),
        labels: Vec::new(),
        capacity: Amount::new(16_000, 64_000),
        draining: number.is_multiple_of(97),
        remaining: None,
    })
}
