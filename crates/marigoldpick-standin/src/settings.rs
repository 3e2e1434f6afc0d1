//! Defines the settings of the stand-ins: failure domains, racks, workers, rates and lags.

use marigoldpick_core::document::{self, Error, check_address, check_positive, check_unique};
use marigoldpick_core::prelude::*;
use serde::{Deserialize, Serialize};

/// The longest name of a rack; the names of its workers begin with it.
const MAX_RACK_BYTES: usize = 100;
/// The most workers of one platform; each one has its own listener.
const MAX_WORKERS: u64 = 2_000;

/// `Settings` describes a platform.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The seed of all random draws.
    #[serde(default)]
    pub seed: u64,
    /// The IP address and port of the store and the VM list; port 0 takes a free port.
    #[serde(default = "loopback")]
    pub listen: String,
    /// The rates and delays of the store.
    #[serde(default)]
    pub store: Store,
    /// The lag of reports.
    #[serde(default)]
    pub lag: Lag,
    /// The behaviour of tasks.
    #[serde(default)]
    pub task: Task,
    /// The behaviour of endpoints.
    #[serde(default)]
    pub endpoint: Endpoint,
    /// The failure domains.
    pub domain: Vec<Domain>,
}

/// `Store` sets the rates and delays of the store.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Store {
    /// The most writes in a second.
    pub writes_per_second: u32,
    /// The most reads in a second; a watch counts as one.
    pub reads_per_second: u32,
    /// The time for a call in milliseconds, drawn for each call.
    pub delay_ms: Range,
}

impl Default for Store {
    fn default() -> Self {
        Self {
            writes_per_second: 500,
            reads_per_second: 2_000,
            delay_ms: Range::new(1.0, 4.0),
        }
    }
}

/// `Lag` sets how far reports lag behind the actual state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Lag {
    /// The lag of the VM list.
    pub vms_ms: Millis,
    /// The time after a task's start before its usage is reported.
    pub usage_ms: Millis,
}

impl Default for Lag {
    fn default() -> Self {
        Self {
            vms_ms: Millis(3_000),
            usage_ms: Millis(1_000),
        }
    }
}

/// `Task` sets the actual behaviour of tasks, unless their command overrides it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Task {
    /// The actual run time in milliseconds, drawn for each task.
    pub run_ms: Range,
    /// The actual size as a fraction of the declared one, drawn for each job.
    pub size: Range,
    /// Whether workers refuse starts that would exceed their size.
    pub enforce_size: bool,
    /// The time that a task takes to end when it is stopped.
    pub stop_ms: Millis,
}

impl Default for Task {
    fn default() -> Self {
        Self {
            run_ms: Range::new(200.0, 2_000.0),
            size: Range::new(0.3, 0.95),
            enforce_size: true,
            stop_ms: Millis(50),
        }
    }
}

/// `Endpoint` sets the capacity and speed of endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Endpoint {
    /// The most requests that run at once.
    pub slots: u32,
    /// The most open connections.
    pub connections: u32,
    /// The time that the fastest endpoint takes in milliseconds, drawn for each request.
    pub work_ms: Range,
    /// The factor by which an endpoint is slower than the fastest one, drawn for each endpoint.
    pub speed: Range,
    /// How long a draining endpoint still answers, to refuse requests.
    pub linger_ms: Millis,
}

impl Default for Endpoint {
    fn default() -> Self {
        Self {
            slots: 8,
            connections: 60,
            work_ms: Range::new(5.0, 20.0),
            speed: Range::new(1.0, 8.0),
            linger_ms: Millis(2_000),
        }
    }
}

/// `Range` is the bounds of a random draw, both included.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Range {
    /// The lower bound.
    pub from: f64,
    /// The upper bound.
    pub to: f64,
}

impl Range {
    /// Creates a range.
    #[must_use]
    pub const fn new(from: f64, to: f64) -> Self {
        Self { from, to }
    }
}

/// `Domain` is a failure domain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Domain {
    /// The name of the failure domain.
    pub name: id::Domain,
    /// The racks of the failure domain.
    pub rack: Vec<Rack>,
}

/// `Rack` is a rack of identical workers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rack {
    /// The name of the rack, unique over all failure domains.
    pub name: id::Rack,
    /// The number of workers; they are named `rack/w0`, `rack/w1` and so on.
    pub workers: u32,
    /// The kind of machine.
    pub kind: Name,
    /// The resources of each worker.
    pub size: Amount,
}

fn loopback() -> String {
    "127.0.0.1:0".to_owned()
}

impl Settings {
    /// Parses and checks settings.
    ///
    /// # Errors
    /// Fails with the file, and the line or the field.
    pub fn parse(file: &str, text: &str) -> Result<Self, Error> {
        let settings: Self = document::parse(file, text)?;
        settings.check().map_err(|error| error.in_file(file))?;
        Ok(settings)
    }

    /// Checks the constraints that the types don't express.
    ///
    /// # Errors
    /// Fails with the first field that violates one.
    pub fn check(&self) -> Result<(), Error> {
        check_address("listen", &self.listen)?;
        check_positive("store.writes_per_second", self.store.writes_per_second)?;
        check_positive("store.reads_per_second", self.store.reads_per_second)?;
        check_positive("endpoint.slots", self.endpoint.slots)?;
        check_positive("endpoint.connections", self.endpoint.connections)?;
        check_range("store.delay_ms", self.store.delay_ms)?;
        check_range("task.run_ms", self.task.run_ms)?;
        check_range("task.size", self.task.size)?;
        check_range("endpoint.work_ms", self.endpoint.work_ms)?;
        check_range("endpoint.speed", self.endpoint.speed)?;
        self.check_domains()
    }

    fn check_domains(&self) -> Result<(), Error> {
        if self.domain.is_empty() {
            return Err(Error::value("domain", "must not be empty"));
        }
        check_unique("domain", self.domain.iter().map(|d| d.name.as_str()))?;
        let racks = || self.domain.iter().flat_map(|domain| &domain.rack);
        check_unique("domain.rack", racks().map(|rack| rack.name.as_str()))?;
        for (d, domain) in self.domain.iter().enumerate() {
            for (r, rack) in domain.rack.iter().enumerate() {
                check_rack(&format!("domain[{d}].rack[{r}]"), rack)?;
            }
        }
        let workers: u64 = racks().map(|rack| u64::from(rack.workers)).sum();
        if workers > MAX_WORKERS {
            return Err(Error::value(
                "domain.rack.workers",
                "must be at most 2000 in total",
            ));
        }
        Ok(())
    }
}

fn check_rack(path: &str, rack: &Rack) -> Result<(), Error> {
    if rack.name.as_str().len() > MAX_RACK_BYTES {
        return Err(Error::value(
            &format!("{path}.name"),
            "must have at most 100 bytes",
        ));
    }
    check_positive(&format!("{path}.workers"), rack.workers)?;
    let size = &rack.size;
    if size.millicores == 0 {
        return Err(Error::value(
            &format!("{path}.size.millicores"),
            "must be more than zero",
        ));
    }
    if size.memory_mib == 0 {
        return Err(Error::value(
            &format!("{path}.size.memory_mib"),
            "must be more than zero",
        ));
    }
    if !size.accelerators.is_sorted_by(|a, b| a.kind < b.kind) {
        let field = format!("{path}.size.accelerators");
        return Err(Error::value(
            &field,
            "must be sorted by kind, each kind once",
        ));
    }
    Ok(())
}

fn check_range(field: &str, range: Range) -> Result<(), Error> {
    let has_finite_bounds = range.from.is_finite() && range.to.is_finite();
    if has_finite_bounds && 0.0 <= range.from && range.from <= range.to {
        return Ok(());
    }
    Err(Error::value(field, "must be finite, with 0 <= from <= to"))
}
