//! The samples: they parse, check, fit their quotas, and have the sizes of today.

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

fn site(name: &str) -> Site {
    Site::read(&directory(name)).expect("the sample is good")
}

fn objective(site: &Site) -> Objective {
    let mut intents = site.intents.iter();
    intents
        .find_map(|document| document.intent.objective)
        .expect("the site has an objective")
}

fn verify_size(site: &Site, domains: usize, rack: u32, service: &str) {
    expect_that!(site.standin.domain.len(), eq(domains));
    let racks = || site.standin.domain.iter().flat_map(|domain| &domain.rack);
    for one in racks() {
        expect_that!(one.workers, eq(rack));
        expect_that!(one.size.millicores, all![ge(48_000), le(64_000)]);
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
fn kirpputori_has_the_sizes_of_today() {
    let site = site("kirpputori");
    verify_size(&site, 3, 8, "booking");
    verify_quotas(&site);
}

#[googletest::test]
fn cyd_robotau_has_the_sizes_of_today() {
    let site = site("cyd-robotau");
    verify_size(&site, 4, 6, "dispatch");
    verify_quotas(&site);
}

#[googletest::test]
fn objectives_differ_as_the_firms_weigh() {
    let kirpputori = objective(&site("kirpputori"));
    let cyd_robotau = objective(&site("cyd-robotau"));
    expect_that!(kirpputori.waiting, gt(kirpputori.packing));
    expect_that!(cyd_robotau.packing, gt(cyd_robotau.waiting));
}

#[googletest::test]
fn built_in_samples_are_those_of_the_directory() {
    let built_in = Site::samples().expect("the samples are good");
    for sample in built_in {
        let read = site(&sample.name);
        expect_that!(sample.standin == read.standin, eq(true));
        let entry = |site: &Site| {
            let mut entries = site.entries.clone();
            entries.sort_by(|a, b| a.entry.cmp(&b.entry));
            entries
        };
        expect_that!(entry(&sample), eq(&entry(&read)));
        let texts = |site: &Site| {
            let texts = site.intents.iter().map(|document| document.text.clone());
            texts.collect::<Vec<_>>()
        };
        expect_that!(texts(&sample), eq(&texts(&read)));
    }
}

#[googletest::test]
fn check_finds_each_sample_file_good() {
    for name in ["kirpputori", "cyd-robotau"] {
        let root = directory(name);
        let mut files = vec![format!("{root}/standin.toml")];
        for part in ["entries", "intents"] {
            let list = marigoldpick::files::list(&format!("{root}/{part}"));
            files.extend(list.expect("the directory is there"));
        }
        let output = Command::new(env!("CARGO_BIN_EXE_marigold"))
            .arg("check")
            .args(&files)
            .output()
            .expect("the program runs");
        let errors = String::from_utf8_lossy(&output.stderr).into_owned();
        expect_that!(output.status.code(), some(eq(0)), "{errors}");
        let told = String::from_utf8_lossy(&output.stdout).into_owned();
        expect_that!(told, contains_substring("valid standin"));
        expect_that!(told, contains_substring("valid entry"));
        expect_that!(told.lines().count(), eq(files.len()));
    }
}
