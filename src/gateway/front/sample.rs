//! Sampling of routine log lines.

use std::cell::Cell;
use std::time::Duration;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

/// Routine lines logged before sampling starts: at 200 bytes each, less than 10 KB per second.
const MAX_UNSAMPLED_LINES_PER_SECOND: u32 = 40;
/// With sampling, one request in this many is logged.
const SAMPLING_RATIO: u64 = 16;

/// Limits the log lines of successful requests; lines of failures are not sampled.
///
/// Sampling is by request id, so that the lines of one request are kept or dropped together.
#[derive(Debug)]
pub(crate) struct Sampler {
    second_start: Cell<Instant>,
    lines: Cell<u32>,
}

impl Sampler {
    pub(crate) fn new() -> Self {
        Self {
            second_start: Cell::new(Instant::now()),
            lines: Cell::new(0),
        }
    }

    /// Whether to log a routine line of the request `id`.
    pub(crate) fn should_log(&self, id: &str) -> bool {
        if self.second_start.get().elapsed() >= Duration::from_secs(1) {
            self.second_start.set(Instant::now());
            self.lines.set(0);
        }
        if self.lines.get() >= MAX_UNSAMPLED_LINES_PER_SECOND
            && !xxh3_64(id.as_bytes()).is_multiple_of(SAMPLING_RATIO)
        {
            return false;
        }
        self.lines.set(self.lines.get() + 1);
        true
    }
}
