//! Tells a slow store from a silent one, and how long to wait for either.
//!
//! Load: a store that answers 96 times slower for 4 s, or does not answer for 7 s. A fixed time limit takes the slow store
//! for a lost one: partitions are handed from VM to VM, and each call is repeated until the store is slower still.
//! A store that gets more calls than it allows rejects the rest of them. Calls for other partitions, and through other VMs,
//! would make them more.

use std::collections::VecDeque;
use std::fmt;
use std::time::Duration;
use tokio::time::Instant;

/// Answers whose median is the usual time of an answer. Two late answers among five do not change it.
const SAMPLES: usize = 5;
/// The store is slow if its usual answer takes longer. Below, all time limits keep their values: the shortest wait for a
/// record is 200 ms. A healthy store answers in 4 ms, but a VM without processor time sees answers of over 100 ms.
const SLOW_ANSWER: Duration = Duration::from_millis(200);
/// Factor between the usual answer and a time limit: a record may wait behind one write in progress, and then takes one
/// of its own.
const TIMEOUT_FACTOR: u32 = 3;
/// Upper bound of time limits that grow with a slow store: callers leave after 2 s without an event.
const MAX_TIMEOUT: Duration = Duration::from_millis(1500);
/// Time from its arrival for which a turn waits for a silent store: callers leave after 2 s without an event, and the
/// engine needs time for the first one.
const MAX_TURN_WAIT: Duration = Duration::from_millis(1500);
/// Bounds of the time after which a refused turn may come back. With 3 s, callers came back long after the end of a
/// silence of 5 s; a held turn costs nothing, so coming back early does no harm.
const RETRY_AFTER: (Duration, Duration) = (Duration::from_millis(700), Duration::from_secs(2));
/// Part of that time over which callers are spread.
const RETRY_SPREAD: f64 = 0.25;
/// Time between the first writes of two buckets after a silence, and the time within which all have begun: turns are to
/// be recorded within 3 s.
const RELEASE_INTERVAL: (Duration, Duration) = (Duration::from_millis(5), Duration::from_secs(1));
/// Factor between the usual answer and the delay of a repeated call.
const HEDGE_FACTOR: u32 = 2;
/// A store with a usual answer of a few milliseconds is silent after this time without one. Above the time limits within
/// which a turn waits for a record, so that a short delay holds nothing back.
const MIN_SILENCE: Duration = Duration::from_millis(300);
/// Time after a rejected call in which the store counts as busy. A busy store rejects some of the calls of each VM.
const BUSY_PERIOD: Duration = Duration::from_millis(500);
/// Time without an accepted call after which rejected ones mean that the store serves other VMs only. Each VM reads the
/// configuration twice a second.
const MAX_REJECTING: Duration = Duration::from_secs(1);
/// Longest wait for a record that a busy store rejects. Callers leave after 2 s without an event.
pub const MAX_BUSY_WAIT: Duration = Duration::from_millis(1200);
/// First and longest pause before a call that a busy store has rejected is repeated.
const BUSY_PAUSE: (Duration, Duration) = (Duration::from_millis(40), Duration::from_millis(320));

/// How the last write of one writer ended.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum LastWrite {
    /// The store took it, or there was none.
    #[default]
    Taken,
    /// The store is busy and rejected it; it takes the same write soon.
    Rejected,
    /// It failed in another way: the partition may be lost.
    Failed,
}

/// State of the store as seen by one VM.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum State {
    /// It answers in its usual time.
    #[default]
    Healthy,
    /// It answers slowly.
    Slow,
    /// It does not answer.
    Silent,
}

impl fmt::Display for State {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Healthy => "healthy",
            Self::Slow => "slow",
            Self::Silent => "silent",
        })
    }
}

/// What this VM has seen of the store.
///
/// Answers to all calls count. Silence is detected by polling calls alone ([`StoreHealth::begin`]): one partition may
/// be silent while the others are not.
///
/// ```
/// use std::time::Duration;
/// use tokio::time::Instant;
/// use vanillatrail::policy::store_health::StoreHealth;
/// let (start, mut health) = (Instant::now(), StoreHealth::default());
/// let late = start + Duration::from_millis(400);
/// for _ in 0..5 {
///     health.answered(late, late - start);
/// }
/// assert!(health.is_slow());
/// assert_eq!(health.scaled_timeout(Duration::from_millis(250)), Duration::from_millis(1200));
/// ```
#[derive(Debug, Clone, Default)]
pub struct StoreHealth {
    times: VecDeque<Duration>,
    /// When the first polling call was sent that no answer to any call has followed.
    unanswered_since: Option<Instant>,
    /// When the store was last seen slow or silent.
    last_unhealthy_at: Option<Instant>,
    /// When the store last accepted a call.
    last_accepted_at: Option<Instant>,
    /// When the store last rejected a call as one too many.
    last_rejected_at: Option<Instant>,
}

impl StoreHealth {
    /// Notes that a polling call is sent.
    pub fn begin(&mut self, now: Instant) {
        self.unanswered_since.get_or_insert(now);
    }

    /// Notes that the store answered a call. Returns whether that ends a silence.
    pub fn answered(&mut self, now: Instant, took: Duration) -> bool {
        let was_silent = self.refused(now);
        self.last_accepted_at = Some(now);
        if self.times.len() == SAMPLES {
            self.times.pop_front();
        }
        self.times.push_back(took);
        if self.is_slow() {
            self.last_unhealthy_at = Some(now);
        }
        was_silent
    }

    /// Notes that the store refused a call as unavailable, which may be true for one of its partitions only. Returns
    /// whether that ends a silence.
    pub fn refused(&mut self, now: Instant) -> bool {
        let was_silent = self.is_silent(now);
        if was_silent {
            self.last_unhealthy_at = Some(now);
        }
        self.unanswered_since = None;
        was_silent
    }

    /// Notes that the store rejected a call as one too many. Returns whether that ends a silence.
    pub fn rejected(&mut self, now: Instant) -> bool {
        self.last_rejected_at = Some(now);
        self.refused(now)
    }

    /// Whether the store rejects calls as too many and accepts others, so that a rejected one may soon be accepted.
    ///
    /// ```
    /// use std::time::Duration;
    /// use tokio::time::Instant;
    /// use vanillatrail::policy::store_health::StoreHealth;
    /// let (start, second) = (Instant::now(), Duration::from_secs(1));
    /// let mut health = StoreHealth::default();
    /// health.answered(start, Duration::ZERO);
    /// health.rejected(start + second / 2);
    /// assert!(health.is_busy(start + second / 2));
    /// health.rejected(start + second * 2);
    /// assert!(!health.is_busy(start + second * 2), "it accepts no call of this VM");
    /// ```
    #[must_use]
    pub fn is_busy(&self, now: Instant) -> bool {
        let since = |at: Option<Instant>| at.map(|at| now.saturating_duration_since(at));
        let rejects = since(self.last_rejected_at).is_some_and(|time| time < BUSY_PERIOD);
        rejects && since(self.last_accepted_at).is_some_and(|time| time < MAX_REJECTING)
    }

    /// The usual time of an answer; zero before the first five.
    #[must_use]
    pub fn usual_answer(&self) -> Duration {
        let mut times: Vec<Duration> = self.times.iter().copied().collect();
        times.sort_unstable();
        match *times {
            [_, _, median, _, _] => median,
            _ => Duration::ZERO,
        }
    }

    /// Whether the store answers, but slowly.
    #[must_use]
    pub fn is_slow(&self) -> bool {
        self.usual_answer() > SLOW_ANSWER
    }

    /// The present state, for logs.
    #[must_use]
    pub fn state(&self, now: Instant) -> State {
        match (self.is_silent(now), self.is_slow()) {
            (true, _) => State::Silent,
            (false, true) => State::Slow,
            (false, false) => State::Healthy,
        }
    }

    /// How long the store has not answered any call; `None` if it is not silent.
    #[must_use]
    pub fn silent_for(&self, now: Instant) -> Option<Duration> {
        let limit = (self.usual_answer() * TIMEOUT_FACTOR).max(MIN_SILENCE);
        let waited = now.saturating_duration_since(self.unanswered_since?);
        (waited > limit).then_some(waited)
    }

    /// Whether the store has not answered for longer than it usually takes.
    #[must_use]
    pub fn is_silent(&self, now: Instant) -> bool {
        self.silent_for(now).is_some()
    }

    /// Whether the store has been neither slow nor silent for a time.
    ///
    /// Servers can't renew their registrations at a slow store: until they have had time to, a missing registration does
    /// not mean that its server is gone.
    ///
    /// ```
    /// use std::time::Duration;
    /// use tokio::time::Instant;
    /// use vanillatrail::policy::store_health::StoreHealth;
    /// let (start, second) = (Instant::now(), Duration::from_secs(1));
    /// let mut health = StoreHealth::default();
    /// assert!(health.is_healthy_for(start, second));
    /// health.begin(start);
    /// assert!(!health.is_healthy_for(start + second, second));
    /// health.answered(start + second * 2, second * 2);
    /// assert!(!health.is_healthy_for(start + second * 2, second));
    /// assert!(health.is_healthy_for(start + second * 3, second));
    /// ```
    #[must_use]
    pub fn is_healthy_for(&self, now: Instant, time: Duration) -> bool {
        let recently_unhealthy = self
            .last_unhealthy_at
            .is_some_and(|at| now.saturating_duration_since(at) < time);
        !recently_unhealthy && !self.is_slow() && !self.is_silent(now)
    }

    /// A time limit that is `limit` at a healthy store, and longer at a slow one.
    #[must_use]
    pub fn scaled_timeout(&self, limit: Duration) -> Duration {
        if !self.is_slow() {
            return limit;
        }
        limit.max((self.usual_answer() * TIMEOUT_FACTOR).min(MAX_TIMEOUT))
    }

    /// The delay of a repeated call, `delay` at a healthy store. Repeating calls that are on their way makes a slow store
    /// slower.
    #[must_use]
    pub fn hedge_delay(&self, delay: Duration) -> Duration {
        if !self.is_slow() {
            return delay;
        }
        delay.max(self.usual_answer() * HEDGE_FACTOR)
    }
}

/// Pause before a call is repeated that a busy store has rejected `rejections` times in a row. `spread`, between 0 and 1,
/// differs between calls.
///
/// ```
/// use std::time::Duration;
/// use vanillatrail::policy::store_health::busy_pause;
/// assert_eq!(busy_pause(1, 0.5), Duration::from_millis(40));
/// assert_eq!(busy_pause(2, 0.0), Duration::from_millis(40));
/// assert_eq!(busy_pause(9, 1.0), Duration::from_millis(480));
/// ```
#[must_use]
pub fn busy_pause(rejections: u32, spread: f64) -> Duration {
    let doubled = BUSY_PAUSE.0 * 2_u32.saturating_pow(rejections.saturating_sub(1).min(8));
    doubled.min(BUSY_PAUSE.1).mul_f64(0.5 + spread)
}

/// Until when a turn waits for a silent store before it uses an engine. Half of the rest of its time is for the engine.
///
/// ```
/// use std::time::Duration;
/// use tokio::time::Instant;
/// use vanillatrail::policy::store_health::wait_limit;
/// let (arrived, second) = (Instant::now(), Duration::from_secs(1));
/// assert_eq!(wait_limit(arrived, arrived, arrived + second * 9), arrived + second * 3 / 2);
/// assert_eq!(wait_limit(arrived, arrived, arrived + second), arrived + second / 2);
/// ```
#[must_use]
pub fn wait_limit(now: Instant, arrived: Instant, deadline: Instant) -> Instant {
    let spare = deadline.saturating_duration_since(now) / 2;
    (arrived + MAX_TURN_WAIT).min(now + spare)
}

/// When a turn that was refused in a silence may come back. `spread`, between 0 and 1, differs between callers.
///
/// Nobody knows how long a silence lasts; it is taken to go on for as long as it has lasted.
///
/// ```
/// use std::time::Duration;
/// use vanillatrail::policy::store_health::retry_after;
/// let second = Duration::from_secs(1);
/// assert_eq!(retry_after(second, 0.0), second);
/// assert_eq!(retry_after(second, 1.0), second * 5 / 4);
/// assert_eq!(retry_after(second * 60, 0.0), second * 2);
/// ```
#[must_use]
pub fn retry_after(silent_for: Duration, spread: f64) -> Duration {
    let expected = silent_for.clamp(RETRY_AFTER.0, RETRY_AFTER.1);
    expected.mul_f64(RETRY_SPREAD.mul_add(spread, 1.0))
}

/// How long a bucket waits after a silence before it writes, if `earlier` of `waiting` buckets have waited longer.
///
/// ```
/// use std::time::Duration;
/// use vanillatrail::policy::store_health::release_delay;
/// assert_eq!(release_delay(0, 10), Duration::ZERO);
/// assert_eq!(release_delay(9, 10), Duration::from_millis(45));
/// assert_eq!(release_delay(500, 1000), Duration::from_millis(500));
/// ```
#[must_use]
pub fn release_delay(earlier: usize, waiting: usize) -> Duration {
    let count = |number: usize| u32::try_from(number).unwrap_or(u32::MAX);
    let interval = RELEASE_INTERVAL
        .0
        .min(RELEASE_INTERVAL.1 / count(waiting).max(1));
    interval * count(earlier)
}
