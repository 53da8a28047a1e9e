//! Decides which share of a limit the owner of a team may grant.
//!
//! When the network is split, VMs on both sides may act as owner of the same team. The one on the minority side has lost
//! the store and gets no answer from most VMs; the one on the majority side has taken over from a VM that does not
//! answer. Each grants less for as long as the other may still grant.

use super::limit::{MAX_GRANT_DELAY, Share};
use super::outage::Reachability;
use std::time::Duration;
use tokio::time::Instant;

/// Ownership counts as confirmed if the store accepted a write within this time. Owners write every second.
pub const MAX_CONFIRMATION_AGE: Duration = Duration::from_millis(1500);
/// How long an owner grants half of the limit after a takeover or a stall. By then a previous owner that was cut off or
/// suspended has noticed it, and no longer grants the full limit.
pub const HALF_SHARE_PERIOD: Duration = Duration::from_secs(4);

/// How a VM became the owner of a partition, which determines what other VMs may have granted before.
///
/// Set with each takeover. The value of an earlier takeover must not be reused, since another VM may have granted
/// requests in between.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin {
    /// The partition had no owner before.
    First,
    /// The previous owner handed the partition over.
    HandedOver,
    /// The previous owner no longer owns the partition, was this VM, or cannot be determined.
    Released,
    /// The previous owner did not answer at this time, and may still grant requests.
    Unresponsive(Instant),
}

impl Origin {
    /// Time from which a new owner's bucket fills, where the first request arrives at `now` and the process started at
    /// `process_start`.
    ///
    /// ```
    /// use std::time::Duration;
    /// use tokio::time::Instant;
    /// use vanillatrail::policy::share::Origin;
    /// let now = Instant::now();
    /// let window = Duration::from_secs(5);
    /// assert_eq!(Origin::First.grants_from(now, now, window), now - window);
    /// assert!(Origin::HandedOver.grants_from(now, now - window, window) > now);
    /// assert_eq!(Origin::Released.grants_from(now, now - window, window), now);
    /// ```
    #[must_use]
    pub fn grants_from(self, now: Instant, process_start: Instant, window: Duration) -> Instant {
        match self {
            // No request was granted within the last window, so the bucket is full.
            Self::First => now.checked_sub(window).unwrap_or(now),
            Self::HandedOver => now + MAX_GRANT_DELAY,
            // An unresponsive owner is replaced only after more time than that. If the previous owner was this VM, it
            // may have granted requests just before it restarted.
            Self::Released | Self::Unresponsive(_) => now.max(process_start + MAX_GRANT_DELAY),
        }
    }

    /// Time since the previous owner was found unresponsive; `None` if it certainly no longer grants requests.
    #[must_use]
    pub fn overlap_age(self, now: Instant) -> Option<Duration> {
        match self {
            Self::Unresponsive(since) => Some(now.saturating_duration_since(since)),
            Self::First | Self::HandedOver | Self::Released => None,
        }
    }
}

/// What an owner knows about its ownership.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Status {
    /// Time since the start of the last write that the store accepted.
    pub confirmed_ago: Duration,
    /// Time since it took over from an unresponsive VM, or was itself stalled; `None` if neither happened.
    pub overlap_age: Option<Duration>,
    /// How many other VMs it reaches; `None` if that was not checked.
    pub reach: Option<Reachability>,
}

impl Status {
    /// The share of the limit that the owner may grant.
    ///
    /// ```
    /// use std::time::Duration;
    /// use vanillatrail::policy::limit::Share;
    /// use vanillatrail::policy::outage::Reachability;
    /// use vanillatrail::policy::share::Status;
    /// let calm = Status { confirmed_ago: Duration::ZERO, overlap_age: None, reach: None };
    /// assert_eq!(calm.share(), Share::Whole);
    /// let few = Reachability { answered: 1, asked: 7, known: 8 };
    /// let cut_off = Status { confirmed_ago: Duration::from_secs(9), reach: Some(few), ..calm };
    /// assert_eq!(cut_off.share(), Share::Tolerance(0.25));
    /// ```
    #[must_use]
    pub fn share(&self) -> Share {
        let confirmed = self.confirmed_ago < MAX_CONFIRMATION_AGE;
        let cut_off = self.reach.filter(|reach| !reach.is_majority());
        if let Some(reach) = cut_off.filter(|_| !confirmed) {
            return Share::Tolerance(reach.share());
        }
        let may_overlap = self.overlap_age.is_some_and(|ago| ago < HALF_SHARE_PERIOD);
        if may_overlap || !confirmed && self.reach.is_none() {
            return Share::Half;
        }
        // Even without the store, no VM takes over from one that most others reach.
        Share::Whole
    }
}
