//! Whether a program may start: refused at once when the engines cannot finish it in time.

use crate::id::Program;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;
use tokio::time::Instant;

/// Width of the first slots of demand, in milliseconds.
const SLOT_MS: i64 = 1000;
/// Share of the capacity that is promised at first.
const START: f64 = 0.9;
/// The bounds of that share.
const SHARE: (f64, f64) = (0.2, 1.3);
/// What a program that made its target adds to the share.
const GAIN: f64 = 0.0006;
/// What one that missed it takes away.
const LOSS: f64 = 0.02;
/// The longest time to come back that is told.
const LONGEST: Duration = Duration::from_mins(10);
/// The shortest one.
const SHORTEST: Duration = Duration::from_millis(500);

#[derive(Debug, Clone, Copy)]
struct Promise {
    slot: i64,
    work_ms: f64,
    late: bool,
}

/// The engine time promised to programs under way, by the time when it is due.
///
/// A program is admitted when, for every deadline from its own on, the work due by then fits into
/// a share of the capacity until then. The share is corrected by how many admitted programs make
/// their target.
///
/// ```
/// use std::time::Duration;
/// use tokio::time::Instant;
/// use vanillatrail::id::{Program, Shard};
/// use vanillatrail::policy::admit::Gate;
/// let mut gate = Gate::default();
/// let now = Instant::now();
/// let by = now + Duration::from_secs(10);
/// assert!(gate.admit(now, by, 1_000.0, 1.0).is_ok());
/// gate.promise(now, Program::new(Shard(0), 1), by, 8_500.0);
/// assert!(gate.admit(now, by, 1_000.0, 1.0).is_err());
/// ```
#[derive(Debug)]
pub struct Gate {
    promises: HashMap<Program, Promise>,
    slots: BTreeMap<i64, f64>,
    share: f64,
    epoch: Option<Instant>,
}

impl Default for Gate {
    fn default() -> Self {
        Self {
            promises: HashMap::new(),
            slots: BTreeMap::new(),
            share: START,
            epoch: None,
        }
    }
}

impl Gate {
    /// Whether a program with `work_ms` of engine time due by `deadline` fits beside those under
    /// way, where the engines give `capacity` of engine time in each unit of time.
    ///
    /// # Errors
    /// The time after which it would fit, if nothing else came.
    pub fn admit(
        &mut self,
        now: Instant,
        deadline: Instant,
        work_ms: f64,
        capacity: f64,
    ) -> Result<(), Duration> {
        let clock = self.clock(now);
        let slot = slot(clock, self.clock(deadline));
        let rate = (capacity * self.share).max(0.001);
        let mut due = work_ms;
        let mut worst: f64 = due - rate * (self.clock(deadline) - clock) as f64;
        for (at, work) in &self.slots {
            due += work;
            if *at >= slot {
                let until = (at - clock).max(1) as f64;
                worst = worst.max(due - rate * until);
            }
        }
        if worst <= 0.0 {
            return Ok(());
        }
        let wait = Duration::from_secs_f64(worst / rate / 1000.0);
        Err(wait.clamp(SHORTEST, LONGEST))
    }

    /// Notes what a program under way still needs, and by when; replaces what was noted before.
    pub fn promise(&mut self, now: Instant, program: Program, deadline: Instant, work_ms: f64) {
        let late = self.promises.get(&program).is_some_and(|old| old.late);
        self.drop(program);
        let slot = slot(self.clock(now), self.clock(deadline));
        *self.slots.entry(slot).or_default() += work_ms;
        let promise = Promise {
            slot,
            work_ms,
            late,
        };
        self.promises.insert(program, promise);
    }

    /// A program is seen to miss its target. Learned at once, since its end may be far off.
    pub fn late(&mut self, program: Program) {
        if let Some(promise) = self.promises.get_mut(&program)
            && !promise.late
        {
            promise.late = true;
            self.learn(-LOSS);
        }
    }

    /// A program has ended, or is no longer waited for.
    pub fn drop(&mut self, program: Program) {
        let Some(Promise { slot, work_ms, .. }) = self.promises.remove(&program) else {
            return;
        };
        if let Some(work) = self.slots.get_mut(&slot) {
            *work -= work_ms;
            if *work <= 0.001 {
                self.slots.remove(&slot);
            }
        }
    }

    /// Learns from an admitted program that has ended.
    pub fn ended(&mut self, program: Program, in_target: bool) {
        if in_target {
            self.learn(GAIN);
        } else {
            self.late(program);
        }
        self.drop(program);
    }

    fn learn(&mut self, change: f64) {
        self.share = (self.share + change).clamp(SHARE.0, SHARE.1);
    }

    /// The share of the capacity that is promised.
    #[must_use]
    pub const fn share(&self) -> f64 {
        self.share
    }

    fn clock(&mut self, at: Instant) -> i64 {
        let epoch = *self.epoch.get_or_insert(at);
        let since = at.saturating_duration_since(epoch).as_millis();
        i64::try_from(since).unwrap_or(i64::MAX)
    }
}

/// The end of the slot of a deadline: slots are wider the further away they are, so that their
/// number stays small.
fn slot(now: i64, deadline: i64) -> i64 {
    let away = (deadline - now).max(SLOT_MS);
    let width = (away / 16).max(SLOT_MS);
    let width = SLOT_MS * (width / SLOT_MS).max(1);
    #[expect(clippy::cast_sign_loss, reason = "the width is positive")]
    let width = (width as u64).next_power_of_two().cast_signed();
    (deadline / width + 1) * width
}
