//! Tracks which failure domains a simulated network partition isolates.

use std::sync::{Arc, Mutex, PoisonError};

use marigoldpick_core::prelude::*;

/// `Partition` is the set of isolated failure domains, shared by all parts of a platform.
#[derive(Clone, Debug, Default)]
pub(crate) struct Partition {
    domains: Arc<Mutex<Vec<id::Domain>>>,
}

impl Partition {
    /// Isolates a failure domain, or reconnects it.
    pub(crate) fn set_isolated(&self, domain: &id::Domain, isolated: bool) {
        let mut domains = self.domains.lock().unwrap_or_else(PoisonError::into_inner);
        match (domains.binary_search(domain), isolated) {
            (Err(at), true) => domains.insert(at, domain.clone()),
            (Ok(at), false) => drop(domains.remove(at)),
            _ => {}
        }
    }

    /// Returns whether a call from the domain `caller` reaches the domain `target`.
    ///
    /// The store and the VM list belong to no domain. Calls that don't name their failure domain
    /// come from outside the experiment and always pass.
    pub(crate) fn can_pass(&self, caller: Option<&str>, target: Option<&id::Domain>) -> bool {
        let Some(caller) = caller else {
            return true;
        };
        if target.is_some_and(|target| target.as_str() == caller) {
            return true;
        }
        let domains = self.domains.lock().unwrap_or_else(PoisonError::into_inner);
        let is_isolated = |name: &str| domains.iter().any(|domain| domain.as_str() == name);
        !is_isolated(caller) && !target.is_some_and(|target| is_isolated(target.as_str()))
    }
}
