//! The thread that follows the configuration and the directory.

use crate::gateway::world::directory::{Change, Directory};
use crate::gateway::world::snapshot;
use crate::gateway::world::snapshot::Snapshot;
use crate::gateway::world::table::Table;
use crate::id::Offset;
use crate::member::View;
use crate::platform::records::{CONFIG_KEY, CONFIG_TOPIC, DIRECTORY_TOPIC, server, table};
use crate::platform::store::{Fault, Keyed, Store};
use crate::telemetry::event;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{Instant, sleep};

/// How long one read waits for a change of the configuration. A connection that has gone silent
/// shows after this and the client's timeout, within the two seconds in which a change must act.
const CONFIG_WAIT: Duration = Duration::from_millis(900);
/// Time between two reads of the directory. Servers renew their records all the time, so that a
/// read that waits returns at once; a server that drains must get nothing new after two seconds.
const DIRECTORY_PERIOD: Duration = Duration::from_millis(350);
/// The pause after a failed read, at first and at most.
const PAUSE: (Duration, Duration) = (Duration::from_millis(50), Duration::from_millis(800));
/// Time between two looks at whether copies are needed.
const COPIES_PERIOD: Duration = Duration::from_millis(250);
/// How long the store may be silent before copies of the configuration are read: a read that waits,
/// and half a second for its answer.
const SILENT: Duration = Duration::from_millis(1400);
/// After an outage servers whose records lapsed write them again, within about two seconds. Until
/// then a missing record says nothing of its server.
const RETURN: Duration = Duration::from_millis(2300);

/// What the other threads see of the configuration and the directory.
#[derive(Debug, Clone)]
pub(crate) struct World {
    /// The newest configuration; none until one is known.
    pub(crate) table: Option<Arc<Table>>,
    /// The backend servers.
    pub(crate) directory: Arc<Directory>,
    /// The config record as the store holds it, for VMs that can't read it.
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
    fn learn_copy(&mut self, snapshot: Snapshot, from: &str) -> bool {
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
            from = from
        );
        self.table = Some(Arc::new(table));
        self.raw = Some(raw.clone());
        true
    }
}

/// Where the feed finds the originals and their copies.
#[derive(Debug, Clone)]
pub(crate) struct Sources {
    /// The store.
    pub(crate) store: SocketAddr,
    /// The port at which VMs give copies.
    pub(crate) port: u16,
    /// Addresses of other VMs from the settings.
    pub(crate) seeds: Vec<SocketAddr>,
    /// The members.
    pub(crate) view: watch::Receiver<Arc<View>>,
}

/// Follows both topics until the process ends.
pub(crate) async fn run(sources: Sources, worlds: watch::Sender<World>) {
    let config = follow_config(Store::new(sources.store), &worlds);
    let directory = follow_directory(Store::new(sources.store), &worlds);
    let copies = follow_copies(&sources, &worlds);
    tokio::join!(config, directory, copies);
}

/// Reads copies while the originals can't be read.
async fn follow_copies(sources: &Sources, worlds: &watch::Sender<World>) {
    let store = Store::new(sources.store);
    loop {
        sleep(COPIES_PERIOD).await;
        let (complete, silent) = {
            let world = worlds.borrow();
            let silent = world.heard.is_none_or(|heard| heard.elapsed() > SILENT);
            (world.is_complete(), silent)
        };
        if complete && !silent {
            continue;
        }
        let members = sources.addresses();
        let (mut snapshot, mut from) = (snapshot::from_peers(&members).await, "peer");
        if snapshot.is_none() && !complete {
            (snapshot, from) = (snapshot::from_store(&store).await, "copy");
        }
        if let Some(snapshot) = snapshot {
            worlds.send_if_modified(|world| world.learn_copy(snapshot, from));
        }
    }
}

impl Sources {
    /// Where other VMs give copies, in random order.
    fn addresses(&self) -> Vec<SocketAddr> {
        let view = self.view.borrow();
        let members = view.members.values().map(|member| member.address.ip());
        let seeds = self.seeds.iter().map(SocketAddr::ip);
        let all: HashSet<_> = members.chain(seeds).collect();
        let mut all: Vec<_> = all.into_iter().collect();
        rand::seq::SliceRandom::shuffle(all.as_mut_slice(), &mut rand::rng());
        all.into_iter()
            .map(|ip| SocketAddr::new(ip, self.port))
            .collect()
    }
}

/// Tells of a lost and a regained dependency once, and paces the tries between.
#[derive(Debug)]
struct Health {
    what: &'static str,
    lost: Option<Instant>,
    pause: Duration,
}

impl Health {
    const fn new(what: &'static str) -> Self {
        Self {
            what,
            lost: None,
            pause: PAUSE.0,
        }
    }

    /// A call succeeded; gives how long the store was away, if it was.
    fn good(&mut self) -> Option<Duration> {
        self.pause = PAUSE.0;
        let away = self.lost.take()?.elapsed();
        event!(
            info,
            "store_back",
            for_what = self.what,
            away_ms = away.as_millis()
        );
        Some(away)
    }

    async fn bad(&mut self, fault: &Fault, store: &mut Store) {
        if self.lost.is_none() {
            self.lost = Some(Instant::now());
            event!(warn, "store_lost", for_what = self.what, reason = fault);
        }
        if matches!(fault, Fault::Unknown(_)) {
            store.reconnect();
        }
        sleep(self.pause).await;
        self.pause = (self.pause * 2).min(PAUSE.1);
    }
}

async fn follow_config(mut store: Store, worlds: &watch::Sender<World>) {
    let mut health = Health::new("config");
    let mut next: Option<Offset> = None;
    loop {
        match read_config(&store, &mut next, worlds).await {
            Ok(()) => {
                health.good();
                worlds.send_if_modified(|world| {
                    world.heard = Some(Instant::now());
                    false
                });
            }
            Err(Fault::Trimmed(_)) => next = None,
            Err(fault) => health.bad(&fault, &mut store).await,
        }
    }
}

async fn read_config(
    store: &Store,
    next: &mut Option<Offset>,
    worlds: &watch::Sender<World>,
) -> Result<(), Fault> {
    let records = if let Some(from) = *next {
        let page = store.read(CONFIG_TOPIC, 0, from, CONFIG_WAIT).await?;
        *next = Some(page.next);
        page.records
    } else {
        let newest = store.newest(CONFIG_TOPIC, 0).await?;
        *next = Some(newest.end);
        if newest.records.is_empty() {
            // Before the first configuration the topic may not exist, and a read would not wait.
            sleep(PAUSE.0).await;
        }
        newest.records
    };
    for record in records.iter().filter(|record| record.key == CONFIG_KEY) {
        let Some(value) = &record.value else { continue };
        worlds.send_if_modified(|world| world.learn(value, "store"));
    }
    Ok(())
}

/// What the reader of the directory remembers between two reads.
#[derive(Debug, Default)]
struct Reader {
    next: Option<Offset>,
    /// Until when a record that was missing when the store came back says nothing.
    lenient_until: Option<Instant>,
}

async fn follow_directory(mut store: Store, worlds: &watch::Sender<World>) {
    let mut health = Health::new("directory");
    let mut reader = Reader::default();
    loop {
        let before = Instant::now();
        match reader.read(&store, worlds).await {
            Ok(()) => {
                worlds.send_if_modified(|world| {
                    world.read = Some(before);
                    false
                });
                if health.good().is_some() {
                    reader.lenient_until = Some(Instant::now() + RETURN);
                    reader.next = None;
                }
                sleep(DIRECTORY_PERIOD.saturating_sub(before.elapsed())).await;
            }
            Err(Fault::Trimmed(_)) => reader.next = None,
            Err(fault) => health.bad(&fault, &mut store).await,
        }
    }
}

impl Reader {
    async fn read(&mut self, store: &Store, worlds: &watch::Sender<World>) -> Result<(), Fault> {
        let lenient = self
            .lenient_until
            .is_some_and(|until| Instant::now() < until);
        if self.lenient_until.is_some() && !lenient {
            self.lenient_until = None;
            // What is still missing now is gone.
            self.next = None;
        }
        let Some(from) = self.next else {
            let newest = store.newest(DIRECTORY_TOPIC, 0).await?;
            self.next = Some(newest.end);
            worlds.send_if_modified(|world| whole(world, &newest.records, lenient));
            return Ok(());
        };
        let page = store.read(DIRECTORY_TOPIC, 0, from, Duration::ZERO).await?;
        self.next = Some(page.next);
        worlds.send_if_modified(|world| {
            let mut directory = (*world.directory).clone();
            let mut changed = false;
            for record in &page.records {
                changed |= apply(&mut directory, record);
            }
            if changed {
                world.directory = Arc::new(directory);
            }
            changed
        });
        Ok(())
    }
}

/// Takes in the newest record of each server.
fn whole(world: &mut World, records: &[Keyed], lenient: bool) -> bool {
    let mut directory = (*world.directory).clone();
    let mut changed = !world.listed;
    for record in records {
        changed |= apply(&mut directory, record);
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
            changed |= apply(&mut directory, record);
        }
    }
    world.listed = true;
    if changed {
        world.directory = Arc::new(directory);
    }
    changed
}

fn apply(directory: &mut Directory, record: &Keyed) -> bool {
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
    match (before, directory.named(&record.key)) {
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
    changed
}
