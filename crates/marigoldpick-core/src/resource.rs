//! Amounts of processors, memory and accelerators.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::name::Name;

/// `Accelerators` is a count of accelerators of one kind.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Accelerators {
    /// The kind, as the platform names it.
    pub kind: Name,
    /// The number of accelerators.
    pub count: u32,
}

/// `Amount` is an amount of each resource, such as a task needs or a worker has.
///
/// `accelerators` is sorted by kind; it has no kind twice and no count of zero.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Amount {
    /// Processor time in thousandths of a core.
    #[serde(default)]
    pub millicores: u64,
    /// Memory in MiB.
    #[serde(default)]
    pub memory_mib: u64,
    /// The accelerators, sorted by kind.
    #[serde(default)]
    pub accelerators: Vec<Accelerators>,
}

impl Amount {
    /// Creates an amount without accelerators.
    #[must_use]
    pub const fn new(millicores: u64, memory_mib: u64) -> Self {
        Self {
            millicores,
            memory_mib,
            accelerators: Vec::new(),
        }
    }

    /// Returns this amount with `count` more accelerators of `kind`; the sum saturates.
    #[must_use]
    pub fn with(mut self, kind: Name, count: u32) -> Self {
        if count == 0 {
            return self;
        }
        match self.accelerators.binary_search_by(|a| a.kind.cmp(&kind)) {
            Ok(at) => {
                let have = &mut self.accelerators[at].count;
                *have = have.saturating_add(count);
            }
            Err(at) => self.accelerators.insert(at, Accelerators { kind, count }),
        }
        self
    }

    /// Returns the number of accelerators of `kind`.
    #[must_use]
    pub fn accelerators_of(&self, kind: &Name) -> u32 {
        self.accelerators
            .binary_search_by(|a| a.kind.cmp(kind))
            .map_or(0, |at| self.accelerators[at].count)
    }

    /// Returns whether `other` fits into this amount.
    #[must_use]
    pub fn holds(&self, other: &Self) -> bool {
        other.millicores <= self.millicores
            && other.memory_mib <= self.memory_mib
            && other
                .accelerators
                .iter()
                .all(|a| a.count <= self.accelerators_of(&a.kind))
    }

    /// Adds `other`; the sums saturate.
    pub fn add(&mut self, other: &Self) {
        self.millicores = self.millicores.saturating_add(other.millicores);
        self.memory_mib = self.memory_mib.saturating_add(other.memory_mib);
        for a in &other.accelerators {
            match self.accelerators.binary_search_by(|b| b.kind.cmp(&a.kind)) {
                Ok(at) => {
                    let count = &mut self.accelerators[at].count;
                    *count = count.saturating_add(a.count);
                }
                Err(at) => self.accelerators.insert(at, a.clone()),
            }
        }
    }

    /// Subtracts `other`; no resource falls below zero.
    pub fn subtract(&mut self, other: &Self) {
        self.millicores = self.millicores.saturating_sub(other.millicores);
        self.memory_mib = self.memory_mib.saturating_sub(other.memory_mib);
        for a in &other.accelerators {
            if let Ok(at) = self.accelerators.binary_search_by(|b| b.kind.cmp(&a.kind)) {
                self.accelerators[at].count = self.accelerators[at].count.saturating_sub(a.count);
            }
        }
        self.accelerators.retain(|a| a.count > 0);
    }

    /// Returns this amount multiplied by `factor`; the products saturate.
    #[must_use]
    pub fn times(&self, factor: u32) -> Self {
        Self {
            millicores: self.millicores.saturating_mul(u64::from(factor)),
            memory_mib: self.memory_mib.saturating_mul(u64::from(factor)),
            accelerators: self
                .accelerators
                .iter()
                .map(|a| Accelerators {
                    kind: a.kind.clone(),
                    count: a.count.saturating_mul(factor),
                })
                .collect(),
        }
    }

    /// Returns `percent` of each resource, rounded down.
    #[must_use]
    pub fn share(&self, percent: u32) -> Self {
        let mut share = self.times(percent);
        share.millicores /= 100;
        share.memory_mib /= 100;
        for a in &mut share.accelerators {
            a.count /= 100;
        }
        share.accelerators.retain(|a| a.count > 0);
        share
    }

    /// Raises each resource to at least the amount in `other`.
    pub fn widen(&mut self, other: &Self) {
        self.millicores = self.millicores.max(other.millicores);
        self.memory_mib = self.memory_mib.max(other.memory_mib);
        for a in &other.accelerators {
            match self.accelerators.binary_search_by(|b| b.kind.cmp(&a.kind)) {
                Ok(at) => self.accelerators[at].count = self.accelerators[at].count.max(a.count),
                Err(at) => self.accelerators.insert(at, a.clone()),
            }
        }
    }

    /// Returns whether all resources are zero.
    #[must_use]
    pub fn is_zero(&self) -> bool {
        self.millicores == 0 && self.memory_mib == 0 && self.accelerators.is_empty()
    }
}

impl fmt::Display for Amount {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} millicores, {} MiB", self.millicores, self.memory_mib)?;
        self.accelerators
            .iter()
            .try_for_each(|a| write!(f, ", {} {}", a.count, a.kind))
    }
}
