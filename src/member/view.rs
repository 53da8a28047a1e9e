//! View of the membership for the other threads of this process.

use crate::id::{Boot, Epoch, Millicores, Offset, Server, Shard, Vm, Zone, rendezvous_score};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

/// What this VM announces about itself to the members.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// Name of the VM, unique among the members.
    pub vm: Vm,
    /// Availability zone of the VM.
    pub zone: Zone,
    /// Identifies one run of the process; differs after each restart.
    pub boot: Boot,
    /// Address for gossip datagrams and for connections of other VMs.
    pub address: SocketAddr,
    /// CPU limit of the VM, in thousandths of a core.
    pub cores: Millicores,
    /// Whether the VM accepts shards: it has caught up and is not stopping.
    pub ready: bool,
    /// Offset of the last configuration record that the VM has applied.
    pub applied: Offset,
    /// Shards that the VM owns, with the epochs of its claims.
    #[serde(rename = "held")]
    pub owned: Vec<(Shard, Epoch)>,
}

/// A member of the view.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Member {
    /// Name of the VM.
    pub vm: Vm,
    /// Availability zone of the VM.
    pub zone: Zone,
    /// Identifies one run of the process; differs after each restart.
    pub boot: Boot,
    /// Address for gossip datagrams and for connections of other VMs.
    pub address: SocketAddr,
    /// CPU limit of the VM, in thousandths of a core.
    pub cores: Millicores,
    /// Whether the VM accepts shards: it has caught up and is not stopping.
    pub ready: bool,
    /// Highest offset of a configuration record that the VM is known to have applied.
    pub applied: Offset,
    /// Shards that the VM is known to own, with the epochs of its claims.
    #[serde(rename = "held")]
    pub owned: Vec<(Shard, Epoch)>,
    /// Whether the VM is suspected; it keeps its shards until it is considered gone.
    pub suspect: bool,
}

/// Alive and suspected members, including this VM.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct View {
    /// Members by name of the VM.
    pub members: BTreeMap<Vm, Member>,
    /// Backend servers that some VM has announced as draining.
    #[serde(rename = "leaving")]
    pub draining: BTreeSet<Server>,
    /// Highest configuration offset that any VM is known to have applied.
    pub newest: Offset,
}

const REBUILD_PAUSE_PER_MEMBER: Duration = Duration::from_micros(250);

impl View {
    /// Least time between two views of this many members. It grows with the group, since larger
    /// views take longer to build and change more often.
    ///
    /// ```
    /// use std::time::Duration;
    /// use vanillatrail::member::View;
    /// assert!(View::rebuild_interval(100) < Duration::from_millis(50));
    /// assert_eq!(View::rebuild_interval(2000), View::rebuild_interval(1000) * 2);
    /// ```
    #[must_use]
    pub fn rebuild_interval(members: usize) -> Duration {
        REBUILD_PAUSE_PER_MEMBER * u32::try_from(members).unwrap_or(u32::MAX)
    }

    /// The member with the newest claim of `shard`, if any.
    ///
    /// ```
    /// use vanillatrail::{id::Shard, member::View};
    /// assert!(View::default().owner(Shard(3)).is_none());
    /// ```
    #[must_use]
    pub fn owner(&self, shard: Shard) -> Option<&Member> {
        let claims = self.members.values().filter_map(|member| {
            let (_, epoch) = member.owned.iter().find(|(owned, _)| *owned == shard)?;
            Some((epoch, member))
        });
        claims
            .max_by_key(|(epoch, _)| **epoch)
            .map(|(_, member)| member)
    }

    /// The ready member that rendezvous hashing prefers for `key`; `None` if no member is ready.
    ///
    /// ```
    /// assert!(vanillatrail::member::View::default().preferred_member("pool/main").is_none());
    /// ```
    #[must_use]
    pub fn preferred_member(&self, key: &str) -> Option<&Member> {
        let ready = self.members.values().filter(|member| member.ready);
        ready.max_by_key(|member| rendezvous_score(key, member.vm.as_str()))
    }
}
