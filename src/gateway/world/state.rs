//! The configuration and the server directory as this VM knows them, and how records update them.

use crate::gateway::world::changes::Changes;
use crate::gateway::world::directory::{Change, Directory, Entry};
use crate::gateway::world::snapshot::Snapshot;
use crate::gateway::world::table::Table;
use crate::gateway::world::team::Teams;
use crate::id::Offset;
use crate::platform::records::{decode_config, decode_server, redact_keys};
use crate::platform::store::Record;
use crate::telemetry::event;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// The configuration and the server directory, as published to the other threads.
#[derive(Debug, Clone)]
pub(crate) struct Routing {
    /// The newest configuration; `None` until one is known.
    pub(crate) table: Option<Arc<Table>>,
    pub(crate) directory: Arc<Directory>,
    /// The encoded configuration without API keys, for copies.
    pub(crate) redacted_config: Option<bytes::Bytes>,
    /// Start of the newest configuration read that the store answered. These reads do not wait for
    /// a change, so the store was reachable at that time.
    pub(crate) last_store_read: Option<Instant>,
    /// Whether the directory has been read or copied at least once.
    pub(crate) directory_loaded: bool,
    /// The newest changes to the directory.
    pub(crate) changes: Changes,
    /// The store offset that the directory reflects.
    pub(crate) directory_offset: Offset,
    /// When the store last confirmed the content of the directory, here or at the upstream.
    pub(crate) directory_confirmed_at: Option<Instant>,
    /// The upstream that directory changes come from; `None` if this VM reads the store.
    pub(crate) directory_source: Option<SocketAddr>,
    /// Offset of the next configuration record to read; `None` to read the latest one.
    pub(crate) next_config_offset: Option<Offset>,
    log_limiter: LogLimiter,
}

impl Routing {
    pub(crate) fn empty() -> Self {
        Self {
            table: None,
            directory: Arc::default(),
            redacted_config: None,
            last_store_read: None,
            directory_loaded: false,
            changes: Changes::default(),
            directory_offset: Offset(0),
            directory_confirmed_at: None,
            directory_source: None,
            next_config_offset: None,
            log_limiter: LogLimiter::default(),
        }
    }

    /// The version of the configuration; zero if none is known.
    pub(crate) fn config_version(&self) -> u64 {
        self.table.as_ref().map_or(0, |table| table.version)
    }

    /// Whether both the configuration and the directory are known, so that requests can be routed.
    pub(crate) fn is_complete(&self) -> bool {
        self.table.is_some() && self.directory_loaded
    }

    /// Applies a snapshot from the store and returns whether anything changed.
    ///
    /// Its directory may list servers that have left since, so it is used only if none is known.
    pub(crate) fn apply_snapshot(&mut self, snapshot: Snapshot) -> bool {
        let from = "copy";
        let mut changed = false;
        if let Some(config) = snapshot.config() {
            changed |= self.apply_config(&config, from);
        }
        if !self.directory_loaded {
            let entries = snapshot.servers;
            event!(
                info,
                "directory_copied",
                servers = entries.len(),
                from = from
            );
            changed |= !replace_directory(self, entries).is_empty();
            // These changes have no offsets: whoever follows them has to take the whole directory.
            self.changes.restart(self.directory_offset);
        }
        changed
    }

    /// Applies a configuration if it is newer than the known one, and returns whether it was.
    pub(crate) fn apply_config(&mut self, raw: &bytes::Bytes, from: &str) -> bool {
        if self.redacted_config.as_ref() == Some(raw) {
            return false;
        }
        let table = match decode_config(raw) {
            Ok(table) => table,
            Err(reason) => {
                event!(error, "config_refused", from = from, reason = reason);
                return false;
            }
        };
        let known = self.config_version();
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
        self.redacted_config = match redact_keys(raw) {
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
pub(super) fn apply_all(
    routing: &mut Routing,
    records: &[Record],
    keep_missing: bool,
) -> Vec<Change> {
    let initial = !routing.directory_loaded;
    let mut changes: Vec<Change> = records
        .iter()
        .filter_map(|record| apply_record(routing, record, initial))
        .collect();
    let present = records.iter().filter(|record| record.value.is_some());
    let present: HashSet<&str> = present.map(|record| record.key.as_str()).collect();
    if !keep_missing {
        changes.extend(remove_missing(routing, |name| present.contains(name)));
    }
    routing.directory_loaded = true;
    changes
}

/// Replaces the directory with a copy and returns what changed.
pub(super) fn replace_directory(routing: &mut Routing, entries: Vec<Arc<Entry>>) -> Vec<Change> {
    let initial = !routing.directory_loaded;
    let present: HashSet<Arc<str>> = entries
        .iter()
        .map(|entry| Arc::clone(&entry.name))
        .collect();
    let mut changes = Vec::new();
    for entry in entries {
        let change = Change::Set(entry);
        if apply_change(routing, &change, initial) {
            changes.push(change);
        }
    }
    changes.extend(remove_missing(routing, |name| present.contains(name)));
    routing.directory_loaded = true;
    changes
}

fn remove_missing(routing: &mut Routing, is_present: impl Fn(&str) -> bool) -> Vec<Change> {
    let entries = routing.directory.iter();
    let missing: Vec<Change> = entries
        .filter(|entry| !is_present(&entry.name))
        .map(|entry| Change::Removed(Arc::clone(&entry.name)))
        .collect();
    for change in &missing {
        apply_change(routing, change, false);
    }
    missing
}

/// Applies one record and returns the change, if any. Changes of the `initial` read are not logged.
pub(super) fn apply_record(
    routing: &mut Routing,
    record: &Record,
    initial: bool,
) -> Option<Change> {
    let change = match decode_server(record) {
        Ok(change) => change,
        Err(reason) => {
            // A malformed record makes only its own server unusable.
            let raw = record.value.as_deref().unwrap_or_default();
            if Arc::make_mut(&mut routing.directory).note_refused(&record.key, raw) {
                event!(warn, "server_refused", server = record.key, reason = reason);
            }
            Change::Removed(record.key.as_str().into())
        }
    };
    apply_change(routing, &change, initial).then_some(change)
}

/// Applies one change and returns whether it had an effect. Changes of the `initial` read are not
/// logged.
pub(super) fn apply_change(routing: &mut Routing, change: &Change, initial: bool) -> bool {
    if !routing.directory.would_change(change) {
        return false;
    }
    let before = routing.directory.by_name(change.name()).cloned();
    Arc::make_mut(&mut routing.directory).apply(change.clone());
    if !initial && routing.log_limiter.allow(Instant::now()) {
        log_change(before, routing.directory.by_name(change.name()));
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
