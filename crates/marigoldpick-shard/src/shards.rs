//! The assignment of racks to shards.

use marigoldpick_core::prelude::*;

use crate::settings::Settings;

/// Returns the shard of `rack` in `domain`.
///
/// A rack keeps its shard when other racks are added or removed, as long as [`Settings::shards`]
/// does not change.
#[must_use]
pub fn of(settings: &Settings, domain: &id::Domain, rack: &id::Rack) -> id::Shard {
    let number = fxhash::hash32(rack.as_str()) % settings.shards.max(1);
    numbered(domain, number)
}

/// Returns all shards of a domain.
#[must_use]
pub fn all(settings: &Settings, domain: &id::Domain) -> Vec<id::Shard> {
    (0..settings.shards.max(1))
        .map(|number| numbered(domain, number))
        .collect()
}

fn numbered(domain: &id::Domain, number: u32) -> id::Shard {
    id::Shard::new(&format!("{domain}/{number}")).expect("a domain's name leaves room for a number")
}
