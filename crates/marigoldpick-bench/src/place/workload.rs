//! Seeded workloads: the worker types and task mixes of both firms.

use marigoldpick_core::intent::{Class, Intent, Job};
use marigoldpick_core::prelude::*;
use marigoldpick_core::vm;
use rand::Rng;

/// MiB per GB of memory.
const MIB_PER_GB: u64 = 1_024;
/// The kind of accelerator that the task mixes use.
const ACCELERATOR_KIND: &str = "gpu";

/// `Machine` is a type of worker and its share of the fleet.
#[derive(Clone, Copy, Debug)]
pub struct Machine {
    pub kind: &'static str,
    pub cores: u64,
    pub memory_gb: u64,
    pub accelerators: u32,
    pub weight: u32,
}

/// `Template` is a type of job and its share of the arrivals.
#[derive(Clone, Copy, Debug)]
pub struct Template {
    pub name_prefix: &'static str,
    pub class: Class,
    pub millicores: u64,
    pub memory_gb: u64,
    pub accelerators: u32,
    pub weight: u32,
}

/// `Firm` holds one firm's machine types and job templates.
#[derive(Clone, Copy, Debug)]
pub struct Firm {
    pub name: &'static str,
    /// The number of workers in a rack.
    pub workers_per_rack: u32,
    pub machines: &'static [Machine],
    pub templates: &'static [Template],
}

const fn machine(
    kind: &'static str,
    cores: u64,
    memory_gb: u64,
    accelerators: u32,
    weight: u32,
) -> Machine {
    Machine {
        kind,
        cores,
        memory_gb,
        accelerators,
        weight,
    }
}

const fn template(
    name_prefix: &'static str,
    class: Class,
    millicores: u64,
    memory_gb: u64,
    accelerators: u32,
    weight: u32,
) -> Template {
    Template {
        name_prefix,
        class,
        millicores,
        memory_gb,
        accelerators,
        weight,
    }
}

/// Kirpputori Paikka: booking, layouts, settlement; no accelerators.
pub const KIRPPUTORI: Firm = Firm {
    name: "kirpputori",
    workers_per_rack: 8,
    machines: &[
        machine("std", 64, 128, 0, 7),
        machine("small", 32, 64, 0, 2),
        machine("large", 96, 192, 0, 1),
    ],
    templates: &[
        template("booking-", Class::Service, 4_000, 8, 0, 20),
        template("layout-", Class::Batch, 2_000, 4, 0, 20),
        template("settlement-", Class::Batch, 1_000, 6, 0, 20),
        template("search-", Class::Batch, 8_000, 8, 0, 10),
        template("mail-", Class::Batch, 500, 1, 0, 20),
        template("ledger-", Class::Batch, 16_000, 40, 0, 3),
        template("report-", Class::Batch, 3_000, 3, 0, 7),
    ],
};

/// Cyd Robotau Llety: dispatch, lift watch, floor maps on accelerators.
pub const CYD_ROBOTAU: Firm = Firm {
    name: "cyd-robotau",
    workers_per_rack: 6,
    machines: &[
        machine("std", 64, 256, 0, 13),
        machine("accel", 64, 256, 8, 3),
        machine("small", 32, 128, 0, 2),
        machine("large", 96, 384, 4, 2),
    ],
    templates: &[
        template("dispatch-", Class::Service, 4_000, 16, 0, 20),
        template("lift-watch-", Class::Service, 500, 2, 0, 25),
        template("floor-map-", Class::Batch, 6_000, 20, 1, 4),
        template("atlas-", Class::Batch, 24_000, 90, 4, 1),
        template("kitchen-", Class::Batch, 2_000, 12, 0, 17),
        template("route-map-", Class::Batch, 8_000, 12, 0, 12),
        template("history-", Class::Batch, 2_000, 24, 0, 15),
    ],
};

/// Both firms.
pub const FIRMS: [Firm; 2] = [KIRPPUTORI, CYD_ROBOTAU];

fn name(text: &str) -> Name {
    Name::new(text).expect("the text is a valid name")
}

/// Draws an item with a probability in proportion to its weight.
fn draw_weighted<'a, T>(items: &'a [T], weight: impl Fn(&T) -> u32, rng: &mut impl Rng) -> &'a T {
    let sum: u32 = items.iter().map(&weight).sum();
    let mut at = rng.random_range(0..sum);
    for item in items {
        if at < weight(item) {
            return item;
        }
        at -= weight(item);
    }
    &items[0]
}

impl Firm {
    /// Draws a fleet from the firm's machine types.
    pub fn fleet(&self, workers: u32, rng: &mut impl Rng) -> Vec<vm::Worker> {
        (0..workers)
            .map(|n| {
                let machine = draw_weighted(self.machines, |m| m.weight, rng);
                let size = Amount::new(machine.cores * 1_000, machine.memory_gb * MIB_PER_GB);
                vm::Worker {
                    id: id::Worker(name(&format!("w{n}"))),
                    domain: id::Domain(name("a")),
                    rack: id::Rack(name(&format!("r{}", n / self.workers_per_rack))),
                    kind: name(machine.kind),
                    size: size.with(name(ACCELERATOR_KIND), machine.accelerators),
                    address: String::new(),
                    state: vm::State::Live,
                }
            })
            .collect()
    }

    /// Draws job number `n` from the templates; it has one task.
    pub fn draw_job(&self, n: u32, rng: &mut impl Rng) -> Job {
        let template = draw_weighted(self.templates, |r| r.weight, rng);
        self.build_job(template, n)
    }

    /// Builds job number `n` from a template; it has one task.
    pub fn build_job(&self, template: &Template, n: u32) -> Job {
        let class = match template.class {
            Class::Service => "service",
            Class::Batch => "batch",
            Class::Gang => "gang",
        };
        let text = format!(
            "[[job]]\nname = \"{}{n}\"\nclass = \"{class}\"\nteam = \"t\"\n\
             needs = {{ millicores = {}, memory_mib = {} }}\n",
            template.name_prefix,
            template.millicores,
            template.memory_gb * MIB_PER_GB,
        );
        let intent = Intent::parse(self.name, &text).expect("the template is valid");
        let mut job = intent.job.into_iter().next().expect("one job was written");
        job.needs = job
            .needs
            .with(name(ACCELERATOR_KIND), template.accelerators);
        job
    }
}
