//! Chooses a VM's upstreams, the VMs from which it gets changes to the directory, and when it reads the store itself.
//!
//! If every VM read all renewals of registrations, the load on the store would grow with VMs times servers. Instead one
//! VM reads the store, one VM of each availability zone asks that VM, and the others ask the one of their zone.
//!
//! All VMs are ranked by processor time and rendezvous hash. A VM asks only VMs ranked before it, so that no two VMs
//! wait for each other, and the first reachable VM reads the store.

use crate::id::{Millicores, Vm, Zone, rendezvous_score};
use std::cmp::Reverse;
use std::net::SocketAddr;
use std::time::Duration;

/// Rendezvous key of the ranking.
const RANK_KEY: &str = "directory";
/// VMs that have at least the processor time of the largest VM divided by this are ranked before all others.
const LARGE_VM_DIVISOR: u64 = 2;
/// VMs of its own zone that a VM may ask.
const MAX_SAME_ZONE: usize = 2;
/// First VMs of the ranking that a VM may ask after those, in any zone.
const MAX_ANY_ZONE: usize = 4;
/// Age up to which a directory counts as fresh, in read periods: one for each of two hops, and half for delays.
const MAX_AGE_PERIODS: f64 = 2.5;
/// How long a VM without a directory waits for another VM that is about to read one.
const MAX_STARTUP_WAIT: Duration = Duration::from_secs(6);

/// A VM that may be asked for directory changes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// Name of the VM, as used for ranking.
    pub vm: Vm,
    /// Address of its socket for directory changes.
    pub address: SocketAddr,
    /// Availability zone of the VM.
    pub zone: Zone,
    /// Processor time that the VM may use.
    pub cores: Millicores,
}

/// Ranks VMs for a task: large VMs first, then by rendezvous hash of `key` and the VM's name.
#[must_use]
pub fn rank_peers<'a>(key: &str, peers: &'a [Peer]) -> Vec<&'a Peer> {
    let largest = peers.iter().map(|peer| peer.cores.0).max().unwrap_or(0);
    let mut ranked: Vec<_> = peers
        .iter()
        .map(|peer| {
            let is_large = peer.cores.0 >= largest / LARGE_VM_DIVISOR;
            (is_large, rendezvous_score(key, peer.vm.as_str()), peer)
        })
        .collect();
    ranked.sort_unstable_by_key(|(is_large, rank, _)| Reverse((*is_large, *rank)));
    ranked.into_iter().map(|(_, _, peer)| peer).collect()
}

/// Where a VM gets directory changes from.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Sources {
    /// Addresses of the VMs to ask, in this order.
    pub upstreams: Vec<SocketAddr>,
    /// Whether the VM reads the store if none of them has a fresh directory. Only the first VMs of the ranking and of
    /// each zone do, which limits the load on the store.
    pub may_read_store: bool,
}

/// Returns the VMs that `me` asks for changes, and whether it may read the store.
///
/// ```
/// use vanillatrail::id::Millicores;
/// use vanillatrail::policy::relay::{Peer, sources};
/// let peers: Vec<Peer> = (1..=9)
///     .map(|number| Peer {
///         vm: format!("vm-{number}").parse().unwrap(),
///         address: ([10, 0, 0, number], 7000).into(),
///         zone: format!("zone-{}", number % 3).parse().unwrap(),
///         cores: Millicores(500),
///     })
///     .collect();
/// let readers = peers.iter().filter(|peer| sources(&peer.vm, &peers).upstreams.is_empty());
/// assert_eq!(readers.count(), 1);
/// ```
#[must_use]
pub fn sources(me: &Vm, peers: &[Peer]) -> Sources {
    let ranked = rank_peers(RANK_KEY, peers);
    let Some(own_rank) = ranked.iter().position(|peer| peer.vm == *me) else {
        return Sources::default();
    };
    let upstreams = &ranked[..own_rank];
    let same_zone = upstreams
        .iter()
        .filter(|peer| peer.zone == ranked[own_rank].zone);
    let same_zone: Vec<SocketAddr> = same_zone
        .take(MAX_SAME_ZONE)
        .map(|peer| peer.address)
        .collect();
    let mut sources = Sources {
        may_read_store: own_rank < MAX_ANY_ZONE || same_zone.len() < MAX_SAME_ZONE,
        upstreams: same_zone,
    };
    for peer in upstreams.iter().take(MAX_ANY_ZONE) {
        if !sources.upstreams.contains(&peer.address) {
            sources.upstreams.push(peer.address);
        }
    }
    sources
}

/// State of the directory on a VM that was asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Status {
    /// Age of its directory; `None` if it has none yet.
    pub age: Option<Duration>,
    /// Whether it can reach the store.
    pub has_store: bool,
}

/// What to do with the answer of another VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Use the answer, and ask no other VM.
    Use,
    /// Wait and ask again: the VM is about to have a directory.
    Wait,
    /// Ignore the answer, and ask the next VM.
    Next,
}

/// Whether a directory of this age is up to date, where `period` is the time between two reads.
///
/// After an outage of the store, registrations of live servers may be missing for a while, so a reader delays removals.
/// While the directory stayed fresh, there was no outage and removals must not be delayed.
///
/// ```
/// use std::time::Duration;
/// use vanillatrail::policy::relay::is_fresh;
/// let second = Duration::from_secs(1);
/// assert!(is_fresh(second * 2, second));
/// assert!(!is_fresh(second * 3, second));
/// ```
#[must_use]
pub fn is_fresh(age: Duration, period: Duration) -> bool {
    age <= period.mul_f64(MAX_AGE_PERIODS)
}

/// State of the VM that asks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Requester {
    /// Time between two reads of the directory.
    pub period: Duration,
    /// How long it has been without a directory; `None` if it has one.
    pub without_directory_for: Option<Duration>,
    /// Whether it may and can read the store itself.
    pub may_read_store: bool,
}

/// Decides what to do with the answer of another VM.
///
/// A VM that can read the store does not rely on one that cannot: the other VM may get its changes from this one, and
/// then neither of them would read the store.
///
/// ```
/// use std::time::Duration;
/// use vanillatrail::policy::relay::{Requester, Status, Step, next_step};
/// let second = Duration::from_secs(1);
/// let requester = Requester { period: second, without_directory_for: None, may_read_store: true };
/// let fresh = Status { age: Some(second), has_store: true };
/// assert_eq!(next_step(fresh, requester), Step::Use);
/// let cut_off = Status { has_store: false, ..fresh };
/// assert_eq!(next_step(cut_off, requester), Step::Next);
/// assert_eq!(next_step(cut_off, Requester { may_read_store: false, ..requester }), Step::Use);
/// let starting = Status { age: None, has_store: true };
/// assert_eq!(next_step(starting, Requester { without_directory_for: Some(second), ..requester }), Step::Wait);
/// assert_eq!(next_step(starting, requester), Step::Next);
/// ```
#[must_use]
pub fn next_step(status: Status, requester: Requester) -> Step {
    let is_reliable = status.has_store || !requester.may_read_store;
    match status.age {
        Some(age) if is_reliable && is_fresh(age, requester.period) => Step::Use,
        None if status.has_store
            && requester
                .without_directory_for
                .is_some_and(|elapsed| elapsed < MAX_STARTUP_WAIT) =>
        {
            Step::Wait
        }
        _ => Step::Next,
    }
}
