//! How much of a limit the VM that counts a team may grant, by what it knows of the store and of other VMs.
//!
//! Load it answers: a third of the VMs is cut off from all others while a team sends several times its usual. Both
//! sides count the team then. Each knows something: the one that is cut off has lost the store, and soon misses
//! most members; the other one has taken over from a VM that is silent.

use super::limit::Share;
use std::time::Duration;

/// How long ago the store must have taken a record of the counter. One is written each second.
pub const CONFIRMED: Duration = Duration::from_millis(1500);
/// For how long a counter grants half where another one may still count: members that are lost are missed within
/// that time.
pub const DOUBT: Duration = Duration::from_secs(4);

/// What a counter knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Standing {
    /// How long ago the write began that the store took last.
    pub confirmed: Duration,
    /// How long ago it took over from a VM that was silent, or stood still itself; none where neither is so.
    pub doubted: Option<Duration>,
    /// Members that are heard.
    pub heard: usize,
    /// Members that were known within the last minute.
    pub known: usize,
}

impl Standing {
    /// The share that it may grant.
    ///
    /// ```
    /// use std::time::Duration;
    /// use vanillatrail::policy::limit::Share;
    /// use vanillatrail::policy::trust::Standing;
    /// let calm = Standing { confirmed: Duration::ZERO, doubted: None, heard: 9, known: 9 };
    /// assert_eq!(calm.share(), Share::Whole);
    /// let cut_off = Standing { confirmed: Duration::from_secs(9), heard: 3, ..calm };
    /// assert_eq!(cut_off.share(), Share::Tolerance(3.0 / 9.0));
    /// ```
    #[must_use]
    pub fn share(&self) -> Share {
        if self.doubted.is_some_and(|ago| ago < DOUBT) {
            return Share::Half;
        }
        if self.confirmed < CONFIRMED {
            return Share::Whole;
        }
        if self.confirmed < DOUBT {
            return Share::Half;
        }
        let known = self.known.max(self.heard).max(1);
        if self.heard * 2 > known {
            // The store is away for all, or for this VM alone: nobody takes over from one that answers.
            return Share::Whole;
        }
        Share::Tolerance(self.heard as f64 / known as f64)
    }
}
