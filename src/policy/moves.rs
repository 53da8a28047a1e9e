//! Which runs move off an engine that is draining.
//!
//! Answers the load in which engines are replaced while they run requests whose streams may not be resumed: a run that
//! outlasts its engine is lost. A move stops the run for the time of the last part of its memory, so only runs are
//! moved that would not end in time, and few at once, since they share the engine's link.

use serde_json::{Value, json};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Moves in progress at a time for each engine.
const MAX_MOVES: usize = 2;
/// Draining engines remembered.
const MAX_ENGINES: usize = 1024;
/// How long an engine is remembered after it was first seen draining.
const ENGINE_MEMORY: Duration = Duration::from_mins(1);

/// How far a run is.
#[derive(Debug, Clone, Copy)]
pub struct Progress {
    /// Tokens generated so far.
    pub tokens: u64,
    /// Tokens that it is expected to generate; 0 if unknown.
    pub expected_tokens: u64,
    /// Time since its engine began.
    pub elapsed: Duration,
}

impl Progress {
    /// Expected time until the end, at the speed so far. A run of unknown length is expected to double.
    #[must_use]
    fn rest(&self) -> Duration {
        if self.tokens == 0 {
            return Duration::ZERO;
        }
        let rest = if self.expected_tokens == 0 {
            self.tokens
        } else {
            self.expected_tokens.saturating_sub(self.tokens)
        };
        self.elapsed.mul_f64(rest as f64 / self.tokens as f64)
    }
}

#[derive(Debug)]
struct Engine {
    seen: Instant,
    moving: usize,
}

/// Decides about moves of the runs whose streams one VM serves.
///
/// ```
/// use std::{sync::Arc, time::Duration};
/// use vanillatrail::policy::moves::{Planner, Progress};
/// let (mut planner, engine, now) = (Planner::default(), Arc::from("e1"), tokio::time::Instant::now());
/// let limit = Duration::from_secs(2);
/// let run = |expected_tokens| Progress { tokens: 10, expected_tokens, elapsed: Duration::from_millis(100) };
/// assert!(!planner.start(now, &engine, &run(100), limit));
/// assert!(planner.start(now, &engine, &run(1000), limit));
/// planner.end(&engine);
/// ```
#[derive(Debug, Default)]
pub struct Planner {
    draining: HashMap<Arc<str>, Engine>,
}

impl Planner {
    /// Decides whether a run of a draining engine moves. `limit` is the time that an engine has from when it is seen
    /// draining. [`Planner::end`] must follow a move.
    pub fn start(
        &mut self,
        now: Instant,
        engine: &Arc<str>,
        run: &Progress,
        limit: Duration,
    ) -> bool {
        if !self.draining.contains_key(engine) {
            self.draining
                .retain(|_, engine| engine.moving > 0 || engine.seen + ENGINE_MEMORY > now);
            if self.draining.len() >= MAX_ENGINES {
                return false;
            }
        }
        let seen = Engine {
            seen: now,
            moving: 0,
        };
        let engine = self.draining.entry(Arc::clone(engine)).or_insert(seen);
        let left = (engine.seen + limit).saturating_duration_since(now);
        if engine.moving >= MAX_MOVES || run.rest() <= left {
            return false;
        }
        engine.moving += 1;
        true
    }

    /// Records that a move has succeeded or failed.
    pub fn end(&mut self, engine: &Arc<str>) {
        if let Some(engine) = self.draining.get_mut(engine) {
            engine.moving = engine.moving.saturating_sub(1);
        }
    }

    /// Numbers for the state dump.
    #[must_use]
    pub fn state(&self) -> Value {
        json!({
            "draining": self.draining.len(),
            "moving": self.draining.values().map(|engine| engine.moving).sum::<usize>(),
        })
    }
}
