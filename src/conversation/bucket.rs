//! Placement of turns in the topics and partitions of the store.

use super::Id;
use std::fmt;
use xxhash_rust::xxh3::xxh3_64;

/// Number of fallback partitions per bucket; fewer if a topic has too few partitions. With a
/// quarter of all partitions away, one of three is there in 98 of 100 cases.
const MAX_FALLBACK_PARTITIONS: u64 = 3;

/// Hash bucket of turns; each bucket is one partition of one topic.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Bucket(pub u64);

impl fmt::Display for Bucket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// Mapping of buckets to the topics and partitions of the store.
///
/// ```
/// use vanillatrail::conversation::{Bucket, Layout};
/// let layout = Layout { topics: 4, partitions: 12 };
/// assert_eq!(layout.count(), 48);
/// assert_eq!((layout.topic(Bucket(13)), layout.partition(Bucket(13))), (1, 1));
/// assert_eq!(layout.fallback_partitions(Bucket(13)), [4, 7, 10]);
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Layout {
    /// Number of topics that store turns.
    pub topics: u64,
    /// Number of partitions per topic.
    pub partitions: u64,
}

impl Layout {
    /// Number of buckets.
    #[must_use]
    pub const fn count(self) -> u64 {
        self.topics * self.partitions
    }

    /// Bucket of a turn, by a hash of its id.
    ///
    /// ```
    /// use vanillatrail::conversation::Layout;
    /// let layout = Layout { topics: 1, partitions: 1 };
    /// assert_eq!(layout.bucket(&"t".parse().unwrap()).0, 0);
    /// ```
    #[must_use]
    pub fn bucket(self, id: &Id) -> Bucket {
        Bucket(xxh3_64(id.as_str().as_bytes()) % self.count())
    }

    /// Index of the topic that stores a bucket.
    #[must_use]
    pub const fn topic(self, bucket: Bucket) -> u64 {
        bucket.0 / self.partitions
    }

    /// Partition of a bucket within its topic.
    #[must_use]
    pub const fn partition(self, bucket: Bucket) -> u64 {
        bucket.0 % self.partitions
    }

    /// Partitions for the bucket's turns while its own partition is unavailable.
    #[must_use]
    pub fn fallback_partitions(self, bucket: Bucket) -> Vec<u64> {
        let own = self.partition(bucket);
        let step = (self.partitions / (MAX_FALLBACK_PARTITIONS + 1)).max(1);
        let candidates =
            (1..=MAX_FALLBACK_PARTITIONS).map(|index| (own + index * step) % self.partitions);
        let mut fallbacks: Vec<u64> = candidates.filter(|number| *number != own).collect();
        fallbacks.dedup();
        fallbacks
    }
}
