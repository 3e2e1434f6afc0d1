//! Benchmark of the check of a team's limit, at 140 teams.

use std::hint::black_box;

use criterion::{Criterion, criterion_group, criterion_main};
use marigoldpick_core::prelude::*;
use marigoldpick_core::team::{Limit, Share};
use marigoldpick_job::quota::{Quotas, Unheard};

const TEAMS: usize = 140;

fn team(number: usize) -> id::Team {
    id::Team::new(&format!("team-{number}")).expect("a name")
}

fn bench_quota(criterion: &mut Criterion) {
    let shares: Vec<Share> = (0..TEAMS)
        .map(|number| Share {
            team: team(number),
            weight: 10.0,
            limit: Limit {
                millicores: Some(2_000_000),
                memory_mib: Some(6_000_000),
                accelerators: None,
            },
        })
        .collect();
    let needs = Amount::new(2_200, 8_200);
    let mut quotas = Quotas::default();
    quotas.set_limits(&shares);
    let asked = team(70);
    (0..500).for_each(|_| quotas.charge(&asked, &needs));
    let count = |quotas: &Quotas| {
        black_box(quotas.count_admitted(Some(black_box(&asked)), &needs, 20));
    };
    criterion.bench_function("check limit", |b| b.iter(|| count(&quotas)));
    quotas.set_unheard(Unheard::UpTo(Amount::new(64_000, 256_000)));
    criterion.bench_function("check limit with unheard runs", |b| {
        b.iter(|| count(&quotas));
    });
    criterion.bench_function("charge and refund", |b| {
        b.iter(|| {
            quotas.charge(black_box(&asked), &needs);
            quotas.refund(black_box(&asked), &needs);
        });
    });
}

criterion_group!(benches, bench_quota);
criterion_main!(benches);
