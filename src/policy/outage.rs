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

/// Whether a VM that got so many answers from a sample of the others is among most of the `known` VMs, itself
/// among them.
///
/// Half does not suffice where only a sample was asked, since by chance more of a smaller group are in it.
///
/// ```
/// use vanillatrail::policy::outage::is_majority;
/// assert!(is_majority(1, 2, 3));
/// assert!(!is_majority(2, 8, 9));
/// assert!(!is_majority(14, 24, 430));
/// assert!(is_majority(20, 24, 430));
/// ```
#[must_use]
pub const fn is_majority(answered: usize, asked: usize, known: usize) -> bool {
    if asked + 1 >= known {
        return (answered + 1) * 2 > asked + 1;
    }
    answered * 4 >= asked * 3
}
