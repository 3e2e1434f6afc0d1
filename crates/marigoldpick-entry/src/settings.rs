//! The settings of an entry, in TOML.

use marigoldpick_core::document::{self, Error, check_address};
use marigoldpick_core::prelude::*;
use serde::{Deserialize, Serialize};

/// The maximum of each event limit, which bounds the memory of the time line.
const MAX_EVENTS: u32 = 200_000;

/// `Settings` holds everything that an entry reads before it starts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The entry's name.
    pub entry: id::Entry,
    /// The entry's failure domain.
    pub domain: id::Domain,
    /// The address for callers: IP address and port.
    pub callers: String,
    /// The address for operators.
    pub operators: String,
    /// The address for other entries.
    pub inner: String,
    /// The address that is advertised to other entries, when that is not `inner`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub advertise: Option<String>,
    /// The base URL of the platform's store and VM list.
    pub platform: String,
    /// Other entries to contact first; the remaining ones are learnt from them.
    #[serde(default)]
    pub peer: Vec<Peer>,
    /// The log level: `error`, `warn`, `info`, `debug` or `trace`.
    #[serde(default = "info")]
    pub log: String,
    /// The number of events that the time line keeps, apart from those of requests.
    #[serde(default = "events")]
    pub events: u32,
    /// The number of events of requests that the time line keeps.
    #[serde(default = "events")]
    pub requests: u32,
    /// Intervals and timeouts of the control thread.
    #[serde(default)]
    pub span: Span,
    /// Settings of leases, heartbeats and logs, which must be the same at all entries of a site.
    #[serde(default)]
    pub ownership: marigoldpick_shard::Settings,
    /// The bounds on what clients of the operators' interface can make the process hold.
    #[serde(default)]
    pub intake: marigoldpick_http::Settings,
}

/// `Peer` is another entry that the settings name.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Peer {
    /// The entry's name.
    pub entry: id::Entry,
    /// The entry's failure domain.
    pub domain: id::Domain,
    /// The entry's address for other entries.
    pub address: String,
}

/// `Span` holds the intervals and timeouts of the control thread, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Span {
    /// The interval at which the VM list is read.
    pub vms_ms: Millis,
    /// The interval of the control thread's periodic work.
    pub tick_ms: Millis,
    /// The timeout of a drain.
    pub drain_ms: Millis,
}

impl Default for Span {
    fn default() -> Self {
        Self {
            vms_ms: Millis(2_000),
            tick_ms: Millis(50),
            drain_ms: Millis(30_000),
        }
    }
}

const fn events() -> u32 {
    20_000
}
fn info() -> String {
    "info".to_owned()
}

impl Settings {
    /// Reads and checks settings.
    ///
    /// # Errors
    /// Fails with an error that names the file, and the line or the field.
    pub fn parse(file: &str, text: &str) -> Result<Self, Error> {
        let settings: Self = document::parse(file, text)?;
        settings.verify().map_err(|error| error.in_file(file))?;
        Ok(settings)
    }

    /// Checks the values.
    ///
    /// # Errors
    /// Fails with an error that names the first field that is out of bounds.
    pub fn verify(&self) -> Result<(), Error> {
        check_address("callers", &self.callers)?;
        check_address("operators", &self.operators)?;
        check_address("inner", &self.inner)?;
        if let Some(advertised) = &self.advertise {
            check_address("advertise", advertised)?;
        }
        if !self.platform.starts_with("http://") {
            return Err(Error::value("platform", "must begin with http://"));
        }
        if self.log.parse::<log::LevelFilter>().is_err() {
            return Err(Error::value(
                "log",
                "must be error, warn, info, debug or trace",
            ));
        }
        verify_event_limit("events", self.events)?;
        verify_event_limit("requests", self.requests)?;
        self.verify_peers()?;
        self.span.verify()?;
        self.intake.verify()?;
        self.ownership.verify()
    }

    fn verify_peers(&self) -> Result<(), Error> {
        for (at, peer) in self.peer.iter().enumerate() {
            check_address(&format!("peer[{at}].address"), &peer.address)?;
            let before = &self.peer[..at];
            if before.iter().any(|other| other.entry == peer.entry) {
                let message = format!("'{}' is listed twice", peer.entry);
                return Err(Error::field(
                    Code::Duplicate,
                    format!("peer[{at}].entry"),
                    message,
                ));
            }
        }
        Ok(())
    }
}

impl Span {
    fn verify(&self) -> Result<(), Error> {
        let spans = [
            ("span.vms_ms", self.vms_ms),
            ("span.tick_ms", self.tick_ms),
            ("span.drain_ms", self.drain_ms),
        ];
        match spans.iter().find(|(_, span)| *span == Millis::ZERO) {
            Some((field, _)) => Err(Error::value(field, "must be more than zero")),
            None => Ok(()),
        }
    }
}

/// Checks a limit on the number of events.
fn verify_event_limit(field: &str, events: u32) -> Result<(), Error> {
    if (1..=MAX_EVENTS).contains(&events) {
        return Ok(());
    }
    let message = format!("must be from 1 to {MAX_EVENTS}");
    Err(Error::value(field, &message))
}
