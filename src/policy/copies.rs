//! Orders the VMs that may be asked for a copy of the configuration and the directory.
//!
//! VMs that start fetch such a copy instead of reading all registrations from the store. Traffic between zones costs
//! money.

use rand::Rng;
use rand::seq::SliceRandom;
use std::net::SocketAddr;

/// A VM that may serve a copy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Holder {
    /// Address at which it serves copies.
    pub address: SocketAddr,
    /// Whether it is in the zone of the VM that asks.
    pub near: bool,
    /// Whether it has the newest configuration version known to any VM.
    pub newest: bool,
}

/// Sorts by newest configuration, then by same zone. VMs that are equal in both are shuffled, to spread the load.
///
/// ```
/// use vanillatrail::policy::copies::{Holder, order};
/// let holder = |near, newest| Holder { address: ([127, 0, 0, 1], 1).into(), near, newest };
/// let mut holders = vec![holder(true, false), holder(false, true), holder(true, true)];
/// order(&mut holders, &mut rand::rng());
/// assert_eq!(holders, [holder(true, true), holder(false, true), holder(true, false)]);
/// ```
pub fn order(holders: &mut [Holder], rng: &mut impl Rng) {
    holders.shuffle(rng);
    holders.sort_by_key(|holder| (!holder.newest, !holder.near));
}
