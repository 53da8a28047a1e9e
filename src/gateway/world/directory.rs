//! The backend servers that have registered themselves.

use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;
use std::sync::Arc;
use xxhash_rust::xxh3::{Xxh3, xxh3_64};

/// The identity of one run of a backend server: its name and the time of its start.
///
/// A server that starts again under its name holds and knows nothing of before. With an identity of
/// its own, what is known of the run before (connections, load, failures, kept prompts) is void.
pub type Id = Arc<str>;

/// A backend server as it describes itself.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(from = "Registration", into = "Registration")]
pub struct Entry {
    /// The identity of this run.
    pub id: Id,
    /// The name under which it registers, which outlasts a restart.
    pub name: Arc<str>,
    /// When this run began, in milliseconds since the Unix epoch; zero where it does not say.
    pub born_ms: u64,
    /// The service that it belongs to.
    pub service: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: String,
    /// Requests that it works on at a time.
    pub slots: usize,
    /// Whether it is about to leave and must get nothing new.
    pub draining: bool,
}

/// An [`Entry`] as VMs pass it on: without the identity, which follows from the rest.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct Registration(Arc<str>, u64, String, SocketAddr, String, usize, bool);

impl From<Registration> for Entry {
    fn from(registration: Registration) -> Self {
        let Registration(name, born_ms, service, address, zone, slots, draining) = registration;
        Self {
            id: identity(&name, born_ms),
            name,
            born_ms,
            service,
            address,
            zone,
            slots,
            draining,
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
        )
    }
}

/// What a record of the directory says.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// The server is as described.
    #[serde(rename = "s")]
    Set(Arc<Entry>),
    /// The server of this name is gone.
    #[serde(rename = "r")]
    Removed(Arc<str>),
}

impl Change {
    /// The name of the server.
    #[must_use]
    pub fn name(&self) -> &Arc<str> {
        match self {
            Self::Set(entry) => &entry.name,
            Self::Removed(name) => name,
        }
    }
}

/// The identity of the run of a server that began then.
///
/// ```
/// assert_eq!(&*vanillatrail::gateway::directory::identity("s", 5), "s@5");
/// ```
#[must_use]
pub fn identity(name: &str, born_ms: u64) -> Id {
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

/// All registered backend servers.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Directory {
    entries: HashMap<Id, Arc<Entry>>,
    /// The newest run of each server, by name.
    runs: HashMap<Arc<str>, Id>,
    /// Of all entries, in no order.
    digest: u64,
    /// Records that could not be read, by name, as a hash: each is told once.
    refused: HashMap<String, u64>,
}

/// Records that could not be read and are remembered.
const REFUSED: usize = 1000;

impl Directory {
    /// Whether a change would change anything.
    #[must_use]
    pub fn differs(&self, change: &Change) -> bool {
        match change {
            Change::Removed(name) => self.runs.contains_key(name),
            // A late record of the run before changes nothing.
            Change::Set(entry) => self
                .named(&entry.name)
                .is_none_or(|known| known.born_ms <= entry.born_ms && known != entry),
        }
    }

    /// Takes in a change; tells whether it changed anything.
    pub fn apply(&mut self, change: Change) -> bool {
        if !self.differs(&change) {
            return false;
        }
        if let Some(id) = self.runs.remove(change.name()) {
            self.remove(&id);
        }
        if let Change::Set(entry) = change {
            let (name, id) = (Arc::clone(&entry.name), Arc::clone(&entry.id));
            self.runs.insert(name, Arc::clone(&id));
            self.digest ^= digest(&entry);
            self.entries.insert(id, entry);
        }
        true
    }

    fn remove(&mut self, id: &Id) {
        if let Some(entry) = self.entries.remove(id) {
            self.digest ^= digest(&entry);
        }
    }

    /// A digest of all entries: two directories with the same one hold the same servers.
    #[must_use]
    pub const fn digest(&self) -> u64 {
        self.digest
    }

    /// Remembers a record that can't be read; tells whether it is a new one.
    pub fn refuse(&mut self, name: &str, record: &[u8]) -> bool {
        if self.refused.len() >= REFUSED {
            self.refused.clear();
        }
        let hash = xxh3_64(record);
        self.refused.insert(name.to_owned(), hash) != Some(hash)
    }

    /// The newest run of a server by its name.
    #[must_use]
    pub fn named(&self, name: &str) -> Option<&Arc<Entry>> {
        self.entries.get(self.runs.get(name)?)
    }

    /// A server by the identity of its run.
    #[must_use]
    pub fn get(&self, id: &str) -> Option<&Arc<Entry>> {
        self.entries.get(id)
    }

    /// The servers of a service, those about to leave among them.
    pub fn of<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Arc<Entry>> {
        self.entries
            .values()
            .filter(move |entry| entry.service == service)
    }

    /// All servers.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Entry>> {
        self.entries.values()
    }

    /// How many servers there are.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no server is registered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
