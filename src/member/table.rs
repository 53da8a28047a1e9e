//! The member view, folded from heartbeats.

use crate::id::{Boot, Epoch, Offset, Shard, Vm, Zone};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// Silence after which a member leaves the view.
const SILENCE: Duration = Duration::from_secs(2);

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
    /// Whether it takes on shards: it has caught up and is not stopping.
    pub ready: bool,
    /// The configuration offset that it has applied.
    pub applied: Offset,
    /// The shards that it owns.
    pub held: Vec<(Shard, Epoch)>,
}

/// A member of the view.
pub type Member = Beat;

/// The members that were heard of lately, this VM among them.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct View {
    /// Members by name.
    pub members: BTreeMap<Vm, Member>,
}

impl View {
    /// The member that says it owns `shard`, with the newest claim.
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
    #[must_use]
    pub fn first(&self, key: &str) -> Option<&Member> {
        let ready = self.members.values().filter(|member| member.ready);
        ready.max_by_key(|member| crate::id::rendezvous(key, member.vm.as_str()))
    }
}

/// Folds heartbeats into a view.
#[derive(Debug, Default)]
pub struct Table {
    heard: BTreeMap<Vm, (Instant, Beat)>,
}

impl Table {
    /// Takes in a heartbeat.
    pub fn heard(&mut self, now: Instant, beat: Beat) {
        self.heard.insert(beat.vm.clone(), (now, beat));
    }

    /// The view at `now`.
    pub fn view(&mut self, now: Instant) -> View {
        self.heard.retain(|_, (at, _)| now - *at < SILENCE);
        let members = self
            .heard
            .iter()
            .map(|(vm, (_, beat))| (vm.clone(), beat.clone()));
        View {
            members: members.collect(),
        }
    }
}
