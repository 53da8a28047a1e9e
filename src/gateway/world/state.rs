//! What is known of the configuration and the directory, and how records change it.

use crate::gateway::world::changes::Changes;
use crate::gateway::world::directory::{Change, Directory, Entry};
use crate::gateway::world::snapshot::Snapshot;
use crate::gateway::world::table::Table;
use crate::gateway::world::team::Teams;
use crate::id::Offset;
use crate::platform::records::{server, table, without_keys};
use crate::platform::store::Keyed;
use crate::telemetry::event;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
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
    /// When the newest read of the configuration began that the store answered. It does not wait for a change, so
    /// the store was there at that time.
    pub(crate) heard: Option<Instant>,
    /// Whether the directory has been read.
    pub(crate) listed: bool,
    /// Its newest changes.
    pub(crate) changes: Changes,
    /// What the directory stands for, as an offset of the store.
    pub(crate) as_of: Offset,
    /// When the store said what stands in the directory.
    pub(crate) aged: Option<Instant>,
    /// The VM from which changes of the directory come; none where this one reads the store.
    pub(crate) source: Option<SocketAddr>,
    /// Where the records after the configuration begin.
    pub(crate) config_next: Option<Offset>,
    lines: Lines,
}

impl World {
    pub(crate) fn empty() -> Self {
        Self {
            table: None,
            directory: Arc::default(),
            raw: None,
            heard: None,
            listed: false,
            changes: Changes::default(),
            as_of: Offset(0),
            aged: None,
            source: None,
            config_next: None,
            lines: Lines::default(),
        }
    }

    /// The version of the configuration; zero where none is known.
    pub(crate) fn version(&self) -> u64 {
        self.table.as_ref().map_or(0, |table| table.version)
    }

    /// Whether requests can be routed.
    pub(crate) fn is_complete(&self) -> bool {
        self.table.is_some() && self.listed
    }

    /// Takes in a copy of the store's. Its directory is used only where none was read, since servers that have left
    /// meanwhile may stand in it; the configuration has a version.
    pub(crate) fn learn_snapshot(&mut self, snapshot: Snapshot) -> bool {
        let from = "copy";
        let mut changed = false;
        if let Some(config) = snapshot.config() {
            changed |= self.learn(&config, from);
        }
        if !self.listed {
            let entries = snapshot.servers;
            event!(
                info,
                "directory_copied",
                servers = entries.len(),
                from = from
            );
            changed |= !copied(self, entries).is_empty();
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
        let known = self.version();
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

/// Takes in the newest record of each server; gives what changed.
pub(super) fn whole(world: &mut World, records: &[Keyed], lenient: bool) -> Vec<Change> {
    let first = !world.listed;
    let mut changes: Vec<Change> = records
        .iter()
        .filter_map(|record| apply(world, record, first))
        .collect();
    let present = records.iter().filter(|record| record.value.is_some());
    let present: HashSet<&str> = present.map(|record| record.key.as_str()).collect();
    if !lenient {
        changes.extend(retain(world, |name| present.contains(name)));
    }
    world.listed = true;
    changes
}

/// Takes in the directory of another VM; gives what changed.
pub(super) fn copied(world: &mut World, entries: Vec<Arc<Entry>>) -> Vec<Change> {
    let first = !world.listed;
    let present: HashSet<Arc<str>> = entries
        .iter()
        .map(|entry| Arc::clone(&entry.name))
        .collect();
    let mut changes = Vec::new();
    for entry in entries {
        let change = Change::Set(entry);
        if apply_change(world, &change, first) {
            changes.push(change);
        }
    }
    changes.extend(retain(world, |name| present.contains(name)));
    world.listed = true;
    changes
}

fn retain(world: &mut World, stays: impl Fn(&str) -> bool) -> Vec<Change> {
    let entries = world.directory.iter();
    let missing: Vec<Change> = entries
        .filter(|entry| !stays(&entry.name))
        .map(|entry| Change::Removed(Arc::clone(&entry.name)))
        .collect();
    for change in &missing {
        apply_change(world, change, false);
    }
    missing
}

/// Takes in one record; gives what it changes. It is logged unless the record is one of the `first`.
pub(super) fn apply(world: &mut World, record: &Keyed, first: bool) -> Option<Change> {
    let change = match server(record) {
        Ok(change) => change,
        Err(reason) => {
            // Another writer's, or rubbish: it names no server to use, and the others hold.
            let raw = record.value.as_deref().unwrap_or_default();
            if Arc::make_mut(&mut world.directory).refuse(&record.key, raw) {
                event!(warn, "server_refused", server = record.key, reason = reason);
            }
            Change::Removed(record.key.as_str().into())
        }
    };
    apply_change(world, &change, first).then_some(change)
}

/// Takes in one change; tells whether it changes anything.
pub(super) fn apply_change(world: &mut World, change: &Change, first: bool) -> bool {
    if !world.directory.differs(change) {
        return false;
    }
    let before = world.directory.named(change.name()).cloned();
    Arc::make_mut(&mut world.directory).apply(change.clone());
    if !first && world.lines.take(Instant::now()) {
        log_change(before, world.directory.named(change.name()));
    }
    true
}

/// Lines of a second about single servers. A release of thousands of servers is told in part.
#[derive(Debug, Clone, Default)]
pub(crate) struct Lines {
    since: Option<Instant>,
    told: u32,
    untold: u32,
}

/// Lines of one second.
const LINES: u32 = 32;
const SECOND: Duration = Duration::from_secs(1);

impl Lines {
    /// Whether one more line may be written. Those that were left out are counted in one line later.
    fn take(&mut self, now: Instant) -> bool {
        if self
            .since
            .is_none_or(|since| now.saturating_duration_since(since) >= SECOND)
        {
            if self.untold > 0 {
                event!(info, "server_changes_untold", count = self.untold);
            }
            *self = Self {
                since: Some(now),
                ..Self::default()
            };
        }
        let fits = self.told < LINES;
        self.told += u32::from(fits);
        self.untold += u32::from(!fits);
        fits
    }
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
