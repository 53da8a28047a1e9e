//! What is known of the configuration and the directory, and how records change it.

use crate::gateway::world::directory::{Change, Directory, Entry};
use crate::gateway::world::snapshot::Snapshot;
use crate::gateway::world::table::Table;
use crate::gateway::world::team::Teams;
use crate::platform::records::{server, table, without_keys};
use crate::platform::store::Keyed;
use crate::telemetry::event;
use std::collections::HashSet;
use std::sync::Arc;
use tokio::time::Instant;

/// What the other threads see of the configuration and the directory.
#[derive(Debug, Clone)]
pub(crate) struct World {
    /// The newest configuration; none until one is known.
    pub(crate) table: Option<Arc<Table>>,
    /// The backend servers.
    pub(crate) directory: Arc<Directory>,
    /// The configuration for VMs that can't read it at the store, without the keys of teams.
    pub(crate) raw: Option<bytes::Bytes>,
    /// When the store last answered; none before it has.
    pub(crate) heard: Option<Instant>,
    /// Whether the directory has been read.
    pub(crate) listed: bool,
    /// When the newest read of the directory began that the store answered. It does not wait for a change,
    /// so the store was there at that time; a read that waits may be answered after the store has gone.
    pub(crate) read: Option<Instant>,
}

impl World {
    pub(crate) fn empty() -> Self {
        Self {
            table: None,
            directory: Arc::default(),
            raw: None,
            heard: None,
            listed: false,
            read: None,
        }
    }

    /// Whether requests can be routed.
    pub(crate) fn is_complete(&self) -> bool {
        self.table.is_some() && self.listed
    }

    /// Takes in a copy. The directory of a copy is used only where none was read, since servers
    /// that have left meanwhile may stand in it; the configuration has a version.
    pub(crate) fn learn_copy(&mut self, snapshot: Snapshot, from: &str) -> bool {
        let mut changed = false;
        if let Some(config) = snapshot.config() {
            changed |= self.learn(&config, from);
        }
        if !self.listed {
            let records = snapshot.servers();
            event!(
                info,
                "directory_copied",
                servers = records.len(),
                from = from
            );
            changed |= whole(self, &records, true);
        }
        changed
    }

    /// Takes in a configuration unless it is older than the one known. Tells whether it is new.
    pub(crate) fn learn(&mut self, raw: &bytes::Bytes, from: &str) -> bool {
        if self.raw.as_ref() == Some(raw) {
            return false;
        }
        let table = match table(raw) {
            Ok(table) => table,
            Err(reason) => {
                event!(error, "config_refused", from = from, reason = reason);
                return false;
            }
        };
        let known = self.table.as_ref().map_or(0, |table| table.version);
        // Never back: a read that was under way, or a peer that lags, may bring an older version.
        if self.table.is_some() && table.version <= known {
            return false;
        }
        event!(
            info,
            "config_applied",
            version = table.version,
            before = known,
            routes = table.len(),
            teams = table.teams.as_ref().map_or(0, Teams::len),
            from = from
        );
        self.table = Some(Arc::new(table));
        self.raw = match without_keys(raw) {
            Ok(raw) => Some(raw),
            Err(error) => {
                event!(warn, "config_not_copied", from = from, reason = error);
                None
            }
        };
        true
    }
}

/// Takes in the newest record of each server.
pub(super) fn whole(world: &mut World, records: &[Keyed], lenient: bool) -> bool {
    let mut directory = (*world.directory).clone();
    let first = !world.listed;
    let mut changed = first;
    for record in records {
        changed |= apply(&mut directory, record, first);
    }
    let present: HashSet<&str> = records
        .iter()
        .filter(|record| record.value.is_some())
        .map(|record| record.key.as_str())
        .collect();
    let missing: Vec<_> = directory
        .iter()
        .filter(|entry| !present.contains(&*entry.name))
        .map(|entry| Keyed {
            key: entry.name.to_string(),
            value: None,
        })
        .collect();
    if !lenient {
        for record in &missing {
            changed |= apply(&mut directory, record, false);
        }
    }
    world.listed = true;
    if changed {
        world.directory = Arc::new(directory);
    }
    changed
}

/// Takes in one record; what it changes is logged unless it is one of the `first`.
pub(super) fn apply(directory: &mut Directory, record: &Keyed, first: bool) -> bool {
    let mut refused = false;
    let change = match server(record) {
        Ok(change) => change,
        Err(reason) => {
            // Another writer's, or rubbish: it names no server to use, and the others hold.
            let raw = record.value.as_deref().unwrap_or_default();
            refused = directory.refuse(&record.key, raw);
            if refused {
                event!(warn, "server_refused", server = record.key, reason = reason);
            }
            Change::Removed(record.key.as_str().into())
        }
    };
    let before = directory.named(&record.key).cloned();
    let changed = directory.apply(change);
    if !changed {
        return refused;
    }
    if let Some(value) = &record.value {
        directory.keep(&record.key, value.clone());
    }
    if !first {
        log_change(before, directory.named(&record.key));
    }
    changed
}

fn log_change(before: Option<Arc<Entry>>, after: Option<&Arc<Entry>>) {
    match (before, after) {
        (Some(before), Some(entry)) if before.id == entry.id => {
            if entry.draining && !before.draining {
                event!(info, "server_draining", server = entry.id);
            }
        }
        (before, Some(entry)) => event!(
            info,
            "server_added",
            server = entry.id,
            instead_of = before.as_ref().map_or("", |before| &*before.id),
            service = entry.service,
            address = entry.address,
            zone = entry.zone
        ),
        (Some(before), None) => event!(info, "server_removed", server = before.id),
        (None, None) => {}
    }
}
