//! Tells a slow store from a silent one, and how long to wait for either.
//!
//! Load: a store that answers 96 times slower for 4 s, or does not answer for 7 s. A fixed time limit takes the slow store
//! for a lost one: partitions are handed from VM to VM, and each call is repeated until the store is slower still.

use std::collections::VecDeque;
use std::fmt;
use std::time::Duration;
use tokio::time::Instant;

/// Answers whose median is the usual time of an answer. Two late answers among five do not change it.
const SAMPLES: usize = 5;
/// The store is slow if its usual answer takes longer. Below, all time limits keep their values: a healthy store answers
/// in 4 ms, and a VM with little processor time sees it in some ten.
const SLOW_ANSWER: Duration = Duration::from_millis(100);
/// Factor between the usual answer and a time limit: a record may wait behind one write in progress, and then takes one
/// of its own.
const PATIENCE_FACTOR: u32 = 3;
/// Upper bound of time limits that grow with a slow store: callers leave after 2 s without an event.
const MAX_PATIENCE: Duration = Duration::from_millis(1500);
/// Factor between the usual answer and the delay of a repeated call.
const HEDGE_FACTOR: u32 = 2;
/// A store with a usual answer of a few milliseconds is silent after this time without one. Above the delays of repeated
/// calls, which tell a lost connection from a silent store.
const MIN_SILENCE: Duration = Duration::from_millis(300);

/// State of the store as seen by one VM.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum State {
    /// It answers in its usual time.
    #[default]
    Well,
    /// It answers slowly.
    Slow,
    /// It does not answer.
    Silent,
}

impl fmt::Display for State {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Well => "well",
            Self::Slow => "slow",
            Self::Silent => "silent",
        })
    }
}

/// What this VM has seen of the store. Every call is reported by [`StoreHealth::begin`], and its end by one of
/// [`StoreHealth::answered`], [`StoreHealth::failed`] and [`StoreHealth::cancelled`].
///
/// ```
/// use std::time::Duration;
/// use tokio::time::Instant;
/// use vanillatrail::policy::store_health::StoreHealth;
/// let (start, mut health) = (Instant::now(), StoreHealth::default());
/// let late = start + Duration::from_millis(400);
/// for _ in 0..5 {
///     health.begin(start);
///     health.answered(late, late - start);
/// }
/// assert!(health.is_slow());
/// assert_eq!(health.patience(Duration::from_millis(250)), Duration::from_millis(1200));
/// ```
#[derive(Debug, Clone, Default)]
pub struct StoreHealth {
    times: VecDeque<Duration>,
    /// Calls without an outcome.
    pending: usize,
    /// Since when calls have waited or failed without an answer to any call.
    unanswered_since: Option<Instant>,
    /// When the store was last seen slow or silent.
    unwell_at: Option<Instant>,
}

impl StoreHealth {
    /// Notes that a call is sent.
    pub fn begin(&mut self, now: Instant) {
        self.pending += 1;
        self.unanswered_since.get_or_insert(now);
    }

    /// Notes that the store answered a call `took` after it was sent. Returns whether that ends a silence.
    pub fn answered(&mut self, now: Instant, took: Duration) -> bool {
        let was_silent = self.is_silent(now);
        self.pending = self.pending.saturating_sub(1);
        self.unanswered_since = (self.pending > 0).then_some(now);
        if self.times.len() == SAMPLES {
            self.times.pop_front();
        }
        self.times.push_back(took);
        if was_silent || self.is_slow() {
            self.unwell_at = Some(now);
        }
        was_silent
    }

    /// Notes that a call failed: no connection, no answer in time, or a refusal by a server that does not work.
    ///
    /// The store stays unanswered: a store that refuses everything is as good as silent.
    pub fn failed(&mut self) {
        self.pending = self.pending.saturating_sub(1);
    }

    /// Notes that nobody waits for a call any longer.
    pub fn cancelled(&mut self, now: Instant) {
        self.pending = self.pending.saturating_sub(1);
        // Repeated calls are dropped once one of them is answered.
        if self.pending == 0 && !self.is_silent(now) {
            self.unanswered_since = None;
        }
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
            (false, false) => State::Well,
        }
    }

    /// How long the store has not answered any call; `None` if it is not silent.
    #[must_use]
    pub fn silent_for(&self, now: Instant) -> Option<Duration> {
        let limit = (self.usual_answer() * PATIENCE_FACTOR).max(MIN_SILENCE);
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
    /// assert!(health.is_well_for(start, second));
    /// health.begin(start);
    /// assert!(!health.is_well_for(start + second, second));
    /// health.answered(start + second * 2, second * 2);
    /// assert!(!health.is_well_for(start + second * 2, second));
    /// assert!(health.is_well_for(start + second * 3, second));
    /// ```
    #[must_use]
    pub fn is_well_for(&self, now: Instant, time: Duration) -> bool {
        let recently_unwell = self
            .unwell_at
            .is_some_and(|at| now.saturating_duration_since(at) < time);
        !recently_unwell && !self.is_slow() && !self.is_silent(now)
    }

    /// A time limit that is `limit` at a healthy store, and longer at a slow one.
    #[must_use]
    pub fn patience(&self, limit: Duration) -> Duration {
        if !self.is_slow() {
            return limit;
        }
        limit.max((self.usual_answer() * PATIENCE_FACTOR).min(MAX_PATIENCE))
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
