//! Sets of numbers as ranges, for what is finished of many equal things.

/// `Ranges` is a set of numbers as ascending ranges, given by their first and last numbers, with gaps between them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ranges(Vec<(u32, u32)>);

impl Ranges {
    /// Creates an empty set.
    #[must_use]
    pub const fn new() -> Self {
        Self(Vec::new())
    }

    /// Returns the ranges, ascending.
    #[must_use]
    pub fn as_slice(&self) -> &[(u32, u32)] {
        &self.0
    }

    /// Returns the number of the elements.
    #[must_use]
    pub fn count(&self) -> u64 {
        let lengths = self
            .0
            .iter()
            .map(|(first, last)| u64::from(last - first) + 1);
        lengths.sum()
    }

    /// Returns whether the set contains a number.
    #[must_use]
    pub fn contains(&self, number: u32) -> bool {
        self.range_of(number).is_some()
    }

    /// Returns the least number from `from` on that the set does not contain.
    #[must_use]
    pub fn first_missing(&self, from: u32) -> u32 {
        let last = self.range_of(from).map(|(_, last)| last);
        last.map_or(from, |last| last.saturating_add(1))
    }

    /// Adds a number.
    pub fn insert(&mut self, number: u32) {
        self.insert_range(number, number);
    }

    /// Adds the numbers from `first` to `last`; none if `last` is less.
    pub fn insert_range(&mut self, first: u32, last: u32) {
        if first > last {
            return;
        }
        // The ranges that overlap the new one or adjoin it become one with it.
        let begin = self
            .0
            .partition_point(|range| range.1.saturating_add(1) < first);
        let end = self
            .0
            .partition_point(|range| range.0 <= last.saturating_add(1));
        let touched = &self.0[begin..end];
        let first = touched.first().map_or(first, |range| range.0.min(first));
        let last = touched.last().map_or(last, |range| range.1.max(last));
        self.0.splice(begin..end, [(first, last)]);
    }

    /// Returns the range that contains a number.
    fn range_of(&self, number: u32) -> Option<(u32, u32)> {
        let at = self.0.partition_point(|(_, last)| *last < number);
        self.0
            .get(at)
            .copied()
            .filter(|(first, _)| *first <= number)
    }
}
