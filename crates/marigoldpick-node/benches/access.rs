//! Benchmark of the check of a caller's key, at 140 teams with ten keys each.

use std::hint::black_box;

use criterion::{Criterion, criterion_group, criterion_main};
use marigoldpick_core::prelude::*;
use marigoldpick_core::team::{Limit, Share};
use marigoldpick_node::Config;
use marigoldpick_node::access::{Bounds, Digest, Directory, Policy, Team};
use marigoldpick_node::config::Route;

const TEAMS: usize = 140;
const KEYS: usize = 10;

fn key(team: usize, key: usize) -> String {
    format!("key-{team:04}-{key:04}-0123456789")
}

fn config() -> Config {
    let team = |number: usize| Team {
        share: Share {
            team: id::Team::new(&format!("team-{number}")).expect("a name"),
            weight: 10.0,
            limit: Limit::UNLIMITED,
        },
        keys: (0..KEYS).map(|at| Digest::of(&key(number, at))).collect(),
    };
    Config {
        version: 1,
        revision: 1,
        routes: vec![Route {
            queue: Name::new("q").expect("a name"),
            host: "h".to_owned(),
            prefix: "/q/".to_owned(),
            is_open: false,
        }],
        teams: Directory::new((0..TEAMS).map(team).collect()),
        ..Config::default()
    }
}

fn bench_admit(criterion: &mut Criterion) {
    let config = config();
    let policy = Policy {
        requires_keys: true,
        bounds: Some(Bounds::new(Millis(5_000), Millis(3_000))),
    };
    let known = key(70, 5);
    let admit = |key: &str| {
        let verdict = policy.admit(&config, Millis(100), "h", "/q/0000000000000001", Some(key));
        black_box(verdict);
    };
    criterion.bench_function("admit known key", |b| b.iter(|| admit(black_box(&known))));
    criterion.bench_function("admit unknown key", |b| b.iter(|| admit(black_box("none"))));
}

criterion_group!(benches, bench_admit);
criterion_main!(benches);
