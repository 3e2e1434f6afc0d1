//! Tests that the documentation pages agree with the code.

use std::fs;
use std::path::{Path, PathBuf};

use googletest::prelude::*;
use marigoldpick::core::prelude::*;

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn read_page(name: &str) -> String {
    let path = root().join("docs").join(name);
    fs::read_to_string(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

/// Returns the cells of each table row whose first cell passes `first`.
fn rows(text: &str, first: impl Fn(&str) -> bool) -> Vec<Vec<String>> {
    text.lines()
        .filter(|line| line.starts_with('|'))
        .map(|line| {
            let cells = line.trim_matches('|').split('|');
            cells.map(|cell| cell.trim().to_owned()).collect()
        })
        .filter(|cells: &Vec<String>| first(&cells[0]))
        .collect()
}

#[googletest::test]
fn results_table_has_each_code_once_in_order() {
    let text = read_page("RESULTS.md");
    let table: Vec<_> = rows(&text, |cell| cell.parse::<u16>().is_ok())
        .into_iter()
        .filter(|cells| cells.len() == 4)
        .map(|cells| {
            (
                cells[0].clone(),
                cells[1].trim_matches('`').to_owned(),
                cells[2].clone(),
            )
        })
        .collect();
    let codes: Vec<_> = Code::ALL
        .iter()
        .map(|code| {
            (
                code.number().to_string(),
                code.name().to_owned(),
                code.text().to_owned(),
            )
        })
        .collect();
    expect_that!(table, eq(&codes));
}

/// Returns the result codes of requests, those of the 300s and 400s.
fn request_codes() -> impl Iterator<Item = &'static Code> {
    Code::ALL
        .iter()
        .filter(|code| code.is_not_run() || code.is_unknown())
}

#[googletest::test]
fn callers_table_has_each_code_that_callers_get() {
    let table = rows(&read_page("callers.md"), |cell| {
        cell.split(", ").all(|number| number.parse::<u16>().is_ok())
    });
    let mut listed: Vec<u16> = table
        .iter()
        .flat_map(|cells| cells[0].split(", "))
        .map(|number| number.parse().expect("a number"))
        .filter(|number| number / 100 == 3 || number / 100 == 4)
        .collect();
    listed.sort_unstable();
    // This code appears in the time line only; the caller gets the code of the previous attempt.
    let expected = request_codes().filter(|code| **code != Code::NotRunBudget);
    let expected: Vec<u16> = expected.map(|code| code.number()).collect();
    expect_that!(listed, eq(&expected));
}

#[googletest::test]
fn results_codes_of_requests_are_used_in_the_source() {
    let crates = root().join("crates");
    let mut directories = vec![
        crates.join("marigoldpick-entry/src/traffic"),
        crates.join("marigoldpick-route/src"),
    ];
    let mut sources = String::new();
    while let Some(directory) = directories.pop() {
        for item in fs::read_dir(directory).expect("the directory is readable") {
            let path = item.expect("the entry is readable").path();
            if path.is_dir() {
                directories.push(path);
            } else {
                sources += &fs::read_to_string(path).expect("the source is readable");
            }
        }
    }
    for code in request_codes() {
        let named = format!("Code::{}", code.name());
        expect_true!(sources.contains(&named), "{named}");
    }
}

#[googletest::test]
fn results_kinds_have_the_exit_codes() {
    let kinds = rows(&read_page("RESULTS.md"), |cell| cell.ends_with("xx"));
    let hundreds: Vec<u16> = kinds
        .iter()
        .map(|cells| cells[0][..1].parse().expect("a digit"))
        .collect();
    for code in Code::ALL.iter().filter(|code| **code != Code::Done) {
        let at = hundreds.iter().position(|h| *h == code.number() / 100);
        let cells = &kinds[at.expect("the kind is in the table")];
        expect_that!(cells[2], eq(&code.exit_status().to_string()));
    }
}

#[googletest::test]
fn glossary_has_the_domain_terms() {
    let words: Vec<String> = rows(&read_page("GLOSSARY.md"), |_| true)
        .into_iter()
        .map(|cells| cells[0].clone())
        .collect();
    let expected = [
        "worker",
        "endpoint",
        "entry",
        "failure domain",
        "rack",
        "shard",
        "lead",
        "epoch",
        "lease",
        "intent",
        "plan",
        "confirm",
        "slot",
        "seller",
        "organiser",
        "hotel",
        "pitch",
        "booking",
        "dispatch run",
        "settlement",
        "floor map",
        "lift watch",
    ];
    for word in expected {
        expect_that!(words, contains(eq(word)), "no row for '{word}'");
    }
}

#[googletest::test]
fn readme_of_docs_links_to_pages_that_exist() {
    let text = read_page("README.md");
    let mut links = 0;
    for part in text.split("](").skip(1) {
        let target = part.split(')').next().unwrap_or_default();
        if target.starts_with("http") {
            continue;
        }
        links += 1;
        let path = root().join("docs").join(target);
        expect_that!(path.exists(), eq(true), "{target} does not exist");
    }
    expect_that!(links, gt(5));
}
