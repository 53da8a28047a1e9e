//! Copies of the configuration and the directory, for a VM that starts while the store does not
//! give it the originals.
//!
//! Two ways lead to a copy: partitions of the store other than those of the originals, and the VMs
//! that run. After the loss of all VMs in a partial outage only the first is left.

use crate::gateway::Gateway;
use crate::gateway::world::directory::Entry;
use crate::gateway::world::state::World;
use crate::platform::records::SNAPSHOT_TOPIC;
use crate::platform::store::{Keyed, Store};
use crate::telemetry::event;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

/// Partitions that hold a copy. With a quarter of all partitions away, one of three is there in 98
/// of 100 cases.
const PARTS: std::ops::RangeInclusive<u64> = 1..=3;
/// Time between two looks at whether the copy has to be written again.
const PERIOD: Duration = Duration::from_millis(700);
/// Bytes of a copy; the store takes records of 256 KiB.
const LARGEST: usize = 250_000;
/// The key of the copy.
const KEY: &str = "newest";
/// Backend servers in a copy at most: beyond that it would not fit.
const SERVERS: usize = 3000;

/// The configuration and the directory.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Snapshot {
    /// The configuration, in base64.
    config: String,
    /// The backend servers.
    pub(crate) servers: Vec<Arc<Entry>>,
}

impl Snapshot {
    /// What a VM knows, if it knows enough to route.
    fn of(world: &World) -> Option<Self> {
        let raw = world.raw.as_ref().filter(|_| world.listed)?;
        Some(Self {
            config: STANDARD.encode(raw),
            servers: world.directory.iter().map(Arc::clone).collect(),
        })
    }

    pub(crate) fn config(&self) -> Option<Bytes> {
        STANDARD.decode(&self.config).ok().map(Bytes::from)
    }

    fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }
}

/// Keeps the copies at the store up to date, on the first VM by rank.
pub(crate) async fn keep(gateway: Rc<Gateway>) {
    let store = Store::new(gateway.settings.store.address);
    let mut written = None;
    loop {
        sleep(PERIOD).await;
        let first = gateway
            .view
            .borrow()
            .preferred_member("snapshot")
            .map(|member| member.vm.clone());
        if first.as_ref() != Some(&gateway.settings.vm) {
            written = None;
            continue;
        }
        let (current, snapshot) = {
            let world = gateway.world.borrow();
            let version = world.table.as_ref().map(|table| table.version);
            let current = Some((version, world.directory.digest()));
            if current == written {
                continue;
            }
            let few = world.directory.len() <= SERVERS;
            (current, few.then(|| Snapshot::of(&world)).flatten())
        };
        write(&store, gateway.settings.store.partitions, snapshot.as_ref()).await;
        written = current;
    }
}

/// Writes the copy, or drops it where it does not fit: one of another time would name few servers, and old ones.
async fn write(store: &Store, partitions: u64, snapshot: Option<&Snapshot>) {
    let value = snapshot.map(Snapshot::encode);
    let value = value.filter(|value| value.len() <= LARGEST);
    if value.is_none() {
        event!(warn, "snapshot_too_large");
    }
    let record = Keyed {
        key: KEY.to_owned(),
        value: value.map(Bytes::from),
    };
    for part in PARTS.filter(|part| *part < partitions) {
        let written = store.append(SNAPSHOT_TOPIC, part, std::slice::from_ref(&record), None);
        if let Err(fault) = written.await {
            event!(debug, "snapshot_unwritten", part = part, reason = fault);
        }
    }
}

/// The copy in the store, from the first partition that gives it.
pub(crate) async fn from_store(store: &Store) -> Option<Snapshot> {
    for part in PARTS {
        let Ok(newest) = store.newest(SNAPSHOT_TOPIC, part).await else {
            continue;
        };
        let record = newest.records.into_iter().find(|record| record.key == KEY);
        let snapshot = record.and_then(|record| record.value);
        if let Some(value) = snapshot {
            return serde_json::from_slice(&value).ok();
        }
    }
    None
}
