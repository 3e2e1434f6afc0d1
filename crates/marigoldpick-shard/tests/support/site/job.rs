//! The jobs of the tests.

use marigoldpick_core::intent::Class;
use marigoldpick_core::prelude::*;
use marigoldpick_core::worker::Spec;

#[derive(Clone, Debug)]
pub struct Job {
    pub id: id::Job,
    pub count: u32,
    pub class: Class,
    pub idempotent: bool,
    pub run: Option<u64>,
    /// The sequence number of the configuration entry that accepted it.
    pub accepted: u64,
}

pub fn job(name: &str, count: u32, class: Class, idempotent: bool, run: Option<u64>) -> Job {
    Job {
        id: id::Job::new(name).expect("a name"),
        count,
        class,
        idempotent,
        run,
        accepted: 1,
    }
}

impl Job {
    pub(super) fn spec(&self, run: id::Run) -> Spec {
        Spec {
            run,
            accepted: self.accepted,
            team: id::Team::new("maps").expect("a name"),
            needs: Amount::new(1_000, 512),
            service: None,
            command: self.run.map_or_else(String::new, |run| run.to_string()),
            idempotent: self.idempotent,
            grace: Millis(1_000),
            checkpoint: None,
        }
    }
}
