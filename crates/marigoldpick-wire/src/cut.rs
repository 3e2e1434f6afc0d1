//! Failure domains that are cut off on purpose, for tests of failures.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use marigoldpick_core::prelude::*;

/// `Cut` is a shared set of failure domains.
#[derive(Clone, Debug, Default)]
pub(crate) struct Cut {
    domains: Arc<Mutex<Vec<id::Domain>>>,
}

impl Cut {
    /// Replaces the set.
    pub(crate) fn set(&self, domains: &[id::Domain]) {
        domains.clone_into(&mut self.lock());
    }

    /// Tells whether a failure domain is cut off.
    pub(crate) fn has(&self, domain: &id::Domain) -> bool {
        self.lock().contains(domain)
    }

    fn lock(&self) -> MutexGuard<'_, Vec<id::Domain>> {
        self.domains.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
