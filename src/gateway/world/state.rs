//! The configuration and the server directory as this VM knows them, and how records update them.

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

/// The configuration and the server directory, as published to the other threads.
#[derive(Debug, Clone)]
pub(crate) struct World {
    /// The newest configuration; `None` until one is known.
    pub(crate) table: Option<Arc<Table>>,
    pub(crate) directory: Arc<Directory>,
    /// The encoded configuration without API keys, for copies.
    pub(crate) raw: Option<bytes::Bytes>,
    /// Start of the newest configuration read that the store answered. These reads do not wait for
    /// a change, so the store was reachable at that time.
    pub(crate) heard: Option<Instant>,
    /// Whether the directory has been read or copied at least once.
    pub(crate) listed: bool,
    /// The newest changes to the directory.
    pub(crate) changes: Changes,
    /// The store offset that the directory reflects.
    pub(crate) as_of: Offset,
    /// When the store last confirmed the content of the directory, here or at the VM followed.
    pub(crate) aged: Option<Instant>,
    /// The VM from which directory changes come; `None` if this one reads the store.
    pub(crate) source: Option<SocketAddr>,
    /// Offset of the next configuration record to read; `None` to read the latest one.
    pub(crate) config_next: Option<Offset>,
    log_limiter: LogLimiter,
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
            log_limiter: LogLimiter::default(),
        }
    }

    /// The version of the configuration; zero if none is known.
    pub(crate) fn version(&self) -> u64 {
        self.table.as_ref().map_or(0, |table| table.version)
    }

    /// Whether both the configuration and the directory are known, so that requests can be routed.
    pub(crate) fn is_complete(&self) -> bool {
        self.table.is_some() && self.listed
    }

    /// Applies a snapshot from the store and returns whether anything changed.
    ///
    /// Its directory may list servers that have left since, so it is used only if none is known.
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
            changed |= !replace_directory(self, entries).is_empty();
        }
        changed
    }

    /// Applies a configuration if it is newer than the known one, and returns whether it was.
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
        // A read in flight or a lagging peer may deliver an older version.
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

/// Applies the latest records of all servers and returns what changed. Servers without a record are
/// removed unless `keep_missing` is set.
pub(super) fn apply_all(world: &mut World, records: &[Keyed], keep_missing: bool) -> Vec<Change> {
    let initial = !world.listed;
    let mut changes: Vec<Change> = records
        .iter()
        .filter_map(|record| apply_record(world, record, initial))
        .collect();
    let present = records.iter().filter(|record| record.value.is_some());
    let present: HashSet<&str> = present.map(|record| record.key.as_str()).collect();
    if !keep_missing {
        changes.extend(remove_missing(world, |name| present.contains(name)));
    }
    world.listed = true;
    changes
}

/// Replaces the directory with a copy and returns what changed.
pub(super) fn replace_directory(world: &mut World, entries: Vec<Arc<Entry>>) -> Vec<Change> {
    let initial = !world.listed;
    let present: HashSet<Arc<str>> = entries
        .iter()
        .map(|entry| Arc::clone(&entry.name))
        .collect();
    let mut changes = Vec::new();
    for entry in entries {
        let change = Change::Set(entry);
        if apply_change(world, &change, initial) {
            changes.push(change);
        }
    }
    changes.extend(remove_missing(world, |name| present.contains(name)));
    world.listed = true;
    changes
}

fn remove_missing(world: &mut World, is_present: impl Fn(&str) -> bool) -> Vec<Change> {
    let entries = world.directory.iter();
    let missing: Vec<Change> = entries
        .filter(|entry| !is_present(&entry.name))
        .map(|entry| Change::Removed(Arc::clone(&entry.name)))
        .collect();
    for change in &missing {
        apply_change(world, change, false);
    }
    missing
}

/// Applies one record and returns the change, if any. Changes of the `initial` read are not logged.
pub(super) fn apply_record(world: &mut World, record: &Keyed, initial: bool) -> Option<Change> {
    let change = match server(record) {
        Ok(change) => change,
        Err(reason) => {
            // A malformed record makes only its own server unusable.
            let raw = record.value.as_deref().unwrap_or_default();
            if Arc::make_mut(&mut world.directory).note_refused(&record.key, raw) {
                event!(warn, "server_refused", server = record.key, reason = reason);
            }
            Change::Removed(record.key.as_str().into())
        }
    };
    apply_change(world, &change, initial).then_some(change)
}

/// Applies one change and returns whether it had an effect. Changes of the `initial` read are not
/// logged.
pub(super) fn apply_change(world: &mut World, change: &Change, initial: bool) -> bool {
    if !world.directory.differs(change) {
        return false;
    }
    let before = world.directory.named(change.name()).cloned();
    Arc::make_mut(&mut world.directory).apply(change.clone());
    if !initial && world.log_limiter.allow(Instant::now()) {
        log_change(before, world.directory.named(change.name()));
    }
    true
}

/// Limits the rate of log lines about single servers, since a rollout may change thousands at once.
#[derive(Debug, Clone, Default)]
pub(crate) struct LogLimiter {
    window_start: Option<Instant>,
    logged: u32,
    suppressed: u32,
}

const MAX_LINES_PER_WINDOW: u32 = 32;
const LOG_WINDOW: Duration = Duration::from_secs(1);

impl LogLimiter {
    /// Whether one more line may be written. The number of suppressed lines is logged in a later
    /// window.
    fn allow(&mut self, now: Instant) -> bool {
        if self
            .window_start
            .is_none_or(|start| now.saturating_duration_since(start) >= LOG_WINDOW)
        {
            if self.suppressed > 0 {
                event!(info, "server_changes_untold", count = self.suppressed);
            }
            *self = Self {
                window_start: Some(now),
                ..Self::default()
            };
        }
        let allowed = self.logged < MAX_LINES_PER_WINDOW;
        self.logged += u32::from(allowed);
        self.suppressed += u32::from(!allowed);
        allowed
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
