//! State piggybacked on the membership gossip: shard claims, draining backend servers and the
//! newest configuration offset.

use super::roster::Change;
use super::wire::{Claim, Update};
use crate::id::{Boot, Epoch, Offset, Server, Shard, Vm};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use tokio::time::Instant;

/// How long a server counts as draining unless the notice is renewed.
const DRAINING_TTL: Duration = Duration::from_mins(1);
/// Upper bound of the shard count in the settings; claims of higher shards are ignored.
const MAX_SHARDS: u64 = 65_536;
const MAX_DRAINING_SERVERS: usize = 4096;

/// The newest known claim of a shard.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct OwnerClaim {
    pub(super) epoch: Epoch,
    pub(super) vm: Vm,
    pub(super) boot: Boot,
    pub(super) released: bool,
}

impl OwnerClaim {
    pub(super) fn to_update(&self, shard: Shard) -> Update {
        let claim = Claim {
            shard,
            epoch: self.epoch,
            released: self.released,
        };
        Update::Claims {
            vm: self.vm.clone(),
            boot: self.boot,
            claims: vec![claim],
        }
    }
}

#[derive(Debug, Clone, Copy)]
struct DrainingNotice {
    serial: u64,
    expires_at: Instant,
}

#[derive(Debug, Default)]
pub(super) struct SharedState {
    pub(super) shards: BTreeMap<Shard, OwnerClaim>,
    pub(super) newest_offset: Offset,
    draining: BTreeMap<Server, DrainingNotice>,
}

impl SharedState {
    /// Merges a claim: the highest epoch wins, and at the same epoch a release wins.
    pub(super) fn apply_claim(&mut self, shard: Shard, received: OwnerClaim) -> Change {
        if shard.0 >= MAX_SHARDS {
            return Change::Stale;
        }
        let known = self.shards.get(&shard);
        let precedence = |claim: &OwnerClaim| (claim.epoch, claim.released);
        let change = match known.map(|known| precedence(&received).cmp(&precedence(known))) {
            None => Change::Joined,
            Some(std::cmp::Ordering::Greater) => Change::Status,
            Some(std::cmp::Ordering::Equal) => return Change::Known,
            Some(std::cmp::Ordering::Less) => return Change::Stale,
        };
        self.shards.insert(shard, received);
        change
    }

    /// The claim of a shard, if `vm` still has the newest one.
    pub(super) fn claim_update(&self, vm: &Vm, shard: Shard) -> Option<Update> {
        let claim = self.shards.get(&shard).filter(|claim| claim.vm == *vm)?;
        Some(claim.to_update(shard))
    }

    /// Notes that a server is draining, or renews the notice; false if it does not expire soon.
    pub(super) fn announce_draining(&mut self, now: Instant, server: &Server) -> bool {
        let known = self.draining.get(server);
        if known.is_some_and(|notice| notice.expires_at > now + DRAINING_TTL / 2) {
            return false;
        }
        let serial = known.map_or(1, |notice| notice.serial + 1);
        let expires_at = now + DRAINING_TTL;
        self.draining
            .insert(server.clone(), DrainingNotice { serial, expires_at });
        true
    }

    /// Merges a received notice.
    ///
    /// Of two copies with the same serial the earlier expiry wins: otherwise transit time would
    /// extend the notice at each hop, and a server that returned would never be used again.
    pub(super) fn apply_draining(
        &mut self,
        now: Instant,
        server: &Server,
        serial: u64,
        seconds: u64,
    ) -> Change {
        let expires_at = now + Duration::from_secs(seconds).min(DRAINING_TTL);
        let Some(notice) = self.draining.get_mut(server) else {
            if seconds == 0 || self.draining.len() >= MAX_DRAINING_SERVERS {
                return Change::Stale;
            }
            self.draining
                .insert(server.clone(), DrainingNotice { serial, expires_at });
            return Change::Joined;
        };
        if serial > notice.serial {
            *notice = DrainingNotice { serial, expires_at };
            return Change::Status;
        }
        if serial < notice.serial {
            return Change::Stale;
        }
        notice.expires_at = notice.expires_at.min(expires_at);
        Change::Known
    }

    /// The notice of a server, if it has not expired.
    pub(super) fn draining_update(&self, now: Instant, server: &Server) -> Option<Update> {
        let notice = self.draining.get(server)?;
        let seconds = notice.expires_at.checked_duration_since(now)?.as_secs();
        (seconds > 0).then(|| Update::Draining {
            server: server.clone(),
            serial: notice.serial,
            seconds,
        })
    }

    /// Draining servers with the serials of their notices.
    pub(super) fn draining_serials(&self, now: Instant) -> impl Iterator<Item = (&Server, u64)> {
        let active = self
            .draining
            .iter()
            .filter(move |(_, notice)| notice.expires_at > now);
        active.map(|(server, notice)| (server, notice.serial))
    }

    pub(super) fn draining_servers(&self, now: Instant) -> BTreeSet<Server> {
        let servers = self.draining_serials(now).map(|(server, _)| server.clone());
        servers.collect()
    }

    /// Removes notices that expired so long ago that no copy is in circulation.
    pub(super) fn remove_expired(&mut self, now: Instant) {
        self.draining
            .retain(|_, notice| notice.expires_at + DRAINING_TTL > now);
    }
}
