//! The backend servers that have registered themselves.

use bytes::Bytes;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// The identity of one run of a backend server.
pub type Id = Arc<str>;

/// A backend server as it describes itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// Its identity, new at each start.
    pub id: Id,
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
    /// The server is gone.
    Removed(Id),
}

/// All registered backend servers.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Directory {
    entries: HashMap<Id, Arc<Entry>>,
    /// Their records as they wrote them.
    records: HashMap<Id, Bytes>,
}

impl Directory {
    /// Takes in a record; tells whether anything but the time of the record changed.
    pub fn apply(&mut self, change: Change) -> bool {
        match change {
            Change::Removed(id) => {
                self.records.remove(&id);
                self.entries.remove(&id).is_some()
            }
            Change::Set(entry) => {
                let same = self
                    .entries
                    .get(&entry.id)
                    .is_some_and(|known| **known == entry);
                if same {
                    return false;
                }
                self.entries.insert(Arc::clone(&entry.id), Arc::new(entry));
                true
            }
        }
    }

    /// Keeps the record of a server as it wrote it.
    pub fn keep(&mut self, id: &str, record: Bytes) {
        if let Some(entry) = self.entries.get(id) {
            self.records.insert(Id::clone(&entry.id), record);
        }
    }

    /// The records of all servers as they wrote them.
    pub fn records(&self) -> impl Iterator<Item = (&Id, &Bytes)> {
        self.records.iter()
    }

    /// A server by its identity.
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
