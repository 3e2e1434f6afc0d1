//! The interfaces that a platform implements.

use marigoldpick_core::prelude::*;
use marigoldpick_core::store::{self, Fault};
use marigoldpick_core::work::port::{self, Node};

use crate::config::Config;

/// `Registry` lists the workers.
pub trait Registry: Clone + 'static {
    /// Reads the list of workers, sorted by id; malformed registrations are left out.
    ///
    /// # Errors
    /// Fails when the registry does not answer.
    fn nodes(&self) -> impl Future<Output = Result<Vec<Node>, Fault>>;
}

/// `Update` is the result of a read or watch of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Update {
    /// The configuration, if it is newer than the requested revision.
    pub config: Option<Config>,
    /// The revision from which to watch next.
    pub revision: u64,
    /// Whether the configuration was the newest when the call was made or later; a watch cannot tell.
    pub is_current: bool,
}

/// `Confirmed` is the result of a current read of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Confirmed {
    /// The configuration, if its revision is not the known one.
    pub config: Option<Config>,
    /// The revision of the newest configuration; zero if there is none.
    pub revision: u64,
}

/// `Source` reads the configuration that the operators write.
pub trait Source: Clone + 'static {
    /// Returns the configuration if it was written after `revision`, waiting for at most `wait`.
    ///
    /// # Errors
    /// Fails when the source does not answer.
    fn follow(&self, revision: u64, wait: Millis) -> impl Future<Output = Result<Update, Fault>>;

    /// Returns the newest configuration, or none if its revision is `known`.
    ///
    /// The answer is a current one, so `known` was the newest revision when the call was made or
    /// later.
    ///
    /// # Errors
    /// Fails when the source does not answer.
    fn confirm(&self, known: u64) -> impl Future<Output = Result<Confirmed, Fault>>;
}

/// `Platform` bundles the external services that a node uses.
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
