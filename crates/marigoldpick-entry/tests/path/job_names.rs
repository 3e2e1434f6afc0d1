//! A job's name that is used again after the job has ended.

use googletest::prelude::*;

use crate::site::{QUEUE, Site, eventually};

/// Tasks of the job.
const COUNT: u32 = 40;

async fn all_run_anew(site: &Site) {
    let before = site.platform.truth().starts;
    site.submit(QUEUE).await;
    eventually("all tasks run under the name's second job", || {
        site.platform.truth().starts >= before + u64::from(COUNT)
    })
    .await;
    site.job_ended("night", COUNT).await;
    expect_that!(site.platform.truth().tasks_in_two_places, eq(0));
}

#[googletest::test]
fn name_used_again_runs_all_tasks() {
    async_std::task::block_on(async {
        let site = Site::start(2).await;
        site.wait_for_leads().await;
        site.submit(QUEUE).await;
        site.job_ended("night", COUNT).await;
        all_run_anew(&site).await;
    });
}

#[googletest::test]
fn name_used_again_after_a_take_over_runs_all_tasks() {
    async_std::task::block_on(async {
        let mut site = Site::start(2).await;
        site.wait_for_leads().await;
        site.submit(QUEUE).await;
        eventually("some tasks end", || {
            site.platform.truth().tasks_completed >= u64::from(COUNT) / 2
        })
        .await;
        let lead = site.lead().await;
        let killed = site.entries.remove(lead);
        killed.kill();
        drop(killed);
        site.led_by_the_first().await;
        site.job_ended("night", COUNT).await;
        all_run_anew(&site).await;
    });
}
