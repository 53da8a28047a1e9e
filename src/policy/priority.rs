//! Priority of a forwarded request in the queue of its service.
//!
//! With earliest-deadline-first alone, an overload makes every program a little late. Here admitted
//! programs go first, the oldest before the others, so that programs that have started can finish.

use super::queue::{Band, Prioritized};

/// Offset of the start time per rank, in milliseconds. Favours urgent ranks among programs that
/// start together, without starving the others. As long as the latency objective of one request.
const RANK_OFFSET_MS: i64 = 250;

/// Priority of one request. Times are milliseconds of the dispatcher's clock.
#[derive(Debug, Clone, Copy)]
pub(super) struct Priority {
    /// Start of its program.
    pub(super) start_ms: i64,
    /// Deadline of its program.
    pub(super) deadline_ms: i64,
    /// Arrival of the request.
    pub(super) arrival_ms: i64,
    /// Whether a request of its program was granted before.
    pub(super) has_started: bool,
    pub(super) admitted: bool,
    /// Priority of its route; 0 is the most urgent.
    pub(super) rank: u8,
    /// When it has to start at the latest so that its program ends by its deadline; none if unknown.
    pub(super) latest_start_ms: Option<i64>,
}

impl Prioritized for Priority {
    // Rarer than for pool calls: most callers of forwarded requests have little use for late answers.
    const LATE_GRANT_INTERVAL: u64 = 16;

    fn band(&self, now_ms: i64) -> (Band, i64) {
        // A result within twice the target time may still be useful.
        let useful_until_ms = self.deadline_ms + (self.deadline_ms - self.start_ms).max(0);
        if self.admitted && now_ms <= self.deadline_ms {
            (Band::OnTime, self.deadline_ms)
        } else if now_ms <= useful_until_ms {
            (Band::Late, useful_until_ms)
        } else {
            (Band::Backfill, i64::MAX)
        }
    }

    fn sort_key(&self, band: Band) -> i64 {
        let start_ms = self.start_ms + RANK_OFFSET_MS * i64::from(self.rank);
        match band {
            Band::OnTime => {
                let rank_offset_ms = RANK_OFFSET_MS * i64::from(self.rank);
                self.latest_start_ms
                    .map_or(start_ms, |at| at + rank_offset_ms)
            }
            // Programs that have started go first, as their work is lost otherwise; the newest of
            // them are the likeliest to finish in time.
            Band::Late if self.has_started => -start_ms,
            Band::Late => i64::MAX / 2 - start_ms,
            Band::Backfill => self.arrival_ms,
        }
    }
}
