//! Seeded work: both firms' workers and mixes of tasks.

use marigoldpick_core::intent::{Class, Intent, Job};
use marigoldpick_core::prelude::*;
use marigoldpick_core::vm;
use rand::Rng;

/// Memory of a GB in MiB.
const GB: u64 = 1_024;
/// The kind of accelerator that the mixes use.
const KIND: &str = "gpu";

/// `Machine` is a kind of worker and its share of the fleet.
#[derive(Clone, Copy, Debug)]
pub struct Machine {
    pub kind: &'static str,
    pub cores: u64,
    pub memory_gb: u64,
    pub accelerators: u32,
    pub weight: u32,
}

/// `Recipe` is a kind of job and its share of the arrivals.
#[derive(Clone, Copy, Debug)]
pub struct Recipe {
    pub stem: &'static str,
    pub class: Class,
    pub millicores: u64,
    pub memory_gb: u64,
    pub accelerators: u32,
    pub weight: u32,
}

/// `Firm` is a firm's machines and mix.
#[derive(Clone, Copy, Debug)]
pub struct Firm {
    pub name: &'static str,
    pub rack: u32,
    pub machines: &'static [Machine],
    pub recipes: &'static [Recipe],
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

const fn recipe(
    stem: &'static str,
    class: Class,
    millicores: u64,
    memory_gb: u64,
    accelerators: u32,
    weight: u32,
) -> Recipe {
    Recipe {
        stem,
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
    rack: 8,
    machines: &[
        machine("std", 64, 128, 0, 7),
        machine("small", 32, 64, 0, 2),
        machine("large", 96, 192, 0, 1),
    ],
    recipes: &[
        recipe("booking-", Class::Service, 4_000, 8, 0, 20),
        recipe("layout-", Class::Batch, 2_000, 4, 0, 20),
        recipe("settlement-", Class::Batch, 1_000, 6, 0, 20),
        recipe("search-", Class::Batch, 8_000, 8, 0, 10),
        recipe("mail-", Class::Batch, 500, 1, 0, 20),
        recipe("ledger-", Class::Batch, 16_000, 40, 0, 3),
        recipe("report-", Class::Batch, 3_000, 3, 0, 7),
    ],
};

/// Cyd Robotau Llety: dispatch, lift watch, floor maps on accelerators.
pub const CYD_ROBOTAU: Firm = Firm {
    name: "cyd-robotau",
    rack: 6,
    machines: &[
        machine("std", 64, 256, 0, 13),
        machine("accel", 64, 256, 8, 3),
        machine("small", 32, 128, 0, 2),
        machine("large", 96, 384, 4, 2),
    ],
    recipes: &[
        recipe("dispatch-", Class::Service, 4_000, 16, 0, 20),
        recipe("lift-watch-", Class::Service, 500, 2, 0, 25),
        recipe("floor-map-", Class::Batch, 6_000, 20, 1, 4),
        recipe("atlas-", Class::Batch, 24_000, 90, 4, 1),
        recipe("kitchen-", Class::Batch, 2_000, 12, 0, 17),
        recipe("route-map-", Class::Batch, 8_000, 12, 0, 12),
        recipe("history-", Class::Batch, 2_000, 24, 0, 15),
    ],
};

/// Both firms.
pub const FIRMS: [Firm; 2] = [KIRPPUTORI, CYD_ROBOTAU];

fn name(text: &str) -> Name {
    Name::new(text).expect("a constant or a number makes a name")
}

fn drawn<'a, T>(items: &'a [T], weight: impl Fn(&T) -> u32, rng: &mut impl Rng) -> &'a T {
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
    /// Makes a fleet with the firm's kinds of machine.
    pub fn fleet(&self, workers: u32, rng: &mut impl Rng) -> Vec<vm::Worker> {
        (0..workers)
            .map(|n| {
                let machine = drawn(self.machines, |m| m.weight, rng);
                let size = Amount::new(machine.cores * 1_000, machine.memory_gb * GB);
                vm::Worker {
                    id: id::Worker(name(&format!("w{n}"))),
                    domain: id::Domain(name("a")),
                    rack: id::Rack(name(&format!("r{}", n / self.rack))),
                    kind: name(machine.kind),
                    size: size.with(name(KIND), machine.accelerators),
                    address: String::new(),
                    state: vm::State::Live,
                }
            })
            .collect()
    }

    /// Draws the next job, with one task.
    pub fn job(&self, n: u32, rng: &mut impl Rng) -> Job {
        let recipe = drawn(self.recipes, |r| r.weight, rng);
        self.job_of(recipe, n)
    }

    /// Makes a job of a recipe.
    pub fn job_of(&self, recipe: &Recipe, n: u32) -> Job {
        let class = match recipe.class {
            Class::Service => "service",
            Class::Batch => "batch",
            Class::Gang => "gang",
        };
        let text = format!(
            "[[job]]\nname = \"{}{n}\"\nclass = \"{class}\"\nteam = \"t\"\n\
             needs = {{ millicores = {}, memory_mib = {} }}\n",
            recipe.stem,
            recipe.millicores,
            recipe.memory_gb * GB,
        );
        let intent = Intent::parse(self.name, &text).expect("the recipe is sound");
        let mut job = intent.job.into_iter().next().expect("one job was written");
        job.needs = job.needs.with(name(KIND), recipe.accelerators);
        job
    }
}
