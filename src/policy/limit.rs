//! Rate limit of a team: a token bucket combined with a sliding time window.
//!
//! One VM, the owner, counts the requests of a team. If it fails, another VM takes over without knowing what was
//! granted. The new owner therefore starts with an almost empty bucket, so that the grants of both stay within the
//! tolerance without any stored state.

use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::time::Duration;
use tokio::time::Instant;

/// Resolution of the sliding time window.
const SLICE: Duration = Duration::from_millis(100);
/// Fraction of the tolerance that the bucket may use. The rest is for takeovers, and for requests that reach a server
/// later than requests granted after them.
const BUCKET_TOLERANCE_FRACTION: f64 = 0.8;
/// Tokens in the bucket of a new owner, so that a team that sends one request at a time does not
/// wait. Of several takeovers within a window, each grants so many.
const INITIAL_TOKENS: f64 = 1.0;
/// Longest time between granting a request and sending it. A new owner starts no earlier than this after the last
/// grant of the previous one, so that all requests granted by that one have been sent.
pub const MAX_GRANT_DELAY: Duration = Duration::from_millis(300);

/// How many requests of a team may reach backend servers, over all VMs.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limit {
    /// Sustained rate, in requests per second.
    pub per_second: f64,
    /// Requests that may be sent at once in addition to the sustained rate.
    pub burst: f64,
}

/// How closely limits are enforced, from the settings of the deployment.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Tolerance {
    /// Length of the sliding time window over which requests are counted.
    pub window: Duration,
    /// Fraction of the limit by which it may be exceeded within a window.
    pub excess: f64,
    /// Requests by which the limit may be exceeded within a window in addition to `excess`.
    pub slack: f64,
}

impl Tolerance {
    fn max_in_window(&self, limit: Limit) -> f64 {
        limit.per_second * self.window.as_secs_f64() + limit.burst
    }

    /// Requests by which the limit may be exceeded within a window.
    fn max_excess(&self, limit: Limit) -> f64 {
        self.max_in_window(limit) * self.excess + self.slack
    }

    /// Refill rate of the token bucket, in requests per second, and its size.
    ///
    /// If the tolerance is large enough, the burst is spread over the window and the bucket holds the tolerance, so
    /// that several programs in a row do not have to wait for the bucket to refill. Otherwise the limit's own rate and
    /// burst are used.
    fn bucket(&self, limit: Limit) -> (f64, f64) {
        let usable = self.max_excess(limit) * BUCKET_TOLERANCE_FRACTION;
        if usable < limit.burst / 2.0 {
            return (limit.per_second, limit.burst.max(1.0));
        }
        (
            self.max_in_window(limit) / self.window.as_secs_f64(),
            usable.max(1.0),
        )
    }
}

/// The share of a limit that a VM may grant while another VM may also act as owner of the team.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Share {
    /// The whole limit: no other VM grants requests of the team.
    Whole,
    /// Half of the limit: another VM may be granting the other half.
    Half,
    /// This fraction of the tolerance: another VM may be granting the whole limit.
    Tolerance(f64),
}

/// What this VM may grant, computed from the team limit and the share.
#[derive(Debug, Clone, Copy, PartialEq)]
struct LocalLimit {
    per_second: f64,
    bucket_size: f64,
    max_in_window: f64,
}

impl LocalLimit {
    fn new(tolerance: &Tolerance, limit: Limit, share: Share) -> Self {
        let (per_second, bucket_size) = tolerance.bucket(limit);
        let whole = Self {
            per_second,
            bucket_size,
            max_in_window: tolerance.max_in_window(limit),
        };
        match share {
            Share::Whole => whole,
            Share::Half => whole.scaled(0.5),
            Share::Tolerance(fraction) => {
                let max = tolerance.max_excess(limit) * fraction;
                Self {
                    per_second: max / tolerance.window.as_secs_f64(),
                    bucket_size: max.min(INITIAL_TOKENS),
                    max_in_window: max,
                }
            }
        }
    }

    fn scaled(self, factor: f64) -> Self {
        Self {
            per_second: self.per_second * factor,
            bucket_size: (self.bucket_size * factor).max(1.0),
            max_in_window: self.max_in_window * factor,
        }
    }
}

/// Token bucket and sliding time window of one team.
///
/// ```
/// use std::time::Duration;
/// use tokio::time::Instant;
/// use vanillatrail::policy::limit::{Limit, Limiter, Share, Tolerance};
/// let tolerance = Tolerance { window: Duration::from_secs(5), excess: 0.1, slack: 20.0 };
/// let limit = Limit { per_second: 10.0, burst: 10.0 };
/// let now = Instant::now();
/// let mut limiter = Limiter::new(now);
/// limiter.configure(now, &tolerance, limit, Share::Whole);
/// let at_once = (0..100).take_while(|_| limiter.try_acquire(now, Duration::ZERO).is_ok()).count();
/// assert_eq!(at_once, 1);
/// assert!(limiter.try_acquire(now, Duration::from_secs(1)).is_ok());
/// ```
#[derive(Debug)]
pub struct Limiter {
    local_limit: LocalLimit,
    window: Duration,
    /// Content of the bucket; negative while granted requests have not been sent yet.
    tokens: f64,
    /// When the bucket was last refilled; in the future until a new owner may begin to grant.
    refilled_at: Instant,
    /// Start of each time slice and the requests sent in it, the oldest first.
    slices: VecDeque<(Instant, u32)>,
    /// Sum of the counts in `slices`.
    granted_in_window: u32,
}

impl Limiter {
    /// Creates a limiter that may grant from `start` on. Call `configure` before the first request.
    #[must_use]
    pub fn new(start: Instant) -> Self {
        Self {
            local_limit: LocalLimit {
                per_second: 0.0,
                bucket_size: INITIAL_TOKENS,
                max_in_window: 0.0,
            },
            window: Duration::ZERO,
            tokens: INITIAL_TOKENS,
            refilled_at: start,
            slices: VecDeque::new(),
            granted_in_window: 0,
        }
    }

    /// Sets the limit and the share of it that may be granted from `now` on.
    pub fn configure(&mut self, now: Instant, tolerance: &Tolerance, limit: Limit, share: Share) {
        let unconfigured = self.window.is_zero();
        let local_limit = LocalLimit::new(tolerance, limit, share);
        if !unconfigured {
            self.refill(now);
        }
        self.local_limit = local_limit;
        self.window = tolerance.window;
        self.refill(now);
    }

    /// Refills the bucket and removes slices that have left the window.
    fn refill(&mut self, now: Instant) {
        let elapsed = now
            .saturating_duration_since(self.refilled_at)
            .as_secs_f64();
        self.refilled_at = self.refilled_at.max(now);
        let tokens = self.tokens + elapsed * self.local_limit.per_second;
        self.tokens = tokens.min(self.local_limit.bucket_size);
        let is_expired = |slice: &(Instant, u32)| slice.0 + self.window + SLICE <= now;
        while let Some((_, count)) = self.slices.pop_front_if(|slice| is_expired(slice)) {
            self.granted_in_window -= count;
        }
    }

    /// Grants one request and returns how long to wait before sending it, which is at most `max_wait` and at most
    /// [`MAX_GRANT_DELAY`].
    ///
    /// # Errors
    /// If the request would have to wait longer, the time it would have to wait.
    pub fn try_acquire(&mut self, now: Instant, max_wait: Duration) -> Result<Duration, Duration> {
        self.refill(now);
        let wait = self.wait_for(now, 1.0);
        if wait > max_wait.min(MAX_GRANT_DELAY) {
            return Err(wait);
        }
        self.tokens -= 1.0;
        self.granted_in_window += 1;
        let sent_at = now + wait;
        match self.slices.back_mut() {
            Some((start, count)) if *start + SLICE > sent_at => *count += 1,
            _ => self.slices.push_back((sent_at, 1)),
        }
        Ok(wait)
    }

    /// Time until `count` more requests may be sent.
    fn wait_for(&self, now: Instant, count: f64) -> Duration {
        let missing = (count - self.tokens).max(0.0);
        let rate = self.local_limit.per_second;
        let bucket_wait = if missing > 0.0 && rate <= 0.0 {
            self.window
        } else {
            Duration::from_secs_f64((missing / rate.max(f64::MIN_POSITIVE)).min(3600.0))
        };
        let until_start = self.refilled_at.saturating_duration_since(now);
        (bucket_wait + until_start).max(self.window_wait(now, count))
    }

    /// Time until the sliding time window has room for `count` more requests.
    fn window_wait(&self, now: Instant, count: f64) -> Duration {
        let mut excess = f64::from(self.granted_in_window) + count - self.local_limit.max_in_window;
        for (start, granted) in &self.slices {
            if excess <= 0.0 {
                break;
            }
            excess -= f64::from(*granted);
            if excess <= 0.0 {
                return (*start + self.window + SLICE).saturating_duration_since(now);
            }
        }
        if excess > 0.0 {
            self.window
        } else {
            Duration::ZERO
        }
    }

    /// Number of requests that may be granted within `duration` from the last refill on.
    #[must_use]
    pub fn available_within(&self, duration: Duration) -> f64 {
        let tokens = self.tokens + self.local_limit.per_second * duration.as_secs_f64();
        tokens.min(self.local_limit.max_in_window)
    }

    /// Refill rate of the bucket, in requests per second.
    #[must_use]
    pub const fn per_second(&self) -> f64 {
        self.local_limit.per_second
    }

    /// Number of requests granted in the current time window.
    #[must_use]
    pub const fn granted_in_window(&self) -> u32 {
        self.granted_in_window
    }
}
