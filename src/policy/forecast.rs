//! The owner's side of the policy: what its programs still need, and which of them may start.

use super::admit::Gate;
use super::estimate::{Estimator, Progress, Remaining};
use super::pace::Rates;
use crate::id::{Class, Program};
use std::collections::HashMap;
use std::time::Duration;
use tokio::time::Instant;

/// The quantile of what remains that slack counts with.
const QUANTILE: f64 = 0.6;
/// Share of the target that a program of an unknown class is taken to need.
const UNKNOWN: f64 = 0.3;
/// The most that it is taken to need.
const UNKNOWN_MOST: Duration = Duration::from_secs(30);
/// Share of the remaining time past which a program is taken as late.
const LATE: f64 = 0.7;
/// Weight of the newest pause in the mean of a class.
const NEWEST: f64 = 0.05;

/// What the forecast is told of a program that starts.
#[derive(Debug, Clone)]
pub struct Start {
    /// Its class.
    pub class: Class,
    /// The program that spawned it.
    pub parent: Option<Program>,
    /// The target of the class.
    pub target: Duration,
    /// When the program that a caller opened should have ended.
    pub deadline: Instant,
    /// Whether a caller waits for the end.
    pub waiting: bool,
    /// Model calls that it has made, when it is met again after a takeover.
    pub answers: usize,
}

/// How urgent the next call of a program is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Urgency {
    /// Time left less the estimate of what remains; below zero when it is late.
    pub slack_ms: i64,
    /// The estimate of what remains.
    pub remaining_ms: u64,
}

#[derive(Debug)]
struct Live {
    start: Start,
    track: Progress,
    answered: Option<Instant>,
}

/// Programs under way and what is learned from them.
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
    gate: Gate,
    rates: Option<Rates>,
    live: HashMap<Program, Live>,
    pauses: HashMap<Class, f64>,
}

impl Forecast {
    /// Takes in what the dispatcher of the pool has measured.
    pub fn rates(&mut self, rates: Rates) {
        self.rates = Some(rates);
    }

    /// Whether a program may start, where `share` of the pool's capacity is for its owner.
    ///
    /// # Errors
    /// The time to come back.
    pub fn admit(&mut self, now: Instant, start: &Start, share: f64) -> Result<(), Duration> {
        let Some(rates) = self.rates else {
            return Ok(());
        };
        if start.parent.is_some() || !start.waiting {
            return Ok(());
        }
        let work_ms = self.rest(start, start.answers).work_ms;
        let capacity = rates.capacity * share;
        self.gate.admit(now, start.deadline, work_ms, capacity)
    }

    /// A program has started, or is met for the first time after a takeover.
    pub fn start(&mut self, now: Instant, program: Program, start: Start) {
        let track = Progress::resumed_after(start.answers);
        let live = Live {
            start,
            track,
            answered: None,
        };
        self.live.insert(program, live);
        self.promise(now, program);
    }

    /// Programs that are known here.
    #[must_use]
    pub fn len(&self) -> usize {
        self.live.len()
    }

    /// Whether no program is known here.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.live.is_empty()
    }

    /// Drops the programs that are no longer run here, without learning from them.
    pub fn keep(&mut self, stays: impl Fn(Program) -> bool) {
        let gone: Vec<Program> = self
            .live
            .keys()
            .copied()
            .filter(|program| !stays(*program))
            .collect();
        for program in gone {
            self.live.remove(&program);
            self.gate.drop(program);
        }
    }

    /// Whether the program is known here.
    #[must_use]
    pub fn knows(&self, program: Program) -> bool {
        self.live.contains_key(&program)
    }

    /// How urgent the next call of a program is; none for a program that is not known.
    pub fn urgency(&mut self, now: Instant, program: Program) -> Option<Urgency> {
        self.resume(now, program);
        let rest = self.whole(program)?;
        let root = self.root(program);
        self.promise(now, root);
        let start = &self.live.get(&root)?.start;
        let left = start.deadline.saturating_duration_since(now).as_secs_f64()
            - now.saturating_duration_since(start.deadline).as_secs_f64();
        let slack = left - rest.time.as_secs_f64();
        if start.waiting && slack < -LATE * rest.time.as_secs_f64() {
            self.gate.late(root);
        }
        #[expect(clippy::cast_possible_truncation, reason = "milliseconds")]
        let slack_ms = (slack * 1000.0) as i64;
        Some(Urgency {
            slack_ms,
            remaining_ms: u64::try_from(rest.time.as_millis()).unwrap_or(u64::MAX),
        })
    }

    /// An engine has answered after `took`, with `fresh` tokens of prompt that were not cached.
    pub fn answered(
        &mut self,
        now: Instant,
        program: Program,
        took: Duration,
        fresh: u64,
        generated: u64,
    ) {
        let work = self
            .rates
            .map_or(0.0, |rates| rates.work_ms(fresh, generated));
        let root = self.root(program);
        let Some(live) = self.live.get_mut(&program) else {
            return;
        };
        live.track.record_answer(took, work);
        live.answered = Some(now);
        if root != program
            && let Some(live) = self.live.get_mut(&root)
        {
            live.track.add_work(work);
        }
    }

    /// How long programs of this one's class stay away from the engines between two calls.
    #[must_use]
    pub fn pause(&self, program: Program) -> Duration {
        let live = self.live.get(&program);
        let mean = live.and_then(|live| self.pauses.get(&live.start.class));
        Duration::from_secs_f64(mean.copied().unwrap_or(1.0))
    }

    /// A program has ended; `whole` when it ended by itself, so that its shape is worth learning.
    pub fn ended(&mut self, now: Instant, program: Program, whole: bool) {
        let Some(Live { start, track, .. }) = self.live.remove(&program) else {
            return;
        };
        if whole {
            self.estimator.learn(&start.class, &track);
        }
        if start.parent.is_some() {
            return;
        }
        if start.waiting {
            self.gate.ended(program, now <= start.deadline);
        } else {
            self.gate.drop(program);
        }
    }

    fn resume(&mut self, now: Instant, program: Program) {
        let Some(live) = self.live.get_mut(&program) else {
            return;
        };
        if let Some(since) = live.answered.take() {
            let took = now.saturating_duration_since(since);
            live.track.record_external(took);
            let pause = self.pauses.entry(live.start.class.clone()).or_insert(1.0);
            *pause += NEWEST * (took.as_secs_f64() - *pause);
        }
    }

    fn rest(&self, start: &Start, answers: usize) -> Remaining {
        let known = self.estimator.remaining(&start.class, answers, QUANTILE);
        known.unwrap_or_else(|| Remaining {
            time: start.target.mul_f64(UNKNOWN).min(UNKNOWN_MOST),
            work_ms: 0.0,
        })
    }

    /// What remains of a program and of those that wait for it.
    fn whole(&self, program: Program) -> Option<Remaining> {
        let live = self.live.get(&program)?;
        let mut rest = self.rest(&live.start, live.track.answers());
        if let Some(above) = live.start.parent.and_then(|parent| self.whole(parent)) {
            rest.time += above.time;
            rest.work_ms += above.work_ms;
        }
        Some(rest)
    }

    fn root(&self, program: Program) -> Program {
        let parent = self.live.get(&program).and_then(|live| live.start.parent);
        match parent {
            Some(parent) if self.live.contains_key(&parent) => self.root(parent),
            _ => program,
        }
    }

    fn promise(&mut self, now: Instant, program: Program) {
        let Some(live) = self.live.get(&program) else {
            return;
        };
        if live.start.parent.is_none() {
            let deadline = live.start.deadline;
            let work_ms = self.rest(&live.start, live.track.answers()).work_ms;
            self.gate.promise(now, program, deadline, work_ms);
        }
    }
}
