//! Snapshots of the configuration and the directory, kept in several partitions of the store.
//!
//! A VM that starts while the original partitions are unavailable reads a snapshot if no other VM
//! has a copy.

use crate::gateway::Gateway;
use crate::gateway::world::directory::Entry;
use crate::gateway::world::state::Routing;
use crate::platform::records::SNAPSHOT_TOPIC;
use crate::platform::store::{Record, Store};
use crate::telemetry::event;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

/// Partitions that hold a snapshot; several, so that one is likely to be available in an outage.
const PARTITIONS: std::ops::RangeInclusive<u64> = 1..=3;
const CHECK_INTERVAL: Duration = Duration::from_millis(700);
/// Just below the store's limit of 256 KiB per record.
const MAX_SNAPSHOT_BYTES: usize = 250_000;
const SNAPSHOT_KEY: &str = "newest";
/// A larger directory would exceed [`MAX_SNAPSHOT_BYTES`].
const MAX_SERVERS: usize = 3000;

/// The configuration and the directory, as stored.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Snapshot {
    /// The configuration without API keys, in base64.
    config: String,
    pub(crate) servers: Vec<Arc<Entry>>,
}

impl Snapshot {
    /// The snapshot of `routing`; `None` unless both the configuration and the directory are known.
    fn of(routing: &Routing) -> Option<Self> {
        let raw = routing
            .redacted_config
            .as_ref()
            .filter(|_| routing.directory_loaded)?;
        Some(Self {
            config: STANDARD.encode(raw),
            servers: routing.directory.iter().map(Arc::clone).collect(),
        })
    }

    pub(crate) fn config(&self) -> Option<Bytes> {
        STANDARD.decode(&self.config).ok().map(Bytes::from)
    }

    fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }
}

/// Keeps the snapshots in the store up to date, on the VM that the membership elects for it.
pub(crate) async fn publish(gateway: Rc<Gateway>) {
    let store = Store::new(gateway.settings.store.address);
    let mut written = None;
    loop {
        sleep(CHECK_INTERVAL).await;
        let writer = gateway
            .view
            .borrow()
            .preferred_member("snapshot")
            .map(|member| member.vm.clone());
        if writer.as_ref() != Some(&gateway.settings.vm) {
            written = None;
            continue;
        }
        let (current, snapshot) = {
            let routing = gateway.routing.borrow();
            let version = routing.table.as_ref().map(|table| table.version);
            let current = Some((version, routing.directory.digest()));
            // A VM that has just started must not replace the snapshot that it may need.
            if current == written || !routing.is_complete() {
                continue;
            }
            let fits = routing.directory.len() <= MAX_SERVERS;
            (current, fits.then(|| Snapshot::of(&routing)).flatten())
        };
        write(&store, gateway.settings.store.partitions, snapshot.as_ref()).await;
        written = current;
    }
}

/// Writes the snapshot to all its partitions, or deletes it if it is too large, since an old one
/// would list outdated servers.
async fn write(store: &Store, partitions: u64, snapshot: Option<&Snapshot>) {
    let value = snapshot.map(Snapshot::encode);
    let value = value.filter(|value| value.len() <= MAX_SNAPSHOT_BYTES);
    if value.is_none() {
        event!(warn, "snapshot_too_large");
    }
    let record = Record {
        key: SNAPSHOT_KEY.to_owned(),
        value: value.map(Bytes::from),
    };
    for partition in PARTITIONS.filter(|partition| *partition < partitions) {
        let append = store.append(
            SNAPSHOT_TOPIC,
            partition,
            std::slice::from_ref(&record),
            None,
        );
        if let Err(error) = append.await {
            event!(
                debug,
                "snapshot_unwritten",
                part = partition,
                reason = error
            );
        }
    }
}

/// Reads the snapshot from the first partition that answers with one.
pub(crate) async fn from_store(store: &Store) -> Option<Snapshot> {
    for partition in PARTITIONS {
        let Ok(latest) = store.read_latest(SNAPSHOT_TOPIC, partition).await else {
            continue;
        };
        let record = latest
            .records
            .into_iter()
            .find(|record| record.key == SNAPSHOT_KEY);
        let value = record.and_then(|record| record.value);
        if let Some(value) = value {
            return serde_json::from_slice(&value).ok();
        }
    }
    None
}
