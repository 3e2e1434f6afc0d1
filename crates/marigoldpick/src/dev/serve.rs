//! `dev` without `--once`: a site that runs until it is interrupted.

use std::sync::Arc;

use async_std::stream::StreamExt;
use marigoldpick_core::code::Code;
use marigoldpick_core::operator::Problem;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook_async_std::Signals;

use super::book::Book;
use super::cluster::{Cluster, Ports};
use super::site::Site;
use super::{inject, operator, ready};
use crate::faults::Fault;

/// Runs a site where its settings say, until the process is interrupted; then drains it.
///
/// # Errors
/// A problem of a part that could not start, or of an intent that is wrong.
pub(super) async fn run(site: &Site, faults: &[Fault]) -> Result<Code, Problem> {
    let mut signals = Signals::new([SIGTERM, SIGINT])
        .map_err(|error| Problem::new(Code::Internal, error.to_string()))?;
    let cluster = Arc::new(Cluster::start(site, Ports::Settled).await?);
    let book = Arc::new(Book::default());
    print_line!("{} runs; interrupt to end it", site.name);
    for door in cluster.doors() {
        print_line!(
            "entry {}: operators {}, callers {}",
            door.entry,
            door.operators,
            door.callers
        );
    }
    let operators: Vec<String> = cluster.doors().into_iter().map(|d| d.operators).collect();
    let list = operators.join(",");
    print_line!(
        "to ask all of them: export {}={list}",
        crate::client::ENTRY_VARIABLE
    );
    drop(inject::play(&cluster, &book, site, faults));
    let submit = {
        let (cluster, book) = (Arc::clone(&cluster), Arc::clone(&book));
        let site = site.clone();
        async_std::task::spawn(async move {
            ready::leads(&cluster, &site).await;
            match operator::submit(&cluster, &book, &site.intents).await {
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
