//! The thread that follows the configuration and the directory.

use crate::gateway::world::directory::{Change, Directory, Entry};
use crate::gateway::world::snapshot;
use crate::gateway::world::snapshot::Snapshot;
use crate::gateway::world::table::Table;
use crate::id::Offset;
use crate::member::View;
use crate::platform::records::{CONFIG_KEY, CONFIG_TOPIC, DIRECTORY_TOPIC, server, table};
use crate::platform::store::{Fault, Keyed, Store};
use crate::settings;
use crate::telemetry::event;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{Instant, sleep};

/// Taken off the time in which a change of the configuration must act, for how long one read waits for
/// it: a connection that has gone silent shows only after the client's timeout.
const CONFIG_MARGIN: Duration = Duration::from_millis(1100);
/// The longest such wait. While the store is silent for 3 s routes that are not known are not refused
/// for good, and a wait must not look like that.
const LONGEST_WAIT: Duration = Duration::from_millis(1900);
/// Reads of the directory in the time after which a server that leaves must get nothing new. Servers renew
/// their records all the time, so that a read that waits returns at once. One read may be lost, and its
/// timeout takes half of the shortest such time.
const DIRECTORY_READS: u32 = 6;
/// The pause after a failed read, at first and at most.
const PAUSE: (Duration, Duration) = (Duration::from_millis(50), Duration::from_millis(800));
/// Time between two looks at whether copies are needed, by a VM that can't route yet and by one that can.
const COPIES_PERIOD: (Duration, Duration) = (Duration::from_millis(250), Duration::from_secs(1));
/// How much longer than a read waits the store may be silent before copies of the configuration are read.
const SILENT: Duration = Duration::from_millis(500);
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
    /// How soon a change has to act.
    pub(crate) bounds: settings::Bounds,
}

/// Follows both topics until the process ends.
pub(crate) async fn run(sources: Sources, worlds: watch::Sender<World>) {
    let config = follow_config(Store::new(sources.store), &worlds, sources.config_wait());
    let directory = follow_directory(
        Store::new(sources.store),
        &worlds,
        sources.directory_period(),
    );
    let copies = follow_copies(&sources, &worlds);
    tokio::join!(config, directory, copies);
}

/// Reads copies while the originals can't be read: anything where nothing is known yet, and later a
/// configuration that others have applied and this VM has not.
///
/// Members tell each other the newest version that anybody has, so that nobody asks for what is not there. When
/// 300 VMs without the store asked three others each four times a second, they sent each other 0.4 GB in 2 s.
async fn follow_copies(sources: &Sources, worlds: &watch::Sender<World>) {
    let store = Store::new(sources.store);
    let mut period = COPIES_PERIOD.0;
    loop {
        sleep(period).await;
        let (complete, behind) = {
            let world = worlds.borrow();
            let silent = sources.config_wait() + SILENT;
            let silent = world.heard.is_none_or(|heard| heard.elapsed() > silent);
            (world.is_complete(), silent && sources.is_behind(&world))
        };
        period = if complete {
            COPIES_PERIOD.1
        } else {
            COPIES_PERIOD.0
        };
        if complete && !behind {
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
    /// How long one read waits for a change of the configuration.
    fn config_wait(&self) -> Duration {
        let bound = Duration::from_millis(self.bounds.config_ms);
        bound.saturating_sub(CONFIG_MARGIN).min(LONGEST_WAIT)
    }

    /// Time between two reads of the directory.
    fn directory_period(&self) -> Duration {
        Duration::from_millis(self.bounds.drain_ms) / DIRECTORY_READS
    }

    /// Whether some VM has applied a newer configuration.
    fn is_behind(&self, world: &World) -> bool {
        let known = world.table.as_ref().map_or(0, |table| table.version);
        self.view.borrow().newest.0 > known
    }

    /// Where other VMs give copies: in random order, those with the newest configuration first.
    fn addresses(&self) -> Vec<SocketAddr> {
        let view = self.view.borrow();
        let members = view.members.values();
        let members = members.map(|member| (member.applied == view.newest, member.address.ip()));
        let seeds = self.seeds.iter().map(|seed| (false, seed.ip()));
        let mut all: Vec<_> = members.chain(seeds).collect();
        rand::seq::SliceRandom::shuffle(all.as_mut_slice(), &mut rand::rng());
        all.sort_by_key(|(newest, _)| !newest);
        let mut listed = HashSet::new();
        let first = all.into_iter().filter(|(_, ip)| listed.insert(*ip));
        first
            .map(|(_, ip)| SocketAddr::new(ip, self.port))
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

async fn follow_config(mut store: Store, worlds: &watch::Sender<World>, wait: Duration) {
    let mut health = Health::new("config");
    let mut next: Option<Offset> = None;
    loop {
        match read_config(&store, &mut next, worlds, wait).await {
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
    wait: Duration,
) -> Result<(), Fault> {
    let records = if let Some(from) = *next {
        let page = store.read(CONFIG_TOPIC, 0, from, wait).await?;
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

async fn follow_directory(mut store: Store, worlds: &watch::Sender<World>, period: Duration) {
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
                sleep(period.saturating_sub(before.elapsed())).await;
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
                changed |= apply(&mut directory, record, false);
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
    let first = !world.listed;
    let mut changed = first;
    for record in records {
        changed |= apply(&mut directory, record, first);
    }
    if first {
        // One line for all: 300 VMs that start before 3,600 servers would write a million.
        event!(info, "directory_read", servers = directory.len());
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
fn apply(directory: &mut Directory, record: &Keyed, first: bool) -> bool {
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
