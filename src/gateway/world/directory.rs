//! The backend servers that have registered themselves.

use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;
use std::sync::Arc;
use xxhash_rust::xxh3::{Xxh3, xxh3_64};

/// The identity of one instance of a backend server: its name and its start time.
///
/// A restarted server gets a new identity, so that connections, load, failures and cached prompts
/// of the previous instance are not attributed to it.
pub type Instance = Arc<str>;

/// A backend server as it registered itself.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(from = "Registration", into = "Registration")]
pub struct Entry {
    /// Identity of this instance.
    pub id: Instance,
    /// Name of the server, which stays the same across restarts.
    pub name: Arc<str>,
    /// Start time of this instance in milliseconds since the Unix epoch; zero if unknown.
    pub born_ms: u64,
    /// Name of the service that the server belongs to.
    pub service: String,
    /// Address that the server listens on.
    pub address: SocketAddr,
    /// Availability zone of the server.
    pub zone: String,
    /// Version of the server's software; empty if unknown.
    pub version: Arc<str>,
    /// Number of requests that the server processes concurrently.
    pub slots: usize,
    /// Whether the server is shutting down and must get no new requests.
    pub draining: bool,
}

/// The encoding of an [`Entry`] between VMs: without the identity, which is derived.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct Registration(
    Arc<str>,
    u64,
    String,
    SocketAddr,
    String,
    usize,
    bool,
    // Absent in what VMs of the version before encode.
    #[serde(default)] Arc<str>,
);

impl From<Registration> for Entry {
    fn from(registration: Registration) -> Self {
        let Registration(name, born_ms, service, address, zone, slots, draining, version) =
            registration;
        Self {
            id: instance_id(&name, born_ms),
            name,
            born_ms,
            service,
            address,
            zone,
            slots,
            draining,
            version,
        }
    }
}

impl From<Entry> for Registration {
    fn from(entry: Entry) -> Self {
        Self(
            entry.name,
            entry.born_ms,
            entry.service,
            entry.address,
            entry.zone,
            entry.slots,
            entry.draining,
            entry.version,
        )
    }
}

/// An update to one server in the directory.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// The server was registered or updated.
    #[serde(rename = "s")]
    Set(Arc<Entry>),
    /// The server of this name was removed.
    #[serde(rename = "r")]
    Removed(Arc<str>),
}

impl Change {
    /// The name of the server that was set or removed.
    #[must_use]
    pub fn name(&self) -> &Arc<str> {
        match self {
            Self::Set(entry) => &entry.name,
            Self::Removed(name) => name,
        }
    }
}

/// Returns the identity of the instance of server `name` that started at `born_ms`.
///
/// ```
/// assert_eq!(&*vanillatrail::gateway::directory::instance_id("s", 5), "s@5");
/// ```
#[must_use]
pub fn instance_id(name: &str, born_ms: u64) -> Instance {
    if born_ms == 0 {
        return name.into();
    }
    format!("{name}@{born_ms}").into()
}

fn digest(entry: &Entry) -> u64 {
    let mut hasher = Xxh3::new();
    entry.hash(&mut hasher);
    hasher.finish()
}

/// The registered backend servers.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Directory {
    entries: HashMap<Instance, Arc<Entry>>,
    /// The current instance of each server, by name.
    instances: HashMap<Arc<str>, Instance>,
    /// XOR of the hashes of all entries, so that their order does not matter.
    digest: u64,
    /// Hashes of malformed records by server name, so that each is logged once.
    refused: HashMap<String, u64>,
}

const MAX_REFUSED_RECORDS: usize = 1000;

impl Directory {
    /// Whether applying `change` would have an effect.
    #[must_use]
    pub fn would_change(&self, change: &Change) -> bool {
        match change {
            Change::Removed(name) => self.instances.contains_key(name),
            // A late record of a previous instance has no effect.
            Change::Set(entry) => self
                .by_name(&entry.name)
                .is_none_or(|known| known.born_ms <= entry.born_ms && known != entry),
        }
    }

    /// Applies a change and returns whether it had an effect.
    pub fn apply(&mut self, change: Change) -> bool {
        if !self.would_change(&change) {
            return false;
        }
        if let Some(id) = self.instances.remove(change.name()) {
            self.remove(&id);
        }
        if let Change::Set(entry) = change {
            let (name, id) = (Arc::clone(&entry.name), Arc::clone(&entry.id));
            self.instances.insert(name, Arc::clone(&id));
            self.digest ^= digest(&entry);
            self.entries.insert(id, entry);
        }
        true
    }

    fn remove(&mut self, id: &Instance) {
        if let Some(entry) = self.entries.remove(id) {
            self.digest ^= digest(&entry);
        }
    }

    /// An order-independent hash of all entries, to compare two directories.
    #[must_use]
    pub const fn digest(&self) -> u64 {
        self.digest
    }

    /// Remembers a malformed record and returns whether it was unknown, so that it is logged once.
    pub fn note_refused(&mut self, name: &str, record: &[u8]) -> bool {
        if self.refused.len() >= MAX_REFUSED_RECORDS {
            self.refused.clear();
        }
        let hash = xxh3_64(record);
        self.refused.insert(name.to_owned(), hash) != Some(hash)
    }

    /// The current instance of the server with this name.
    #[must_use]
    pub fn by_name(&self, name: &str) -> Option<&Arc<Entry>> {
        self.entries.get(self.instances.get(name)?)
    }

    /// The server with this instance identity.
    #[must_use]
    pub fn get(&self, id: &str) -> Option<&Arc<Entry>> {
        self.entries.get(id)
    }

    /// The servers of a service, including draining ones.
    pub fn of_service<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Arc<Entry>> {
        self.entries
            .values()
            .filter(move |entry| entry.service == service)
    }

    /// All servers, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Entry>> {
        self.entries.values()
    }

    /// Number of servers.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether the directory has no servers.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
