//! Tests that the samples are valid, fit their quotas, and have the sizes of the firms' sites.

use std::path::Path;
use std::process::Command;

use googletest::prelude::*;
use marigoldpick::core::intent::{Class, Objective};
use marigoldpick::core::prelude::*;
use marigoldpick::dev::Site;

fn directory(name: &str) -> String {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    root.join(name).display().to_string()
}

fn read_site(name: &str) -> Site {
    Site::read(&directory(name)).expect("the sample is valid")
}

fn objective(site: &Site) -> Objective {
    let mut intents = site.intents.iter();
    intents
        .find_map(|document| document.intent.objective)
        .expect("the site has an objective")
}

fn verify_size(site: &Site, domains: usize, workers_per_rack: u32, service: &str) {
    expect_that!(site.standin.domain.len(), eq(domains));
    let racks = || site.standin.domain.iter().flat_map(|domain| &domain.rack);
    for rack_settings in racks() {
        expect_that!(rack_settings.workers, eq(workers_per_rack));
        expect_that!(rack_settings.size.millicores, all![ge(48_000), le(64_000)]);
    }
    let workers: u32 = racks().map(|rack| rack.workers).sum();
    expect_that!(workers, all![ge(45), le(55)]);
    let accelerated = racks().filter(|rack| !rack.size.accelerators.is_empty());
    expect_that!(accelerated.count(), gt(0));
    expect_that!(site.entries.len(), all![ge(7), le(9)]);
    for domain in &site.standin.domain {
        let own = site.entries.iter().filter(|e| e.domain == domain.name);
        expect_that!(own.count(), ge(2));
    }
    let jobs = || {
        site.intents
            .iter()
            .flat_map(|document| &document.intent.job)
    };
    let instances = jobs().find(|job| job.name.as_str() == service);
    expect_that!(instances.map(|job| job.count), some(eq(50)));
    for class in [Class::Service, Class::Batch, Class::Gang] {
        expect_that!(jobs().any(|job| job.class == class), eq(true));
    }
}

fn verify_quotas(site: &Site) {
    let intents = || site.intents.iter().map(|document| &document.intent);
    for team in intents().flat_map(|intent| &intent.team) {
        let mut used = Amount::default();
        for job in intents().flat_map(|intent| &intent.job) {
            if job.team == team.name {
                used.add(&job.needs.times(job.count));
            }
        }
        expect_that!(team.quota.holds(&used), eq(true), "{}", team.name);
        expect_that!(used.is_zero(), eq(false), "{}", team.name);
    }
}

#[googletest::test]
fn kirpputori_has_the_expected_sizes() {
    let site = read_site("kirpputori");
    verify_size(&site, 3, 8, "booking");
    verify_quotas(&site);
}

#[googletest::test]
fn cyd_robotau_has_the_expected_sizes() {
    let site = read_site("cyd-robotau");
    verify_size(&site, 4, 6, "dispatch");
    verify_quotas(&site);
}

#[googletest::test]
fn objectives_weigh_waiting_and_packing_differently() {
    let kirpputori = objective(&read_site("kirpputori"));
    let cyd_robotau = objective(&read_site("cyd-robotau"));
    expect_that!(kirpputori.waiting, gt(kirpputori.packing));
    expect_that!(cyd_robotau.packing, gt(cyd_robotau.waiting));
}

#[googletest::test]
fn built_in_samples_equal_the_files() {
    let built_in = Site::samples().expect("the samples are valid");
    for sample in built_in {
        let read = read_site(&sample.name);
        expect_that!(sample.standin == read.standin, eq(true));
        let sorted_entries = |site: &Site| {
            let mut entries = site.entries.clone();
            entries.sort_by(|a, b| a.entry.cmp(&b.entry));
            entries
        };
        expect_that!(sorted_entries(&sample), eq(&sorted_entries(&read)));
        let texts = |site: &Site| {
            let texts = site.intents.iter().map(|document| document.text.clone());
            texts.collect::<Vec<_>>()
        };
        expect_that!(texts(&sample), eq(&texts(&read)));
    }
}

#[googletest::test]
fn check_accepts_each_sample_file() {
    for name in ["kirpputori", "cyd-robotau"] {
        let root = directory(name);
        let mut files = vec![format!("{root}/standin.toml")];
        for part in ["entries", "intents"] {
            let list = marigoldpick::files::list(&format!("{root}/{part}"));
            files.extend(list.expect("the directory exists"));
        }
        let output = Command::new(env!("CARGO_BIN_EXE_marigold"))
            .arg("check")
            .args(&files)
            .output()
            .expect("the program runs");
        let errors = String::from_utf8_lossy(&output.stderr).into_owned();
        expect_that!(output.status.code(), some(eq(0)), "{errors}");
        let output_text = String::from_utf8_lossy(&output.stdout).into_owned();
        expect_that!(output_text, contains_substring("valid standin"));
        expect_that!(output_text, contains_substring("valid entry"));
        expect_that!(output_text.lines().count(), eq(files.len()));
    }
}
