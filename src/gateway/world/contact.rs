//! Finds the other VMs through the store.

use crate::clock;
use crate::id::{Vm, Zone};
use crate::member::{Introduction, List};
use crate::platform::records::CONTACT_TOPIC;
use crate::platform::store::{Fault, Keyed, Newest, Store};
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

/// The pause before the store is read again: first short, since all VMs may start at once, then
/// rarely, since the membership itself brings news.
const PAUSES: [Duration; 5] = [
    Duration::from_millis(300),
    Duration::from_millis(700),
    Duration::from_secs(2),
    Duration::from_secs(3),
    RENEWAL,
];
/// Time between two writes of this VM's own record.
const RENEWAL: Duration = Duration::from_secs(30);
/// How old a record may be whose VM is taken for a member before it has answered: two renewals, one of which
/// may fail. A VM that has gone since is held in suspicion, and dropped some seconds later.
const FRESH: Duration = Duration::from_mins(1);
/// How long a VM that starts may take to know a configuration before it introduces itself all the same. An
/// introduction from before that would have to be corrected by news to everybody.
const SETTLED: Duration = Duration::from_millis(200);
/// Time until what was passed to the membership is seen by others.
const SEEN: Duration = Duration::from_millis(100);
/// The path at which a VM gives the introductions of all.
pub(crate) const PATH: &str = "/introductions";
/// How long the introductions of all are given before they are read again.
const LISTED: Duration = Duration::from_secs(1);
/// How long another VM may take to give them: it may have to read them first.
const ANSWER: Duration = Duration::from_millis(1500);
/// VMs that are asked for them, one after the other.
const ASKED: usize = 2;
/// Cells that are read at a time.
const READS: usize = 8;

/// What a VM leaves at the store.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Contact {
    introduction: Introduction,
    /// When it was written, in milliseconds since the Unix epoch.
    written_ms: u64,
}

impl Contact {
    fn is_fresh(&self, now_ms: u64) -> bool {
        u128::from(now_ms.saturating_sub(self.written_ms)) < FRESH.as_millis()
    }
}

/// The introductions of all cells as they were read, and as others fetch them.
#[derive(Debug, Clone)]
struct Listed {
    at: Instant,
    list: List,
    encoded: Bytes,
}

/// The introductions of all VMs, and where they are read.
#[derive(Debug)]
pub(crate) struct Contacts {
    store: Store,
    client: reqwest::Client,
    vm: Vm,
    zone: Zone,
    cells: u64,
    /// The port at which VMs give introductions.
    port: u16,
    listed: RefCell<Option<Listed>>,
    reading: Mutex<()>,
}

impl Contacts {
    pub(crate) fn new(settings: &settings::Gateway) -> Self {
        let client = reqwest::Client::builder()
            .timeout(ANSWER)
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
            listed: RefCell::default(),
            reading: Mutex::default(),
        }
    }

    /// Leaves this VM's introduction at the store, and passes on those of the others. `introduced` tells once the
    /// others are known.
    pub(crate) async fn run(
        &self,
        mut introduction: watch::Receiver<Option<Introduction>>,
        contacts: flume::Sender<List>,
        introduced: watch::Sender<bool>,
    ) {
        let mut round = 0;
        let mut written = None;
        let settled =
            introduction.wait_for(|mine| mine.as_ref().is_some_and(|mine| mine.profile.ready));
        // Where it takes longer, others hear of the rest by news.
        let _ = timeout(SETTLED, settled).await;
        loop {
            let mine = introduction.borrow().clone();
            let due = written != mine || round >= PAUSES.len();
            if let Some(mine) = mine.filter(|_| due)
                && self.write(mine.clone()).await
            {
                written = Some(mine);
            }
            if let Some(list) = self.read().await {
                if contacts.send_async(list).await.is_err() {
                    return;
                }
                if !*introduced.borrow() {
                    sleep(SEEN).await;
                    introduced.send_replace(true);
                }
            }
            let pause = PAUSES[usize::min(round, PAUSES.len() - 1)];
            round += 1;
            sleep(pause).await;
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
        let record = Keyed {
            key,
            value: Some(Bytes::from(value)),
        };
        let written = self
            .store
            .append(CONTACT_TOPIC, cell, &[record], None)
            .await;
        if let Err(fault) = &written {
            event!(debug, "contact_unwritten", cell = cell, reason = fault);
        }
        written.is_ok()
    }

    /// All VMs: from one that reads all cells for this one, or from the store.
    async fn read(&self) -> Option<List> {
        let own = cell(&self.vm, &self.zone, self.cells);
        let near = match self.store.newest(CONTACT_TOPIC, own).await {
            Ok(newest) => listed([newest]),
            Err(fault) => {
                event!(debug, "contacts_unread", cell = own, reason = fault);
                return self.all().await;
            }
        };
        let peers: Vec<Peer> = near.introductions.iter().map(peer).collect();
        for reader in ranked_readers(&peers).into_iter().take(ASKED) {
            if reader.vm == self.vm {
                break;
            }
            if let Some(mut list) = self.fetch(reader.address).await {
                // What they read themselves is newer than what the reader read before.
                list.introductions.splice(0..0, near.introductions.clone());
                list.vms.extend(near.vms);
                return Some(list);
            }
        }
        self.all().await
    }

    async fn fetch(&self, reader: SocketAddr) -> Option<List> {
        let address = SocketAddr::new(reader.ip(), self.port);
        let call = self.client.get(format!("http://{address}{PATH}"));
        let fetched = async {
            let reply = call.send().await?.error_for_status()?;
            reply.bytes().await
        };
        let bytes = match fetched.await {
            Ok(bytes) => bytes,
            Err(error) => {
                event!(debug, "contacts_not_given", from = address, reason = error);
                return None;
            }
        };
        rmp_serde::from_slice(&bytes).ok()
    }

    /// The introductions of all, as others fetch them.
    pub(crate) async fn encoded(&self) -> Option<Bytes> {
        self.read_all().await.map(|listed| listed.encoded)
    }

    async fn all(&self) -> Option<List> {
        self.read_all().await.map(|listed| listed.list)
    }

    /// Reads all cells, unless that was done a moment ago.
    async fn read_all(&self) -> Option<Listed> {
        // Who asks at the same time waits for one read.
        let _reading = self.reading.lock().await;
        let lately = self.listed.borrow().clone();
        if let Some(listed) = lately.filter(|listed| listed.at.elapsed() < LISTED) {
            return Some(listed);
        }
        let reads = (0..self.cells).map(|cell| self.store.newest(CONTACT_TOPIC, cell));
        let read: Vec<Result<Newest, Fault>> =
            stream::iter(reads).buffer_unordered(READS).collect().await;
        if read.iter().all(Result::is_err) {
            return None;
        }
        let list = listed(read.into_iter().flatten());
        let listed = Listed {
            at: Instant::now(),
            encoded: rmp_serde::to_vec(&list).ok()?.into(),
            list,
        };
        *self.listed.borrow_mut() = Some(listed.clone());
        Some(listed)
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

fn listed(cells: impl IntoIterator<Item = Newest>) -> List {
    let (now_ms, mut list) = (clock::wall_ms(), List::default());
    let records = cells.into_iter().flat_map(|newest| newest.records);
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
