//! The sources of the configuration and the directory, and how often they are read.

use crate::gateway::world::state::Routing;
use crate::id;
use crate::member::View;
use crate::platform::store::Store;
use crate::policy::copies::{Source, order_sources};
use crate::policy::relay;
use crate::settings;
use rand::seq::IteratorRandom;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;

/// Reads within the configured time bound; leaves room for lost reads and several hops between VMs.
const READS_PER_BOUND: u32 = 6;
/// Below the read age at which a VM reports the store as lost. That age is 1.4 s.
const MAX_PERIOD: Duration = Duration::from_secs(1);
const MAX_SAME_ZONE_ADDRESSES: usize = 3;

/// Addresses and settings for reading the configuration and the directory.
#[derive(Debug, Clone)]
pub(crate) struct Sources {
    /// Name of this VM.
    pub(crate) vm: id::Vm,
    pub(crate) store: Store,
    /// Port on which every VM serves copies.
    pub(crate) port: u16,
    /// Addresses of other VMs from the settings.
    pub(crate) seeds: Vec<SocketAddr>,
    /// Availability zone of this VM.
    pub(crate) zone: id::Zone,
    /// The membership as seen by this VM.
    pub(crate) view: watch::Receiver<Arc<View>>,
    /// Time bounds within which changes must be applied.
    pub(crate) bounds: settings::Bounds,
    /// Whether peer discovery has found the other VMs.
    pub(crate) peers_known: watch::Receiver<bool>,
}

/// The address of a member for directory datagrams: two ports above its membership port.
pub(crate) fn relay_address(member: SocketAddr) -> SocketAddr {
    SocketAddr::new(member.ip(), member.port() + 2)
}

impl Sources {
    /// Interval of configuration reads and of requests for directory changes.
    pub(super) fn period(&self) -> Duration {
        let bound = self.bounds.drain_ms.min(self.bounds.config_ms);
        (Duration::from_millis(bound) / READS_PER_BOUND).min(MAX_PERIOD)
    }

    /// The upstreams that this VM asks for directory changes, in order.
    pub(super) fn relay_order(&self) -> relay::Sources {
        let view = self.view.borrow();
        let members = view.members.values();
        let members = members.filter(|member| !member.suspect || member.vm == self.vm);
        let peers: Vec<relay::Peer> = members
            .map(|member| relay::Peer {
                vm: member.vm.clone(),
                address: relay_address(member.address),
                zone: member.zone.clone(),
                cores: member.cores,
            })
            .collect();
        relay::sources(&self.vm, &peers)
    }

    /// Up to `count` random other VMs to ask for directory changes.
    pub(super) fn random_relays(&self, count: usize) -> Vec<SocketAddr> {
        let view = self.view.borrow();
        let members = view.members.values();
        let others = members.filter(|member| !member.suspect && member.vm != self.vm);
        let others = others.map(|member| relay_address(member.address));
        others.sample(&mut rand::rng(), count)
    }

    /// Whether another VM has applied a newer configuration.
    pub(super) fn is_behind(&self, routing: &Routing) -> bool {
        let known = routing.config_version();
        self.view.borrow().newest.0 > known
    }

    /// Random VMs of this zone to fetch copies from.
    pub(super) fn same_zone_addresses(&self) -> Vec<SocketAddr> {
        let view = self.view.borrow();
        let members = view.members.values();
        let same_zone = members.filter(|member| member.zone == self.zone && member.vm != self.vm);
        let addresses = same_zone.map(|member| SocketAddr::new(member.address.ip(), self.port));
        addresses.sample(&mut rand::rng(), MAX_SAME_ZONE_ADDRESSES)
    }

    /// All VMs to fetch copies from, in the order of preference.
    pub(super) fn addresses(&self) -> Vec<SocketAddr> {
        let view = self.view.borrow();
        let members = view.members.values().map(|member| Source {
            address: SocketAddr::new(member.address.ip(), self.port),
            same_zone: member.zone == self.zone,
            has_newest: member.applied == view.newest,
        });
        let seeds = self.seeds.iter().map(|seed| Source {
            address: SocketAddr::new(seed.ip(), self.port),
            same_zone: false,
            has_newest: false,
        });
        let mut holders: Vec<Source> = members.chain(seeds).collect();
        order_sources(&mut holders, &mut rand::rng());
        let mut seen = HashSet::new();
        let addresses = holders.into_iter().map(|holder| holder.address);
        addresses.filter(|address| seen.insert(*address)).collect()
    }
}
