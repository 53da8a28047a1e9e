//! Admission control: refuses a new program at once if the engines cannot finish it in time.

use crate::id::Program;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;
use tokio::time::Instant;

/// Minimum width of the intervals by which deadlines are grouped.
const MIN_INTERVAL_MS: i64 = 1000;
/// Initial share of the capacity that may be reserved.
const INITIAL_SHARE: f64 = 0.9;
/// Minimum and maximum of the share of the capacity that may be reserved.
const SHARE_BOUNDS: (f64, f64) = (0.2, 1.3);
/// Added to the share when an admitted program meets its target.
const SHARE_INCREASE: f64 = 0.0006;
/// Subtracted from the share when an admitted program misses its target.
const SHARE_DECREASE: f64 = 0.02;
const MAX_RETRY_AFTER: Duration = Duration::from_mins(10);
const MIN_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Engine time reserved for one program.
#[derive(Debug, Clone, Copy)]
struct Reservation {
    /// End of the interval that contains the deadline, in milliseconds since `Admission::epoch`.
    interval_end: i64,
    work_ms: f64,
    /// Whether the program has been counted as missing its target.
    is_late: bool,
}

/// Engine time reserved for programs in progress, by deadline.
///
/// A program is admitted if, for its own deadline and every later one, the work due by then fits into a share of the
/// capacity until then. The share rises when admitted programs meet their targets and falls when they miss them.
///
/// ```
/// use std::time::Duration;
/// use tokio::time::Instant;
/// use vanillatrail::id::{Program, Shard};
/// use vanillatrail::policy::admit::Admission;
/// let mut admission = Admission::default();
/// let now = Instant::now();
/// let by = now + Duration::from_secs(10);
/// assert!(admission.admit(now, by, 1_000.0, 1.0).is_ok());
/// admission.reserve(now, Program::new(Shard(0), 1), by, 8_500.0);
/// assert!(admission.admit(now, by, 1_000.0, 1.0).is_err());
/// ```
#[derive(Debug)]
pub struct Admission {
    reservations: HashMap<Program, Reservation>,
    /// Reserved engine time in milliseconds, by the end of the interval that contains the deadline.
    work_by_interval: BTreeMap<i64, f64>,
    share: f64,
    /// Time of the first call, from which intervals are counted.
    epoch: Option<Instant>,
}

impl Default for Admission {
    fn default() -> Self {
        Self {
            reservations: HashMap::new(),
            work_by_interval: BTreeMap::new(),
            share: INITIAL_SHARE,
            epoch: None,
        }
    }
}

impl Admission {
    /// Checks whether a program that needs `work_ms` of engine time by `deadline` fits beside those in progress, where
    /// `capacity` is the engine time that the engines provide per unit of wall-clock time.
    ///
    /// # Errors
    /// If it does not fit, the time after which it would if no other program were admitted.
    pub fn admit(
        &mut self,
        now: Instant,
        deadline: Instant,
        work_ms: f64,
        capacity: f64,
    ) -> Result<(), Duration> {
        let now_ms = self.millis(now);
        let interval_end = interval_end(now_ms, self.millis(deadline));
        let rate = (capacity * self.share).max(0.001);
        let mut due_ms = work_ms;
        let mut max_excess_ms: f64 = due_ms - rate * (self.millis(deadline) - now_ms) as f64;
        for (end, work) in &self.work_by_interval {
            due_ms += work;
            if *end >= interval_end {
                let left_ms = (end - now_ms).max(1) as f64;
                max_excess_ms = max_excess_ms.max(due_ms - rate * left_ms);
            }
        }
        if max_excess_ms <= 0.0 {
            return Ok(());
        }
        let wait = Duration::from_secs_f64(max_excess_ms / rate / 1000.0);
        Err(wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER))
    }

    /// Reserves the engine time that a program in progress still needs. Replaces its previous reservation.
    pub fn reserve(&mut self, now: Instant, program: Program, deadline: Instant, work_ms: f64) {
        let is_late = self
            .reservations
            .get(&program)
            .is_some_and(|old| old.is_late);
        self.release(program);
        let interval_end = interval_end(self.millis(now), self.millis(deadline));
        *self.work_by_interval.entry(interval_end).or_default() += work_ms;
        let reservation = Reservation {
            interval_end,
            work_ms,
            is_late,
        };
        self.reservations.insert(program, reservation);
    }

    /// Notes that a program is going to miss its target. The share falls at once, since the program may run on for
    /// long. Repeated calls for a program have no effect.
    pub fn mark_late(&mut self, program: Program) {
        if let Some(reservation) = self.reservations.get_mut(&program)
            && !reservation.is_late
        {
            reservation.is_late = true;
            self.adjust_share(-SHARE_DECREASE);
        }
    }

    /// Releases the reservation of a program, without learning from it.
    pub fn release(&mut self, program: Program) {
        let Some(Reservation {
            interval_end,
            work_ms,
            ..
        }) = self.reservations.remove(&program)
        else {
            return;
        };
        if let Some(work) = self.work_by_interval.get_mut(&interval_end) {
            *work -= work_ms;
            if *work <= 0.001 {
                self.work_by_interval.remove(&interval_end);
            }
        }
    }

    /// Adjusts the share by an admitted program that has ended, and releases its reservation.
    pub fn record_end(&mut self, program: Program, in_target: bool) {
        if in_target {
            self.adjust_share(SHARE_INCREASE);
        } else {
            self.mark_late(program);
        }
        self.release(program);
    }

    fn adjust_share(&mut self, change: f64) {
        self.share = (self.share + change).clamp(SHARE_BOUNDS.0, SHARE_BOUNDS.1);
    }

    /// The share of the capacity that may be reserved.
    #[must_use]
    pub const fn share(&self) -> f64 {
        self.share
    }

    fn millis(&mut self, at: Instant) -> i64 {
        let epoch = *self.epoch.get_or_insert(at);
        let elapsed = at.saturating_duration_since(epoch).as_millis();
        i64::try_from(elapsed).unwrap_or(i64::MAX)
    }
}

/// End of the interval that contains `deadline_ms`. Intervals are wider the further away they are, so that their number
/// stays small.
fn interval_end(now_ms: i64, deadline_ms: i64) -> i64 {
    let left_ms = (deadline_ms - now_ms).max(MIN_INTERVAL_MS);
    let width = (left_ms / 16).max(MIN_INTERVAL_MS);
    let width = MIN_INTERVAL_MS * (width / MIN_INTERVAL_MS).max(1);
    #[expect(clippy::cast_sign_loss, reason = "the width is positive")]
    let width = (width as u64).next_power_of_two().cast_signed();
    (deadline_ms / width + 1) * width
}
