//! Where the configuration and the directory come from, and how often they are read.

use crate::gateway::world::state::World;
use crate::id;
use crate::member::View;
use crate::policy::copies::{Source, order_sources};
use crate::policy::relay;
use crate::settings;
use rand::seq::IteratorRandom;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;

/// Reads in the time after which a change must act. Two may be lost, and a change passes up to three VMs on its way.
const READS: u32 = 6;
/// The longest time between two of them. A VM whose newest read is older than 1.4 s says that it has lost the
/// store.
const LONGEST_PERIOD: Duration = Duration::from_secs(1);

/// VMs of the own zone that may be asked for a copy.
const NEAR: usize = 3;

/// Where the feed finds the originals and their copies.
#[derive(Debug, Clone)]
pub(crate) struct Sources {
    /// This VM.
    pub(crate) vm: id::Vm,
    /// The store.
    pub(crate) store: SocketAddr,
    /// The port at which VMs give copies.
    pub(crate) port: u16,
    /// Addresses of other VMs from the settings.
    pub(crate) seeds: Vec<SocketAddr>,
    /// The availability zone of this VM.
    pub(crate) zone: id::Zone,
    /// The members.
    pub(crate) view: watch::Receiver<Arc<View>>,
    /// How soon a change has to act.
    pub(crate) bounds: settings::Bounds,
    /// Whether the other VMs are known.
    pub(crate) introduced: watch::Receiver<bool>,
}

/// The port of the datagrams about the directory: the second after that of membership.
pub(crate) fn address(member: SocketAddr) -> SocketAddr {
    SocketAddr::new(member.ip(), member.port() + 2)
}

impl Sources {
    /// Time between two reads of the configuration, and between two questions for the directory.
    pub(super) fn period(&self) -> Duration {
        let bound = self.bounds.drain_ms.min(self.bounds.config_ms);
        (Duration::from_millis(bound) / READS).min(LONGEST_PERIOD)
    }

    /// Whom this VM asks for changes to the directory.
    pub(super) fn relays(&self) -> relay::Sources {
        let view = self.view.borrow();
        let members = view.members.values();
        let members = members.filter(|member| !member.suspect || member.vm == self.vm);
        let peers: Vec<relay::Peer> = members
            .map(|member| relay::Peer {
                vm: member.vm.clone(),
                address: address(member.address),
                zone: member.zone.clone(),
                cores: member.cores,
            })
            .collect();
        relay::sources(&self.vm, &peers)
    }

    /// Some other VMs at random, to be asked for changes.
    pub(super) fn some_relays(&self, count: usize) -> Vec<SocketAddr> {
        let view = self.view.borrow();
        let members = view.members.values();
        let others = members.filter(|member| !member.suspect && member.vm != self.vm);
        let others = others.map(|member| address(member.address));
        others.sample(&mut rand::rng(), count)
    }

    /// Whether some VM has applied a newer configuration.
    pub(super) fn is_behind(&self, world: &World) -> bool {
        let known = world.version();
        self.view.borrow().newest.0 > known
    }

    /// Where other VMs of the zone give copies, at random.
    pub(super) fn near(&self) -> Vec<SocketAddr> {
        let view = self.view.borrow();
        let members = view.members.values();
        let near = members.filter(|member| member.zone == self.zone && member.vm != self.vm);
        let near = near.map(|member| SocketAddr::new(member.address.ip(), self.port));
        near.sample(&mut rand::rng(), NEAR)
    }

    /// Where other VMs give copies, in the order in which they are asked.
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
        let mut listed = HashSet::new();
        let addresses = holders.into_iter().map(|holder| holder.address);
        addresses
            .filter(|address| listed.insert(*address))
            .collect()
    }
}
