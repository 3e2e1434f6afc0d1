//! Which failure domains are cut off.

use std::sync::{Arc, Mutex, PoisonError};

use marigoldpick_core::prelude::*;

/// `Cut` is the set of failure domains that are cut off, shared by all parts of a platform.
#[derive(Clone, Debug, Default)]
pub(crate) struct Cut {
    domains: Arc<Mutex<Vec<id::Domain>>>,
}

impl Cut {
    /// Cuts a failure domain off, or ends that.
    pub(crate) fn set(&self, domain: &id::Domain, on: bool) {
        let mut domains = self.domains.lock().unwrap_or_else(PoisonError::into_inner);
        match (domains.binary_search(domain), on) {
            (Err(at), true) => domains.insert(at, domain.clone()),
            (Ok(at), false) => drop(domains.remove(at)),
            _ => {}
        }
    }

    /// Tells whether a call from `caller` reaches `target`; the store and the VM list have none.
    ///
    /// Calls that don't name their failure domain come from outside the experiment and pass.
    pub(crate) fn passes(&self, caller: Option<&str>, target: Option<&id::Domain>) -> bool {
        let Some(caller) = caller else {
            return true;
        };
        if target.is_some_and(|target| target.as_str() == caller) {
            return true;
        }
        let domains = self.domains.lock().unwrap_or_else(PoisonError::into_inner);
        let is_cut = |name: &str| domains.iter().any(|domain| domain.as_str() == name);
        !is_cut(caller) && !target.is_some_and(|target| is_cut(target.as_str()))
    }
}
