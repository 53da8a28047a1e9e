//! Detects that this process was suspended or starved of CPU.
//!
//! Meanwhile another VM may have taken over its partitions. The monotonic clock may stop during a suspension, so the
//! wall clock is compared as well.

use crate::clock;
use std::cell::Cell;
use std::time::Duration;
use tokio::time::Instant;

/// Time between two checks that counts as a stall; well above the check interval on a slow VM. A VM
/// of an eighth of a core that is slowed down five times takes up to 0.5 s between two checks 50 ms
/// apart.
const STALL_THRESHOLD: Duration = Duration::from_millis(700);

#[derive(Debug, Default)]
pub(super) struct StallDetector {
    /// Monotonic time, and wall time in milliseconds.
    last_check: Cell<Option<(Instant, u64)>>,
    last_stall: Cell<Option<Instant>>,
}

impl StallDetector {
    pub(super) fn check(&self) {
        let now = (Instant::now(), clock::wall_ms());
        let Some(before) = self.last_check.replace(Some(now)) else {
            return;
        };
        if elapsed_between(before, now) >= STALL_THRESHOLD {
            self.last_stall.set(Some(now.0));
        }
    }

    /// Time since the last stall was detected; `None` if there was none.
    pub(super) fn since_last_stall(&self) -> Option<Duration> {
        self.last_stall.get().map(|detected| detected.elapsed())
    }
}

/// Time between two readings, by the clock (monotonic or wall) that advanced further.
pub(super) fn elapsed_between(before: (Instant, u64), now: (Instant, u64)) -> Duration {
    let monotonic = now.0.saturating_duration_since(before.0);
    monotonic.max(Duration::from_millis(now.1.saturating_sub(before.1)))
}
