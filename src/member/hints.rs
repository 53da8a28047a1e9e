//! What rides on the membership: owners of shards, leaving backend servers, the newest offset.

use super::roster::Change;
use super::wire::{Claim, News};
use crate::id::{Boot, Epoch, Offset, Server, Shard, Vm};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use tokio::time::Instant;

/// How long an announcement that a server leaves holds, unless it is renewed.
const LEAVING: Duration = Duration::from_mins(1);
/// Shards that the settings allow.
const SHARDS: u64 = 65_536;
/// Leaving servers that are kept at most.
const SERVERS: usize = 4096;

/// Who owns a shard.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Hint {
    pub(super) epoch: Epoch,
    pub(super) vm: Vm,
    pub(super) boot: Boot,
    pub(super) released: bool,
}

impl Hint {
    /// The claim as news.
    pub(super) fn news(&self, shard: Shard) -> News {
        let claim = Claim {
            shard,
            epoch: self.epoch,
            released: self.released,
        };
        News::Claims {
            vm: self.vm.clone(),
            boot: self.boot,
            claims: vec![claim],
        }
    }
}

#[derive(Debug, Clone, Copy)]
struct Mark {
    serial: u64,
    until: Instant,
}

/// The hints that a VM knows.
#[derive(Debug, Default)]
pub(super) struct Hints {
    pub(super) shards: BTreeMap<Shard, Hint>,
    pub(super) newest: Offset,
    leaving: BTreeMap<Server, Mark>,
}

impl Hints {
    /// Takes in a claim; the highest epoch counts, and a release goes before its claim.
    pub(super) fn claim(&mut self, shard: Shard, fresh: Hint) -> Change {
        if shard.0 >= SHARDS {
            return Change::Stale;
        }
        let known = self.shards.get(&shard);
        let rank = |hint: &Hint| (hint.epoch, hint.released);
        let change = match known.map(|known| rank(&fresh).cmp(&rank(known))) {
            None => Change::Joined,
            Some(std::cmp::Ordering::Greater) => Change::Status,
            Some(std::cmp::Ordering::Equal) => return Change::Known,
            Some(std::cmp::Ordering::Less) => return Change::Stale,
        };
        self.shards.insert(shard, fresh);
        change
    }

    /// The claim of a shard, as news, if `vm` still has the newest.
    pub(super) fn claim_news(&self, vm: &Vm, shard: Shard) -> Option<News> {
        let hint = self.shards.get(&shard).filter(|hint| hint.vm == *vm)?;
        Some(hint.news(shard))
    }

    /// Announces that a server leaves, or renews the announcement; false when it still holds.
    pub(super) fn announce(&mut self, now: Instant, server: &Server) -> bool {
        let known = self.leaving.get(server);
        if known.is_some_and(|mark| mark.until > now + LEAVING / 2) {
            return false;
        }
        let serial = known.map_or(1, |mark| mark.serial + 1);
        let until = now + LEAVING;
        self.leaving.insert(server.clone(), Mark { serial, until });
        true
    }

    /// Takes in an announcement.
    ///
    /// Of two copies with one serial the sooner end counts: time spent on the way would otherwise
    /// prolong the announcement at each hop, and a server that came back would never be used.
    pub(super) fn leaving(
        &mut self,
        now: Instant,
        server: &Server,
        serial: u64,
        left: u64,
    ) -> Change {
        let until = now + Duration::from_secs(left).min(LEAVING);
        let Some(mark) = self.leaving.get_mut(server) else {
            if left == 0 || self.leaving.len() >= SERVERS {
                return Change::Stale;
            }
            self.leaving.insert(server.clone(), Mark { serial, until });
            return Change::Joined;
        };
        if serial > mark.serial {
            *mark = Mark { serial, until };
            return Change::Status;
        }
        if serial < mark.serial {
            return Change::Stale;
        }
        mark.until = mark.until.min(until);
        Change::Known
    }

    /// An announcement as news, if it holds.
    pub(super) fn leaving_news(&self, now: Instant, server: &Server) -> Option<News> {
        let mark = self.leaving.get(server)?;
        let seconds = mark.until.checked_duration_since(now)?.as_secs();
        (seconds > 0).then(|| News::Leaving {
            server: server.clone(),
            serial: mark.serial,
            seconds,
        })
    }

    /// The announcements that hold, with their serials.
    pub(super) fn announced(&self, now: Instant) -> impl Iterator<Item = (&Server, u64)> {
        let held = self
            .leaving
            .iter()
            .filter(move |(_, mark)| mark.until > now);
        held.map(|(server, mark)| (server, mark.serial))
    }

    /// The servers that are leaving.
    pub(super) fn servers(&self, now: Instant) -> BTreeSet<Server> {
        let servers = self.announced(now).map(|(server, _)| server.clone());
        servers.collect()
    }

    /// Forgets announcements whose end is so long past that no copy of them is left.
    pub(super) fn forget(&mut self, now: Instant) {
        self.leaving.retain(|_, mark| mark.until + LEAVING > now);
    }
}
