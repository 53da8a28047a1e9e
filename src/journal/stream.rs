//! Names of the streams that the system keeps in the log.

use crate::id::Shard;

/// The stream on which operators publish configuration.
pub(crate) const CONFIG: &str = "config";

/// The stream that holds every record of `shard`.
pub(crate) fn stream_of(shard: Shard, streams: u64) -> u64 {
    shard.0 % streams.max(1)
}
