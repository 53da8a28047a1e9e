//! The backend servers that have registered themselves.

use bytes::Bytes;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// The identity of one run of a backend server: its name and the time of its start.
///
/// A server that starts again under its name holds and knows nothing of before. With an identity of
/// its own, what is known of the run before (connections, load, failures, kept prompts) is void.
pub type Id = Arc<str>;

/// A backend server as it describes itself.
#[derive(Debug, Clone, PartialEq, Eq)]
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
    /// How much longer it is slow after its start.
    pub cold: Duration,
}

/// What a record of the directory says.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// The server is as described.
    Set(Entry),
    /// The server of this name is gone.
    Removed(Arc<str>),
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

/// All registered backend servers.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Directory {
    entries: HashMap<Id, Arc<Entry>>,
    /// The newest run of each server, by name.
    runs: HashMap<Arc<str>, Id>,
    /// Their records as they wrote them.
    records: HashMap<Id, Bytes>,
    /// Records that could not be read, by name, as a hash: each is told once.
    refused: HashMap<String, u64>,
}

/// Records that could not be read and are remembered.
const REFUSED: usize = 1000;

impl Directory {
    /// Takes in a record; tells whether anything but the time of the record changed.
    pub fn apply(&mut self, change: Change) -> bool {
        match change {
            Change::Removed(name) => {
                let Some(id) = self.runs.remove(&name) else {
                    return false;
                };
                self.records.remove(&id);
                self.entries.remove(&id).is_some()
            }
            Change::Set(entry) => {
                if let Some(known) = self.named(&entry.name)
                    && known.born_ms > entry.born_ms
                {
                    // A late record of the run before.
                    return false;
                }
                let same = self
                    .entries
                    .get(&entry.id)
                    .is_some_and(|known| **known == entry);
                if same {
                    return false;
                }
                let before = self
                    .runs
                    .insert(Arc::clone(&entry.name), Arc::clone(&entry.id));
                if let Some(before) = before.filter(|before| *before != entry.id) {
                    self.records.remove(&before);
                    self.entries.remove(&before);
                }
                self.entries.insert(Arc::clone(&entry.id), Arc::new(entry));
                true
            }
        }
    }

    /// Keeps the record of a server as it wrote it.
    pub fn keep(&mut self, name: &str, record: Bytes) {
        if let Some(id) = self.runs.get(name) {
            self.records.insert(Id::clone(id), record);
        }
    }

    /// The records of all servers as they wrote them, by name.
    pub fn records(&self) -> impl Iterator<Item = (&Arc<str>, &Bytes)> {
        let runs = self.runs.iter();
        runs.filter_map(|(name, id)| Some((name, self.records.get(id)?)))
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
