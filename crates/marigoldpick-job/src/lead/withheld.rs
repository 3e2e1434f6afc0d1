//! What waiting steps keep from other work, for logs and metrics.
//!
//! Load pattern: a step that waits for long holds something that others need: the budget for questions to the adviser,
//! the quota of its team, or workers. A holder is logged once it has held the same resource for a while, so that the
//! lines stay few under load.

use marigoldpick_core::prelude::*;
use marigoldpick_core::work::Part;

use super::Lead;
use super::room::Room;

/// The time after which a holder is logged.
const REPORT_AFTER: Millis = Millis(1_000);

/// `Resource` is what a waiting step may keep from others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Resource {
    /// The budget of a service for questions to the adviser.
    Questions,
    /// The quota of a team.
    Quota,
    /// Workers.
    Workers,
}

impl Resource {
    /// All resources.
    pub const ALL: [Self; 3] = [Self::Questions, Self::Quota, Self::Workers];

    /// Returns the name, as in logs and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Questions => "questions",
            Self::Quota => "quota",
            Self::Workers => "workers",
        }
    }
}

/// `Holder` is a waiting step that keeps a resource from others.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Holder {
    resource: Resource,
    part: Part,
    since: Millis,
    is_logged: bool,
}

/// `Holders` holds the steps that kept something from others in the last pass.
#[derive(Debug, Default)]
pub(super) struct Holders {
    /// The holders, sorted by resource and step.
    list: Vec<Holder>,
    /// The steps that a team's quota was kept from in this pass.
    pub(super) held_back: usize,
    /// The steps that got no question in the last pass for want of budget.
    unasked: usize,
    /// The reserved workers after the last pass.
    reserved: usize,
}

impl Lead {
    /// Returns how many steps were refused a question or a quota in the last pass, or how many workers are reserved.
    #[must_use]
    pub const fn withheld(&self, resource: Resource) -> usize {
        match resource {
            Resource::Questions => self.holders.unasked,
            Resource::Quota => self.holders.held_back,
            Resource::Workers => self.holders.reserved,
        }
    }

    /// Records what steps have kept from others in a pass.
    pub(super) fn record_holders(&mut self, rooms: &[Room], now: Millis) {
        self.holders.unasked = rooms.iter().map(Room::unasked).sum();
        self.holders.reserved = rooms.iter().map(Room::count_reserved).sum();
        let quota = self.holds.iter();
        let mut found: Vec<(Resource, Part)> = quota
            .map(|hold| (Resource::Quota, hold.part.clone()))
            .collect();
        for room in rooms {
            let questions = room.question_holder().into_iter();
            found.extend(questions.map(|part| (Resource::Questions, part.clone())));
            let workers = room.reserving_steps();
            found.extend(workers.map(|part| (Resource::Workers, part.clone())));
        }
        found.sort();
        found.dedup();
        let before = std::mem::take(&mut self.holders.list);
        for holder in &before {
            let key = (holder.resource, &holder.part);
            let found = found.binary_search_by(|(resource, part)| (*resource, part).cmp(&key));
            if found.is_err() && holder.is_logged {
                let held = now.since(holder.since);
                let detail = format!("resource={} held_ms={}", holder.resource.name(), held.0);
                self.log("resource-released", holder.part.to_string(), detail);
            }
        }
        for (resource, part) in found {
            let same = before
                .iter()
                .find(|holder| holder.resource == resource && holder.part == part);
            let since = same.map_or(now, |holder| holder.since);
            let was_logged = same.is_some_and(|holder| holder.is_logged);
            let is_logged = was_logged || now.since(since) >= REPORT_AFTER;
            if is_logged && !was_logged {
                let detail = self.describe_holder(resource, &part, rooms);
                self.log("resource-withheld", part.to_string(), detail);
            }
            self.holders.list.push(Holder {
                resource,
                part,
                since,
                is_logged,
            });
        }
    }

    /// Returns the fields of the log line about a holder.
    fn describe_holder(&self, resource: Resource, part: &Part, rooms: &[Room]) -> String {
        let others = self.withheld(resource);
        let name = resource.name();
        match resource {
            Resource::Questions => format!("resource={name} steps_unasked={others}"),
            Resource::Quota => format!("resource={name} steps_held_back={others}"),
            Resource::Workers => {
                let positions = rooms.iter().flat_map(|room| room.reserved_for(part));
                let ids: Vec<&str> = positions
                    .map(|at| self.workers[at].node.id.as_str())
                    .collect();
                format!("resource={name} workers={}", ids.join(","))
            }
        }
    }
}
