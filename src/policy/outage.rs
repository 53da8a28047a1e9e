//! Tells whether this VM alone has lost the store, or all VMs have.
//!
//! A VM that is cut off alone hands its work to VMs that still reach the store. If all have lost the store, handing over
//! does not help, and VMs that hand over to each other lose track of what they counted.

use std::time::Duration;

/// Whether another VM, which last heard from the store `heard_ago`, still had it after this one had lost it `lost_for`
/// ago.
///
/// A VM considers the store lost only after several failures. An answer received later than that is therefore not from
/// before the outage.
///
/// ```
/// use std::time::Duration;
/// use vanillatrail::policy::outage::heard_after_loss;
/// let second = Duration::from_secs(1);
/// assert!(heard_after_loss(second, Some(second / 2)));
/// assert!(!heard_after_loss(second, Some(second * 2)));
/// assert!(!heard_after_loss(second, None));
/// ```
#[must_use]
pub fn heard_after_loss(lost_for: Duration, heard_ago: Option<Duration>) -> bool {
    heard_ago.is_some_and(|heard_ago| heard_ago < lost_for)
}

/// Number of VMs that are asked to find out whether this VM reaches the majority. In a group of a
/// third of all VMs, 18 of 24 answer in one of a million cases; where a tenth of all is down, in 99
/// of 100.
pub const REACHABILITY_SAMPLE_SIZE: usize = 24;

/// How many of a sample of the other VMs answered this one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Reachability {
    /// VMs that answered.
    pub answered: usize,
    /// VMs in the sample.
    pub asked: usize,
    /// All recent members of the cluster, including this VM.
    pub known: usize,
}

impl Reachability {
    /// Whether this VM is on the majority side of a network partition.
    ///
    /// If only a sample was asked, three quarters must have answered: more than half of a sample may by chance be on the
    /// minority side.
    ///
    /// ```
    /// use vanillatrail::policy::outage::Reachability;
    /// let reach = |answered, asked, known| Reachability { answered, asked, known };
    /// assert!(reach(1, 2, 3).is_majority());
    /// assert!(!reach(2, 8, 9).is_majority());
    /// assert!(!reach(14, 24, 430).is_majority());
    /// assert!(reach(20, 24, 430).is_majority());
    /// ```
    #[must_use]
    pub const fn is_majority(&self) -> bool {
        if self.asked + 1 >= self.known {
            return (self.answered + 1) * 2 > self.asked + 1;
        }
        self.answered * 4 >= self.asked * 3
    }

    /// Estimated fraction of all VMs that this VM reaches, itself included.
    ///
    /// ```
    /// use vanillatrail::policy::outage::Reachability;
    /// assert_eq!(Reachability { answered: 1, asked: 3, known: 4 }.share(), 0.5);
    /// ```
    #[must_use]
    pub fn share(&self) -> f64 {
        (self.answered + 1) as f64 / (self.asked + 1) as f64
    }
}
