//! When a request whose answer is late is sent to a second server.
//!
//! Load it answers: a server that runs requests and loses their answers, or hangs while its health is
//! good. A request that may be repeated waited there until its caller's time was over, 1.1 s where the
//! usual answer takes 15 ms. Under overload all answers are late, and sending more would make it worse:
//! the delay grows with the usual time, and a budget bounds what is sent twice.

use std::time::Duration;

/// Answers that must be known before anything is sent twice.
const KNOWN: u32 = 10;
/// Weight of the newest answer in the usual time, as TCP weighs round trips.
const NEWEST: f64 = 0.125;
/// Weight of the newest answer in the deviation from it.
const NEWEST_DEVIATION: f64 = 0.25;
/// Deviations beyond the usual time after which an answer is late, as for TCP.
const DEVIATIONS: f64 = 4.0;
/// The shortest delay: a few round trips and a pause of the process.
const SHORTEST_MS: f64 = 30.0;
/// What each answer adds to the budget of requests that are sent twice: one in five. A server of four
/// that loses 40 in 100 answers asks for one in ten.
const EARNED: f64 = 0.2;
/// The most that may be saved up.
const SAVED: f64 = 10.0;

/// The usual time of one kind of request, and what may be sent twice of it.
///
/// ```
/// use std::time::Duration;
/// use vanillatrail::policy::hedge::Hedge;
/// let mut hedge = Hedge::default();
/// assert_eq!(hedge.delay(), None);
/// for _ in 0..20 {
///     hedge.answered(Duration::from_millis(20));
/// }
/// assert_eq!(hedge.delay(), Some(Duration::from_millis(30)));
/// assert!(hedge.spend());
/// ```
#[derive(Debug, Default)]
pub struct Hedge {
    usual_ms: f64,
    deviation_ms: f64,
    answers: u32,
    budget: f64,
}

impl Hedge {
    /// A request was answered in this time, from its first attempt on.
    pub fn answered(&mut self, took: Duration) {
        let sample = took.as_secs_f64() * 1000.0;
        if self.answers == 0 {
            self.usual_ms = sample;
            self.deviation_ms = sample / 2.0;
        } else {
            let deviation = (sample - self.usual_ms).abs();
            self.deviation_ms += NEWEST_DEVIATION * (deviation - self.deviation_ms);
            self.usual_ms += NEWEST * (sample - self.usual_ms);
        }
        self.answers = self.answers.saturating_add(1);
        self.budget = (self.budget + EARNED).min(SAVED);
    }

    /// How long an answer is waited for before the request is sent a second time; none while too few
    /// answers are known.
    #[must_use]
    pub fn delay(&self) -> Option<Duration> {
        if self.answers < KNOWN {
            return None;
        }
        let late_ms = self.usual_ms + DEVIATIONS * self.deviation_ms;
        Some(Duration::from_secs_f64(late_ms.max(SHORTEST_MS) / 1000.0))
    }

    /// Takes one request off the budget, if there is one.
    pub fn spend(&mut self) -> bool {
        let left = self.budget - 1.0;
        if left >= 0.0 {
            self.budget = left;
        }
        left >= 0.0
    }
}
