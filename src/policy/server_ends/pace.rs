//! How often one VM writes to the store what it knows of attempts.
//!
//! Load that it answers: many requests fail at once at all VMs, while the store takes a bounded number of writes from all of
//! them together.

use std::time::Duration;
use tokio::time::Instant;

/// Part of the store's writes that the records of attempts of all VMs may use.
const SHARE: f64 = 0.25;
/// Writes that a VM may make at once after a calm time.
const BURST: f64 = 8.0;

/// Spaces out the writes of one VM.
///
/// ```
/// use std::time::Duration;
/// use tokio::time::Instant;
/// use vanillatrail::policy::server_ends::WritePace;
/// let (mut pace, now) = (WritePace::default(), Instant::now());
/// for _ in 0..8 {
///     assert_eq!(pace.take(now, 2.0), Duration::ZERO);
/// }
/// assert_eq!(pace.take(now, 2.0), Duration::from_millis(500));
/// ```
#[derive(Debug, Default)]
pub struct WritePace {
    /// When the writes so far are made up for.
    due: Option<Instant>,
}

impl WritePace {
    /// Writes a second of one of `vms` VMs, each of `calls` calls, at a store that takes this many calls a second.
    #[must_use]
    pub fn rate(store_writes: u64, calls: usize, vms: usize) -> f64 {
        SHARE * store_writes as f64 / (calls.max(1) * vms.max(1)) as f64
    }

    /// Takes one write, at `rate` writes a second; returns how long it has to wait.
    pub fn take(&mut self, now: Instant, rate: f64) -> Duration {
        let interval = Duration::from_secs_f64(1.0 / rate.max(0.01));
        let due = self.due.map_or(now, |due| due.max(now)) + interval;
        self.due = Some(due);
        let allowed = now + interval.mul_f64(BURST);
        due.saturating_duration_since(allowed)
    }
}
