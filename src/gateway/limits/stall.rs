//! Notices that this VM stood still.
//!
//! A VM that was suspended for seconds wakes with beliefs from before, and another one may have taken over what it
//! counts. Its steady clock may not tell, so the time of day is looked at, too.

use crate::clock;
use std::cell::Cell;
use std::time::Duration;
use tokio::time::Instant;

/// The time without a look after which this VM stood still. It is looked every 50 ms; a VM of an eighth of a core
/// that is slowed down five times takes up to 0.5 s.
const STILL: Duration = Duration::from_millis(700);

/// When this VM last looked, and when it last noticed that it had stood still.
#[derive(Debug, Default)]
pub(super) struct Stall {
    looked: Cell<Option<(Instant, u64)>>,
    noticed: Cell<Option<Instant>>,
}

impl Stall {
    /// Looks at the clocks.
    pub(super) fn look(&self) {
        let now = (Instant::now(), clock::wall_ms());
        let Some(before) = self.looked.replace(Some(now)) else {
            return;
        };
        if since(before, now) >= STILL {
            self.noticed.set(Some(now.0));
        }
    }

    /// How long ago this VM noticed that it had stood still.
    pub(super) fn ago(&self) -> Option<Duration> {
        self.noticed.get().map(|noticed| noticed.elapsed())
    }
}

/// The time between two looks by the clock by which more has passed.
pub(super) fn since(before: (Instant, u64), now: (Instant, u64)) -> Duration {
    let steady = now.0.saturating_duration_since(before.0);
    steady.max(Duration::from_millis(now.1.saturating_sub(before.1)))
}
