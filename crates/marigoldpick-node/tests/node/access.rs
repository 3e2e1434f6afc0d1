//! Keys and the visibility of jobs on running nodes: revocation, entries cut off from the store.

use std::sync::atomic::Ordering;

use async_std::task::block_on;
use googletest::prelude::*;
use marigoldpick_core::prelude::*;
use marigoldpick_core::work::peer::Receipt;
use marigoldpick_core::work::{Access, Phase};
use marigoldpick_node::access::Bounds;

use crate::cluster::{Admission, Cluster, wait_until};

/// Short bounds, so that entries become unsure soon.
const BOUNDS: Bounds = Bounds {
    serve: Millis(2_500),
    reject: Millis(1_500),
};

fn access_of(team: &str) -> Access {
    Access {
        team: Some(id::Team::new(team).expect("a name")),
        open_queue: None,
    }
}

fn wait_for(cluster: &Cluster, at: usize, key: &str, admission: &Admission) {
    wait_until(&format!("{key} at {at}: {admission:?}"), || {
        cluster.admit(at, key) == *admission
    });
}

/// Load pattern: keys are taken away while the store has dropped its history, so that a watch reports
/// nothing.
#[googletest::test]
fn admit_revoked_key_is_refused_though_watch_is_silent() {
    let cluster = Cluster::start_with_keys(2, BOUNDS);
    wait_for(&cluster, 0, "key-a", &Admission::Admitted(access_of("a")));
    cluster.set_teams(&[("b", "key-b")]);
    for at in 0..2 {
        wait_for(&cluster, at, "key-a", &Admission::Unauthorized);
        wait_for(&cluster, at, "key-b", &Admission::Admitted(access_of("b")));
    }
}

/// Load pattern: keys are taken away while one entry is cut off from the store and the others are not.
#[googletest::test]
fn admit_entry_cut_off_serves_by_peers_until_keys_change() {
    let cluster = Cluster::start_with_keys(3, BOUNDS);
    let cut = (cluster.lead() + 1) % 3;
    wait_for(&cluster, cut, "key-a", &Admission::Admitted(access_of("a")));
    // An entry that is cut off before it has read the list of entries has nobody to ask.
    let handle = cluster.nodes[cut].handle();
    wait_until("the entry knows the others", || {
        let overview = block_on(handle.teams());
        overview.is_some_and(|overview| overview.peers == 2)
    });
    cluster.only_watches[cut].store(true, Ordering::SeqCst);
    let began = std::time::Instant::now();
    while began.elapsed() < 2 * BOUNDS.serve.duration() {
        std::thread::sleep(Millis(100).duration());
    }
    wait_for(&cluster, cut, "key-a", &Admission::Admitted(access_of("a")));
    cluster.set_teams(&[("b", "key-b")]);
    // The entry cannot read the new version, so it serves neither key.
    wait_for(&cluster, cut, "key-a", &Admission::Unsure);
    wait_for(&cluster, cut, "key-b", &Admission::Unsure);
    cluster.only_watches[cut].store(false, Ordering::SeqCst);
    wait_for(&cluster, cut, "key-a", &Admission::Unauthorized);
}

#[googletest::test]
fn admit_all_entries_cut_off_are_unsure() {
    let cluster = Cluster::start_with_keys(2, BOUNDS);
    wait_for(&cluster, 0, "key-a", &Admission::Admitted(access_of("a")));
    for only_watches in &cluster.only_watches {
        only_watches.store(true, Ordering::SeqCst);
    }
    for at in 0..2 {
        wait_for(&cluster, at, "key-a", &Admission::Unsure);
        wait_for(&cluster, at, "unknown", &Admission::Unsure);
    }
}

#[googletest::test]
fn phase_and_cancel_of_other_teams_job_find_no_job() {
    let cluster = Cluster::start_with_keys(3, BOUNDS);
    let (id, receipt) = cluster.submit_for(0, 1, 2, 400, Some("a"));
    expect_that!(receipt, eq(Receipt::Stored));
    for node in &cluster.nodes {
        let handle = node.handle();
        let phase = |access: Access| block_on(handle.phase(id.clone(), access));
        expect_that!(phase(access_of("b")), ok(none()));
        expect_that!(phase(Access::default()), ok(none()));
        expect_that!(phase(access_of("a")), ok(some(anything())));
        let cancel = block_on(handle.cancel(id.clone(), access_of("b")));
        expect_that!(cancel, eq(Receipt::Absent));
    }
    wait_until("the job is completed", || {
        let phase = block_on(cluster.nodes[1].handle().phase(id.clone(), access_of("a")));
        phase == Ok(Some(Phase::Completed))
    });
}

#[googletest::test]
fn submit_id_of_other_teams_job_is_taken() {
    let cluster = Cluster::start_with_keys(2, BOUNDS);
    expect_that!(
        cluster.submit_for(0, 1, 1, 50, Some("a")).1,
        eq(Receipt::Stored)
    );
    expect_that!(
        cluster.submit_for(1, 1, 1, 50, Some("b")).1,
        eq(Receipt::Taken)
    );
    expect_that!(
        cluster.submit_for(1, 1, 1, 50, Some("a")).1,
        eq(Receipt::Stored)
    );
}
