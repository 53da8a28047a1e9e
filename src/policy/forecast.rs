//! Estimates what the programs of an owner still need, and decides which programs may start.

use super::admit::Admission;
use super::estimate::{Estimator, Progress, Remaining};
use super::latency::Rates;
use crate::id::{Class, Program};
use std::collections::HashMap;
use std::time::Duration;
use tokio::time::Instant;

/// Quantile of the remaining time that slack is computed from.
const REMAINING_QUANTILE: f64 = 0.6;
/// Assumed remaining time of programs of an unknown class, as a fraction of the target.
const PRIOR_TARGET_FRACTION: f64 = 0.3;
/// Maximum of the remaining time assumed for programs of an unknown class.
const MAX_PRIOR_REMAINING: Duration = Duration::from_secs(30);
/// A program counts as late when its slack is negative by more than this fraction of its remaining time.
const LATE_FRACTION: f64 = 0.7;
/// Weight of the newest pause in the moving average of a class.
const SAMPLE_WEIGHT: f64 = 0.05;

/// A program that starts, or that this owner first sees after a takeover.
#[derive(Debug, Clone)]
pub struct Start {
    /// Class of the program.
    pub class: Class,
    /// The program that spawned it; `None` if a caller opened it.
    pub parent: Option<Program>,
    /// Target duration of the class.
    pub target: Duration,
    /// When the program should have ended. Sub-agents use that of their topmost tracked ancestor.
    pub deadline: Instant,
    /// Whether a caller waits for the result; programs that nobody waits for are always admitted.
    pub waiting: bool,
    /// Model calls made so far; above 0 only after a takeover.
    pub answers: usize,
}

/// How urgent the next call of a program is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Urgency {
    /// Time until the deadline minus the estimated remaining time; negative if the program is expected to be late.
    pub slack_ms: i64,
    /// Estimated remaining time of the program and of those that wait for it, in milliseconds.
    pub remaining_ms: u64,
}

#[derive(Debug)]
struct ActiveProgram {
    start: Start,
    track: Progress,
    /// When its last model call ended; `None` before the first and while a call is in flight.
    last_answer: Option<Instant>,
}

/// Tracks the programs in progress, and learns how long programs of each class take.
///
/// ```
/// use std::time::Duration;
/// use tokio::time::Instant;
/// use vanillatrail::id::{Program, Shard};
/// use vanillatrail::policy::forecast::{Forecast, Start};
/// let (mut forecast, now) = (Forecast::default(), Instant::now());
/// let program = Program::new(Shard(0), 1);
/// let target = Duration::from_secs(10);
/// let start = Start {
///     class: "quick".parse().unwrap(),
///     parent: None,
///     target,
///     deadline: now + target,
///     waiting: true,
///     answers: 0,
/// };
/// forecast.admit(now, &start, 1.0).unwrap();
/// forecast.start(now, program, start);
/// assert_eq!(forecast.urgency(now, program).unwrap().slack_ms, 7000);
/// ```
#[derive(Debug, Default)]
pub struct Forecast {
    estimator: Estimator,
    admission: Admission,
    /// `None` until the dispatcher has reported them.
    rates: Option<Rates>,
    programs: HashMap<Program, ActiveProgram>,
    /// Mean time between two model calls, in seconds.
    pauses: HashMap<Class, f64>,
}

impl Forecast {
    /// Stores the newest rates reported by the dispatcher of the pool.
    pub fn set_rates(&mut self, rates: Rates) {
        self.rates = Some(rates);
    }

    /// Checks whether a program may start, where `share` is this owner's fraction of the pool's capacity.
    ///
    /// # Errors
    /// If it may not, the time after which to retry.
    pub fn admit(&mut self, now: Instant, start: &Start, share: f64) -> Result<(), Duration> {
        let Some(rates) = self.rates else {
            return Ok(());
        };
        if start.parent.is_some() || !start.waiting {
            return Ok(());
        }
        let work_ms = self.remaining(start, start.answers).work_ms;
        let capacity = rates.capacity * share;
        self.admission.admit(now, start.deadline, work_ms, capacity)
    }

    /// Starts to track a program that has started, or that is first seen after a takeover.
    pub fn start(&mut self, now: Instant, program: Program, start: Start) {
        let track = Progress::resumed_after(start.answers);
        let active = ActiveProgram {
            start,
            track,
            last_answer: None,
        };
        self.programs.insert(program, active);
        self.reserve(now, program);
    }

    /// Number of tracked programs.
    #[must_use]
    pub fn len(&self) -> usize {
        self.programs.len()
    }

    /// Whether no program is tracked.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.programs.is_empty()
    }

    /// Removes the programs for which `is_kept` returns false, without learning from them.
    pub fn retain(&mut self, is_kept: impl Fn(Program) -> bool) {
        let removed: Vec<Program> = self
            .programs
            .keys()
            .copied()
            .filter(|program| !is_kept(*program))
            .collect();
        for program in removed {
            self.programs.remove(&program);
            self.admission.release(program);
        }
    }

    /// Whether the program is tracked.
    #[must_use]
    pub fn contains(&self, program: Program) -> bool {
        self.programs.contains_key(&program)
    }

    /// Urgency of the next model call of a program; `None` if the program is not tracked. Also records
    /// the time since its previous call.
    pub fn urgency(&mut self, now: Instant, program: Program) -> Option<Urgency> {
        self.end_pause(now, program);
        let remaining = self.remaining_with_ancestors(program)?;
        let root = self.root(program);
        self.reserve(now, root);
        let start = &self.programs.get(&root)?.start;
        let left_secs = start.deadline.saturating_duration_since(now).as_secs_f64()
            - now.saturating_duration_since(start.deadline).as_secs_f64();
        let slack_secs = left_secs - remaining.time.as_secs_f64();
        if start.waiting && slack_secs < -LATE_FRACTION * remaining.time.as_secs_f64() {
            self.admission.mark_late(root);
        }
        #[expect(clippy::cast_possible_truncation, reason = "milliseconds")]
        let slack_ms = (slack_secs * 1000.0) as i64;
        Some(Urgency {
            slack_ms,
            remaining_ms: u64::try_from(remaining.time.as_millis()).unwrap_or(u64::MAX),
        })
    }

    /// Records a model call that took `duration`, with `uncached` prompt tokens and `generated` tokens of output.
    pub fn record_answer(
        &mut self,
        now: Instant,
        program: Program,
        duration: Duration,
        uncached: u64,
        generated: u64,
    ) {
        let work_ms = self
            .rates
            .map_or(0.0, |rates| rates.work_ms(uncached, generated));
        let root = self.root(program);
        let Some(active) = self.programs.get_mut(&program) else {
            return;
        };
        active.track.record_answer(duration, work_ms);
        active.last_answer = Some(now);
        if root != program
            && let Some(active) = self.programs.get_mut(&root)
        {
            active.track.add_work(work_ms);
        }
    }

    /// Mean time between two model calls for programs of the same class; 1 s until one has been measured.
    #[must_use]
    pub fn mean_pause(&self, program: Program) -> Duration {
        let active = self.programs.get(&program);
        let mean = active.and_then(|active| self.pauses.get(&active.start.class));
        Duration::from_secs_f64(mean.copied().unwrap_or(1.0))
    }

    /// Stops tracking a program that has ended. Its class learns from it if `completed`, that is if it ended by itself.
    pub fn record_end(&mut self, now: Instant, program: Program, completed: bool) {
        let Some(ActiveProgram { start, track, .. }) = self.programs.remove(&program) else {
            return;
        };
        if completed {
            self.estimator.learn(&start.class, &track);
        }
        if start.parent.is_some() {
            return;
        }
        if start.waiting {
            self.admission.record_end(program, now <= start.deadline);
        } else {
            self.admission.release(program);
        }
    }

    /// Records the time since the program's last answer, if it has not been recorded yet.
    fn end_pause(&mut self, now: Instant, program: Program) {
        let Some(active) = self.programs.get_mut(&program) else {
            return;
        };
        if let Some(since) = active.last_answer.take() {
            let pause = now.saturating_duration_since(since);
            active.track.record_external(pause);
            let mean = self.pauses.entry(active.start.class.clone()).or_insert(1.0);
            *mean += SAMPLE_WEIGHT * (pause.as_secs_f64() - *mean);
        }
    }

    fn remaining(&self, start: &Start, answers: usize) -> Remaining {
        let learned = self
            .estimator
            .remaining(&start.class, answers, REMAINING_QUANTILE);
        learned.unwrap_or_else(|| Remaining {
            time: start
                .target
                .mul_f64(PRIOR_TARGET_FRACTION)
                .min(MAX_PRIOR_REMAINING),
            work_ms: 0.0,
        })
    }

    /// What remains of a program and of its ancestors, which wait for it.
    fn remaining_with_ancestors(&self, program: Program) -> Option<Remaining> {
        let active = self.programs.get(&program)?;
        let mut remaining = self.remaining(&active.start, active.track.answers());
        if let Some(ancestors) = active
            .start
            .parent
            .and_then(|parent| self.remaining_with_ancestors(parent))
        {
            remaining.time += ancestors.time;
            remaining.work_ms += ancestors.work_ms;
        }
        Some(remaining)
    }

    /// The topmost tracked ancestor of a program.
    fn root(&self, program: Program) -> Program {
        let parent = self
            .programs
            .get(&program)
            .and_then(|active| active.start.parent);
        match parent {
            Some(parent) if self.programs.contains_key(&parent) => self.root(parent),
            _ => program,
        }
    }

    /// Updates the engine time reserved for a program without a parent; does nothing for sub-agents.
    fn reserve(&mut self, now: Instant, program: Program) {
        let Some(active) = self.programs.get(&program) else {
            return;
        };
        if active.start.parent.is_none() {
            let deadline = active.start.deadline;
            let work_ms = self
                .remaining(&active.start, active.track.answers())
                .work_ms;
            self.admission.reserve(now, program, deadline, work_ms);
        }
    }
}
