//! One server of a pool: its window, its speed and what it holds.

use super::ask::Outcome;
use super::cache::Cache;
use super::latency::{Model, Slowdown};
use crate::id::{Permit, Program, Server as Name};
use std::collections::HashMap;
use std::time::Duration;
use tokio::time::Instant;

/// Calls that a server is given at a time before anything has been measured.
const START: f64 = 24.0;
/// The fewest calls of a window.
const LEAST: f64 = 2.0;
/// How many times as long as alone a token may take.
const STRETCH: f64 = 2.2;
/// How many times as long as alone a token may take when calls with much slack are added.
const FILL: f64 = 1.2;
/// How long a server rests after a failure; doubled with each further one.
const REST: Duration = Duration::from_millis(500);
/// The longest rest.
const LONGEST_REST: Duration = Duration::from_secs(15);
/// Times the expected time to the first token past which the server must queue calls itself.
const QUEUES: f64 = 4.0;
/// Milliseconds added to that.
const QUEUES_MS: f64 = 800.0;

#[derive(Debug)]
struct Flight {
    program: Program,
    running: usize,
}

/// One server.
#[derive(Debug)]
pub(super) struct Server {
    pub(super) name: Name,
    pub(super) cache: Cache,
    pub(super) leaving: bool,
    pub(super) rests_until: Option<Instant>,
    pub(super) ratio: Slowdown,
    flights: HashMap<Permit, Flight>,
    ceiling: f64,
    failures: u32,
}

impl Server {
    pub(super) fn new(name: Name) -> Self {
        Self {
            name,
            cache: Cache::default(),
            leaving: false,
            rests_until: None,
            ratio: Slowdown::default(),
            flights: HashMap::new(),
            ceiling: START,
            failures: 0,
        }
    }

    pub(super) fn running(&self) -> usize {
        self.flights.len()
    }

    /// Calls that it may run at a time.
    pub(super) fn size(&self, pace: &Model) -> f64 {
        let by_time = pace.calls_at_slowdown(STRETCH / self.ratio.get().max(1.0));
        by_time.min(self.ceiling).max(LEAST)
    }

    /// Whether another call may be given; `fills` when it has so much slack that it only fills.
    pub(super) fn has_room(&self, pace: &Model, fills: bool) -> bool {
        let mut size = self.size(pace);
        if fills {
            size = size.min(pace.calls_at_slowdown(FILL / self.ratio.get().max(1.0)));
        }
        (self.running() as f64) < size.max(1.0)
    }

    pub(super) fn start(&mut self, permit: Permit, program: Program, tokens: u64) {
        let running = self.flights.len();
        self.flights.insert(permit, Flight { program, running });
        self.cache
            .hold(program, tokens.max(self.cache.tokens(program)));
    }

    /// A call is over. Gives its program, if it ran here.
    pub(super) fn end(
        &mut self,
        now: Instant,
        permit: Permit,
        outcome: Option<&Outcome>,
        pace: &mut Model,
    ) -> Option<Program> {
        let flight = self.flights.remove(&permit)?;
        match outcome {
            Some(end) if end.failed => self.fail(now, flight.program),
            Some(end) => self.learn(&flight, end, pace),
            None => {}
        }
        Some(flight.program)
    }

    fn fail(&mut self, now: Instant, program: Program) {
        let rest = REST * 2_u32.saturating_pow(self.failures.min(8));
        // Calls that were in flight together fail together, which counts as one failure.
        if self.rests_until.is_none_or(|until| until <= now) {
            self.failures += 1;
            self.rests_until = Some(now + rest.min(LONGEST_REST));
        }
        self.cache.forget(program);
    }

    fn learn(&mut self, flight: &Flight, end: &Outcome, pace: &mut Model) {
        self.failures = 0;
        let running = f64::midpoint(flight.running as f64, self.flights.len() as f64) + 1.0;
        let fresh = end.prompt.0.saturating_sub(end.cached.0) as f64;
        if end.completion.0 > 8 && end.rest_ms > 0.0 {
            let time = end.rest_ms / end.completion.0 as f64;
            self.ratio.record(time, pace.token_ms(running));
            pace.record_token_time(running, time, self.ratio.get());
        }
        if end.prompt.0 == 0 {
            // A plain service: how long it takes says nothing of calls that it queues.
            return;
        }
        let expected = fresh * pace.prefill_ms() * self.ratio.get().max(1.0);
        if end.first_ms > QUEUES * expected + QUEUES_MS {
            self.ceiling = (self.ceiling * 0.97).min(running).max(LEAST);
        } else {
            self.ceiling += 4.0 / self.ceiling;
        }
        if fresh > 400.0 {
            pace.record_prefill_time(end.first_ms / fresh);
        }
        let tokens = end.prompt.0 + end.completion.0;
        self.cache.hold(flight.program, tokens);
    }

    /// Expected time of a call here, in milliseconds.
    pub(super) fn call_ms(&self, pace: &Model, program: Program, prompt: u64, max: u64) -> f64 {
        let fresh = prompt.saturating_sub(self.cache.tokens(program)) as f64;
        let tokens = pace.expected_tokens(max as f64);
        let running = self.running() as f64 + 1.0;
        (fresh * pace.prefill_ms() + tokens * pace.token_ms(running)) * self.ratio.get()
    }
}
