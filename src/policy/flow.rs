//! How fast requests are granted, and how long it takes until one that waits has its turn.

use std::collections::VecDeque;
use tokio::time::Instant;

/// Grants over which their rate is taken.
const FLOW: usize = 32;

/// How fast requests are granted, by the newest grants.
#[derive(Debug, Default)]
pub(super) struct Flow {
    newest: VecDeque<Instant>,
}

impl Flow {
    /// Counts a grant.
    pub(super) fn count(&mut self, now: Instant) {
        if self.newest.len() >= FLOW {
            self.newest.pop_front();
        }
        self.newest.push_back(now);
    }

    pub(super) fn per_second(&self, now: Instant) -> Option<f64> {
        let first = self.newest.front().filter(|_| self.newest.len() == FLOW)?;
        let span = now.saturating_duration_since(*first).as_secs_f64();
        Some(FLOW as f64 / span.max(0.001))
    }

    /// Milliseconds until `ahead` requests have been granted; zero where nothing is known.
    pub(super) fn wait_ms(&self, now: Instant, ahead: usize) -> f64 {
        let wait = |per_second| ahead as f64 / per_second * 1000.0;
        self.per_second(now).map_or(0.0, wait)
    }
}
