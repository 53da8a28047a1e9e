//! Wall-clock time for reports, time limits and ages. Correctness must not depend on it.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Time since the Unix epoch; zero if the clock is set before it.
pub(crate) fn since_epoch() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}

/// Milliseconds since the Unix epoch.
pub(crate) fn wall_ms() -> u64 {
    u64::try_from(since_epoch().as_millis()).unwrap_or(u64::MAX)
}
