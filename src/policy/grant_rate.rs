//! Measured rate of grants and the queue time that follows from it.

use std::collections::VecDeque;
use tokio::time::Instant;

/// Grants over which the rate is measured.
const SAMPLES: usize = 32;

/// The most recent grants.
#[derive(Debug, Default)]
pub(super) struct GrantRate {
    recent: VecDeque<Instant>,
}

impl GrantRate {
    pub(super) fn record(&mut self, now: Instant) {
        if self.recent.len() >= SAMPLES {
            self.recent.pop_front();
        }
        self.recent.push_back(now);
    }

    pub(super) fn per_second(&self, now: Instant) -> Option<f64> {
        let oldest = self
            .recent
            .front()
            .filter(|_| self.recent.len() == SAMPLES)?;
        let elapsed_s = now.saturating_duration_since(*oldest).as_secs_f64();
        Some(SAMPLES as f64 / elapsed_s.max(0.001))
    }

    /// Expected milliseconds until `queued_ahead` requests have been granted; 0 if the rate is unknown.
    pub(super) fn wait_ms(&self, now: Instant, queued_ahead: usize) -> f64 {
        let wait_ms = |per_second| queued_ahead as f64 / per_second * 1000.0;
        self.per_second(now).map_or(0.0, wait_ms)
    }
}
