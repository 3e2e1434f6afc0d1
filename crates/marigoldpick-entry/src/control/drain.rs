//! Operators' drains, which are refused if nothing would change or a new drain's target is unknown.

use marigoldpick_core::config::{Change, Target};
use marigoldpick_core::control::{Answer, Call, Known};
use marigoldpick_core::operator::{Accepted, Problem};
use marigoldpick_core::prelude::*;
use marigoldpick_core::vm;

use super::Control;
use super::io::Io;
use super::message::{Message, Reply};
use super::operator_calls::answer;
use crate::recorder::Cause;

/// The timeout for a lead's answer about an endpoint.
const LEAD_TIMEOUT: Millis = Millis(1_000);

/// `Search` says where the target of a drain may be found.
enum Search {
    /// This entry knows the target, or accepts it unchecked.
    Found,
    /// The target does not exist.
    Unknown,
    /// The VM lists of these failure domains may contain the target.
    Lists(Vec<id::Domain>),
    /// The lead of the endpoint's shard has to be asked.
    Lead(Known, id::Shard),
}

impl Control {
    /// Starts or ends a drain; the target of a new drain is looked up first.
    pub(super) fn drain(&mut self, target: Target, on: bool, reply: Reply<Accepted>) {
        if self.config.state().is_draining(&target) == on {
            let how = if on { "is drained" } else { "is not drained" };
            let details = format!("{target} {how} already");
            return answer(&reply, Err(Problem::new(Code::NoChange, details)));
        }
        // The drain of a target that no longer exists can still be ended.
        let search = if on {
            self.search_target(&target)
        } else {
            Search::Found
        };
        let io = self.io.clone();
        match search {
            Search::Found => self.finish_drain(target, on, Ok(()), reply),
            Search::Unknown => self.finish_drain(target, on, Err(Code::UnknownName), reply),
            Search::Lists(domains) => self.io.spawn(async move {
                let found = is_listed(&io, &target, &domains).await;
                let result = found.then_some(()).ok_or(Code::UnknownName);
                Message::DrainTargetChecked {
                    target,
                    result,
                    reply,
                }
            }),
            Search::Lead(lead, shard) => self.io.spawn(async move {
                let found = is_at_lead(&io, &target, &lead, shard).await;
                let result = found.then_some(()).ok_or(Code::UnknownName);
                Message::DrainTargetChecked {
                    target,
                    result,
                    reply,
                }
            }),
        }
    }

    /// Handles the result of the search for the target of a new drain.
    pub(super) fn handle_drain_target(
        &mut self,
        target: Target,
        result: Result<(), Code>,
        reply: Reply<Accepted>,
    ) {
        self.finish_drain(target, true, result, reply);
    }

    fn finish_drain(
        &mut self,
        target: Target,
        on: bool,
        result: Result<(), Code>,
        reply: Reply<Accepted>,
    ) {
        if let Err(code) = result {
            let problem = Problem::new(code, format!("no {target} is known"));
            return answer(&reply, Err(problem));
        }
        self.propose(Change::Drain { target, on }, Cause::None, None, Some(reply));
    }

    fn search_target(&self, target: &Target) -> Search {
        let known = self.peers.known();
        let found = match target {
            Target::Entry(entry) => known.iter().any(|known| known.entry == *entry),
            Target::Domain(domain) => known.iter().any(|known| known.domain == *domain),
            Target::Worker(_) | Target::Rack(_) if has_target(&self.vms, target) => true,
            Target::Worker(_) | Target::Rack(_) => {
                let mut domains: Vec<id::Domain> = known.into_iter().map(|k| k.domain).collect();
                domains.sort_unstable();
                domains.dedup();
                return Search::Lists(domains);
            }
            Target::Endpoint(endpoint) => return self.search_endpoint(endpoint),
        };
        if found {
            Search::Found
        } else {
            Search::Unknown
        }
    }

    fn search_endpoint(&self, endpoint: &id::Endpoint) -> Search {
        let tables = self.shards.iter().zip(&self.tables);
        let here = tables
            .map(|(local, table)| local.endpoints().unwrap_or(table))
            .any(|table| table.endpoints.iter().any(|e| e.id == *endpoint));
        if here {
            return Search::Found;
        }
        let Some(shard) =
            id::Run::from_endpoint(endpoint).and_then(|run| self.home_shard(&run.task))
        else {
            return Search::Unknown;
        };
        if self.is_led_here(&shard) {
            return Search::Unknown;
        }
        let mut leads = self.peers.leads();
        match leads.find(|(led, _)| **led == shard) {
            Some((_, lead)) => Search::Lead(lead.clone(), shard),
            // No lead can confirm the endpoint, and a drain must not wait for an election.
            None => Search::Found,
        }
    }
}

fn has_target(vms: &[vm::Worker], target: &Target) -> bool {
    vms.iter().any(|vm| match target {
        Target::Worker(worker) => vm.id == *worker,
        Target::Rack(rack) => vm.rack == *rack,
        Target::Endpoint(_) | Target::Entry(_) | Target::Domain(_) => false,
    })
}

/// Returns whether a VM list contains the target, or can't be read and so may contain it.
async fn is_listed(io: &Io, target: &Target, domains: &[id::Domain]) -> bool {
    let lists = domains.iter().map(|domain| io.list_vms(domain));
    let lists = futures::future::join_all(lists).await;
    lists.iter().any(|list| match list {
        Ok(list) => has_target(&list.workers, target),
        Err(_) => true,
    })
}

/// Returns whether the lead has the endpoint, or does not answer and so may have it.
async fn is_at_lead(io: &Io, target: &Target, lead: &Known, shard: id::Shard) -> bool {
    match io
        .call_peer(lead, Call::Endpoints(shard), LEAD_TIMEOUT)
        .await
    {
        Ok(Answer::Endpoints { endpoints, .. }) => endpoints
            .iter()
            .any(|e| Target::Endpoint(e.id.clone()) == *target),
        Ok(_) | Err(_) => true,
    }
}
