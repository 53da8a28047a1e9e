//! Whether this VM alone has lost the store, or all have.
//!
//! Load it answers: the store refuses everybody for some seconds, and hundreds of VMs notice within the
//! same second. A VM that is cut off alone had better pass on what only the store's clients can do; where
//! all are cut off, whoever is passed to is no better off, and VMs that pass on to each other lose count.

use std::time::Duration;

/// Whether a VM that last heard the store `heard_ago` still had it when this one, `lost_for` ago, had
/// lost it.
///
/// A VM says that it has lost the store only after several failures, so the outage began before
/// that. An answer that came later can't be from before the outage.
///
/// ```
/// use std::time::Duration;
/// use vanillatrail::policy::outage::still_heard;
/// let second = Duration::from_secs(1);
/// assert!(still_heard(second, Some(second / 2)));
/// assert!(!still_heard(second, Some(second * 2)));
/// assert!(!still_heard(second, None));
/// ```
#[must_use]
pub fn still_heard(lost_for: Duration, heard_ago: Option<Duration>) -> bool {
    heard_ago.is_some_and(|heard_ago| heard_ago < lost_for)
}

/// VMs that are asked whether they answer. In a group of a third of all VMs 18 of 24 do in one of a million cases;
/// where a tenth of all is down, in 99 of 100.
pub const SAMPLE: usize = 24;

/// How many of the others answered a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Reach {
    /// Those that answered.
    pub answered: usize,
    /// Those that were asked.
    pub asked: usize,
    /// All VMs that there were lately, itself among them.
    pub known: usize,
}

impl Reach {
    /// Whether the VM is among most of those that there were.
    ///
    /// Half does not suffice where only a sample was asked, since by chance more of a smaller group are in it.
    ///
    /// ```
    /// use vanillatrail::policy::outage::Reach;
    /// let reach = |answered, asked, known| Reach { answered, asked, known };
    /// assert!(reach(1, 2, 3).is_most());
    /// assert!(!reach(2, 8, 9).is_most());
    /// assert!(!reach(14, 24, 430).is_most());
    /// assert!(reach(20, 24, 430).is_most());
    /// ```
    #[must_use]
    pub const fn is_most(&self) -> bool {
        if self.asked + 1 >= self.known {
            return (self.answered + 1) * 2 > self.asked + 1;
        }
        self.answered * 4 >= self.asked * 3
    }

    /// The part of all VMs that it reaches.
    ///
    /// ```
    /// use vanillatrail::policy::outage::Reach;
    /// assert_eq!(Reach { answered: 1, asked: 3, known: 4 }.part(), 0.5);
    /// ```
    #[must_use]
    pub fn part(&self) -> f64 {
        (self.answered + 1) as f64 / (self.asked + 1) as f64
    }
}
