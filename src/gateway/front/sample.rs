//! Which routine lines are logged.

use std::cell::Cell;
use std::time::Duration;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

/// Routine lines a second before they are sampled: 200 bytes each, they stay under 10 KB a second.
const LINES: u32 = 40;
/// Beyond that, one request in so many is logged.
const ONE_IN: u64 = 16;

/// Bounds the lines of requests that went well; those of failures are not sampled.
///
/// The choice falls by the request's identity, so that all lines of one request stay together.
#[derive(Debug)]
pub(crate) struct Sampler {
    second: Cell<Instant>,
    lines: Cell<u32>,
}

impl Sampler {
    pub(crate) fn new() -> Self {
        Self {
            second: Cell::new(Instant::now()),
            lines: Cell::new(0),
        }
    }

    /// Whether a routine line of the request `id` is logged.
    pub(crate) fn takes(&self, id: &str) -> bool {
        if self.second.get().elapsed() >= Duration::from_secs(1) {
            self.second.set(Instant::now());
            self.lines.set(0);
        }
        if self.lines.get() >= LINES && !xxh3_64(id.as_bytes()).is_multiple_of(ONE_IN) {
            return false;
        }
        self.lines.set(self.lines.get() + 1);
        true
    }
}
