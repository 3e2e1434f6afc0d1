//! Counts of calls by kind, which show the cost of the control plane.

/// `Counter` counts calls by kind, sorted by kind.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counter {
    counts: Vec<(&'static str, u64)>,
}

impl Counter {
    /// Counts one call.
    pub fn add(&mut self, kind: &'static str) {
        match self.counts.binary_search_by_key(&kind, |(k, _)| k) {
            Ok(at) => self.counts[at].1 += 1,
            Err(at) => self.counts.insert(at, (kind, 1)),
        }
    }

    /// Returns the count of one kind.
    #[must_use]
    pub fn get(&self, kind: &str) -> u64 {
        self.counts
            .binary_search_by_key(&kind, |(k, _)| k)
            .map_or(0, |at| self.counts[at].1)
    }

    /// Returns all counts.
    #[must_use]
    pub fn all(&self) -> &[(&'static str, u64)] {
        &self.counts
    }
}
