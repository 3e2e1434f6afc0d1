//! Sets of numbers as ranges, compared with plain sets.

use std::collections::BTreeSet;

use googletest::prelude::*;
use marigoldpick_job::ranges::Ranges;
use proptest::prelude::{any, prop, prop_assert_eq};
use proptest::proptest;

proptest! {
    #[test]
    fn ranges_insert_range_equals_a_plain_set(
        inserted in prop::collection::vec((0u32..60, 0u32..8), 0..30),
        from in any::<u8>(),
    ) {
        let mut ranges = Ranges::new();
        let mut plain = BTreeSet::new();
        for (first, length) in inserted {
            ranges.insert_range(first, first + length);
            plain.extend(first..=first + length);
        }
        let numbers = ranges.as_slice().iter().flat_map(|(first, last)| *first..=*last);
        prop_assert_eq!(numbers.collect::<BTreeSet<u32>>(), plain.clone());
        prop_assert_eq!(ranges.count(), plain.len() as u64);
        for pair in ranges.as_slice().windows(2) {
            prop_assert_eq!(pair[0].1 + 1 < pair[1].0, true);
        }
        let from = u32::from(from);
        prop_assert_eq!(ranges.contains(from), plain.contains(&from));
        let missing = (from..).find(|number| !plain.contains(number));
        prop_assert_eq!(Some(ranges.first_missing(from)), missing);
    }
}

#[googletest::test]
fn ranges_insert_range_bears_the_greatest_number() {
    let mut ranges = Ranges::new();
    ranges.insert_range(5, u32::MAX);
    ranges.insert(4);
    ranges.insert_range(3, 2);
    expect_that!(ranges.as_slice(), eq(&[(4, u32::MAX)]));
    expect_that!(ranges.first_missing(7), eq(u32::MAX));
}
