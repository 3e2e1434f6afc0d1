//! What a platform has to offer.

use marigoldpick_core::prelude::*;
use marigoldpick_core::store::{self, Fault};
use marigoldpick_core::work::port::{self, Node};

use crate::config::Config;

/// `Registry` lists the workers.
pub trait Registry: Clone + 'static {
    /// Reads the list, sorted by id. Entries that can't be read are left out.
    ///
    /// # Errors
    /// Fails when the registry does not answer.
    fn nodes(&self) -> impl Future<Output = Result<Vec<Node>, Fault>>;
}

/// `News` is what a look at the configuration brought.
#[derive(Clone, Debug, PartialEq)]
pub struct News {
    /// The configuration, if there is one that is newer than the revision asked.
    pub config: Option<Config>,
    /// The revision to go on from.
    pub revision: u64,
}

/// `Source` is where the operators write the configuration.
pub trait Source: Clone + 'static {
    /// Returns the configuration if it was written after `revision`, waiting at most for `wait`.
    ///
    /// # Errors
    /// Fails when the source does not answer.
    fn follow(&self, revision: u64, wait: Millis) -> impl Future<Output = Result<News, Fault>>;
}

/// `Platform` is the set of services that a node builds on.
pub trait Platform: Clone + Send + 'static {
    /// The store.
    type Store: store::Store;
    /// The workers.
    type Workers: port::Workers;
    /// The adviser.
    type Adviser: port::Adviser;
    /// The list of workers.
    type Registry: Registry;
    /// The configuration.
    type Source: Source;

    /// Returns the store.
    fn store(&self) -> &Self::Store;
    /// Returns the workers.
    fn workers(&self) -> &Self::Workers;
    /// Returns the adviser.
    fn adviser(&self) -> &Self::Adviser;
    /// Returns the list of workers.
    fn registry(&self) -> &Self::Registry;
    /// Returns the configuration.
    fn source(&self) -> &Self::Source;
}
