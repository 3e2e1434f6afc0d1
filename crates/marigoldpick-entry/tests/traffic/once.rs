//! Non-idempotent requests run at most once, despite crashes, partitions and repeated attempts.

use std::time::Duration;

use async_std::task::spawn;
use googletest::prelude::*;
use marigoldpick_core::prelude::*;
use rand::{Rng, SeedableRng};

use super::site::{Answer, Site, call, start, start_with, test_settings, until};

const SEED: u64 = 20_260_706;

async fn attempt(site: &Site, at: usize, request: &str, attempt: u32, body: &str) -> Answer {
    attempt_with(site, at, request, attempt, body, "x-other").await
}

/// Makes an attempt whose header says that the first attempt was made just now.
async fn attempt_with_age(
    site: &Site,
    at: usize,
    request: &str,
    attempt: u32,
    body: &str,
) -> Answer {
    attempt_with(site, at, request, attempt, body, "x-marigold-age-ms").await
}

async fn attempt_with(
    site: &Site,
    at: usize,
    request: &str,
    attempt: u32,
    body: &str,
    age: &str,
) -> Answer {
    let attempt = attempt.to_string();
    let headers = [
        ("x-marigold-request", request),
        ("x-marigold-attempt", &attempt),
        (age, "0"),
    ];
    site.call(at, &headers, body).await
}

/// Checks that the answers agree with the runs, of which there is at most one.
fn expect_answers_match_runs(site: &Site, request: &str, answers: &[(u32, Answer)]) {
    let runs = site.runs(request);
    expect_that!(runs, le(1));
    for (attempt, answer) in answers {
        let own = site.runs_of(request, *attempt);
        match answer.result.as_str() {
            "done" => expect_that!(runs, eq(1)),
            "not-run" => expect_that!(own, eq(0)),
            _ => {}
        }
    }
}

#[googletest::test]
#[async_std::test]
async fn once_concurrent_attempts_at_two_entries_run_once() {
    let site = start(&[3], &[3]).await;
    site.ready().await;
    for nth in 0..30 {
        let request = format!("r{nth}");
        let one = attempt(&site, nth % 3, &request, 1, "slow 5");
        let two = attempt(&site, (nth + 1) % 3, &request, 1, "slow 5");
        let (one, two) = futures::join!(one, two);
        expect_answers_match_runs(&site, &request, &[(1, one), (1, two)]);
    }
}

#[googletest::test]
#[async_std::test]
async fn once_later_attempt_gets_the_stored_answer() {
    let site = start(&[3], &[3]).await;
    site.ready().await;
    let first = attempt(&site, 0, "r", 1, "plain").await;
    expect_that!(first.result_and_code(), eq("done 0"));
    let mut again = attempt(&site, 1, "r", 2, "plain").await;
    for _ in 0..50 {
        if again.result == "done" {
            break;
        }
        async_std::task::sleep(Duration::from_millis(20)).await;
        again = attempt(&site, 1, "r", 3, "plain").await;
    }
    expect_that!(again.body, eq(&first.body));
    expect_that!(site.runs("r"), eq(1));
}

#[googletest::test]
#[async_std::test]
async fn once_attempt_in_flight_elsewhere_is_unknown() {
    let site = start(&[2], &[2]).await;
    site.ready().await;
    let address = site.nodes[0].address.clone();
    let first =
        spawn(async move { call(&address, &[("x-marigold-request", "r")], "slow 500").await });
    until("it is in flight", || site.in_flight() == 1).await;
    let second = attempt(&site, 1, "r", 2, "plain").await;
    expect_that!(second.result, eq("unknown"));
    expect_that!(second.code, eq(Code::UnknownEarlierAttempt.number()));
    expect_that!(first.await.result_and_code(), eq("done 0"));
    expect_that!(site.runs("r"), eq(1));
}

#[googletest::test]
#[async_std::test]
async fn once_entry_death_never_runs_twice() {
    let site = start(&[3], &[3]).await;
    site.ready().await;
    let mut first = Vec::new();
    for nth in 0..20 {
        let address = site.nodes[0].address.clone();
        first.push(spawn(async move {
            let request = format!("r{nth}");
            call(&address, &[("x-marigold-request", &request)], "slow 300").await
        }));
    }
    until("they are in flight", || site.in_flight() >= 6).await;
    site.kill(0);
    // The load balancer resends them before the others detect the death, then the callers repeat them.
    for nth in 0..20 {
        let request = format!("r{nth}");
        let resent = attempt(&site, 1, &request, 1, "plain").await;
        let later = attempt(&site, 2, &request, 2, "plain").await;
        expect_answers_match_runs(&site, &request, &[(1, resent), (2, later)]);
    }
    site.mark_dead(0);
    for nth in 0..20 {
        let request = format!("r{nth}");
        let later = attempt_with_age(&site, 1, &request, 3, "plain").await;
        expect_answers_match_runs(&site, &request, &[(3, later)]);
    }
}

#[googletest::test]
#[async_std::test]
async fn once_young_entry_does_not_clear_a_later_attempt() {
    let site = start(&[1], &[1]).await;
    site.ready().await;
    // The entry has not yet run for as long as owners remember an id.
    let answer = attempt(&site, 0, "r", 2, "plain").await;
    expect_that!(answer.code, eq(Code::UnknownOwnerLost.number()));
    expect_that!(site.runs("r"), eq(0));
    // The caller's header says that the first attempt was made just now.
    let answer = attempt_with_age(&site, 0, "r", 3, "plain").await;
    expect_that!(answer.result_and_code(), eq("done 0"));
}

#[googletest::test]
#[async_std::test]
async fn once_attempts_in_two_failure_domains_run_once() {
    let site = start(&[2, 2], &[2, 2]).await;
    site.ready().await;
    let first = attempt(&site, 0, "r", 1, "plain").await;
    expect_that!(first.result_and_code(), eq("done 0"));
    let second = attempt_with_age(&site, 2, "r", 2, "plain").await;
    expect_that!(second.result, not(eq("not-run")));
    expect_that!(site.runs("r"), eq(1));
    // No owner knows this id: the attempt runs after the other failure domain has closed the id.
    let fresh = attempt_with_age(&site, 2, "s", 2, "plain").await;
    expect_that!(fresh.result_and_code(), eq("done 0"));
    let resent = attempt(&site, 0, "s", 1, "plain").await;
    expect_that!(resent.result, any![eq("unknown"), eq("done")]);
    expect_true!(resent.result == "unknown" || resent.body == fresh.body);
    expect_that!(site.runs("s"), eq(1));
}

#[googletest::test]
#[async_std::test]
async fn once_later_attempt_is_unknown_across_a_partition() {
    let site = start(&[1, 1], &[1, 1]).await;
    site.ready().await;
    site.partition(0, 1);
    let first = attempt(&site, 0, "domain-0/r", 1, "plain").await;
    expect_that!(first.result_and_code(), eq("done 0"));
    let second = attempt_with_age(&site, 1, "domain-0/r", 2, "plain").await;
    expect_that!(second.code, eq(Code::UnknownOwnerLost.number()));
    expect_that!(site.runs("domain-0/r"), eq(1));
}

/// Returns ids whose home is either failure domain, by prefix or by hash.
fn homed_ids(count: usize) -> Vec<String> {
    let homes = ["", "domain-0/", "domain-1/"];
    (0..count)
        .map(|nth| format!("{}id-{nth}", homes[nth % 3]))
        .collect()
}

#[googletest::test]
#[async_std::test]
async fn once_resend_to_another_failure_domain_runs_once() {
    let site = start(&[2, 2], &[2, 2]).await;
    site.ready().await;
    for request in homed_ids(30) {
        let first = attempt(&site, 0, &request, 1, "plain").await;
        let resent = attempt(&site, 2, &request, 1, "plain").await;
        expect_that!(first.result_and_code(), eq("done 0"));
        expect_that!(resent.result, any![eq("unknown"), eq("done")]);
        expect_that!(site.runs(&request), eq(1));
    }
}

#[googletest::test]
#[async_std::test]
async fn once_resends_during_and_after_a_partition_run_once() {
    let site = start(&[2, 2], &[2, 2]).await;
    site.ready().await;
    for at in [0, 1] {
        site.partition(at, 2);
        site.partition(at, 3);
    }
    for (nth, request) in homed_ids(30).into_iter().enumerate() {
        let one = attempt(&site, nth % 2, &request, 1, "slow 5");
        let two = attempt(&site, 2 + nth % 2, &request, 1, "slow 5");
        let (one, two) = futures::join!(one, two);
        // The side with the id's home runs the request; the other side can't know whether it ran.
        let results = [one.result_and_code(), two.result_and_code()];
        expect_that!(
            results,
            unordered_elements_are![eq("done 0"), eq("unknown 404")]
        );
        if request.starts_with("domain-0/") {
            expect_that!(one.result_and_code(), eq("done 0"));
        }
        expect_answers_match_runs(&site, &request, &[(1, one), (1, two)]);
    }
    site.heal();
    for request in homed_ids(30) {
        for at in [0, 2] {
            let resent = attempt(&site, at, &request, 1, "plain").await;
            let later = attempt_with_age(&site, at, &request, 2, "plain").await;
            expect_answers_match_runs(&site, &request, &[(1, resent), (2, later)]);
        }
        expect_that!(site.runs(&request), eq(1));
    }
}

#[googletest::test]
#[async_std::test]
async fn once_exhausted_budget_allows_no_retry_in_another_failure_domain() {
    let site = start_with(&[1, 1], &[1, 1], test_settings(), "retry_percent = 0\n").await;
    site.ready().await;
    let idempotent = [
        ("x-marigold-request", "r"),
        ("x-marigold-idempotent", "true"),
    ];
    let mut runs = 0;
    // The budget allows some retries before any traffic has been counted.
    for _ in 0..40 {
        let answer = site.call(0, &idempotent, "die").await;
        expect_that!(answer.result, eq("unknown"));
        let before = std::mem::replace(&mut runs, site.runs("r"));
        if runs == before + 1 {
            return;
        }
    }
    panic!("each call ran more than once");
}

#[googletest::test]
#[async_std::test]
async fn once_drain_moves_requests_without_a_second_run() {
    let site = start(&[3], &[2]).await;
    site.ready().await;
    let address = site.nodes[0].address.clone();
    let first =
        spawn(async move { call(&address, &[("x-marigold-request", "r")], "slow 300").await });
    until("it is in flight", || site.in_flight() == 1).await;
    site.nodes[0].frontend.drain();
    let refused = attempt(&site, 0, "s", 1, "plain").await;
    expect_that!(refused.code, eq(Code::NotRunDraining.number()));
    let moved = attempt(&site, 1, "s", 1, "plain").await;
    expect_that!(moved.result_and_code(), eq("done 0"));
    let again = attempt(&site, 1, "r", 2, "plain").await;
    let first = first.await;
    expect_that!(first.result_and_code(), eq("done 0"));
    expect_answers_match_runs(&site, "r", &[(1, first), (2, again)]);
    expect_that!(site.runs("s"), eq(1));
}

/// Makes attempts of the same ids at random entries of two failure domains, while an entry dies and the
/// failure domains are partitioned and healed.
#[googletest::test]
#[async_std::test]
async fn once_history_of_random_attempts_has_no_second_run() {
    const IDS: usize = 60;
    const ATTEMPTS: u32 = 4;
    let site = std::sync::Arc::new(start(&[3, 3], &[2, 2]).await);
    site.ready().await;
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(SEED);
    let mut tasks = Vec::new();
    for nth in 0..IDS {
        let entries: Vec<usize> = (0..ATTEMPTS).map(|_| rng.random_range(0..6)).collect();
        let body = ["plain", "slow 30", "die", "cut", "large 300000"][rng.random_range(0..5)];
        let pauses: Vec<u64> = (0..ATTEMPTS).map(|_| rng.random_range(0..60)).collect();
        // The first two attempts of an even id are concurrent, like a load balancer's resend, in one
        // failure domain or in two.
        let second = if nth % 2 == 0 { 1 } else { 2 };
        let own = std::sync::Arc::clone(&site);
        tasks.push(spawn(async move {
            let request = [format!("id-{nth}"), format!("domain-{}/id-{nth}", nth % 2)];
            let request = request[nth / 2 % 2].clone();
            let resent_to = (entries[0] + 1 + nth / 2 % 5) % 6;
            let one = attempt(&own, entries[0], &request, 1, body);
            let two = attempt_with_age(&own, resent_to, &request, second, body);
            let (one, two) = futures::join!(one, two);
            let mut answers = vec![(1, one), (second, two)];
            for later in 2..ATTEMPTS {
                let pause = pauses[later as usize];
                async_std::task::sleep(Duration::from_millis(pause)).await;
                let at = entries[later as usize];
                let answer = attempt_with_age(&own, at, &request, later + 1, body).await;
                answers.push((later + 1, answer));
            }
            (request, answers)
        }));
        match nth {
            20 => site.kill(1),
            30 => site.mark_dead(1),
            35 => (0..3).for_each(|a| (3..6).for_each(|b| site.partition(a, b))),
            50 => site.heal(),
            _ => {}
        }
        async_std::task::sleep(Duration::from_millis(5)).await;
    }
    for task in tasks {
        let (request, answers) = task.await;
        // An answer is empty when its entry died and reset the connection.
        expect_answers_match_runs(&site, &request, &answers);
    }
}
