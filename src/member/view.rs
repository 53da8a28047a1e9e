//! What other duties see of the membership.

use crate::id::{Boot, Epoch, Millicores, Offset, Server, Shard, Vm, Zone, rendezvous_score};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

/// What a VM says of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Beat {
    /// Its name.
    pub vm: Vm,
    /// Its availability zone.
    pub zone: Zone,
    /// The run of its process.
    pub boot: Boot,
    /// Where its peers reach it.
    pub address: SocketAddr,
    /// The processor time that it may use.
    pub cores: Millicores,
    /// Whether it takes on shards: it has caught up and is not stopping.
    pub ready: bool,
    /// The configuration offset that it has applied.
    pub applied: Offset,
    /// The shards that it owns.
    pub held: Vec<(Shard, Epoch)>,
}

/// A member of the view.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Member {
    /// Its name.
    pub vm: Vm,
    /// Its availability zone.
    pub zone: Zone,
    /// The run of its process.
    pub boot: Boot,
    /// Where its peers reach it.
    pub address: SocketAddr,
    /// The processor time that it may use.
    pub cores: Millicores,
    /// Whether it takes on shards: it has caught up and is not stopping.
    pub ready: bool,
    /// The newest configuration offset that it is known to have applied.
    pub applied: Offset,
    /// The shards that it is known to own.
    pub held: Vec<(Shard, Epoch)>,
    /// Whether it is under suspicion; it keeps its shards until the suspicion is confirmed.
    pub suspect: bool,
}

/// The members that are held to be alive, this VM among them.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct View {
    /// Members by name.
    pub members: BTreeMap<Vm, Member>,
    /// Backend servers that some VM knows to be leaving.
    pub leaving: BTreeSet<Server>,
    /// The newest configuration offset that any VM has applied.
    pub newest: Offset,
}

/// The pause between two views for each member in them.
const PAUSE: Duration = Duration::from_micros(250);

impl View {
    /// How long a view of so many members is used before a new one is built.
    ///
    /// A view takes time to build that grows with the members, and among more of them something changes more often.
    ///
    /// ```
    /// use std::time::Duration;
    /// use vanillatrail::member::View;
    /// assert!(View::pause(100) < Duration::from_millis(50));
    /// assert_eq!(View::pause(2000), View::pause(1000) * 2);
    /// ```
    #[must_use]
    pub fn pause(members: usize) -> Duration {
        PAUSE * u32::try_from(members).unwrap_or(u32::MAX)
    }

    /// The member that says it owns `shard`, with the newest claim.
    ///
    /// ```
    /// use vanillatrail::{id::Shard, member::View};
    /// assert!(View::default().owner(Shard(3)).is_none());
    /// ```
    #[must_use]
    pub fn owner(&self, shard: Shard) -> Option<&Member> {
        let claims = self.members.values().filter_map(|member| {
            let (_, epoch) = member.held.iter().find(|(held, _)| *held == shard)?;
            Some((epoch, member))
        });
        claims
            .max_by_key(|(epoch, _)| **epoch)
            .map(|(_, member)| member)
    }

    /// The ready member that comes first for `key` in rendezvous order.
    ///
    /// ```
    /// assert!(vanillatrail::member::View::default().first("pool/main").is_none());
    /// ```
    #[must_use]
    pub fn first(&self, key: &str) -> Option<&Member> {
        let ready = self.members.values().filter(|member| member.ready);
        ready.max_by_key(|member| rendezvous_score(key, member.vm.as_str()))
    }
}
