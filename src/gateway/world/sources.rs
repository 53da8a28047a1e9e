//! Where the configuration and the directory come from, and how often they are read.

use crate::gateway::world::state::World;
use crate::id;
use crate::member::View;
use crate::policy::copies::{Holder, order};
use crate::settings;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;

/// Taken off the time in which a change of the configuration must act, for how long one read waits for
/// it: a connection that has gone silent shows only after the client's timeout.
const CONFIG_MARGIN: Duration = Duration::from_millis(1100);
/// The longest such wait. While the store is silent for 3 s routes that are not known are not refused
/// for good, and a wait must not look like that.
const LONGEST_WAIT: Duration = Duration::from_millis(1900);
/// Reads of the directory in the time after which a server that leaves must get nothing new. Servers renew
/// their records all the time, so that a read that waits returns at once. One read may be lost, and its
/// timeout takes half of the shortest such time.
const DIRECTORY_READS: u32 = 6;
/// The longest time between two of them. A VM whose newest read is older than 1.4 s says that it has lost the
/// store.
const LONGEST_PERIOD: Duration = Duration::from_secs(1);

/// Where the feed finds the originals and their copies.
#[derive(Debug, Clone)]
pub(crate) struct Sources {
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
}

impl Sources {
    /// How long one read waits for a change of the configuration.
    pub(super) fn config_wait(&self) -> Duration {
        let bound = Duration::from_millis(self.bounds.config_ms);
        bound.saturating_sub(CONFIG_MARGIN).min(LONGEST_WAIT)
    }

    /// Time between two reads of the directory.
    pub(super) fn directory_period(&self) -> Duration {
        let period = Duration::from_millis(self.bounds.drain_ms) / DIRECTORY_READS;
        period.min(LONGEST_PERIOD)
    }

    /// Whether some VM has applied a newer configuration.
    pub(super) fn is_behind(&self, world: &World) -> bool {
        let known = world.table.as_ref().map_or(0, |table| table.version);
        self.view.borrow().newest.0 > known
    }

    /// Where other VMs give copies, in the order in which they are asked.
    pub(super) fn addresses(&self) -> Vec<SocketAddr> {
        let view = self.view.borrow();
        let members = view.members.values().map(|member| Holder {
            address: SocketAddr::new(member.address.ip(), self.port),
            near: member.zone == self.zone,
            newest: member.applied == view.newest,
        });
        let seeds = self.seeds.iter().map(|seed| Holder {
            address: SocketAddr::new(seed.ip(), self.port),
            near: false,
            newest: false,
        });
        let mut holders: Vec<Holder> = members.chain(seeds).collect();
        order(&mut holders, &mut rand::rng());
        let mut listed = HashSet::new();
        let addresses = holders.into_iter().map(|holder| holder.address);
        addresses
            .filter(|address| listed.insert(*address))
            .collect()
    }
}
