//! Whole copies of the directory and of the configuration, which VMs give each other.

use crate::gateway::world::directory::Entry;
use crate::gateway::world::state::World;
use crate::id::Offset;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// The path at which a VM gives a copy of its directory.
pub(crate) const DIRECTORY_PATH: &str = "/directory";
/// The part of a query that tells what the copy has to stand for at least.
pub(crate) const LEAST: &str = "least";
/// The path at which a VM gives a copy of its configuration.
pub(crate) const CONFIG_PATH: &str = "/config";
/// Copies that a VM gives at a time. Whoever gets none asks another VM, so that the number of VMs with a copy
/// doubles again and again.
const AT_A_TIME: usize = 4;

/// A copy of a directory.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) struct Directory {
    /// What it stands for.
    pub(super) as_of: Offset,
    /// How old it is, in milliseconds.
    pub(super) age_ms: u64,
    /// The entries, encoded once for all that ask.
    pub(super) entries: Bytes,
}

impl Directory {
    pub(super) fn entries(&self) -> Option<Vec<Arc<Entry>>> {
        rmp_serde::from_slice(&self.entries).ok()
    }
}

/// A copy of a configuration.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) struct Config {
    /// The configuration, without the keys of teams.
    pub(super) raw: Bytes,
    /// Where the records after it begin.
    pub(super) next: Offset,
}

/// Gives copies to other VMs.
#[derive(Debug, Default)]
pub(crate) struct Copier {
    /// The newest encoded entries, and the digest of their directory.
    entries: RefCell<Option<(u64, Bytes)>>,
    given: Arc<AtomicUsize>,
}

/// Bytes that are on their way to another VM.
struct Given {
    bytes: Vec<u8>,
    count: Arc<AtomicUsize>,
}

impl AsRef<[u8]> for Given {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for Given {
    fn drop(&mut self) {
        self.count.fetch_sub(1, Ordering::Relaxed);
    }
}

/// What a copy has to stand for at least.
fn least(query: Option<&str>) -> u64 {
    let least = query.and_then(|query| query.strip_prefix(LEAST)?.strip_prefix('='));
    least.and_then(|least| least.parse().ok()).unwrap_or(0)
}

impl Copier {
    /// A copy of the directory; none where this VM has none, only an older one, or gives enough already.
    pub(crate) fn directory(&self, world: &World, query: Option<&str>) -> Option<Bytes> {
        let least = Offset(least(query));
        let busy = self.given.load(Ordering::Relaxed) >= AT_A_TIME;
        if !world.listed || world.as_of < least || busy {
            return None;
        }
        let age = world.aged?.elapsed();
        let copy = Directory {
            as_of: world.as_of,
            age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
            entries: self.entries(world)?,
        };
        Some(self.give(rmp_serde::to_vec(&copy).ok()?))
    }

    /// A copy of the configuration; none where this VM has none, only an older one, or gives enough already.
    pub(crate) fn config(&self, world: &World, query: Option<&str>) -> Option<Bytes> {
        let older = world.table.as_ref()?.version < least(query);
        if older || self.given.load(Ordering::Relaxed) >= AT_A_TIME {
            return None;
        }
        let copy = Config {
            raw: world.raw.clone()?,
            next: world.config_next?,
        };
        Some(self.give(rmp_serde::to_vec(&copy).ok()?))
    }

    fn give(&self, bytes: Vec<u8>) -> Bytes {
        self.given.fetch_add(1, Ordering::Relaxed);
        Bytes::from_owner(Given {
            bytes,
            count: Arc::clone(&self.given),
        })
    }

    fn entries(&self, world: &World) -> Option<Bytes> {
        let digest = world.directory.digest();
        let mut newest = self.entries.borrow_mut();
        if let Some((known, bytes)) = newest.as_ref()
            && *known == digest
        {
            return Some(bytes.clone());
        }
        let entries: Vec<&Entry> = world.directory.iter().map(|entry| &**entry).collect();
        let bytes = Bytes::from(rmp_serde::to_vec(&entries).ok()?);
        *newest = Some((digest, bytes.clone()));
        Some(bytes)
    }
}
