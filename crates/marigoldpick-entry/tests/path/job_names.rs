//! Guards against a job that does not run because it reuses the name of an ended job.

use googletest::prelude::*;

use crate::site::{QUEUE, Site, eventually};

/// The number of tasks of the job.
const COUNT: u32 = 40;

/// Submits the job again and checks that each task runs once more.
async fn check_rerun(site: &Site) {
    let before = site.platform.truth().starts;
    site.submit(QUEUE).await;
    eventually("all tasks run under the name's second job", || {
        site.platform.truth().starts >= before + u64::from(COUNT)
    })
    .await;
    site.wait_for_job_end("night", COUNT).await;
    expect_that!(site.platform.truth().tasks_in_two_places, eq(0));
}

#[googletest::test]
fn job_name_reused_runs_all_tasks() {
    async_std::task::block_on(async {
        let site = Site::start(2).await;
        site.wait_for_leads().await;
        site.submit(QUEUE).await;
        site.wait_for_job_end("night", COUNT).await;
        check_rerun(&site).await;
    });
}

#[googletest::test]
fn job_name_reused_after_takeover_runs_all_tasks() {
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
        site.wait_for_first_to_lead().await;
        site.wait_for_job_end("night", COUNT).await;
        check_rerun(&site).await;
    });
}
