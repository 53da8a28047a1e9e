//! From which VMs a VM hears of changes to the directory, and when it reads the store itself.
//!
//! Load it answers: a thousand VMs before ten thousand servers, each of which renews its registration every few
//! seconds. Where each VM reads all renewals, what the store sends grows with VMs times servers. Here one VM reads
//! them, one VM of each availability zone asks that one, and the others ask the VM of their zone.
//!
//! All VMs are in one order, by strength and rendezvous. A VM asks only VMs before it, so that no two wait for each
//! other, and the first one that is left reads the store.

use crate::id::{Millicores, Vm, Zone, rendezvous};
use std::cmp::Reverse;
use std::net::SocketAddr;
use std::time::Duration;

/// The key of the order.
const KEY: &str = "directory";
/// A VM comes early if it has at least the strongest one's processor time divided by this.
const STRONG: u64 = 2;
/// VMs of its own zone that a VM asks, one after the other.
const NEAR: usize = 2;
/// VMs of all zones that it asks after those.
const ALL: usize = 4;
/// How old an answer may be, in periods between two reads: two steps of the chain, and half a period for delays.
const FRESH: f64 = 2.5;
/// How long a VM that has no directory waits for one that is about to read it.
const PATIENCE: Duration = Duration::from_secs(6);

/// A VM that may be asked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// Its name.
    pub vm: Vm,
    /// Where it is asked.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: Zone,
    /// The processor time that it may use.
    pub cores: Millicores,
}

/// VMs in their order for a duty: strong ones first, else by rendezvous.
#[must_use]
pub fn ranked<'a>(key: &str, peers: &'a [Peer]) -> Vec<&'a Peer> {
    let strongest = peers.iter().map(|peer| peer.cores.0).max().unwrap_or(0);
    let mut ranked: Vec<_> = peers
        .iter()
        .map(|peer| {
            let strong = peer.cores.0 >= strongest / STRONG;
            (strong, rendezvous(key, peer.vm.as_str()), peer)
        })
        .collect();
    ranked.sort_unstable_by_key(|(strong, rank, _)| Reverse((*strong, *rank)));
    ranked.into_iter().map(|(_, _, peer)| peer).collect()
}

/// Whom a VM may ask.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Order {
    /// The VMs that it asks for changes, in this order.
    pub before: Vec<SocketAddr>,
    /// Whether it reads the store where none of them helps. Only the first VMs of all and of each zone do, so that few
    /// read however many find nobody.
    pub reads: bool,
}

/// Whom `me` asks for changes.
///
/// ```
/// use vanillatrail::id::Millicores;
/// use vanillatrail::policy::relay::{Peer, order};
/// let peers: Vec<Peer> = (1..=9)
///     .map(|number| Peer {
///         vm: format!("vm-{number}").parse().unwrap(),
///         address: ([10, 0, 0, number], 7000).into(),
///         zone: format!("zone-{}", number % 3).parse().unwrap(),
///         cores: Millicores(500),
///     })
///     .collect();
/// let readers = peers.iter().filter(|peer| order(&peer.vm, &peers).before.is_empty());
/// assert_eq!(readers.count(), 1);
/// ```
#[must_use]
pub fn order(me: &Vm, peers: &[Peer]) -> Order {
    let ranked = ranked(KEY, peers);
    let Some(mine) = ranked.iter().position(|peer| peer.vm == *me) else {
        return Order::default();
    };
    let before = &ranked[..mine];
    let near = before.iter().filter(|peer| peer.zone == ranked[mine].zone);
    let near: Vec<SocketAddr> = near.take(NEAR).map(|peer| peer.address).collect();
    let mut order = Order {
        reads: mine < ALL || near.len() < NEAR,
        before: near,
    };
    for peer in before.iter().take(ALL) {
        if !order.before.contains(&peer.address) {
            order.before.push(peer.address);
        }
    }
    order
}

/// What a VM that was asked says of its directory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Standing {
    /// The age of its directory; none where it has none yet.
    pub age: Option<Duration>,
    /// Whether the store answers it.
    pub has_store: bool,
}

/// What to do after an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Use it, and ask no other.
    Use,
    /// Wait: the VM is about to have a directory.
    Wait,
    /// Ask the next one.
    Next,
}

/// Whether a directory of this age is what the store says now; `period` is the time between two reads.
///
/// After an outage records of servers that live may be missing for a while, and a reader waits before it takes them for
/// gone. Where others went on reading, and this VM followed them, there was no outage, and nothing may wait.
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
    age <= period.mul_f64(FRESH)
}

/// What a VM that asks can do without an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Asker {
    /// The time between two of its reads.
    pub period: Duration,
    /// For how long it has had no directory; none where it has one.
    pub waits: Option<Duration>,
    /// Whether it could read the store itself.
    pub reads: bool,
}

/// What to do after an answer.
///
/// A VM that could read the store itself does not rely on one that can't: that one hears of changes from others, among
/// them perhaps from this VM, and each would take the other for the one that reads.
///
/// ```
/// use std::time::Duration;
/// use vanillatrail::policy::relay::{Asker, Standing, Step, step};
/// let second = Duration::from_secs(1);
/// let asker = Asker { period: second, waits: None, reads: true };
/// let fresh = Standing { age: Some(second), has_store: true };
/// assert_eq!(step(fresh, asker), Step::Use);
/// let cut_off = Standing { has_store: false, ..fresh };
/// assert_eq!(step(cut_off, asker), Step::Next);
/// assert_eq!(step(cut_off, Asker { reads: false, ..asker }), Step::Use);
/// let starting = Standing { age: None, has_store: true };
/// assert_eq!(step(starting, Asker { waits: Some(second), ..asker }), Step::Wait);
/// assert_eq!(step(starting, asker), Step::Next);
/// ```
#[must_use]
pub fn step(standing: Standing, asker: Asker) -> Step {
    let relies = standing.has_store || !asker.reads;
    match standing.age {
        Some(age) if relies && is_fresh(age, asker.period) => Step::Use,
        None if standing.has_store && asker.waits.is_some_and(|waits| waits < PATIENCE) => {
            Step::Wait
        }
        _ => Step::Next,
    }
}
