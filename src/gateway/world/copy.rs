//! Serves full copies of the directory and the configuration to other VMs.

use crate::gateway::world::directory::Entry;
use crate::gateway::world::state::Routing;
use crate::id::Offset;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// HTTP path that serves a copy of the directory.
pub(crate) const DIRECTORY_PATH: &str = "/directory";
/// Query parameter with the lowest store offset, or configuration version, that the client accepts.
pub(crate) const MIN_PARAMETER: &str = "least";
/// HTTP path that serves a copy of the configuration.
pub(crate) const CONFIG_PATH: &str = "/config";
/// A VM that is turned away asks another one, so that copies spread over many VMs.
const MAX_CONCURRENT_COPIES: usize = 4;

/// A copy of a directory.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) struct Directory {
    /// The store offset that the copy reflects.
    pub(super) as_of: Offset,
    /// Milliseconds since the store last confirmed the content.
    pub(super) age_ms: u64,
    /// The encoded entries, cached between requests.
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
    /// The configuration without API keys.
    pub(super) raw: Bytes,
    /// Offset of the next configuration record to read.
    pub(super) next: Offset,
}

/// Serves copies to other VMs, with limited concurrency.
#[derive(Debug, Default)]
pub(crate) struct Copier {
    /// Digest of the last encoded directory, and its encoded entries.
    entries: RefCell<Option<(u64, Bytes)>>,
    in_flight: Arc<AtomicUsize>,
}

/// A response body that counts as in flight until it is dropped.
struct CountedBody {
    bytes: Vec<u8>,
    in_flight: Arc<AtomicUsize>,
}

impl AsRef<[u8]> for CountedBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for CountedBody {
    fn drop(&mut self) {
        self.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

/// The value of [`MIN_PARAMETER`]; zero if it is absent or malformed.
fn minimum(query: Option<&str>) -> u64 {
    let minimum = query.and_then(|query| query.strip_prefix(MIN_PARAMETER)?.strip_prefix('='));
    minimum
        .and_then(|minimum| minimum.parse().ok())
        .unwrap_or(0)
}

impl Copier {
    /// A copy of the directory; `None` if this VM has no directory, its directory is too old, or too
    /// many copies are in flight.
    pub(crate) fn directory(&self, routing: &Routing, query: Option<&str>) -> Option<Bytes> {
        let minimum = Offset(minimum(query));
        let busy = self.in_flight.load(Ordering::Relaxed) >= MAX_CONCURRENT_COPIES;
        if !routing.directory_loaded || routing.directory_offset < minimum || busy {
            return None;
        }
        let age = routing.directory_confirmed_at?.elapsed();
        let copy = Directory {
            as_of: routing.directory_offset,
            age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
            entries: self.entries(routing)?,
        };
        Some(self.count_body(rmp_serde::to_vec(&copy).ok()?))
    }

    /// A copy of the configuration; `None` if this VM has no configuration, its version is too old,
    /// or too many copies are in flight.
    pub(crate) fn config(&self, routing: &Routing, query: Option<&str>) -> Option<Bytes> {
        let outdated = routing.table.as_ref()?.version < minimum(query);
        if outdated || self.in_flight.load(Ordering::Relaxed) >= MAX_CONCURRENT_COPIES {
            return None;
        }
        let copy = Config {
            raw: routing.redacted_config.clone()?,
            next: routing.next_config_offset?,
        };
        Some(self.count_body(rmp_serde::to_vec(&copy).ok()?))
    }

    fn count_body(&self, bytes: Vec<u8>) -> Bytes {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        Bytes::from_owner(CountedBody {
            bytes,
            in_flight: Arc::clone(&self.in_flight),
        })
    }

    fn entries(&self, routing: &Routing) -> Option<Bytes> {
        let digest = routing.directory.digest();
        let mut cached = self.entries.borrow_mut();
        if let Some((cached_digest, bytes)) = cached.as_ref()
            && *cached_digest == digest
        {
            return Some(bytes.clone());
        }
        let entries: Vec<&Entry> = routing.directory.iter().map(|entry| &**entry).collect();
        let bytes = Bytes::from(rmp_serde::to_vec(&entries).ok()?);
        *cached = Some((digest, bytes.clone()));
        Some(bytes)
    }
}
