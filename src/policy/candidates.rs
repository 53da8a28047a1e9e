//! Preselection of servers for a request.
//!
//! Scoring every server for every request does not scale to services with thousands of servers.
//! Above a limit, only the servers that recently ran requests of the VM or processed parts of
//! the prompt are scored, plus a random sample of the zone and of all servers.

use super::dispatch::Request;
use super::prefix::Part;
use crate::id::Permit;
use std::collections::{HashMap, HashSet, VecDeque};
use std::sync::Arc;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Services with at most this many servers score all of them.
const MAX_UNSAMPLED_SERVERS: usize = 128;
/// Sample sizes: servers of the request's zone, and of all zones.
const SAMPLE_SIZES: (u64, u64) = (12, 4);
const MAX_SERVERS_PER_VM: usize = 8;
const MAX_SERVERS_PER_PART: usize = 4;
/// Cleared when full.
const MAX_PARTS: usize = 100_000;

/// Index of the servers of one service, by what makes them good candidates.
#[derive(Debug, Default)]
pub struct Candidates {
    index_by_id: HashMap<Arc<str>, usize>,
    by_zone: HashMap<Arc<str>, Vec<usize>>,
    /// Servers that each VM used last, the most recent at the back.
    by_vm: HashMap<u64, VecDeque<Arc<str>>>,
    /// Servers that processed each prompt part last, the most recent at the back.
    by_part: HashMap<u64, VecDeque<Arc<str>>>,
}

impl Candidates {
    /// Replaces the servers, given as pairs of identity and zone. Their order defines their
    /// indices.
    pub fn configure<'a>(&mut self, servers: impl Iterator<Item = (&'a Arc<str>, &'a Arc<str>)>) {
        self.index_by_id.clear();
        self.by_zone.clear();
        for (id, zone) in servers {
            self.add(id, zone);
        }
    }

    /// Adds a server at the next index.
    pub fn add(&mut self, id: &Arc<str>, zone: &Arc<str>) {
        let index = self.index_by_id.len();
        self.index_by_id.insert(Arc::clone(id), index);
        let in_zone = self.by_zone.entry(Arc::clone(zone)).or_default();
        in_zone.push(index);
    }

    /// Removes a server. The last server takes over its index, as in [`Vec::swap_remove`].
    pub fn remove(&mut self, (id, zone): (&str, &str), (last, last_zone): (&Arc<str>, &str)) {
        let Some(index) = self.index_by_id.remove(id) else {
            return;
        };
        if let Some(in_zone) = self.by_zone.get_mut(zone) {
            in_zone.retain(|other| *other != index);
        }
        let Some(moved_index) = self.index_by_id.get_mut(&**last) else {
            return;
        };
        let old_index = std::mem::replace(moved_index, index);
        let in_zone = self.by_zone.get_mut(last_zone).into_iter().flatten();
        for other in in_zone.filter(|other| **other == old_index) {
            *other = index;
        }
    }

    /// Index of a server.
    #[must_use]
    pub fn index_of(&self, id: &str) -> Option<usize> {
        self.index_by_id.get(id).copied()
    }

    /// Records that a VM used a server.
    pub fn record_use(&mut self, vm: u64, server: &Arc<str>) {
        if self.index_by_id.len() > MAX_UNSAMPLED_SERVERS {
            push_recent(
                self.by_vm.entry(vm).or_default(),
                server,
                MAX_SERVERS_PER_VM,
            );
        }
    }

    /// Records that a server processes a prompt.
    pub fn record_prompt(&mut self, prompt: &[Part], server: &Arc<str>) {
        if self.index_by_id.len() <= MAX_UNSAMPLED_SERVERS {
            return;
        }
        if self.by_part.len() > MAX_PARTS {
            self.by_part.clear();
        }
        for part in prompt {
            push_recent(
                self.by_part.entry(part.id).or_default(),
                server,
                MAX_SERVERS_PER_PART,
            );
        }
    }

    /// Indices of the servers to score for a request, sorted; all servers if there are few.
    /// `session_server` is the server of the session's previous turn.
    #[must_use]
    pub fn select(
        &self,
        permit: Permit,
        request: &Request,
        session_server: Option<&Arc<str>>,
    ) -> Vec<usize> {
        let count = self.index_by_id.len();
        if count <= MAX_UNSAMPLED_SERVERS {
            return (0..count).collect();
        }
        let vm_servers = self.by_vm.get(&request.vm).into_iter().flatten();
        let part_servers = request
            .prompt
            .iter()
            .filter_map(|part| self.by_part.get(&part.id));
        let recent = vm_servers
            .chain(part_servers.flatten())
            .chain(session_server);
        let mut selected: HashSet<usize> = recent.filter_map(|id| self.index_of(id)).collect();
        // Seeded by the request, so that a replay repeats.
        let sample = |salt: u64, count: usize| {
            let seed = permit.0.wrapping_mul(31).wrapping_add(salt);
            let index = xxh3_64_with_seed(&request.vm.to_le_bytes(), seed) % count as u64;
            usize::try_from(index).unwrap_or(0)
        };
        if let Some(in_zone) = self
            .by_zone
            .get(&request.zone)
            .filter(|in_zone| !in_zone.is_empty())
        {
            selected.extend((0..SAMPLE_SIZES.0).map(|salt| in_zone[sample(salt, in_zone.len())]));
        }
        selected.extend((0..SAMPLE_SIZES.1).map(|salt| sample(SAMPLE_SIZES.0 + salt, count)));
        let mut selected: Vec<usize> = selected.into_iter().collect();
        selected.sort_unstable();
        selected
    }
}

fn push_recent(servers: &mut VecDeque<Arc<str>>, server: &Arc<str>, max: usize) {
    if let Some(position) = servers.iter().position(|other| other == server) {
        servers.remove(position);
    }
    servers.push_back(Arc::clone(server));
    if servers.len() > max {
        servers.pop_front();
    }
}
