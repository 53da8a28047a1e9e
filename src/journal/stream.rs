//! Streams of the log.

use crate::id::Shard;

/// Stream to which operators publish configuration.
pub(crate) const CONFIG_STREAM: &str = "config";

/// Number of the stream that holds all records of `shard`.
pub(crate) fn stream_of(shard: Shard, streams: u64) -> u64 {
    shard.0 % streams.max(1)
}
