//! What the limit of a team is spent on: whole programs, as many as it carries.
//!
//! Load it answers: a team that begins several times as many programs as its limit carries. If whichever request
//! comes over the limit were refused, each program would miss one of its requests, and the limit would be
//! spent on programs of which none ends. So a new program is refused at its first request, by a forecast of what
//! those under way still need; their own requests wait for the limit instead, and are refused last.

use super::limit::{Bound, Limit, Meter, Share};
use std::collections::HashMap;
use std::time::Duration;
use tokio::time::Instant;

/// Requests of a program before one of its class has ended.
const PRIOR_REQUESTS: f64 = 8.0;
/// How long one lasts before one of its class has ended.
const PRIOR_TIME: Duration = Duration::from_secs(1);
/// How many times the limit the forecasts of programs under way may be: at first, at least and at most. Most wait
/// between their requests, and which share fits differs by team.
const FIT: (f64, f64, f64) = (1.2, 0.8, 2.0);
/// What a program that ended with no request refused adds to that.
const GAIN: f64 = 0.02;
/// What one takes away of which a request was refused: the limit was promised to too many.
const LOSS: f64 = 0.1;
/// Weight of the newest program in what is learned of its class.
const NEWEST: f64 = 0.05;
/// How long a program makes no request before it counts as ended: tools take up to 1.5 s and callers pause for up
/// to 0.6 s.
const IDLE: Duration = Duration::from_millis(2500);
/// How long a counter takes programs that it meets for ones that began before it counted.
const MET: Duration = Duration::from_secs(4);
/// The bounds of the time after which a refused caller may come back.
const COME_BACK: (Duration, Duration) = (Duration::from_millis(200), Duration::from_secs(3));
/// Programs of one team that are remembered.
const PROGRAMS: usize = 20_000;

/// A request of a team.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Request {
    /// Its program, by a hash.
    pub program: Option<u64>,
    /// The class of programs that its route tells of, by a hash; none on routes that begin no program.
    pub class: Option<u64>,
    /// How long it may wait.
    pub patience: Duration,
}

/// Whether a request may go.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It may, after this time.
    Granted(Duration),
    /// Not now; it may come back after this time.
    Refused(Duration),
}

/// What programs of a class need.
#[derive(Debug, Clone, Copy)]
struct Need {
    requests: f64,
    seconds: f64,
}

/// What programs need, by class; learned from those that have ended.
#[derive(Debug, Default)]
pub struct Needs {
    classes: HashMap<u64, Need>,
}

impl Needs {
    fn of(&self, class: u64) -> Need {
        let prior = Need {
            requests: PRIOR_REQUESTS,
            seconds: PRIOR_TIME.as_secs_f64(),
        };
        self.classes.get(&class).copied().unwrap_or(prior)
    }

    fn learn(&mut self, program: &Program) {
        let seconds = program.seen.duration_since(program.begun).as_secs_f64();
        let requests = f64::from(program.requests);
        let sample = Need { requests, seconds };
        let need = self.classes.entry(program.class).or_insert(sample);
        need.requests += NEWEST * (requests - need.requests);
        need.seconds += NEWEST * (seconds - need.seconds);
    }
}

/// A program that was admitted.
#[derive(Debug)]
struct Program {
    class: u64,
    requests: u32,
    begun: Instant,
    seen: Instant,
    /// Whether it was seen from its first request on.
    whole: bool,
}

/// The limit of one team, and the programs that it is spent on.
#[derive(Debug)]
pub struct Quota {
    since: Instant,
    meter: Meter,
    programs: HashMap<u64, Program>,
    /// How many times the limit is promised.
    fit: f64,
}

impl Quota {
    /// A counter of which nothing is known before `since`.
    ///
    /// ```
    /// let quota = vanillatrail::policy::quota::Quota::new(tokio::time::Instant::now());
    /// assert_eq!(quota.granted(), 0);
    /// ```
    #[must_use]
    pub fn new(since: Instant) -> Self {
        Self {
            since,
            meter: Meter::new(since),
            programs: HashMap::new(),
            fit: FIT.0,
        }
    }

    /// Sets what may be granted from now on.
    pub fn set(&mut self, now: Instant, bound: &Bound, limit: Limit, share: Share) {
        self.meter.set(now, bound, limit, share);
    }

    /// Decides on one request.
    pub fn ask(&mut self, now: Instant, needs: &mut Needs, request: Request) -> Verdict {
        if let Some(program) = request.program
            && !self.programs.contains_key(&program)
            && let Some(class) = request.class
        {
            self.end_idle(now, needs);
            let met = now.saturating_duration_since(self.since) < MET;
            if !met && let Some(back) = self.unfit(needs, class) {
                return refused(back);
            }
            self.admit(now, program, class, !met);
        }
        match self.meter.take(now, request.patience) {
            Ok(wait) => {
                self.note(now, request.program);
                Verdict::Granted(wait)
            }
            Err(wait) => {
                self.break_off(request.program);
                refused(wait)
            }
        }
    }

    /// A program that missed a request may end early, and nothing is learned from it; one that missed its first has
    /// not begun.
    fn break_off(&mut self, program: Option<u64>) {
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
        if std::mem::replace(&mut program.whole, false) {
            self.fit = (self.fit - LOSS).max(FIT.1);
        }
    }

    fn note(&mut self, now: Instant, program: Option<u64>) {
        let program = program.and_then(|program| self.programs.get_mut(&program));
        if let Some(program) = program {
            program.requests += 1;
            program.seen = now;
        }
    }

    fn admit(&mut self, now: Instant, program: u64, class: u64, whole: bool) {
        if self.programs.len() >= PROGRAMS {
            self.programs.clear();
        }
        let begun = Program {
            class,
            requests: 0,
            begun: now,
            seen: now,
            whole,
        };
        self.programs.insert(program, begun);
    }

    /// When a new program may come back that the limit does not carry beside those under way.
    fn unfit(&self, needs: &Needs, class: u64) -> Option<Duration> {
        if self.programs.is_empty() {
            // It may need more than the limit ever carries, and is to run all the same.
            return None;
        }
        let need = needs.of(class);
        let rest = self.programs.values().map(|program| {
            let of_class = needs.of(program.class).requests;
            (of_class - f64::from(program.requests)).max(1.0)
        });
        let rest: f64 = rest.sum();
        let time = Duration::from_secs_f64(need.seconds).max(PRIOR_TIME);
        let lacking = (rest + need.requests) / self.fit - self.meter.within(time);
        let rate = self.meter.per_second().max(0.1);
        (lacking > 0.0).then(|| Duration::from_secs_f64(lacking / rate))
    }

    /// Forgets programs that have ended, and learns from them.
    fn end_idle(&mut self, now: Instant, needs: &mut Needs) {
        let mut whole = 0.0;
        self.programs.retain(|_, program| {
            let ended = program.seen + IDLE <= now;
            if ended && program.whole {
                needs.learn(program);
                whole += 1.0;
            }
            !ended
        });
        self.fit = (self.fit + GAIN * whole).min(FIT.2);
    }

    /// Requests granted within the window.
    #[must_use]
    pub const fn granted(&self) -> u32 {
        self.meter.granted()
    }

    /// Programs under way.
    #[must_use]
    pub fn programs(&self) -> usize {
        self.programs.len()
    }
}

fn refused(back: Duration) -> Verdict {
    let (least, most) = COME_BACK;
    Verdict::Refused(back.clamp(least, most))
}
