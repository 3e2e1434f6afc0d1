//! Operators' drains: what is to be drained must exist, and the drain must change something.

use marigoldpick_core::config::{Change, Target};
use marigoldpick_core::control::{Answer, Call, Known};
use marigoldpick_core::operator::{Accepted, Problem};
use marigoldpick_core::prelude::*;
use marigoldpick_core::vm;

use super::Control;
use super::io::Io;
use super::message::{Message, Reply};
use super::operate::answer;
use crate::recorder::Cause;

/// The longest wait for another entry's word on an endpoint.
const ASK: Millis = Millis(1_000);

/// `Search` is where the target of a drain may be found.
enum Search {
    /// It is known here.
    Found,
    /// It is nowhere.
    Nowhere,
    /// The VM lists of these failure domains may have it.
    Lists(Vec<id::Domain>),
    /// The lead of the endpoint's shard knows.
    Lead(Known, id::Shard),
}

impl Control {
    pub(super) fn drain(&mut self, target: Target, on: bool, reply: Reply<Accepted>) {
        if self.config.state().drains(&target) == on {
            let how = if on { "is drained" } else { "is not drained" };
            let details = format!("{target} {how} already");
            return answer(&reply, Err(Problem::new(Code::NoChange, details)));
        }
        // What is gone may still be taken off the list.
        let search = if on {
            self.search(&target)
        } else {
            Search::Found
        };
        let io = self.io.clone();
        match search {
            Search::Found => self.found(target, on, Ok(()), reply),
            Search::Nowhere => self.found(target, on, Err(Code::UnknownName), reply),
            Search::Lists(domains) => self.io.send(async move {
                let found = in_lists(&io, &target, &domains).await;
                let result = found.then_some(()).ok_or(Code::UnknownName);
                Message::Sought {
                    target,
                    result,
                    reply,
                }
            }),
            Search::Lead(lead, shard) => self.io.send(async move {
                let found = at_lead(&io, &target, &lead, shard).await;
                let result = found.then_some(()).ok_or(Code::UnknownName);
                Message::Sought {
                    target,
                    result,
                    reply,
                }
            }),
        }
    }

    /// The search for the target of a new drain has ended.
    pub(super) fn sought(
        &mut self,
        target: Target,
        result: Result<(), Code>,
        reply: Reply<Accepted>,
    ) {
        self.found(target, true, result, reply);
    }

    fn found(
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

    fn search(&self, target: &Target) -> Search {
        let known = self.peers.known();
        let found = match target {
            Target::Entry(entry) => known.iter().any(|known| known.entry == *entry),
            Target::Domain(domain) => known.iter().any(|known| known.domain == *domain),
            Target::Worker(_) | Target::Rack(_) if holds(&self.vms, target) => true,
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
            Search::Nowhere
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
        let Some(shard) = id::Run::of_endpoint(endpoint).and_then(|run| self.home(&run.task))
        else {
            return Search::Nowhere;
        };
        if self.leads(&shard) {
            return Search::Nowhere;
        }
        let mut leads = self.peers.leads();
        match leads.find(|(led, _)| **led == shard) {
            Some((_, lead)) => Search::Lead(lead.clone(), shard),
            // Nobody can tell now, and a drain must not wait for a lead.
            None => Search::Found,
        }
    }
}

fn holds(vms: &[vm::Worker], target: &Target) -> bool {
    vms.iter().any(|vm| match target {
        Target::Worker(worker) => vm.id == *worker,
        Target::Rack(rack) => vm.rack == *rack,
        Target::Endpoint(_) | Target::Entry(_) | Target::Domain(_) => false,
    })
}

/// Tells whether a VM list has the target, or one can't be read and may have it.
async fn in_lists(io: &Io, target: &Target, domains: &[id::Domain]) -> bool {
    let lists = domains.iter().map(|domain| io.list(domain));
    let lists = futures::future::join_all(lists).await;
    lists.iter().any(|list| match list {
        Ok(list) => holds(&list.workers, target),
        Err(_) => true,
    })
}

/// Tells whether the lead has the endpoint, or does not answer and may have it.
async fn at_lead(io: &Io, target: &Target, lead: &Known, shard: id::Shard) -> bool {
    match io.ask(lead, Call::Endpoints(shard), ASK).await {
        Ok(Answer::Endpoints { endpoints, .. }) => endpoints
            .iter()
            .any(|e| Target::Endpoint(e.id.clone()) == *target),
        Ok(_) | Err(_) => true,
    }
}
