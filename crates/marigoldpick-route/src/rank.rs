//! Rendezvous hashing: all processes that know the same members rank them in the same order for a
//! key.

use marigoldpick_core::prelude::*;

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// Returns the score of `member` for `key`; the highest score ranks first.
///
/// The score is the same in every build, so that processes of different versions agree on it.
#[must_use]
pub fn score(key: &str, member: &str) -> u64 {
    let separated = key.bytes().chain([0xff]).chain(member.bytes());
    let hash = separated.fold(FNV_OFFSET, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
    });
    mix_bits(hash)
}

/// Returns the member that ranks first for `key`.
#[must_use]
pub fn first<'a>(key: &str, members: impl Iterator<Item = &'a id::Entry>) -> Option<&'a id::Entry> {
    members.max_by_key(|member| (score(key, member.as_str()), *member))
}

/// Returns the `count` members that rank first for `key`, best first.
#[must_use]
pub fn top(key: &str, mut members: Vec<id::Entry>, count: usize) -> Vec<id::Entry> {
    members.sort_by_cached_key(|member| std::cmp::Reverse(score(key, member.as_str())));
    members.truncate(count);
    members
}

const fn mix_bits(mut hash: u64) -> u64 {
    hash ^= hash >> 30;
    hash = hash.wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash ^= hash >> 27;
    hash = hash.wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
