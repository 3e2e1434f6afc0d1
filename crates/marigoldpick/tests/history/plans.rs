//! Tests a plan while the lead of a failure domain does not respond.

use async_std::task::block_on;
use googletest::prelude::*;
use marigoldpick::core::operator::PlanRequest;
use marigoldpick::core::prelude::*;

use crate::causality::{SOUTH, wait_for_leads};
use crate::cluster::Cluster;

const SEED: u64 = 5;
/// The duration of the pause, which is longer than the timeout of a survey.
const PAUSE: Millis = Millis::from_secs(10);

const SPREAD: &str = r#"
[[team]]
name = "sellers"
quota = { millicores = 60000, memory_mib = 60000 }

[[service]]
name = "booking"

[[job]]
name = "booking"
class = "service"
team = "sellers"
service = "booking"
count = 4
needs = { millicores = 500, memory_mib = 512 }
where = { spread = "domain" }
"#;

#[googletest::test]
fn plan_without_response_of_a_lead_is_rejected() {
    block_on(async {
        let cluster = Cluster::start(SEED).await;
        wait_for_leads(&cluster).await;
        for entry in SOUTH {
            cluster.pause(entry, PAUSE);
        }
        let ask = PlanRequest {
            file: "spread.toml".to_owned(),
            text: SPREAD.to_owned(),
        };
        let client = cluster.client(0).expect("the entry runs");
        let problem = client.plan(&ask).await.expect_err("a lead is paused");
        expect_that!(problem.code, eq(Code::NoLead));
        expect_that!(problem.message, contains_substring("south/0"));
    });
}
