//! Tokens that are granted while the store takes no records, and what is left of them when VMs are lost.
//!
//! Load that it answers: the store is away for seconds, and meanwhile VMs are restarted, cut off and lost, one by one or all
//! at once. Whoever counts a program then, the tokens that it gets without a record must stay within what its budget leaves.
//! Such a grant is kept by [`min_replicas`] VMs, so that a later owner which hears enough of them knows of it. Where it does
//! not, the age of the newest record tells how much may have been granted.

use crate::policy::allowance::Request;
use std::cmp::Reverse;
use std::fmt;
use std::time::Duration;

/// What may be granted to each program beyond its records while the store takes none.
///
/// An owner grants no more than the time since its last record shows to its successors: from the age of that record these
/// know what may have been granted and lost with all VMs that knew of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub enum Unrecorded {
    /// Nothing: it is not known what other owners have granted since.
    #[default]
    None,
    /// A quarter of the budget, or one turn.
    Quarter,
    /// Half of the budget, or one turn.
    Half,
}

impl fmt::Display for Unrecorded {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::None => "none",
            Self::Quarter => "quarter",
            Self::Half => "half",
        })
    }
}

impl Unrecorded {
    /// Age of the newest record from which half of a budget may be granted. After a loss of all VMs with the store well, they
    /// are mostly back earlier.
    pub const HALF_AFTER: Duration = Duration::from_millis(2500);
    /// Added to it when tokens are granted, as the clocks of VMs differ.
    pub const CLOCK_MARGIN: Duration = Duration::from_millis(250);

    /// What an owner may grant whose newest record was sent this long ago.
    ///
    /// ```
    /// use std::time::Duration;
    /// use vanillatrail::policy::unrecorded::Unrecorded;
    /// assert_eq!(Unrecorded::grantable(Duration::from_secs(1)), Unrecorded::Quarter);
    /// assert_eq!(Unrecorded::grantable(Duration::from_secs(3)), Unrecorded::Half);
    /// ```
    #[must_use]
    pub fn grantable(record_age: Duration) -> Self {
        if record_age >= Self::HALF_AFTER + Self::CLOCK_MARGIN {
            Self::Half
        } else {
            Self::Quarter
        }
    }

    /// What may have been granted and lost, where the newest record is this old and grants are known for so long, see
    /// [`known_for`].
    ///
    /// ```
    /// use std::time::Duration;
    /// use vanillatrail::policy::unrecorded::Unrecorded;
    /// let second = Duration::from_secs(1);
    /// assert_eq!(Unrecorded::lost(second, Some(2 * second)), Unrecorded::None);
    /// assert_eq!(Unrecorded::lost(2 * second, Some(second)), Unrecorded::Quarter);
    /// assert_eq!(Unrecorded::lost(3 * second, None), Unrecorded::Half);
    /// ```
    #[must_use]
    pub fn lost(record_age: Duration, known_for: Option<Duration>) -> Self {
        match record_age.checked_sub(known_for.unwrap_or_default()) {
            None => Self::None,
            Some(unknown) if unknown < Self::HALF_AFTER => Self::Quarter,
            Some(_) => Self::Half,
        }
    }

    /// Most tokens that a program may be granted beyond its records.
    #[must_use]
    pub fn grant_limit(self, request: &Request) -> u64 {
        match self {
            Self::None => 0,
            Self::Quarter => (request.budget / 4).max(request.most),
            Self::Half => (request.budget / 2).max(request.most),
        }
    }

    /// What counts as spent beyond the records where such grants may be lost.
    pub(super) fn charge(self, request: &Request) -> u64 {
        match self {
            // A turn starts only while less than the budget is spent, so that one which the budget still holds may start.
            Self::Quarter => self.grant_limit(request).saturating_sub(1),
            Self::None | Self::Half => self.grant_limit(request),
        }
    }
}

/// How many other VMs have to keep a grant without a record, where its owner and those that may keep it are `vms`.
///
/// ```
/// use vanillatrail::policy::unrecorded::min_replicas;
/// assert_eq!((min_replicas(2), min_replicas(3), min_replicas(12)), (1, 1, 6));
/// ```
#[must_use]
pub const fn min_replicas(vms: usize) -> usize {
    vms / 2
}

/// For how long so many of the VMs with these uptimes have been running that one of them has each grant; `None` if there are
/// too few. `vms` is as in [`min_replicas`].
///
/// ```
/// use std::time::Duration;
/// use vanillatrail::policy::unrecorded::known_for;
/// let uptimes = [2, 60].map(Duration::from_secs);
/// assert_eq!(known_for(uptimes.to_vec(), 3), Some(uptimes[0]));
/// assert_eq!(known_for(uptimes.to_vec(), 5), None);
/// ```
#[must_use]
pub fn known_for(mut uptimes: Vec<Duration>, vms: usize) -> Option<Duration> {
    let needed = (vms - min_replicas(vms)).max(1);
    uptimes.sort_unstable_by_key(|uptime| Reverse(*uptime));
    uptimes.get(needed - 1).copied()
}
