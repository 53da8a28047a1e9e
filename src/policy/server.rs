//! The concurrency window, speed and cached programs of one server of a pool.

use super::cache::CacheEstimate;
use super::latency::{Model, Slowdown};
use super::request::Outcome;
use crate::id::{Permit, Program, Server as ServerName};
use std::collections::HashMap;
use std::time::Duration;
use tokio::time::Instant;

/// Maximum window of a server before anything has been measured, in calls.
const INITIAL_MAX_WINDOW: f64 = 24.0;
/// Smallest window, in calls.
const MIN_WINDOW: f64 = 2.0;
/// The window may slow token generation down to this many times the time of a lone call.
const MAX_TOKEN_SLOWDOWN: f64 = 2.2;
/// The same for calls of the backfill band, which should not slow others down.
const MAX_BACKFILL_SLOWDOWN: f64 = 1.2;
/// First ejection; doubled with each further failure in a row.
const EJECTION_TIME: Duration = Duration::from_millis(500);
const MAX_EJECTION_TIME: Duration = Duration::from_secs(15);
/// A first token later than this many times its expected time, plus the margin below, means that
/// the server queues calls internally.
const FIRST_TOKEN_QUEUEING_RATIO: f64 = 4.0;
const FIRST_TOKEN_QUEUEING_MARGIN_MS: f64 = 800.0;

#[derive(Debug)]
struct InFlight {
    program: Program,
    running_at_start: usize,
}

#[derive(Debug)]
pub(super) struct Server {
    pub(super) name: ServerName,
    pub(super) cache: CacheEstimate,
    pub(super) draining: bool,
    pub(super) ejected_until: Option<Instant>,
    pub(super) slowdown: Slowdown,
    in_flight: HashMap<Permit, InFlight>,
    /// Lowered when the server queues calls internally, otherwise raised by each completed call.
    max_window: f64,
    consecutive_failures: u32,
}

impl Server {
    pub(super) fn new(name: ServerName) -> Self {
        Self {
            name,
            cache: CacheEstimate::default(),
            draining: false,
            ejected_until: None,
            slowdown: Slowdown::default(),
            in_flight: HashMap::new(),
            max_window: INITIAL_MAX_WINDOW,
            consecutive_failures: 0,
        }
    }

    pub(super) fn running(&self) -> usize {
        self.in_flight.len()
    }

    /// Calls that it may run concurrently.
    pub(super) fn window(&self, pace: &Model) -> f64 {
        let slowdown_limit =
            pace.calls_at_slowdown(MAX_TOKEN_SLOWDOWN / self.slowdown.get().max(1.0));
        slowdown_limit.min(self.max_window).max(MIN_WINDOW)
    }

    /// Whether it can take another call; `backfill` for a call of the backfill band.
    pub(super) fn has_room(&self, pace: &Model, backfill: bool) -> bool {
        let mut window = self.window(pace);
        if backfill {
            window = window
                .min(pace.calls_at_slowdown(MAX_BACKFILL_SLOWDOWN / self.slowdown.get().max(1.0)));
        }
        (self.running() as f64) < window.max(1.0)
    }

    pub(super) fn start(&mut self, permit: Permit, program: Program, tokens: u64) {
        let running_at_start = self.in_flight.len();
        self.in_flight.insert(
            permit,
            InFlight {
                program,
                running_at_start,
            },
        );
        self.cache
            .set_tokens(program, tokens.max(self.cache.tokens(program)));
    }

    /// Ends a call and records its outcome. Returns its program if the call ran here.
    pub(super) fn end(
        &mut self,
        now: Instant,
        permit: Permit,
        outcome: Option<&Outcome>,
        pace: &mut Model,
    ) -> Option<Program> {
        let call = self.in_flight.remove(&permit)?;
        match outcome {
            Some(result) if result.failed => self.record_failure(now, call.program),
            Some(result) => self.record_success(&call, result, pace),
            None => {}
        }
        Some(call.program)
    }

    fn record_failure(&mut self, now: Instant, program: Program) {
        let duration = EJECTION_TIME * 2_u32.saturating_pow(self.consecutive_failures.min(8));
        // In-flight calls that fail together count as one failure.
        if self.ejected_until.is_none_or(|until| until <= now) {
            self.consecutive_failures += 1;
            self.ejected_until = Some(now + duration.min(MAX_EJECTION_TIME));
        }
        self.cache.remove(program);
    }

    fn record_success(&mut self, call: &InFlight, outcome: &Outcome, pace: &mut Model) {
        self.consecutive_failures = 0;
        let mean_running =
            f64::midpoint(call.running_at_start as f64, self.in_flight.len() as f64) + 1.0;
        let uncached_tokens = outcome.prompt.0.saturating_sub(outcome.cached.0) as f64;
        if outcome.completion.0 > 8 && outcome.rest_ms > 0.0 {
            let token_ms = outcome.rest_ms / outcome.completion.0 as f64;
            self.slowdown.record(token_ms, pace.token_ms(mean_running));
            pace.record_token_time(mean_running, token_ms, self.slowdown.get());
        }
        if outcome.prompt.0 == 0 {
            // Plain services report no tokens; their latency does not show whether they queue
            // calls.
            return;
        }
        let expected_ms = uncached_tokens * pace.prefill_ms() * self.slowdown.get().max(1.0);
        if outcome.first_ms
            > FIRST_TOKEN_QUEUEING_RATIO * expected_ms + FIRST_TOKEN_QUEUEING_MARGIN_MS
        {
            self.max_window = (self.max_window * 0.97).min(mean_running).max(MIN_WINDOW);
        } else {
            self.max_window += 4.0 / self.max_window;
        }
        if uncached_tokens > 400.0 {
            pace.record_prefill_time(outcome.first_ms / uncached_tokens);
        }
        let tokens = outcome.prompt.0 + outcome.completion.0;
        self.cache.set_tokens(call.program, tokens);
    }

    /// Expected duration of a call on this server, in milliseconds.
    pub(super) fn expected_call_ms(
        &self,
        pace: &Model,
        program: Program,
        prompt: u64,
        max_tokens: u64,
    ) -> f64 {
        let uncached_tokens = prompt.saturating_sub(self.cache.tokens(program)) as f64;
        let tokens = pace.expected_tokens(max_tokens as f64);
        let running = self.running() as f64 + 1.0;
        (uncached_tokens * pace.prefill_ms() + tokens * pace.token_ms(running))
            * self.slowdown.get()
    }
}
