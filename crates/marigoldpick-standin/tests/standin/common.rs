//! Provides the site and the calls that the tests of the stand-ins share.

use marigoldpick_core::prelude::*;
use marigoldpick_core::vm;
use marigoldpick_core::worker::{Answer, Call, Epoch, Fault, Port, Spec};
use marigoldpick_platform::{Caller, Settings as Limits, Store, Vms, Workers};
use marigoldpick_standin::{Platform, Settings};

/// A lease that outlasts each test.
pub const LONG_LEASE: Millis = Millis(600_000);

const SETTINGS: &str = r#"
seed = 7
lag = { vms_ms = 1, usage_ms = 0 }
task = { stop_ms = 10 }
endpoint = { linger_ms = 10, work_ms = { from = 1.0, to = 2.0 } }

[[domain]]
name = "north"
[[domain.rack]]
name = "r0"
workers = 2
kind = "plain"
size = { millicores = 4000, memory_mib = 4096 }

[[domain]]
name = "south"
[[domain.rack]]
name = "r1"
workers = 1
kind = "plain"
size = { millicores = 4000, memory_mib = 4096 }
"#;

pub fn settings() -> Settings {
    Settings::parse("test.toml", SETTINGS).expect("the settings are well formed")
}

/// `Site` is a platform with the adapters through which one entry calls it.
pub struct Site {
    pub platform: Platform,
    pub store: Store,
    pub vms: Vms,
    pub workers: Workers,
    /// All workers, sorted by id.
    pub list: Vec<vm::Worker>,
}

impl Site {
    pub async fn start(settings: &Settings) -> Self {
        let platform = Platform::start(settings).expect("the platform starts");
        let base = platform.address();
        let (store, vms, workers) = adapters(&base, "north");
        let mut list = Vec::new();
        for domain in ["north", "south"] {
            let listed = vm::Source::list(&vms, &name(domain, id::Domain::new)).await;
            list.extend(listed.expect("the list answers").workers);
        }
        Self {
            platform,
            store,
            vms,
            workers,
            list,
        }
    }

    pub async fn call(&self, worker: usize, call: Call) -> Result<Answer, Fault> {
        self.workers.call(&self.list[worker].address, call).await
    }

    /// Claims a worker, renews its lease for `span` and returns the last stamp of its answers.
    pub async fn lease(&self, worker: usize, epoch: Epoch, span: Millis) -> Millis {
        let claim = self.call(worker, Call::Claim { epoch }).await;
        let stamp = claim.expect("the worker answers").report.stamp;
        let renew = Call::Renew {
            epoch,
            stamp,
            span,
            acknowledged: Vec::new(),
        };
        let renewed = self.call(worker, renew).await.expect("the worker answers");
        assert_eq!(renewed.refused, None, "the lease is renewed");
        renewed.report.stamp
    }

    /// Starts a run on a worker that is leased under `epoch`.
    pub async fn start_run(&self, worker: usize, epoch: Epoch, spec: Spec) -> Answer {
        let listed = self.call(worker, Call::List).await;
        let stamp = listed.expect("the worker answers").report.stamp;
        let start = Call::Start {
            epoch,
            stamp,
            span: LONG_LEASE,
            spec,
        };
        self.call(worker, start).await.expect("the worker answers")
    }

    /// Polls a worker until `is_wanted` holds for its answer, and returns that answer.
    pub async fn poll_until(&self, worker: usize, is_wanted: impl Fn(&Answer) -> bool) -> Answer {
        loop {
            let answer = self.call(worker, Call::List).await;
            let answer = answer.expect("the worker answers");
            if is_wanted(&answer) {
                return answer;
            }
            async_std::task::sleep(std::time::Duration::from_millis(5)).await;
        }
    }
}

/// Creates the adapters of an entry in `domain`.
pub fn adapters(base: &str, domain: &str) -> (Store, Vms, Workers) {
    let caller = Caller {
        domain: name(domain, id::Domain::new),
        entry: name("e1", id::Entry::new),
    };
    let limits = Limits {
        call: Millis(20_000),
        ..Limits::default()
    };
    (
        Store::new(base, caller.clone(), limits),
        Vms::new(base, caller.clone(), limits),
        Workers::new(caller, limits),
    )
}

pub fn name<T, E: std::fmt::Debug>(text: &str, new: impl FnOnce(&str) -> Result<T, E>) -> T {
    new(text).expect("the text is a name")
}

pub const fn epoch(tenure: u64) -> Epoch {
    Epoch {
        tenure,
        interim: 0,
        lead: 1,
    }
}

pub fn task(job: &str) -> id::Task {
    id::Task::new(name(job, id::Job::new), 0)
}

pub fn spec(job: &str, millicores: u64, command: &str) -> Spec {
    let task = task(job);
    Spec {
        run: id::Run { task, attempt: 1 },
        accepted: 1,
        team: name("team", id::Team::new),
        needs: Amount::new(millicores, 64),
        service: None,
        command: command.to_owned(),
        idempotent: true,
        grace: Millis(5_000),
        checkpoint: None,
    }
}
