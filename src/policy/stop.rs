//! Which requests a stopping VM still sends to servers, and when it answers the others.
//!
//! Load that it answers: callers go on to use their connections until the load balancer has noticed the stop, and the bodies
//! of requests arrive late. What is still at work when the process ends is cut off, so a request that may not end before
//! is refused as not run while it has not been sent, whatever has held it up.

use std::time::Duration;
use tokio::time::Instant;

/// How long a stopping VM still accepts connections: the load balancer probes once a second and
/// removes a VM after two failed probes.
pub const ACCEPT_PERIOD: Duration = Duration::from_millis(2600);
/// Time before the end of the process in which answers reach their callers.
pub const ANSWER_MARGIN: Duration = Duration::from_millis(300);
/// Least time in which a request is expected to end.
const MIN_RUN_TIME: Duration = Duration::from_secs(1);
/// A request is expected to end within this many times the latency target of its route.
const TARGETS_PER_RUN: u32 = 2;

/// A planned stop under way.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Stop {
    /// When it began.
    pub began: Instant,
    /// When the process ends.
    pub ends: Instant,
}

impl Stop {
    /// When connections are no longer accepted.
    #[must_use]
    pub fn accepts_until(&self) -> Instant {
        self.ends.min(self.began + ACCEPT_PERIOD)
    }

    /// When requests are answered that have no answer yet.
    #[must_use]
    pub fn answers_at(&self) -> Instant {
        let answers_at = self.ends.checked_sub(ANSWER_MARGIN);
        answers_at.unwrap_or(self.ends).max(self.began)
    }

    /// Whether a request may be sent to a server that has `remaining` time until its deadline, and is to be answered within
    /// `target` of its arrival. While callers still come, it only has to be likely that it ends in time; what is
    /// sent later has to.
    ///
    /// ```
    /// use std::time::Duration;
    /// use tokio::time::Instant;
    /// use vanillatrail::policy::stop::Stop;
    /// let (began, second) = (Instant::now(), Duration::from_secs(1));
    /// let stop = Stop { began, ends: began + 8 * second };
    /// assert!(stop.allows_sending(began + 2 * second, 6 * second, second / 2));
    /// assert!(!stop.allows_sending(began + 3 * second, 6 * second, second / 2));
    /// assert!(stop.allows_sending(began + 3 * second, 2 * second, second / 2));
    /// ```
    #[must_use]
    pub fn allows_sending(&self, now: Instant, remaining: Duration, target: Duration) -> bool {
        let left = self.answers_at().saturating_duration_since(now);
        let likely = (target * TARGETS_PER_RUN).max(MIN_RUN_TIME);
        let needed = if now < self.accepts_until() {
            likely.min(remaining)
        } else {
            remaining
        };
        left >= needed
    }
}
