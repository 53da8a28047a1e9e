//! Which VMs are asked for a copy of the configuration and the directory.
//!
//! Load it answers: hundreds of VMs that start at once, each before it has read thousands of registrations.
//! A copy holds all of them. What crosses zones is paid for.

use rand::Rng;
use rand::seq::SliceRandom;
use std::net::SocketAddr;

/// A VM that may have a copy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Holder {
    /// Where it gives copies.
    pub address: SocketAddr,
    /// Whether it is in the zone of the VM that asks.
    pub near: bool,
    /// Whether it has the newest configuration that anybody has.
    pub newest: bool,
}

/// Orders those that may have a copy: the newest first, of these the near ones, else at random, so that
/// no VM is asked by all.
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
