//! Orders the VMs that may be asked for a copy of the configuration and the directory.
//!
//! VMs that start fetch such a copy instead of reading all registrations from the store. Traffic between zones costs
//! money.

use rand::Rng;
use rand::seq::SliceRandom;
use std::net::SocketAddr;

/// A VM that may serve a copy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Source {
    /// Address at which it serves copies.
    pub address: SocketAddr,
    /// Whether it is in the zone of the VM that asks.
    pub same_zone: bool,
    /// Whether it has the newest configuration version known to any VM.
    pub has_newest: bool,
}

/// Sorts by newest configuration, then by same zone. VMs that are equal in both are shuffled, to spread the load.
///
/// ```
/// use vanillatrail::policy::copies::{Source, order_sources};
/// let source = |same_zone, has_newest| Source { address: ([127, 0, 0, 1], 1).into(), same_zone, has_newest };
/// let mut sources = vec![source(true, false), source(false, true), source(true, true)];
/// order_sources(&mut sources, &mut rand::rng());
/// assert_eq!(sources, [source(true, true), source(false, true), source(true, false)]);
/// ```
pub fn order_sources(sources: &mut [Source], rng: &mut impl Rng) {
    sources.shuffle(rng);
    sources.sort_by_key(|source| (!source.has_newest, !source.same_zone));
}
