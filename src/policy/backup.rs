//! Which runs have their memory copied to a second engine while they run, and to which engine.
//!
//! Answers the load in which engines die, flap or are replaced while streams may not be resumed: without a copy, each
//! run on such an engine is lost and its turn starts again. Copies take memory and bandwidth of the engines, so only
//! the runs whose loss costs most get one. Each VM decides about the streams that it serves; the target follows from
//! a hash of the request ID, which spreads the copies of all VMs over the engines without messages.

use crate::id::rendezvous_score;
use serde_json::{Value, json};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Largest share of runs with a copy.
const MAX_SHARE: f64 = 0.25;
/// Copies that may be ordered at once after a time with few.
const MAX_CREDIT: f64 = 4.0;
/// Largest share of an engine's memory that the copies of one VM may hold.
const MAX_MEMORY_SHARE: f64 = 0.1;
/// Wait for an engine that shows a queue. A grant without a queue takes one round trip between VMs.
const QUEUED_WAIT: Duration = Duration::from_millis(50);
/// Pause of new copies after a request had to queue: the engines are then near full.
const PAUSE: Duration = Duration::from_secs(1);
/// How long an engine gets no copies after a failure; longer than the longest ejection of a failing server (4 s).
const FAILURE_MEMORY: Duration = Duration::from_secs(5);
/// How long an engine gets no copies after it was seen full.
const FULL_MEMORY: Duration = Duration::from_millis(600);
/// Prompt tokens that an engine reads in the time in which it generates one: about 80 per millisecond against 3 ms.
const PROMPT_TOKENS_PER_OUTPUT: f64 = 240.0;
/// Slack at which the loss of a run counts double.
const TIGHT_SLACK_MS: f64 = 500.0;
/// Relative change of the threshold with each run.
const THRESHOLD_STEP: f64 = 0.05;
/// Engines remembered as failing or full.
const MAX_AVOIDED: usize = 1024;

/// A run that is about to start.
#[derive(Debug, Clone, Copy)]
pub struct Run<'a> {
    /// Request ID.
    pub id: &'a str,
    /// Tokens of its prompt.
    pub prompt_tokens: u64,
    /// Tokens that it is expected to generate.
    pub output_tokens: u64,
    /// Milliseconds until the deadline of its program; negative if that has passed.
    pub left_ms: i64,
    /// Time that it waited for its engine.
    pub waited: Duration,
    /// Memory of one engine in tokens; 0 if unknown.
    pub engine_tokens: u64,
    /// Address of its engine.
    pub address: SocketAddr,
    /// Zone of its engine.
    pub zone: &'a str,
}

/// An engine that may hold a copy.
#[derive(Debug, Clone, Copy)]
pub struct Candidate<'a> {
    /// Identity of this instance of the engine.
    pub id: &'a Arc<str>,
    /// Address of the engine.
    pub address: SocketAddr,
    /// Zone of the engine.
    pub zone: &'a str,
    /// Whether it is draining.
    pub draining: bool,
}

/// A copy of a run, ordered at an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Copy {
    /// The engine that holds it.
    pub target: Arc<str>,
    /// Tokens that it is expected to hold at the end of the run.
    pub tokens: u64,
}

/// Why a run gets no copy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Skip {
    /// Requests queue for engines.
    Queued,
    /// Other runs are worth more.
    Cheap,
    /// The share of runs with a copy is used up.
    Share,
    /// No engine may hold it.
    NoTarget,
    /// A refused attempt is repeated, and its run was not copied then.
    Repeated,
}

impl Skip {
    /// Name in logs and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Queued => "queued",
            Self::Cheap => "cheap",
            Self::Share => "share",
            Self::NoTarget => "no_target",
            Self::Repeated => "repeated",
        }
    }
}

/// Decides about the copies of the runs whose streams one VM serves.
///
/// ```
/// use std::{sync::Arc, time::Duration};
/// use vanillatrail::policy::backup::{Candidate, Planner, Run};
/// let mut planner = Planner::default();
/// let run = Run {
///     id: "r", prompt_tokens: 1000, output_tokens: 80, left_ms: 900, waited: Duration::ZERO,
///     engine_tokens: 50_000, address: ([10, 0, 0, 1], 80).into(), zone: "a",
/// };
/// let engine: Arc<str> = "e2".into();
/// let other = Candidate { id: &engine, address: ([10, 0, 0, 2], 80).into(), zone: "b", draining: false };
/// let copy = planner.start(tokio::time::Instant::now(), &run, [other].into_iter()).unwrap();
/// assert_eq!(&*copy.target, "e2");
/// planner.end(Some(&copy));
/// ```
#[derive(Debug)]
pub struct Planner {
    running: usize,
    copied: usize,
    /// Copies that may be ordered; each run adds [`MAX_SHARE`].
    credit: f64,
    /// Loss from which a run gets a copy; follows the quantile that [`MAX_SHARE`] of the runs exceed.
    threshold: f64,
    paused_until: Option<Instant>,
    /// Engines that get no copies, and until when.
    avoided: HashMap<Arc<str>, Instant>,
    /// Tokens of the copies at each engine.
    held: HashMap<Arc<str>, u64>,
}

impl Default for Planner {
    fn default() -> Self {
        Self {
            running: 0,
            copied: 0,
            credit: 1.0,
            threshold: 0.0,
            paused_until: None,
            avoided: HashMap::new(),
            held: HashMap::new(),
        }
    }
}

impl Planner {
    /// Counts a run that starts and decides whether it gets a copy. [`Planner::end`] must follow.
    ///
    /// # Errors
    /// Why it gets none.
    pub fn start<'a>(
        &mut self,
        now: Instant,
        run: &Run<'_>,
        candidates: impl Iterator<Item = Candidate<'a>>,
    ) -> Result<Copy, Skip> {
        self.running += 1;
        self.credit = (self.credit + MAX_SHARE).min(MAX_CREDIT);
        if run.waited >= QUEUED_WAIT {
            self.paused_until = Some(now + PAUSE);
        }
        let is_costly = self.exceeds_threshold(loss(run));
        if self.paused_until.is_some_and(|until| now < until) {
            return Err(Skip::Queued);
        }
        if !is_costly {
            return Err(Skip::Cheap);
        }
        if self.credit < 1.0
            || (self.copied + 1) as f64 > (self.running as f64 * MAX_SHARE).max(1.0)
        {
            return Err(Skip::Share);
        }
        let copy = self.place(now, run, candidates)?;
        self.credit -= 1.0;
        Ok(copy)
    }

    /// Counts the next attempt of a run that an engine refused; it gets a copy if it had one.
    ///
    /// # Errors
    /// Why it gets none.
    pub fn restart<'a>(
        &mut self,
        now: Instant,
        run: &Run<'_>,
        copied: bool,
        candidates: impl Iterator<Item = Candidate<'a>>,
    ) -> Result<Copy, Skip> {
        self.running += 1;
        if !copied {
            return Err(Skip::Repeated);
        }
        self.renew(now, run, candidates)
    }

    /// Orders a further copy of a run that continues from one. Such a run was lost once, so it is not weighed again.
    ///
    /// # Errors
    /// [`Skip::Queued`] and [`Skip::NoTarget`].
    pub fn renew<'a>(
        &mut self,
        now: Instant,
        run: &Run<'_>,
        candidates: impl Iterator<Item = Candidate<'a>>,
    ) -> Result<Copy, Skip> {
        if self.paused_until.is_some_and(|until| now < until) {
            return Err(Skip::Queued);
        }
        self.place(now, run, candidates)
    }

    /// Removes a copy that was used or is void; its run goes on.
    pub fn release(&mut self, copy: &Copy) {
        self.copied = self.copied.saturating_sub(1);
        if let Some(tokens) = self.held.get_mut(&copy.target) {
            *tokens = tokens.saturating_sub(copy.tokens);
            if *tokens == 0 {
                self.held.remove(&copy.target);
            }
        }
    }

    /// Counts the end of a run, and of its copy if it has one.
    pub fn end(&mut self, copy: Option<&Copy>) {
        self.running = self.running.saturating_sub(1);
        if let Some(copy) = copy {
            self.release(copy);
        }
    }

    /// Records that an engine failed: it gets no copies for a while.
    pub fn note_failure(&mut self, now: Instant, engine: &Arc<str>) {
        self.avoid(now, engine, FAILURE_MEMORY);
    }

    /// Records that an engine has no free slot: it gets no copies for a while.
    pub fn note_full(&mut self, now: Instant, engine: &Arc<str>) {
        self.avoid(now, engine, FULL_MEMORY);
    }

    fn avoid(&mut self, now: Instant, engine: &Arc<str>, time: Duration) {
        if self.avoided.len() >= MAX_AVOIDED {
            self.avoided.retain(|_, until| *until > now);
        }
        if self.avoided.len() < MAX_AVOIDED {
            let until = self.avoided.entry(Arc::clone(engine)).or_insert(now);
            *until = (*until).max(now + time);
        }
    }

    /// Whether the loss is among the highest; moves the threshold.
    fn exceeds_threshold(&mut self, loss: f64) -> bool {
        let exceeds = loss >= self.threshold;
        if self.threshold == 0.0 {
            self.threshold = loss;
        }
        // At the wanted quantile the steps up and down cancel out.
        let step = if exceeds {
            (1.0 - MAX_SHARE) / MAX_SHARE
        } else {
            -1.0
        };
        self.threshold *= 1.0 + THRESHOLD_STEP * step;
        exceeds
    }

    /// Chooses the engine that a run may move to, as for a copy.
    pub fn target<'a>(
        &self,
        now: Instant,
        run: &Run<'_>,
        candidates: impl Iterator<Item = Candidate<'a>>,
    ) -> Option<Arc<str>> {
        let usable = candidates.filter(|engine| self.is_usable(now, run, engine));
        best(run, usable)
    }

    /// Whether an engine may take the memory of a run.
    fn is_usable(&self, now: Instant, run: &Run<'_>, engine: &Candidate<'_>) -> bool {
        let avoided = self.avoided.get(engine.id);
        !engine.draining
            && engine.address != run.address
            && avoided.is_none_or(|until| *until <= now)
    }

    /// Chooses the engine of a copy and counts the copy.
    fn place<'a>(
        &mut self,
        now: Instant,
        run: &Run<'_>,
        candidates: impl Iterator<Item = Candidate<'a>>,
    ) -> Result<Copy, Skip> {
        let tokens = run.prompt_tokens + run.output_tokens;
        let room = if run.engine_tokens == 0 {
            f64::INFINITY
        } else {
            run.engine_tokens as f64 * MAX_MEMORY_SHARE
        };
        let fits = |engine: &str| {
            let held = self.held.get(engine).copied().unwrap_or(0);
            (held + tokens) as f64 <= room
        };
        let usable =
            candidates.filter(|engine| self.is_usable(now, run, engine) && fits(engine.id));
        let target = best(run, usable).ok_or(Skip::NoTarget)?;
        *self.held.entry(Arc::clone(&target)).or_default() += tokens;
        self.copied += 1;
        Ok(Copy { target, tokens })
    }

    /// Numbers for the state dump.
    #[must_use]
    pub fn state(&self, now: Instant) -> Value {
        json!({
            "running": self.running,
            "copied": self.copied,
            "credit": self.credit,
            "threshold": self.threshold,
            "paused": self.paused_until.is_some_and(|until| now < until),
            "avoided": self.avoided.values().filter(|until| **until > now).count(),
            "held_tokens": self.held.values().sum::<u64>(),
        })
    }
}

/// The engine first in rendezvous order over the request ID, of another zone if there is one.
fn best<'a>(run: &Run<'_>, candidates: impl Iterator<Item = Candidate<'a>>) -> Option<Arc<str>> {
    let best = candidates
        .max_by_key(|engine| (engine.zone != run.zone, rendezvous_score(run.id, engine.id)))?;
    Some(Arc::clone(best.id))
}

/// What it costs to run it again, in output tokens, weighted by how little time is left for that.
fn loss(run: &Run<'_>) -> f64 {
    let redo = run.output_tokens as f64 + run.prompt_tokens as f64 / PROMPT_TOKENS_PER_OUTPUT;
    let left_ms = run.left_ms.max(0) as f64;
    redo.max(1.0) * (1.0 + TIGHT_SLACK_MS / (TIGHT_SLACK_MS + left_ms))
}
