//! What a program still has to do, learned per class from the programs that have ended.
//!
//! The shape of a program is not known until it runs. What remains is estimated from the programs
//! of its class that had come as far: after as many answers.

use hdrhistogram::Histogram;
use std::collections::HashMap;
use std::time::Duration;

/// Answers up to which each count has estimates of its own; beyond, they double.
const EXACT: usize = 16;
/// Stages of a class.
const STAGES: usize = EXACT + 12;
/// Programs after which the older half of what was learned is dropped.
const GENERATION: u64 = 400;
/// The longest remaining time told apart, in milliseconds.
const LONGEST_MS: u64 = 7 * 24 * 3_600_000;
/// Weight of the newest program in the mean of remaining work.
const NEWEST: f64 = 0.05;

fn stage(answers: usize) -> usize {
    if answers < EXACT {
        return answers;
    }
    let doubled = (answers / EXACT).ilog2() as usize;
    (EXACT + doubled).min(STAGES - 1)
}

/// What a program has done so far, kept by whoever runs it.
///
/// ```
/// use std::time::Duration;
/// use vanillatrail::policy::estimate::Track;
/// let mut track = Track::default();
/// track.answer(Duration::from_secs(2), 300.0);
/// assert_eq!(track.answers(), 1);
/// ```
#[derive(Debug, Clone, Default)]
pub struct Track {
    active: Duration,
    work_ms: f64,
    marks: Vec<(usize, Duration, f64)>,
    answers: usize,
}

impl Track {
    /// A program met again after so many answers, whose past is not known.
    #[must_use]
    pub fn after(answers: usize) -> Self {
        Self {
            answers,
            ..Self::default()
        }
    }

    /// Takes in an answer: how long the engine took, and the engine time that it cost.
    pub fn answer(&mut self, took: Duration, work_ms: f64) {
        self.mark();
        self.active += took;
        self.work_ms += work_ms;
        self.answers += 1;
    }

    /// Takes in time spent outside the engines, as in a tool call.
    pub fn outside(&mut self, took: Duration) {
        self.active += took;
    }

    /// Takes in engine time that sub-agents spent.
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

    fn mark(&mut self) {
        let stage = stage(self.answers);
        if self.marks.last().is_none_or(|mark| mark.0 != stage) {
            self.marks.push((stage, self.active, self.work_ms));
        }
    }
}

#[derive(Debug)]
struct Stage {
    newer: Histogram<u64>,
    older: Option<Histogram<u64>>,
    work_ms: f64,
}

impl Stage {
    fn new() -> Self {
        let newer = Histogram::new_with_bounds(1, LONGEST_MS, 2).expect("the bounds are constant");
        Self {
            newer,
            older: None,
            work_ms: 0.0,
        }
    }

    fn take(&mut self, rest: Duration, work_ms: f64) {
        let first = self.newer.is_empty() && self.older.is_none();
        let weight = if first { 1.0 } else { NEWEST };
        self.work_ms += weight * (work_ms - self.work_ms);
        let rest = u64::try_from(rest.as_millis()).unwrap_or(LONGEST_MS);
        self.newer.saturating_record(rest.clamp(1, LONGEST_MS));
        if self.newer.len() >= GENERATION {
            let fresh = Self::new().newer;
            self.older = Some(std::mem::replace(&mut self.newer, fresh));
        }
    }

    fn quantile(&self, share: f64) -> u64 {
        let newer = self.newer.value_at_quantile(share) as f64;
        let Some(older) = &self.older else {
            return self.newer.value_at_quantile(share);
        };
        let part = self.newer.len() as f64 / GENERATION as f64;
        let older = older.value_at_quantile(share) as f64;
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "milliseconds"
        )]
        let mixed = (newer * part + older * (1.0 - part)) as u64;
        mixed
    }
}

/// What remains of a program.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Rest {
    /// Time in engines and outside, without waiting.
    pub time: Duration,
    /// Engine time, in milliseconds.
    pub work_ms: f64,
}

/// Estimates for every class.
///
/// ```
/// use std::time::Duration;
/// use vanillatrail::policy::estimate::{Estimator, Track};
/// let mut estimator = Estimator::default();
/// let class = "quick".parse().unwrap();
/// let mut track = Track::default();
/// track.answer(Duration::from_secs(2), 300.0);
/// track.answer(Duration::from_secs(3), 400.0);
/// estimator.ended(&class, &track);
/// let rest = estimator.rest(&class, 1, 0.5).unwrap();
/// assert!(rest.time.as_millis().abs_diff(3000) < 50);
/// ```
#[derive(Debug, Default)]
pub struct Estimator {
    classes: HashMap<crate::id::Class, Vec<Option<Stage>>>,
}

impl Estimator {
    /// Learns from a program that has ended by itself.
    pub fn ended(&mut self, class: &crate::id::Class, track: &Track) {
        let fresh = || (0..STAGES).map(|_| None).collect();
        let stages = self.classes.entry(class.clone()).or_insert_with(fresh);
        for (stage, active, work_ms) in &track.marks {
            let rest = track.active.saturating_sub(*active);
            let stage = stages[*stage].get_or_insert_with(Stage::new);
            stage.take(rest, track.work_ms - work_ms);
        }
    }

    /// What remains of a program of this class after so many answers; a share `quantile` of
    /// those seen needed at most this. None before any has been seen.
    #[must_use]
    pub fn rest(&self, class: &crate::id::Class, answers: usize, quantile: f64) -> Option<Rest> {
        let stages = self.classes.get(class)?;
        // A program that has gone further than any before it is taken like those that went
        // furthest.
        let known = stages[..=stage(answers)].iter().rev().flatten().next()?;
        Some(Rest {
            time: Duration::from_millis(known.quantile(quantile)),
            work_ms: known.work_ms,
        })
    }
}
