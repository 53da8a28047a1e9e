//! Admission control for the programs of a team.
//!
//! A team may start several times as many programs as its limit allows. If arbitrary requests were refused, most
//! programs would have one refused, and the limit would be spent on programs that never finish. So a new program is
//! refused at its first request if the programs in progress are expected to use up the limit. Requests of admitted
//! programs wait for the limit, and are refused only if the wait is too long.

use super::limit::{Limit, Limiter, Share, Tolerance};
use std::collections::HashMap;
use std::time::Duration;
use tokio::time::Instant;

/// Assumed number of requests of a program until one of its class has ended.
const PRIOR_REQUESTS: f64 = 8.0;
/// Assumed duration of a program until one of its class has ended, and the minimum that admission plans with.
const PRIOR_DURATION: Duration = Duration::from_secs(1);
/// Initial value, minimum and maximum of the overcommit factor: how many times the limit the programs in progress may
/// be expected to need. Programs pause between requests, so the factor that fits differs by team.
const OVERCOMMIT: (f64, f64, f64) = (1.2, 0.8, 2.0);
/// Added to the overcommit factor when a program ends with no request refused.
const OVERCOMMIT_INCREASE: f64 = 0.02;
/// Subtracted from the overcommit factor when an admitted program has a request refused.
const OVERCOMMIT_DECREASE: f64 = 0.1;
/// Weight of the newest program in the moving averages of its class.
const SAMPLE_WEIGHT: f64 = 0.05;
/// Time without a request after which a program counts as ended; longer than most tool calls and pauses of callers.
const IDLE_TIMEOUT: Duration = Duration::from_millis(2500);
/// For this long after a VM becomes the owner of a team, programs new to it are admitted: they may have started before.
const TAKEOVER_PERIOD: Duration = Duration::from_secs(4);
/// Minimum and maximum of the time after which a refused caller may retry.
const RETRY_AFTER: (Duration, Duration) = (Duration::from_millis(200), Duration::from_secs(3));
/// Maximum number of tracked programs of one team.
const MAX_PROGRAMS: usize = 20_000;

/// A request of a team.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Request {
    /// Hash of the program's id; `None` for requests outside a program.
    pub program: Option<u64>,
    /// Hash of the program class that the route starts; `None` on routes that start no program.
    pub class: Option<u64>,
    /// Longest time the request may wait before it is sent.
    pub max_wait: Duration,
}

/// The decision on a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The request may be sent after this time.
    Granted(Duration),
    /// The request is refused; the caller may retry after this time.
    Refused(Duration),
}

/// Expected demand of one program.
#[derive(Debug, Clone, Copy)]
struct ProgramDemand {
    requests: f64,
    seconds: f64,
}

/// Expected demand of programs by class, learned from programs that have ended.
#[derive(Debug, Default)]
pub struct Demand {
    classes: HashMap<u64, ProgramDemand>,
}

impl Demand {
    fn expected(&self, class: u64) -> ProgramDemand {
        let prior = ProgramDemand {
            requests: PRIOR_REQUESTS,
            seconds: PRIOR_DURATION.as_secs_f64(),
        };
        self.classes.get(&class).copied().unwrap_or(prior)
    }

    fn learn(&mut self, program: &Program) {
        let seconds = program
            .last_request_at
            .duration_since(program.started_at)
            .as_secs_f64();
        let requests = f64::from(program.requests);
        let sample = ProgramDemand { requests, seconds };
        let demand = self.classes.entry(program.class).or_insert(sample);
        demand.requests += SAMPLE_WEIGHT * (requests - demand.requests);
        demand.seconds += SAMPLE_WEIGHT * (seconds - demand.seconds);
    }
}

/// An admitted program.
#[derive(Debug)]
struct Program {
    class: u64,
    /// Requests granted so far.
    requests: u32,
    started_at: Instant,
    last_request_at: Instant,
    /// Whether it was tracked from its first request and had none refused. Only such programs are learned from.
    is_complete: bool,
}

/// Rate limiter of one team with admission control for its programs.
#[derive(Debug)]
pub struct Quota {
    start: Instant,
    limiter: Limiter,
    programs: HashMap<u64, Program>,
    /// How many times the limit the programs in progress may be expected to need.
    overcommit: f64,
}

impl Quota {
    /// Creates a quota without known grants, which may grant from `start` on.
    ///
    /// ```
    /// let quota = vanillatrail::policy::quota::Quota::new(tokio::time::Instant::now());
    /// assert_eq!(quota.granted_in_window(), 0);
    /// ```
    #[must_use]
    pub fn new(start: Instant) -> Self {
        Self {
            start,
            limiter: Limiter::new(start),
            programs: HashMap::new(),
            overcommit: OVERCOMMIT.0,
        }
    }

    /// Sets the limit and the share of it that may be granted from `now` on.
    pub fn configure(&mut self, now: Instant, tolerance: &Tolerance, limit: Limit, share: Share) {
        self.limiter.configure(now, tolerance, limit, share);
    }

    /// Grants or refuses one request, and admits its program if it is new.
    pub fn decide(
        &mut self,
        now: Instant,
        demand_by_class: &mut Demand,
        request: Request,
    ) -> Verdict {
        if let Some(program) = request.program
            && !self.programs.contains_key(&program)
            && let Some(class) = request.class
        {
            self.remove_idle(now, demand_by_class);
            let after_takeover = now.saturating_duration_since(self.start) < TAKEOVER_PERIOD;
            if !after_takeover
                && let Some(retry_after) = self.retry_after_if_full(demand_by_class, class)
            {
                return refused(retry_after);
            }
            self.add_program(now, program, class, !after_takeover);
        }
        match self.limiter.try_acquire(now, request.max_wait) {
            Ok(wait) => {
                self.record_grant(now, request.program);
                Verdict::Granted(wait)
            }
            Err(wait) => {
                self.record_refusal(request.program);
                refused(wait)
            }
        }
    }

    /// Removes a program whose first request was refused. A program with a later request refused may end early, so it
    /// is not learned from.
    fn record_refusal(&mut self, program: Option<u64>) {
        let Some(key) = program else {
            return;
        };
        let Some(program) = self.programs.get_mut(&key) else {
            return;
        };
        if program.requests == 0 {
            self.programs.remove(&key);
            return;
        }
        if std::mem::replace(&mut program.is_complete, false) {
            self.overcommit = (self.overcommit - OVERCOMMIT_DECREASE).max(OVERCOMMIT.1);
        }
    }

    fn record_grant(&mut self, now: Instant, program: Option<u64>) {
        let program = program.and_then(|program| self.programs.get_mut(&program));
        if let Some(program) = program {
            program.requests += 1;
            program.last_request_at = now;
        }
    }

    fn add_program(&mut self, now: Instant, program: u64, class: u64, is_complete: bool) {
        if self.programs.len() >= MAX_PROGRAMS {
            self.programs.clear();
        }
        let started = Program {
            class,
            requests: 0,
            started_at: now,
            last_request_at: now,
            is_complete,
        };
        self.programs.insert(program, started);
    }

    /// If the limit has no room for a new program of this class, returns the time after which to retry.
    fn retry_after_if_full(&self, demand_by_class: &Demand, class: u64) -> Option<Duration> {
        if self.programs.is_empty() {
            // A program that needs more than the limit allows must still be able to run alone.
            return None;
        }
        let demand = demand_by_class.expected(class);
        let remaining = self.programs.values().map(|program| {
            let expected = demand_by_class.expected(program.class).requests;
            (expected - f64::from(program.requests)).max(1.0)
        });
        let remaining: f64 = remaining.sum();
        let duration = Duration::from_secs_f64(demand.seconds).max(PRIOR_DURATION);
        let missing = (remaining + demand.requests) / self.overcommit
            - self.limiter.available_within(duration);
        let rate = self.limiter.per_second().max(0.1);
        (missing > 0.0).then(|| Duration::from_secs_f64(missing / rate))
    }

    /// Removes programs that have ended, and learns from them.
    fn remove_idle(&mut self, now: Instant, demand_by_class: &mut Demand) {
        let mut completed = 0.0;
        self.programs.retain(|_, program| {
            let ended = program.last_request_at + IDLE_TIMEOUT <= now;
            if ended && program.is_complete {
                demand_by_class.learn(program);
                completed += 1.0;
            }
            !ended
        });
        self.overcommit = (self.overcommit + OVERCOMMIT_INCREASE * completed).min(OVERCOMMIT.2);
    }

    /// Number of requests granted in the current time window.
    #[must_use]
    pub const fn granted_in_window(&self) -> u32 {
        self.limiter.granted_in_window()
    }

    /// Number of programs in progress.
    #[must_use]
    pub fn active_programs(&self) -> usize {
        self.programs.len()
    }
}

fn refused(retry_after: Duration) -> Verdict {
    let (min, max) = RETRY_AFTER;
    Verdict::Refused(retry_after.clamp(min, max))
}
