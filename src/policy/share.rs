//! Decides which share of a limit the VM that counts a team may grant.
//!
//! During a network partition both sides may count the same team. The VM on the minority side has lost the store and
//! gets no answer from most VMs; the one on the majority side has taken over from a VM that does not answer. Each grants
//! less for as long as the other may still grant.

use super::limit::{AHEAD, Share};
use super::outage::Reach;
use std::time::Duration;
use tokio::time::Instant;

/// Age of the counter's last accepted write up to which the store is taken to confirm it. Counters write every second.
pub const CONFIRMED: Duration = Duration::from_millis(1500);
/// How long a counter grants half of the limit after a takeover or a stall. By then a previous counter that was cut off
/// or suspended has noticed it, and no longer grants the full limit.
pub const HALF_SHARE_PERIOD: Duration = Duration::from_secs(4);

/// How a VM became the counter of a partition of teams, which determines what may have been granted before.
///
/// Kept per acquisition of a partition. A VM that acquires it again must not reuse the value of an earlier attempt, as
/// another VM may have granted requests in between.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin {
    /// No VM had counted the teams before.
    First,
    /// The previous counter handed the teams over.
    HandedOver,
    /// The previous counter said that it no longer counts, was this VM, or cannot be told from its record.
    GivenUp,
    /// The previous counter did not answer at this time, and may still grant requests.
    Silent(Instant),
}

impl Origin {
    /// Time from which the bucket of a new counter fills, where the first request arrives at `now` and the process
    /// started at `process_start`.
    ///
    /// ```
    /// use std::time::Duration;
    /// use tokio::time::Instant;
    /// use vanillatrail::policy::share::Origin;
    /// let now = Instant::now();
    /// let window = Duration::from_secs(5);
    /// assert_eq!(Origin::First.begins(now, now, window), now - window);
    /// assert!(Origin::HandedOver.begins(now, now - window, window) > now);
    /// assert_eq!(Origin::GivenUp.begins(now, now - window, window), now);
    /// ```
    #[must_use]
    pub fn begins(self, now: Instant, process_start: Instant, window: Duration) -> Instant {
        match self {
            // No request was granted within the last window, so the bucket is full.
            Self::First => now.checked_sub(window).unwrap_or(now),
            Self::HandedOver => now + AHEAD,
            // An unresponsive counter is only replaced after a longer time. If this VM was the previous counter, it may
            // have granted requests just before it restarted.
            Self::GivenUp | Self::Silent(_) => now.max(process_start + AHEAD),
        }
    }

    /// Time since the previous counter was found unresponsive; `None` if it certainly no longer grants.
    #[must_use]
    pub fn doubted(self, now: Instant) -> Option<Duration> {
        match self {
            Self::Silent(since) => Some(now.saturating_duration_since(since)),
            Self::First | Self::HandedOver | Self::GivenUp => None,
        }
    }
}

/// What a counter knows about its own state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Standing {
    /// Time since the start of the last write that the store accepted.
    pub confirmed: Duration,
    /// Time since it took over from an unresponsive VM, or was itself stalled; `None` if neither happened.
    pub doubted: Option<Duration>,
    /// How many other VMs it reaches; `None` if that was not checked.
    pub reach: Option<Reach>,
}

impl Standing {
    /// The share of the limit that the counter may grant.
    ///
    /// ```
    /// use std::time::Duration;
    /// use vanillatrail::policy::limit::Share;
    /// use vanillatrail::policy::outage::Reach;
    /// use vanillatrail::policy::share::Standing;
    /// let calm = Standing { confirmed: Duration::ZERO, doubted: None, reach: None };
    /// assert_eq!(calm.share(), Share::Whole);
    /// let few = Reach { answered: 1, asked: 7, known: 8 };
    /// let cut_off = Standing { confirmed: Duration::from_secs(9), reach: Some(few), ..calm };
    /// assert_eq!(cut_off.share(), Share::Tolerance(0.25));
    /// ```
    #[must_use]
    pub fn share(&self) -> Share {
        let confirmed = self.confirmed < CONFIRMED;
        let cut_off = self.reach.filter(|reach| !reach.is_most());
        if let Some(reach) = cut_off.filter(|_| !confirmed) {
            return Share::Tolerance(reach.part());
        }
        let may_overlap = self.doubted.is_some_and(|ago| ago < HALF_SHARE_PERIOD);
        if may_overlap || !confirmed && self.reach.is_none() {
            return Share::Half;
        }
        // Even without the store, no VM takes over from one that most others reach.
        Share::Whole
    }
}
