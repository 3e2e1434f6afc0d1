//! Changes of the configuration.

use crate::cluster::{Cluster, wait_until};

/// The stand-in's watch reports no change, like a dead connection or a store that has dropped its history.
#[googletest::test]
fn config_change_missed_by_the_watch_is_in_force_at_all_entries() {
    let cluster = Cluster::start(3, 1);
    cluster.add_route("/new/");
    wait_until("the new route is served everywhere", || {
        let is_served = |node: &marigoldpick_node::Node| {
            let active = node.handle().config().expect("a configuration");
            active.config.route("h", "/new/1").is_some()
        };
        cluster.nodes.iter().all(is_served)
    });
}
