//! Which servers are weighed for a request where a service has thousands.
//!
//! Load it answers: a service of thousands of servers whose requests are placed by one VM. Weighing each server for
//! each request takes time that grows with servers times requests. A server is good for a request because of what it
//! keeps, an open connection, its zone, or a free place: the first two are remembered here, and among a dozen servers of
//! the zone that are drawn at random one is as good as idle.

use super::dispatch::Ask;
use super::prefix::Part;
use crate::id::Permit;
use std::collections::{HashMap, HashSet, VecDeque};
use std::sync::Arc;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Servers of a service that are all weighed.
const FEW: usize = 128;
/// Servers that are drawn from the zone of a request, and from all zones.
const DRAWN: (u64, u64) = (12, 4);
/// Servers that are remembered of a VM.
const OF_VM: usize = 8;
/// Servers that are remembered of a part of a prompt.
const OF_PART: usize = 4;
/// Parts of prompts that are remembered.
const PARTS: usize = 100_000;

/// What is remembered of the servers of one service.
#[derive(Debug, Default)]
pub struct Candidates {
    index: HashMap<Arc<str>, usize>,
    by_zone: HashMap<Arc<str>, Vec<usize>>,
    /// The servers that each VM used last.
    by_vm: HashMap<u64, VecDeque<Arc<str>>>,
    /// The servers that read each part last.
    by_part: HashMap<u64, VecDeque<Arc<str>>>,
}

impl Candidates {
    /// Sets the servers and their zones, in the order in which they are numbered.
    pub fn configure<'a>(&mut self, servers: impl Iterator<Item = (&'a Arc<str>, &'a Arc<str>)>) {
        self.index.clear();
        self.by_zone.clear();
        for (id, zone) in servers {
            self.add(id, zone);
        }
    }

    /// Adds a server, which gets the next number.
    pub fn add(&mut self, id: &Arc<str>, zone: &Arc<str>) {
        let number = self.index.len();
        self.index.insert(Arc::clone(id), number);
        let near = self.by_zone.entry(Arc::clone(zone)).or_default();
        near.push(number);
    }

    /// Takes a server out; the last one gets its number.
    pub fn remove(&mut self, (id, zone): (&str, &str), (last, last_zone): (&Arc<str>, &str)) {
        let Some(number) = self.index.remove(id) else {
            return;
        };
        if let Some(near) = self.by_zone.get_mut(zone) {
            near.retain(|other| *other != number);
        }
        let Some(moved) = self.index.get_mut(&**last) else {
            return;
        };
        let before = std::mem::replace(moved, number);
        let near = self.by_zone.get_mut(last_zone).into_iter().flatten();
        for other in near.filter(|other| **other == before) {
            *other = number;
        }
    }

    /// The number of a server.
    #[must_use]
    pub fn find(&self, id: &str) -> Option<usize> {
        self.index.get(id).copied()
    }

    /// A VM has used a server.
    pub fn used(&mut self, vm: u64, server: &Arc<str>) {
        if self.index.len() > FEW {
            remember(self.by_vm.entry(vm).or_default(), server, OF_VM);
        }
    }

    /// A server reads a prompt.
    pub fn read(&mut self, prompt: &[Part], server: &Arc<str>) {
        if self.index.len() <= FEW {
            return;
        }
        if self.by_part.len() > PARTS {
            self.by_part.clear();
        }
        for part in prompt {
            remember(self.by_part.entry(part.id).or_default(), server, OF_PART);
        }
    }

    /// The servers to weigh for a request first; all where they are few.
    #[must_use]
    pub fn of(&self, permit: Permit, ask: &Ask, line: Option<&Arc<str>>) -> Vec<usize> {
        let all = self.index.len();
        if all <= FEW {
            return (0..all).collect();
        }
        let of_vm = self.by_vm.get(&ask.vm).into_iter().flatten();
        let parts = ask
            .prompt
            .iter()
            .filter_map(|part| self.by_part.get(&part.id));
        let known = of_vm.chain(parts.flatten()).chain(line);
        let mut chosen: HashSet<usize> = known.filter_map(|id| self.find(id)).collect();
        // The same for the same request, so that a replay repeats.
        let draw = |number: u64, of: usize| {
            let seed = permit.0.wrapping_mul(31).wrapping_add(number);
            let drawn = xxh3_64_with_seed(&ask.vm.to_le_bytes(), seed) % of as u64;
            usize::try_from(drawn).unwrap_or(0)
        };
        if let Some(near) = self.by_zone.get(&ask.zone).filter(|near| !near.is_empty()) {
            chosen.extend((0..DRAWN.0).map(|number| near[draw(number, near.len())]));
        }
        chosen.extend((0..DRAWN.1).map(|number| draw(DRAWN.0 + number, all)));
        let mut chosen: Vec<usize> = chosen.into_iter().collect();
        chosen.sort_unstable();
        chosen
    }
}

fn remember(servers: &mut VecDeque<Arc<str>>, server: &Arc<str>, most: usize) {
    if let Some(at) = servers.iter().position(|known| known == server) {
        servers.remove(at);
    }
    servers.push_back(Arc::clone(server));
    if servers.len() > most {
        servers.pop_front();
    }
}
