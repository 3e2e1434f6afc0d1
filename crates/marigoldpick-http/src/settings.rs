//! The settings of the intake, in TOML.

use marigoldpick_core::document::{Error, check_positive};
use marigoldpick_core::prelude::*;
use serde::{Deserialize, Serialize};

use crate::Terms;
use crate::budget::Limits;

/// The share of the machine's memory that requests in arrival may hold: one eighth.
const MEMORY_SHARE: u64 = 8;
/// Connections per MiB of the machine's memory. One holds about 10 KiB, so that all hold a tenth.
const CONNECTIONS_PER_MB: u64 = 10;
/// Descriptors of the machine that are reserved for files.
const RESERVED_DESCRIPTORS: u64 = 200;
/// The share of the other descriptors that callers may take; stores, workers and entries need the rest.
const DESCRIPTOR_SHARE: u64 = 2;
/// The fewest connections that a setting may allow.
const MIN_CONNECTIONS: u64 = 16;
/// The least memory for requests in arrival, in MiB. It holds several bodies of 262,144 bytes.
const MIN_MEMORY_MB: u64 = 4;

/// `Settings` bounds what clients of HTTP can make a process hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// The machine's memory, in MiB.
    pub machine_mb: u64,
    /// The descriptors that the machine allows.
    pub descriptors: u64,
    /// The memory for requests in arrival, in MiB; zero for an eighth of the machine's.
    pub memory_mb: u64,
    /// The connections of callers; zero for as many as the machine's memory and descriptors allow.
    pub connections: u64,
    /// The largest head, in bytes.
    pub head_bytes: usize,
    /// The most empty lines before a request.
    pub empty_lines: usize,
    /// The time within which the rest of a head must arrive.
    pub head_ms: Millis,
    /// The time within which the rest of a body must arrive.
    pub body_ms: Millis,
    /// The time after which a connection without a request is closed.
    pub idle_ms: Millis,
    /// The time within which a client must have read an answer.
    pub answer_ms: Millis,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            machine_mb: 512,
            descriptors: 10_250,
            memory_mb: 0,
            connections: 0,
            head_bytes: 16_384,
            empty_lines: 4,
            head_ms: Millis(5_000),
            body_ms: Millis(30_000),
            idle_ms: Millis(20_000),
            answer_ms: Millis(15_000),
        }
    }
}

impl Settings {
    /// Checks the values.
    ///
    /// # Errors
    /// Fails with an error that names the first field that is out of bounds.
    pub fn verify(&self) -> Result<(), Error> {
        let fields = [
            ("intake.machine_mb", self.machine_mb),
            ("intake.descriptors", self.descriptors),
            ("intake.head_bytes", self.head_bytes as u64),
            ("intake.empty_lines", self.empty_lines as u64),
            ("intake.head_ms", self.head_ms.0),
            ("intake.body_ms", self.body_ms.0),
            ("intake.idle_ms", self.idle_ms.0),
            ("intake.answer_ms", self.answer_ms.0),
        ];
        fields
            .into_iter()
            .try_for_each(|(field, value)| check_positive(field, value))?;
        if (1..MIN_CONNECTIONS).contains(&self.connections) {
            return Err(Error::value(
                "intake.connections",
                "must be 0, or 16 or more",
            ));
        }
        if self.descriptors <= RESERVED_DESCRIPTORS {
            return Err(Error::value("intake.descriptors", "must be more than 200"));
        }
        Ok(())
    }

    /// Returns the limits of the whole process.
    #[must_use]
    pub fn limits(&self) -> Limits {
        let memory_mb = match self.memory_mb {
            0 => (self.machine_mb / MEMORY_SHARE).max(MIN_MEMORY_MB),
            set => set,
        };
        let connections = match self.connections {
            0 => {
                let free = self.descriptors.saturating_sub(RESERVED_DESCRIPTORS);
                let by_memory = self.machine_mb * CONNECTIONS_PER_MB;
                (free / DESCRIPTOR_SHARE).min(by_memory).max(1)
            }
            set => set,
        };
        Limits {
            bytes: usize::try_from(memory_mb << 20).unwrap_or(usize::MAX),
            connections: usize::try_from(connections).unwrap_or(usize::MAX),
        }
    }

    /// Returns the terms of a listener whose bodies have at most `body_bytes`.
    #[must_use]
    pub const fn terms(&self, body_bytes: usize) -> Terms {
        Terms {
            head_bytes: self.head_bytes,
            body_bytes,
            head: self.head_ms,
            idle: self.idle_ms,
        }
    }
}
