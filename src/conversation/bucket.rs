//! Which part of the store holds a turn.

use super::Id;
use std::fmt;
use xxhash_rust::xxh3::xxh3_64;

/// Partitions beside its own through which a turn may be recorded. With a quarter of all partitions
/// away, one of three is there in 98 of 100 cases.
const OTHERS: u64 = 3;

/// A fixed share of all turns, by a hash of their identities; it is read as a whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Bucket(pub u64);

impl fmt::Display for Bucket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// How buckets are laid out over the topics and partitions of the store.
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
    /// Topics of turns.
    pub topics: u64,
    /// Partitions of each topic.
    pub partitions: u64,
}

impl Layout {
    /// How many buckets there are.
    #[must_use]
    pub const fn count(self) -> u64 {
        self.topics * self.partitions
    }

    /// The bucket of a turn.
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

    /// The topic of a bucket.
    #[must_use]
    pub const fn topic(self, bucket: Bucket) -> u64 {
        bucket.0 / self.partitions
    }

    /// The partition of a bucket within its topic.
    #[must_use]
    pub const fn partition(self, bucket: Bucket) -> u64 {
        bucket.0 % self.partitions
    }

    /// The partitions through which its turns go while its own takes none.
    #[must_use]
    pub fn fallback_partitions(self, bucket: Bucket) -> Vec<u64> {
        let own = self.partition(bucket);
        let step = (self.partitions / (OTHERS + 1)).max(1);
        let others = (1..=OTHERS).map(|index| (own + index * step) % self.partitions);
        let mut others: Vec<u64> = others.filter(|other| *other != own).collect();
        others.dedup();
        others
    }
}
