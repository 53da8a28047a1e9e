//! Priority of a queued call, by the slack of its program relative to the remaining time.

use super::queue::{Band, Prioritized};
use super::request::Request;

/// Margin for the estimate, as a fraction of the remaining time, before a call counts as late.
const LATE_TOLERANCE: f64 = 0.5;
/// A call with more slack than this many times the remaining time is in the backfill band.
const BACKFILL_SLACK_RATIO: f64 = 6.0;

/// A queued call. Times are milliseconds of the pool's clock.
#[derive(Debug, Clone)]
pub(super) struct QueuedCall {
    pub(super) request: Request,
    /// Latest start with which the whole program meets its target.
    pub(super) latest_start_ms: i64,
    pub(super) arrival_ms: i64,
}

impl QueuedCall {
    fn remaining_ms(&self) -> i64 {
        i64::try_from(self.request.remaining_ms).unwrap_or(i64::MAX)
    }

    #[expect(clippy::cast_possible_truncation, reason = "milliseconds")]
    fn latest_start_plus(&self, remaining_share: f64) -> i64 {
        let offset_ms = (self.remaining_ms() as f64 * remaining_share) as i64;
        self.latest_start_ms.saturating_add(offset_ms)
    }
}

impl Prioritized for QueuedCall {
    const LATE_GRANT_INTERVAL: u64 = 8;

    fn band(&self, now_ms: i64) -> (Band, i64) {
        let backfill_until_ms = self.latest_start_plus(-BACKFILL_SLACK_RATIO);
        let on_time_until_ms = self.latest_start_plus(LATE_TOLERANCE);
        // Zero means that the remaining time is unknown.
        if self.request.remaining_ms > 0 && now_ms <= backfill_until_ms {
            (Band::Backfill, backfill_until_ms)
        } else if now_ms <= on_time_until_ms {
            (Band::OnTime, on_time_until_ms)
        } else {
            (Band::Late, i64::MAX)
        }
    }

    fn sort_key(&self, band: Band) -> i64 {
        match band {
            // Shortest remaining time first: programs that finish free their cache.
            Band::Backfill => self.remaining_ms(),
            Band::OnTime => self.latest_start_ms,
            // Shortest remaining time first, with aging so that none starves.
            Band::Late => self.arrival_ms.saturating_add(self.remaining_ms()),
        }
    }
}
