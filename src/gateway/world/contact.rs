//! Discovers the other VMs through records in the store.

use crate::clock;
use crate::id::{Vm, Zone};
use crate::member::{Introduction, List};
use crate::platform::records::CONTACT_TOPIC;
use crate::platform::store::{Error, Latest, Record, Store};
use crate::policy::cells::{cell, ranked_readers};
use crate::policy::relay::Peer;
use crate::settings;
use crate::telemetry::event;
use bytes::Bytes;
use futures::StreamExt;
use futures::stream;
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::{Mutex, watch};
use tokio::time::{Instant, sleep, timeout};

/// Pauses between rounds: short at first, since all VMs may start at once, then long, since the
/// membership protocol announces new VMs itself.
const ROUND_INTERVALS: [Duration; 5] = [
    Duration::from_millis(300),
    Duration::from_millis(700),
    Duration::from_secs(2),
    Duration::from_secs(3),
    RENEWAL_INTERVAL,
];
const RENEWAL_INTERVAL: Duration = Duration::from_secs(30);
/// Age up to which a record makes its VM a member without a probe; allows for one failed renewal. A
/// VM that has gone since is suspected and dropped some seconds later.
const MAX_CONTACT_AGE: Duration = Duration::from_mins(1);
/// How long a starting VM waits for a configuration before it publishes its introduction, which
/// would otherwise need a correction right after.
const READY_TIMEOUT: Duration = Duration::from_millis(200);
/// Time for the membership task to process the introductions passed to it.
const MEMBERSHIP_DELAY: Duration = Duration::from_millis(100);
/// HTTP path that serves the introductions of all VMs.
pub(crate) const INTRODUCTIONS_PATH: &str = "/introductions";
/// How long a list of all introductions is reused.
const LIST_CACHE_TTL: Duration = Duration::from_secs(1);
/// Timeout of a request for another VM's list, which it may have to read from the store first.
const FETCH_TIMEOUT: Duration = Duration::from_millis(1500);
const MAX_READERS_TRIED: usize = 2;
const MAX_CONCURRENT_READS: usize = 8;

/// The record of a VM in the store.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Contact {
    introduction: Introduction,
    /// Time of the write in milliseconds since the Unix epoch.
    written_ms: u64,
}

impl Contact {
    fn is_fresh(&self, now_ms: u64) -> bool {
        u128::from(now_ms.saturating_sub(self.written_ms)) < MAX_CONTACT_AGE.as_millis()
    }
}

/// The introductions of all cells, decoded and as served to other VMs.
#[derive(Debug, Clone)]
struct CachedList {
    read_at: Instant,
    list: List,
    encoded: Bytes,
}

/// Publishes this VM's introduction and reads those of the other VMs.
///
/// Each VM writes to one cell, a partition of the store. A VM reads its own cell, and gets the
/// others from the VM that reads all cells on behalf of its cell.
#[derive(Debug)]
pub(crate) struct Discovery {
    store: Store,
    client: reqwest::Client,
    vm: Vm,
    zone: Zone,
    cells: u64,
    /// Port on which every VM serves the list of introductions.
    port: u16,
    cached: RefCell<Option<CachedList>>,
    read_lock: Mutex<()>,
}

impl Discovery {
    pub(crate) fn new(settings: &settings::Gateway) -> Self {
        let client = reqwest::Client::builder()
            .timeout(FETCH_TIMEOUT)
            .pool_max_idle_per_host(0)
            .no_proxy()
            .build();
        Self {
            store: Store::new(settings.store.address),
            client: client.expect("a client without TLS can be built"),
            vm: settings.vm.clone(),
            zone: settings.zone.clone(),
            cells: settings.store.partitions,
            port: settings.listen.operators.port(),
            cached: RefCell::default(),
            read_lock: Mutex::default(),
        }
    }

    /// Publishes this VM's introduction to the store and sends those of the others to `lists`. Sets
    /// `peers_known` once the other VMs are known.
    pub(crate) async fn run(
        &self,
        mut introduction: watch::Receiver<Option<Introduction>>,
        lists: flume::Sender<List>,
        peers_known: watch::Sender<bool>,
    ) {
        let mut round = 0;
        let mut published = None;
        let ready = introduction.wait_for(|own| own.as_ref().is_some_and(|own| own.profile.ready));
        // After a timeout the membership protocol announces the completed profile.
        let _ = timeout(READY_TIMEOUT, ready).await;
        loop {
            let own = introduction.borrow().clone();
            let due = published != own || round >= ROUND_INTERVALS.len();
            if let Some(own) = own.filter(|_| due)
                && self.write(own.clone()).await
            {
                published = Some(own);
            }
            if let Some(list) = self.read().await {
                if lists.send_async(list).await.is_err() {
                    return;
                }
                if !*peers_known.borrow() {
                    sleep(MEMBERSHIP_DELAY).await;
                    peers_known.send_replace(true);
                }
            }
            let interval = ROUND_INTERVALS[usize::min(round, ROUND_INTERVALS.len() - 1)];
            round += 1;
            sleep(interval).await;
        }
    }

    async fn write(&self, introduction: Introduction) -> bool {
        let key = introduction.profile.vm.to_string();
        let cell = cell(&self.vm, &self.zone, self.cells);
        let contact = Contact {
            introduction,
            written_ms: clock::wall_ms(),
        };
        let value = serde_json::to_vec(&contact).unwrap_or_default();
        let record = Record {
            key,
            value: Some(Bytes::from(value)),
        };
        let appended = self
            .store
            .append(CONTACT_TOPIC, cell, &[record], None)
            .await;
        if let Err(error) = &appended {
            event!(debug, "contact_unwritten", cell = cell, reason = error);
        }
        appended.is_ok()
    }

    /// Lists all VMs, from the VM that reads all cells for this one or else from the store.
    async fn read(&self) -> Option<List> {
        let own_cell = cell(&self.vm, &self.zone, self.cells);
        let own_list = match self.store.read_latest(CONTACT_TOPIC, own_cell).await {
            Ok(latest) => to_list([latest]),
            Err(error) => {
                event!(debug, "contacts_unread", cell = own_cell, reason = error);
                return self.list_all().await;
            }
        };
        let peers: Vec<Peer> = own_list.introductions.iter().map(peer).collect();
        for reader in ranked_readers(&peers).into_iter().take(MAX_READERS_TRIED) {
            if reader.vm == self.vm {
                break;
            }
            if let Some(mut list) = self.fetch(reader.address).await {
                // This VM's own read is newer than the reader's list, so it goes first.
                list.introductions
                    .splice(0..0, own_list.introductions.clone());
                list.vms.extend(own_list.vms);
                return Some(list);
            }
        }
        self.list_all().await
    }

    async fn fetch(&self, reader: SocketAddr) -> Option<List> {
        let address = SocketAddr::new(reader.ip(), self.port);
        let request = self
            .client
            .get(format!("http://{address}{INTRODUCTIONS_PATH}"));
        let body = async {
            let response = request.send().await?.error_for_status()?;
            response.bytes().await
        };
        let bytes = match body.await {
            Ok(bytes) => bytes,
            Err(error) => {
                event!(debug, "contacts_not_given", from = address, reason = error);
                return None;
            }
        };
        rmp_serde::from_slice(&bytes).ok()
    }

    /// The introductions of all VMs, as served at [`INTRODUCTIONS_PATH`]; `None` if no cell could be
    /// read.
    pub(crate) async fn encoded_introductions(&self) -> Option<Bytes> {
        self.read_all().await.map(|cached| cached.encoded)
    }

    async fn list_all(&self) -> Option<List> {
        self.read_all().await.map(|cached| cached.list)
    }

    /// Reads all cells, or returns the cached list if it is recent enough.
    async fn read_all(&self) -> Option<CachedList> {
        // Concurrent callers share one read.
        let _guard = self.read_lock.lock().await;
        let cached = self.cached.borrow().clone();
        if let Some(cached) = cached.filter(|cached| cached.read_at.elapsed() < LIST_CACHE_TTL) {
            return Some(cached);
        }
        let reads = (0..self.cells).map(|cell| self.store.read_latest(CONTACT_TOPIC, cell));
        let results: Vec<Result<Latest, Error>> = stream::iter(reads)
            .buffer_unordered(MAX_CONCURRENT_READS)
            .collect()
            .await;
        if results.iter().all(Result::is_err) {
            return None;
        }
        let list = to_list(results.into_iter().flatten());
        let cached = CachedList {
            read_at: Instant::now(),
            encoded: rmp_serde::to_vec(&list).ok()?.into(),
            list,
        };
        *self.cached.borrow_mut() = Some(cached.clone());
        Some(cached)
    }
}

fn peer(introduction: &Introduction) -> Peer {
    let profile = &introduction.profile;
    Peer {
        vm: profile.vm.clone(),
        address: profile.address,
        zone: profile.zone.clone(),
        cores: profile.cores,
    }
}

/// Merges the records of cells. All VMs are addresses to contact; fresh ones are also introduced.
fn to_list(cells: impl IntoIterator<Item = Latest>) -> List {
    let (now_ms, mut list) = (clock::wall_ms(), List::default());
    let records = cells.into_iter().flat_map(|latest| latest.records);
    let values = records.filter_map(|record| record.value);
    let contacts = values.filter_map(|value| serde_json::from_slice::<Contact>(&value).ok());
    for contact in contacts {
        list.vms.push(contact.introduction.profile.address);
        if contact.is_fresh(now_ms) {
            list.introductions.push(contact.introduction);
        }
    }
    list
}
