//! Implements `dev` without `--once`, which runs a site until it is interrupted.

use std::sync::Arc;

use async_std::stream::StreamExt;
use marigoldpick_core::code::Code;
use marigoldpick_core::operator::Problem;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook_async_std::Signals;

use super::cluster::{Cluster, Ports};
use super::record::Record;
use super::site::Site;
use super::{inject, operator, ready};
use crate::faults::Fault;

/// Runs a site at its settings' addresses until the process is interrupted, then drains it.
///
/// # Errors
/// A problem when a part can't start or signals can't be handled.
pub(super) async fn run(site: &Site, faults: &[Fault]) -> Result<Code, Problem> {
    let mut signals = Signals::new([SIGTERM, SIGINT])
        .map_err(|error| Problem::new(Code::Internal, error.to_string()))?;
    let cluster = Arc::new(Cluster::start(site, Ports::Configured).await?);
    let record = Arc::new(Record::default());
    print_line!("{} is running; interrupt to stop it", site.name);
    for entry in cluster.running_entries() {
        print_line!(
            "entry {}: operators {}, callers {}",
            entry.name,
            entry.operators,
            entry.callers
        );
    }
    let operators: Vec<String> = cluster
        .running_entries()
        .into_iter()
        .map(|e| e.operators)
        .collect();
    let list = operators.join(",");
    print_line!(
        "to address all of them: export {}={list}",
        crate::client::ENTRY_VARIABLE
    );
    drop(inject::start(&cluster, &record, site, faults));
    let submit = {
        let (cluster, record) = (Arc::clone(&cluster), Arc::clone(&record));
        let site = site.clone();
        async_std::task::spawn(async move {
            ready::wait_for_leads(&cluster, &site).await;
            match operator::submit_intents(&cluster, &record, &site.intents).await {
                Ok(()) => print_line!("all intents are accepted; try `marigold status`"),
                Err(problem) => eprintln!("error {}: {}", problem.code.number(), problem.message),
            }
        })
    };
    signals.next().await;
    submit.cancel().await;
    print_line!("draining");
    cluster.drain().await;
    Ok(Code::Done)
}
