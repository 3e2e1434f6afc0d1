//! Tests workers: epochs, stamps, leases, sizes, ends, and the counts of violations in the truth.

use async_std::task::block_on;
use googletest::prelude::*;
use marigoldpick_core::prelude::*;
use marigoldpick_core::vm::{Source as _, State};
use marigoldpick_core::worker::{Call, Fault, Finished, Outcome, Refusal};
use marigoldpick_standin::Fault as PlatformFault;

use crate::common::{LONG_LEASE, Site, adapters, epoch, name, settings, spec};

fn first_outcome(finished: &[Finished]) -> Option<&Outcome> {
    finished.first().map(|finished| &finished.outcome)
}

#[googletest::test]
fn claim_lower_epoch_is_fenced() {
    block_on(async {
        let site = Site::start(&settings()).await;
        let claim = |tenure| {
            site.call(
                0,
                Call::Claim {
                    epoch: epoch(tenure),
                },
            )
        };
        expect_that!(claim(2).await.expect("an answer").refused, none());
        let lower = claim(1).await.expect("an answer");
        expect_that!(lower.refused, some(eq(Refusal::Fenced)));
        expect_that!(lower.report.epoch, eq(epoch(2)));
        expect_that!(claim(2).await.expect("an answer").refused, none());
        let start = site.start_run(0, epoch(1), spec("a", 100, "")).await;
        expect_that!(start.refused, some(eq(Refusal::Fenced)));
    });
}

#[googletest::test]
fn start_without_lease_is_lapsed() {
    block_on(async {
        let site = Site::start(&settings()).await;
        let claim = Call::Claim { epoch: epoch(1) };
        site.call(0, claim).await.expect("an answer");
        let start = site.start_run(0, epoch(1), spec("a", 100, "")).await;
        expect_that!(start.refused, some(eq(Refusal::Lapsed)));
    });
}

#[googletest::test]
fn start_with_stale_stamp_is_lapsed() {
    block_on(async {
        let site = Site::start(&settings()).await;
        let stamp = site.lease(0, epoch(1), LONG_LEASE).await;
        site.poll_until(0, |answer| answer.report.stamp > stamp + Millis(20))
            .await;
        let start = Call::Start {
            epoch: epoch(1),
            stamp,
            span: Millis(20),
            spec: spec("a", 100, ""),
        };
        let answer = site.call(0, start).await.expect("an answer");
        expect_that!(answer.refused, some(eq(Refusal::Lapsed)));
    });
}

#[googletest::test]
fn renew_extends_from_the_stamp_and_never_shortens() {
    block_on(async {
        let site = Site::start(&settings()).await;
        let stamp = site.lease(0, epoch(1), LONG_LEASE).await;
        let renew = |span| {
            let call = Call::Renew {
                epoch: epoch(1),
                stamp,
                span,
                acknowledged: Vec::new(),
            };
            site.call(0, call)
        };
        let longer = renew(LONG_LEASE + Millis(5)).await.expect("an answer");
        expect_that!(longer.report.lease_end, eq(stamp + LONG_LEASE + Millis(5)));
        let shorter = renew(LONG_LEASE).await.expect("an answer");
        expect_that!(shorter.report.lease_end, eq(stamp + LONG_LEASE + Millis(5)));
    });
}

#[googletest::test]
fn lease_expired_ends_the_tasks() {
    block_on(async {
        let site = Site::start(&settings()).await;
        site.lease(0, epoch(1), Millis(500)).await;
        let start = site.start_run(0, epoch(1), spec("a", 100, "forever")).await;
        expect_that!(start.refused, none());
        let answer = site
            .poll_until(0, |answer| answer.report.running.is_empty())
            .await;
        expect_that!(
            first_outcome(&answer.report.finished),
            some(eq(&Outcome::Lapsed))
        );
        expect_that!(answer.report.stamp, ge(answer.report.lease_end));
    });
}

#[googletest::test]
fn start_beyond_size_is_full_and_counted() {
    block_on(async {
        let site = Site::start(&settings()).await;
        site.lease(0, epoch(1), LONG_LEASE).await;
        let first = site
            .start_run(0, epoch(1), spec("a", 3_000, "forever"))
            .await;
        expect_that!(first.refused, none());
        let second = site
            .start_run(0, epoch(1), spec("b", 1_001, "forever"))
            .await;
        expect_that!(second.refused, some(eq(Refusal::Full)));
        let truth = site.platform.truth();
        expect_that!(truth.starts_refused, eq(1));
        expect_that!(truth.vm_overloads, eq(0));
        expect_that!(truth.carried[0].most.millicores, eq(3_000));
    });
}

#[googletest::test]
fn truth_counts_overloaded_vm() {
    block_on(async {
        let mut settings = settings();
        settings.task.enforce_size = false;
        let site = Site::start(&settings).await;
        site.lease(0, epoch(1), LONG_LEASE).await;
        for job in ["a", "b"] {
            site.start_run(0, epoch(1), spec(job, 3_000, "forever"))
                .await;
        }
        expect_that!(site.platform.truth().vm_overloads, eq(1));
    });
}

#[googletest::test]
fn truth_counts_task_in_two_places() {
    block_on(async {
        let site = Site::start(&settings()).await;
        for worker in [0, 1] {
            site.lease(worker, epoch(1), LONG_LEASE).await;
            let mut spec = spec("a", 100, "forever");
            spec.idempotent = false;
            spec.run.attempt = 1 + worker as u32;
            site.start_run(worker, epoch(1), spec).await;
        }
        let truth = site.platform.truth();
        expect_that!(truth.tasks_in_two_places, eq(1));
        expect_that!(truth.tasks_started_twice, eq(1));
        expect_that!(truth.tasks_running, eq(1));
    });
}

#[googletest::test]
fn truth_task_moved_after_its_end_is_in_one_place() {
    block_on(async {
        let site = Site::start(&settings()).await;
        site.lease(0, epoch(1), Millis(500)).await;
        site.lease(1, epoch(1), LONG_LEASE).await;
        site.start_run(0, epoch(1), spec("a", 100, "forever")).await;
        site.poll_until(0, |answer| answer.report.running.is_empty())
            .await;
        let mut again = spec("a", 100, "run_ms=1");
        again.run.attempt = 2;
        site.start_run(1, epoch(1), again).await;
        site.poll_until(1, |answer| !answer.report.finished.is_empty())
            .await;
        let truth = site.platform.truth();
        expect_that!(truth.tasks_in_two_places, eq(0));
        expect_that!(truth.tasks_completed, eq(1));
        expect_that!(truth.starts, eq(2));
    });
}

#[googletest::test]
fn start_same_task_or_attempt_is_refused() {
    block_on(async {
        let site = Site::start(&settings()).await;
        site.lease(0, epoch(1), LONG_LEASE).await;
        site.start_run(0, epoch(1), spec("a", 100, "run_ms=300"))
            .await;
        let mut second = spec("a", 100, "");
        second.run.attempt = 2;
        let while_running = site.start_run(0, epoch(1), second).await;
        expect_that!(while_running.refused, some(eq(Refusal::Runs)));
        site.poll_until(0, |answer| answer.report.running.is_empty())
            .await;
        let again = site.start_run(0, epoch(1), spec("a", 100, "")).await;
        expect_that!(again.refused, some(eq(Refusal::Again)));
    });
}

#[googletest::test]
fn finished_stays_until_it_is_acknowledged() {
    block_on(async {
        let site = Site::start(&settings()).await;
        site.lease(0, epoch(1), LONG_LEASE).await;
        let run = spec("a", 100, "run_ms=1").run;
        site.start_run(0, epoch(1), spec("a", 100, "run_ms=1"))
            .await;
        let ended = site
            .poll_until(0, |answer| !answer.report.finished.is_empty())
            .await;
        expect_that!(
            first_outcome(&ended.report.finished),
            some(eq(&Outcome::Done))
        );
        let next = Call::Claim { epoch: epoch(2) };
        let claimed = site.call(0, next).await.expect("an answer");
        expect_that!(claimed.report.finished.len(), eq(1));
        let renew = Call::Renew {
            epoch: epoch(2),
            stamp: claimed.report.stamp,
            span: LONG_LEASE,
            acknowledged: vec![run],
        };
        let renewed = site.call(0, renew).await.expect("an answer");
        expect_that!(renewed.report.finished.is_empty(), eq(true));
    });
}

#[googletest::test]
fn checkpoint_holds_the_progress_for_the_next_run() {
    block_on(async {
        let site = Site::start(&settings()).await;
        site.lease(0, epoch(1), LONG_LEASE).await;
        let long = spec("a", 100, "run_ms=600000");
        site.start_run(0, epoch(1), long.clone()).await;
        let checkpoint = Call::Checkpoint {
            epoch: epoch(1),
            run: long.run,
        };
        site.call(0, checkpoint).await.expect("an answer");
        let ended = site
            .poll_until(0, |answer| !answer.report.finished.is_empty())
            .await;
        let Some(Outcome::Checkpointed(text)) = first_outcome(&ended.report.finished) else {
            panic!("the run wrote a checkpoint");
        };
        let progress: u64 = text.parse().expect("the progress is a number");
        expect_that!(progress, gt(0));
        let mut next = spec("a", 100, "run_ms=600000");
        next.run.attempt = 2;
        next.checkpoint = Some((600_000 * 1_000).to_string());
        site.start_run(0, epoch(1), next).await;
        let done = site
            .poll_until(0, |answer| answer.report.finished.len() == 2)
            .await;
        expect_that!(done.report.finished[1].outcome, eq(&Outcome::Done));
    });
}

#[googletest::test]
fn fault_fail_worker_fails_all_starts() {
    block_on(async {
        let site = Site::start(&settings()).await;
        site.lease(0, epoch(1), LONG_LEASE).await;
        let worker = site.list[0].id.clone();
        let fault = PlatformFault::FailWorker { worker };
        expect_that!(site.platform.fault(&fault), ok(eq(())));
        site.start_run(0, epoch(1), spec("a", 100, "forever")).await;
        let ended = site
            .poll_until(0, |answer| !answer.report.finished.is_empty())
            .await;
        expect_that!(
            first_outcome(&ended.report.finished),
            some(eq(&Outcome::Failed))
        );
        let unknown = PlatformFault::named("kill-worker", "nowhere").expect("a kind");
        expect_that!(site.platform.fault(&unknown), err(eq(Code::UnknownName)));
    });
}

#[googletest::test]
fn fault_kill_worker_is_away_and_listed_as_gone() {
    block_on(async {
        let site = Site::start(&settings()).await;
        site.lease(0, epoch(1), LONG_LEASE).await;
        site.start_run(0, epoch(1), spec("a", 100, "forever")).await;
        let worker = site.list[0].id.clone();
        let fault = PlatformFault::KillWorker { worker };
        site.platform.fault(&fault).expect("the worker is there");
        expect_that!(site.platform.truth().tasks_running, eq(0));
        while site.call(0, Call::List).await != Err(Fault::Away) {}
        let north = name("north", id::Domain::new);
        loop {
            let list = site.vms.list(&north).await.expect("the list answers");
            if list.workers[0].state == State::Gone {
                break;
            }
        }
        site.platform.heal(&fault).expect("the worker is there");
        while site.call(0, Call::List).await.is_err() {}
        let fresh = site.call(0, Call::List).await.expect("an answer");
        expect_that!(
            fresh.report.epoch,
            eq(marigoldpick_core::worker::Epoch::default())
        );
        expect_that!(fresh.report.running.is_empty(), eq(true));
    });
}

#[googletest::test]
fn fault_cut_domain_allows_only_calls_inside() {
    block_on(async {
        let site = Site::start(&settings()).await;
        let domain = name("south", id::Domain::new);
        let fault = PlatformFault::CutDomain { domain };
        site.platform.fault(&fault).expect("the domain is there");
        expect_that!(site.call(2, Call::List).await, err(eq(&Fault::Unknown)));
        expect_that!(site.call(0, Call::List).await, ok(anything()));
        let (_, vms, workers) = adapters(&site.platform.address(), "south");
        let inside =
            marigoldpick_core::worker::Port::call(&workers, &site.list[2].address, Call::List);
        expect_that!(inside.await, ok(anything()));
        let south = name("south", id::Domain::new);
        expect_that!(vms.list(&south).await, err(eq(&Code::StoreAway)));
        site.platform.heal(&fault).expect("the domain is there");
        expect_that!(site.call(2, Call::List).await, ok(anything()));
    });
}

#[googletest::test]
fn declared_memory_below_the_actual_size_fails_the_run() {
    block_on(async {
        let site = Site::start(&settings()).await;
        site.lease(0, epoch(1), LONG_LEASE).await;
        let spec = spec("a", 100, "forever size_percent=150");
        site.start_run(0, epoch(1), spec).await;
        let ended = site
            .poll_until(0, |answer| !answer.report.finished.is_empty())
            .await;
        expect_that!(
            first_outcome(&ended.report.finished),
            some(eq(&Outcome::Failed))
        );
        expect_that!(site.platform.truth().tasks_completed, eq(0));
    });
}
