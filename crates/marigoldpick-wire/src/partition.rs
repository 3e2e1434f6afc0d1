//! A simulated network partition, for tests of failures.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use marigoldpick_core::prelude::*;

/// `Partition` is the shared set of failure domains that are cut off.
#[derive(Clone, Debug, Default)]
pub(crate) struct Partition {
    domains: Arc<Mutex<Vec<id::Domain>>>,
}

impl Partition {
    /// Replaces the set of failure domains that are cut off.
    pub(crate) fn set(&self, domains: &[id::Domain]) {
        domains.clone_into(&mut self.lock());
    }

    /// Returns whether a failure domain is cut off.
    pub(crate) fn contains(&self, domain: &id::Domain) -> bool {
        self.lock().contains(domain)
    }

    fn lock(&self) -> MutexGuard<'_, Vec<id::Domain>> {
        self.domains.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
