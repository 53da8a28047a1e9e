//! Partitions of the store for records whose own partition is unavailable.
//!
//! Load that it answers: the store loses one part of its partitions after another, as in a restart by parts. A record that
//! was written while one part was away is needed while another part is. So it counts as written once a majority of its
//! fallback partitions has it, and is known to be absent only if a majority could be read.

/// Fallback partitions of one partition, at most.
const MAX_PARTITIONS: u64 = 11;

/// Fallback partitions of partition `own`, where a topic has `count` partitions. Only a topic with a single partition uses
/// that.
///
/// ```
/// use vanillatrail::policy::fallback::partitions;
/// assert_eq!(partitions(1, 4), [2, 3, 0]);
/// assert_eq!(partitions(0, 1), [0]);
/// assert_eq!(partitions(0, 36).len(), 11);
/// ```
#[must_use]
pub fn partitions(own: u64, count: u64) -> Vec<u64> {
    if count <= 1 {
        return vec![own];
    }
    let size = MAX_PARTITIONS.min(count - 1);
    // Evenly spread, since neighbours are often unavailable together.
    (1..=size)
        .map(|index| (own + index * count / (size + 1)) % count)
        .collect()
}

/// How many of `partitions` fallback partitions have to take a record, and how many have to be readable.
///
/// ```
/// assert_eq!(vanillatrail::policy::fallback::majority(11), 6);
/// ```
#[must_use]
pub const fn majority(partitions: usize) -> usize {
    partitions / 2 + 1
}
