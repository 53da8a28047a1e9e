//! Where a program's call stands among those that wait: by slack against what remains of it.

use super::ask::Ask;
use super::queue::{Band, Order};

/// Share of the remaining time by which the estimate may be off before a program counts as late.
const TOLERANCE: f64 = 0.5;
/// A program whose slack is so many times what remains only fills what others leave.
const FILLS: f64 = 6.0;

/// A call that waits. Times are milliseconds of the pool's clock.
#[derive(Debug, Clone)]
pub(super) struct Waiting {
    pub(super) ask: Ask,
    /// When it must start for the whole program to make its target.
    pub(super) start_by: i64,
    pub(super) asked: i64,
}

impl Waiting {
    fn rest(&self) -> i64 {
        i64::try_from(self.ask.remaining_ms).unwrap_or(i64::MAX)
    }

    #[expect(clippy::cast_possible_truncation, reason = "milliseconds")]
    fn shifted(&self, share: f64) -> i64 {
        let shift = (self.rest() as f64 * share) as i64;
        self.start_by.saturating_add(shift)
    }
}

impl Order for Waiting {
    const LATE_SHARE: u64 = 8;

    fn band(&self, now: i64) -> (Band, i64) {
        let tightens = self.shifted(-FILLS);
        let late = self.shifted(TOLERANCE);
        // Nothing is known of what remains where it is zero.
        if self.ask.remaining_ms > 0 && now <= tightens {
            (Band::Fills, tightens)
        } else if now <= late {
            (Band::OnTime, late)
        } else {
            (Band::Late, i64::MAX)
        }
    }

    fn key(&self, band: Band) -> i64 {
        match band {
            // The shortest rest first: what has begun ends, and its cache is not held for long.
            Band::Fills => self.rest(),
            Band::OnTime => self.start_by,
            // The same, but waiting counts against it, so that none starves.
            Band::Late => self.asked.saturating_add(self.rest()),
        }
    }
}
