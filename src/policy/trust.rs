//! How much of a limit the VM that counts a team may grant, by what it knows of the store and of other VMs.
//!
//! Load it answers: a third of the VMs is cut off from all others while a team sends several times its usual. Both
//! sides count the team then. Each knows something: the one that is cut off has lost the store and finds that most
//! VMs don't answer; the other one has taken over from a VM that is silent.

use super::limit::{AHEAD, Share};
use super::outage::Reach;
use std::time::Duration;
use tokio::time::Instant;

/// How long ago the store must have taken a record of the counter. One is written each second.
pub const CONFIRMED: Duration = Duration::from_millis(1500);
/// For how long a counter grants half where another one may still count. One that is cut off has found that out
/// by then, and one that was suspended has been refused by the store.
pub const DOUBT: Duration = Duration::from_secs(4);

/// How a counter came by the teams that it counts, which tells what may have been granted before.
///
/// It belongs to one taking: a VM that tried to take teams first, lost to another one and had them handed over
/// later would begin with a full bucket beside what the other one had granted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin {
    /// Nobody had ever counted them.
    First,
    /// The counter before handed them over.
    HandedOver,
    /// The counter before said that it counts no more, or was this VM.
    GivenUp,
    /// The counter before was silent then, and may still grant.
    Silent(Instant),
}

impl Origin {
    /// When a counter begins with an empty bucket that is first asked at `now`, in a process that began at
    /// `restarted`.
    ///
    /// ```
    /// use std::time::Duration;
    /// use tokio::time::Instant;
    /// use vanillatrail::policy::trust::Origin;
    /// let now = Instant::now();
    /// let window = Duration::from_secs(5);
    /// assert_eq!(Origin::First.begins(now, now, window), now - window);
    /// assert!(Origin::HandedOver.begins(now, now - window, window) > now);
    /// assert_eq!(Origin::GivenUp.begins(now, now - window, window), now);
    /// ```
    #[must_use]
    pub fn begins(self, now: Instant, restarted: Instant, window: Duration) -> Instant {
        match self {
            // Nothing was granted within the window before.
            Self::First => now.checked_sub(window).unwrap_or(now),
            Self::HandedOver => now + AHEAD,
            // One that is silent was so for longer when it is taken over from; a VM that counted before may have
            // started again at once.
            Self::GivenUp | Self::Silent(_) => now.max(restarted + AHEAD),
        }
    }

    /// For how long another counter may have granted beside this one.
    #[must_use]
    pub fn doubted(self, now: Instant) -> Option<Duration> {
        match self {
            Self::Silent(since) => Some(now.saturating_duration_since(since)),
            Self::First | Self::HandedOver | Self::GivenUp => None,
        }
    }
}

/// What a counter knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Standing {
    /// How long ago the write began that the store took last.
    pub confirmed: Duration,
    /// How long ago it took over from a VM that was silent, or stood still itself; none where neither is so.
    pub doubted: Option<Duration>,
    /// How many other VMs it reaches; none where that is not known.
    pub reach: Option<Reach>,
}

impl Standing {
    /// The share that it may grant.
    ///
    /// ```
    /// use std::time::Duration;
    /// use vanillatrail::policy::limit::Share;
    /// use vanillatrail::policy::outage::Reach;
    /// use vanillatrail::policy::trust::Standing;
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
        let doubted = self.doubted.is_some_and(|ago| ago < DOUBT);
        if doubted || !confirmed && self.reach.is_none() {
            return Share::Half;
        }
        // Without the store nobody takes over from a VM that answers most others.
        Share::Whole
    }
}
