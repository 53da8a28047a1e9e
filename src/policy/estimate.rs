//! Estimates of the remaining time and work of a program, learned per class.
//!
//! The number of turns of a program is not known in advance. What remains is estimated from earlier
//! programs of the class after the same number of answers.

use hdrhistogram::Histogram;
use std::collections::HashMap;
use std::time::Duration;

/// Stages of a single answer; each later stage is twice as long as the one before.
const SINGLE_ANSWER_STAGES: usize = 16;
/// Stages per class.
const STAGE_COUNT: usize = SINGLE_ANSWER_STAGES + 12;
/// Programs per histogram. The last two histograms are kept, so that older programs fade out.
const PROGRAMS_PER_HISTOGRAM: u64 = 400;
/// Upper bound of the histograms, in milliseconds.
const MAX_REMAINING_MS: u64 = 7 * 24 * 3_600_000;
/// Weight of the newest program in the mean remaining work.
const EWMA_WEIGHT: f64 = 0.05;

fn stage(answers: usize) -> usize {
    if answers < SINGLE_ANSWER_STAGES {
        return answers;
    }
    let doublings = (answers / SINGLE_ANSWER_STAGES).ilog2() as usize;
    (SINGLE_ANSWER_STAGES + doublings).min(STAGE_COUNT - 1)
}

/// Time and work that a program has spent so far.
///
/// ```
/// use std::time::Duration;
/// use vanillatrail::policy::estimate::Progress;
/// let mut progress = Progress::default();
/// progress.record_answer(Duration::from_secs(2), 300.0);
/// assert_eq!(progress.answers(), 1);
/// ```
#[derive(Debug, Clone, Default)]
pub struct Progress {
    /// Time in engines and tools, without queue time.
    active_time: Duration,
    work_ms: f64,
    /// Stage, active time and engine time at the start of each stage.
    stage_starts: Vec<(usize, Duration, f64)>,
    answers: usize,
}

impl Progress {
    /// A program taken over after this many answers, with unknown time and work.
    #[must_use]
    pub fn resumed_after(answers: usize) -> Self {
        Self {
            answers,
            ..Self::default()
        }
    }

    /// Adds an answer that took `took` and cost `work_ms` of engine time.
    pub fn record_answer(&mut self, took: Duration, work_ms: f64) {
        self.record_stage();
        self.active_time += took;
        self.work_ms += work_ms;
        self.answers += 1;
    }

    /// Adds time spent outside the engines, as in a tool call.
    pub fn record_external(&mut self, took: Duration) {
        self.active_time += took;
    }

    /// Adds engine time spent by sub-agents.
    pub fn add_work(&mut self, work_ms: f64) {
        self.work_ms += work_ms;
    }

    /// Answers so far.
    #[must_use]
    pub const fn answers(&self) -> usize {
        self.answers
    }

    /// Engine time spent so far, in milliseconds.
    #[must_use]
    pub const fn work_ms(&self) -> f64 {
        self.work_ms
    }

    fn record_stage(&mut self) {
        let stage = stage(self.answers);
        if self
            .stage_starts
            .last()
            .is_none_or(|start| start.0 != stage)
        {
            self.stage_starts
                .push((stage, self.active_time, self.work_ms));
        }
    }
}

#[derive(Debug)]
struct Stage {
    /// Remaining time in milliseconds.
    current: Histogram<u64>,
    previous: Option<Histogram<u64>>,
    /// Moving average of the remaining engine time, in milliseconds.
    mean_work_ms: f64,
}

impl Stage {
    fn new() -> Self {
        let current =
            Histogram::new_with_bounds(1, MAX_REMAINING_MS, 2).expect("the bounds are constant");
        Self {
            current,
            previous: None,
            mean_work_ms: 0.0,
        }
    }

    fn record(&mut self, remaining: Duration, work_ms: f64) {
        let is_first = self.current.is_empty() && self.previous.is_none();
        let weight = if is_first { 1.0 } else { EWMA_WEIGHT };
        self.mean_work_ms += weight * (work_ms - self.mean_work_ms);
        let remaining = u64::try_from(remaining.as_millis()).unwrap_or(MAX_REMAINING_MS);
        self.current
            .saturating_record(remaining.clamp(1, MAX_REMAINING_MS));
        if self.current.len() >= PROGRAMS_PER_HISTOGRAM {
            let empty = Self::new().current;
            self.previous = Some(std::mem::replace(&mut self.current, empty));
        }
    }

    fn quantile(&self, quantile: f64) -> u64 {
        let current = self.current.value_at_quantile(quantile) as f64;
        let Some(previous) = &self.previous else {
            return self.current.value_at_quantile(quantile);
        };
        let weight = self.current.len() as f64 / PROGRAMS_PER_HISTOGRAM as f64;
        let previous = previous.value_at_quantile(quantile) as f64;
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "milliseconds"
        )]
        let blended = (current * weight + previous * (1.0 - weight)) as u64;
        blended
    }
}

/// What remains of a program.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Remaining {
    /// Time in engines and tools, without queue time.
    pub time: Duration,
    /// Engine time, in milliseconds.
    pub work_ms: f64,
}

/// Estimates of all classes.
///
/// ```
/// use std::time::Duration;
/// use vanillatrail::policy::estimate::{Estimator, Progress};
/// let mut estimator = Estimator::default();
/// let class = "quick".parse().unwrap();
/// let mut progress = Progress::default();
/// progress.record_answer(Duration::from_secs(2), 300.0);
/// progress.record_answer(Duration::from_secs(3), 400.0);
/// estimator.learn(&class, &progress);
/// let remaining = estimator.remaining(&class, 1, 0.5).unwrap();
/// assert!(remaining.time.as_millis().abs_diff(3000) < 50);
/// ```
#[derive(Debug, Default)]
pub struct Estimator {
    classes: HashMap<crate::id::Class, Vec<Option<Stage>>>,
}

impl Estimator {
    /// Learns from a program that ended by itself.
    pub fn learn(&mut self, class: &crate::id::Class, progress: &Progress) {
        let empty = || (0..STAGE_COUNT).map(|_| None).collect();
        let stages = self.classes.entry(class.clone()).or_insert_with(empty);
        for (stage, active_time, work_ms) in &progress.stage_starts {
            let remaining = progress.active_time.saturating_sub(*active_time);
            let stage = stages[*stage].get_or_insert_with(Stage::new);
            stage.record(remaining, progress.work_ms - work_ms);
        }
    }

    /// What remains of a program after this many answers. Its time is the given quantile over
    /// earlier programs of the class; none if there were no such programs.
    #[must_use]
    pub fn remaining(
        &self,
        class: &crate::id::Class,
        answers: usize,
        quantile: f64,
    ) -> Option<Remaining> {
        let stages = self.classes.get(class)?;
        // Falls back to the latest earlier stage that has data.
        let nearest = stages[..=stage(answers)].iter().rev().flatten().next()?;
        Some(Remaining {
            time: Duration::from_millis(nearest.quantile(quantile)),
            work_ms: nearest.mean_work_ms,
        })
    }
}
