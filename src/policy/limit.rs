//! How many requests of a team may go, over a sliding window and in the short run.
//!
//! Load it answers: a team that sends several times its usual, through any VM. One VM counts a team; when that VM
//! dies, another goes on without knowing what was granted. So what is granted is bounded twice: over the window,
//! and by a bucket that a new counter starts empty. What the one before granted and what the new one grants are
//! then within the tolerance together, with no record kept anywhere.

use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::time::Duration;
use tokio::time::Instant;

/// Time over which grants of the window are counted together.
const SLICE: Duration = Duration::from_millis(100);
/// The part of the tolerance that the bucket may use. The rest is for takeovers, and for requests that reach a
/// server later than others that were granted after them.
const USED: f64 = 0.8;
/// Requests that a new counter may grant at once, so that a team that sends one at a time does not wait. Of five
/// takeovers in a window each grants so many.
const START: f64 = 1.0;
/// How long before it is sent a request may be granted. A counter begins no sooner after the last grant of the one
/// before, so that what that one promised has been sent. A program whose tool waits so long still ends in time.
pub const AHEAD: Duration = Duration::from_millis(300);

/// How many requests of a team may reach backend servers, over all VMs.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limit {
    /// Requests a second.
    pub per_second: f64,
    /// Requests beyond that at a time.
    pub burst: f64,
}

/// How closely limits are held, as the operators of a deployment state it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bound {
    /// The window over which requests are counted.
    pub window: Duration,
    /// The share by which a limit may be passed.
    pub excess: f64,
    /// Requests by which it may be passed beside that.
    pub slack: f64,
}

impl Bound {
    /// Requests of a team in one window.
    fn most(&self, limit: Limit) -> f64 {
        limit.per_second * self.window.as_secs_f64() + limit.burst
    }

    fn tolerance(&self, limit: Limit) -> f64 {
        self.most(limit) * self.excess + self.slack
    }

    /// Requests a second in the long run, and how many may go at once beyond that.
    ///
    /// Two pairs keep the bound. With the limit's own, a team of 12 requests a second whose programs need 24 within 2 s
    /// would have its second program wait for a second. The other spreads the burst over the window and takes the
    /// tolerance for what comes at once; it is used unless the tolerance is small.
    fn bucket(&self, limit: Limit) -> (f64, f64) {
        let tolerated = self.tolerance(limit) * USED;
        if tolerated < limit.burst / 2.0 {
            return (limit.per_second, limit.burst.max(1.0));
        }
        (
            self.most(limit) / self.window.as_secs_f64(),
            tolerated.max(1.0),
        )
    }
}

/// How much of a limit a counter may grant, since another one may count beside it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Share {
    /// All of it.
    Whole,
    /// Half of it: one other may count, and grants the other half.
    Half,
    /// This part of what may pass the limit: another one grants all of it.
    Tolerance(f64),
}

/// What may be granted of a limit at one place.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Portion {
    per_second: f64,
    at_once: f64,
    in_window: f64,
}

impl Portion {
    fn of(bound: &Bound, limit: Limit, share: Share) -> Self {
        let (per_second, at_once) = bound.bucket(limit);
        let whole = Self {
            per_second,
            at_once,
            in_window: bound.most(limit),
        };
        match share {
            Share::Whole => whole,
            Share::Half => whole.times(0.5),
            Share::Tolerance(part) => {
                let most = bound.tolerance(limit) * part;
                Self {
                    per_second: most / bound.window.as_secs_f64(),
                    at_once: most.min(START),
                    in_window: most,
                }
            }
        }
    }

    fn times(self, part: f64) -> Self {
        Self {
            per_second: self.per_second * part,
            at_once: (self.at_once * part).max(1.0),
            in_window: self.in_window * part,
        }
    }
}

/// The requests of one team.
///
/// ```
/// use std::time::Duration;
/// use tokio::time::Instant;
/// use vanillatrail::policy::limit::{Bound, Limit, Meter, Share};
/// let bound = Bound { window: Duration::from_secs(5), excess: 0.1, slack: 20.0 };
/// let limit = Limit { per_second: 10.0, burst: 10.0 };
/// let now = Instant::now();
/// let mut meter = Meter::new(now);
/// meter.set(now, &bound, limit, Share::Whole);
/// let at_once = (0..100).take_while(|_| meter.take(now, Duration::ZERO).is_ok()).count();
/// assert_eq!(at_once, 1);
/// assert!(meter.take(now, Duration::from_secs(1)).is_ok());
/// ```
#[derive(Debug)]
pub struct Meter {
    portion: Portion,
    window: Duration,
    /// Below zero where grants have been promised ahead.
    level: f64,
    at: Instant,
    /// Grants by slices of time, the oldest first.
    slices: VecDeque<(Instant, u32)>,
    granted: u32,
}

impl Meter {
    /// A counter that begins at `since`, and of which nothing is known before.
    #[must_use]
    pub fn new(since: Instant) -> Self {
        Self {
            portion: Portion {
                per_second: 0.0,
                at_once: START,
                in_window: 0.0,
            },
            window: Duration::ZERO,
            level: START,
            at: since,
            slices: VecDeque::new(),
            granted: 0,
        }
    }

    /// Sets what may be granted from now on.
    pub fn set(&mut self, now: Instant, bound: &Bound, limit: Limit, share: Share) {
        let first = self.window.is_zero();
        let portion = Portion::of(bound, limit, share);
        if !first {
            self.refill(now);
        }
        self.portion = portion;
        self.window = bound.window;
        self.refill(now);
    }

    fn refill(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.at).as_secs_f64();
        self.at = self.at.max(now);
        let level = self.level + passed * self.portion.per_second;
        self.level = level.min(self.portion.at_once);
        let over = |slice: &(Instant, u32)| slice.0 + self.window + SLICE <= now;
        while let Some((_, count)) = self.slices.pop_front_if(|slice| over(slice)) {
            self.granted -= count;
        }
    }

    /// Grants one request; gives how long it has to wait before it is sent, at most `patience` and 300 ms.
    ///
    /// # Errors
    /// The time after which one could go.
    pub fn take(&mut self, now: Instant, patience: Duration) -> Result<Duration, Duration> {
        self.refill(now);
        let wait = self.wait(now, 1.0);
        if wait > patience.min(AHEAD) {
            return Err(wait);
        }
        self.level -= 1.0;
        self.granted += 1;
        let sent = now + wait;
        match self.slices.back_mut() {
            Some((at, count)) if *at + SLICE > sent => *count += 1,
            _ => self.slices.push_back((sent, 1)),
        }
        Ok(wait)
    }

    /// How long it takes until `count` further requests could go.
    fn wait(&self, now: Instant, count: f64) -> Duration {
        let lacking = (count - self.level).max(0.0);
        let rate = self.portion.per_second;
        let by_level = if lacking > 0.0 && rate <= 0.0 {
            self.window
        } else {
            Duration::from_secs_f64((lacking / rate.max(f64::MIN_POSITIVE)).min(3600.0))
        };
        let begins = self.at.saturating_duration_since(now);
        (by_level + begins).max(self.wait_for_window(now, count))
    }

    fn wait_for_window(&self, now: Instant, count: f64) -> Duration {
        let mut over = f64::from(self.granted) + count - self.portion.in_window;
        for (at, granted) in &self.slices {
            if over <= 0.0 {
                break;
            }
            over -= f64::from(*granted);
            if over <= 0.0 {
                return (*at + self.window + SLICE).saturating_duration_since(now);
            }
        }
        if over > 0.0 {
            self.window
        } else {
            Duration::ZERO
        }
    }

    /// Requests that could go within `time` from now on.
    #[must_use]
    pub fn within(&self, time: Duration) -> f64 {
        let level = self.level + self.portion.per_second * time.as_secs_f64();
        level.min(self.portion.in_window)
    }

    /// Requests a second in the long run.
    #[must_use]
    pub const fn per_second(&self) -> f64 {
        self.portion.per_second
    }

    /// Requests granted within the window.
    #[must_use]
    pub const fn granted(&self) -> u32 {
        self.granted
    }
}
