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
