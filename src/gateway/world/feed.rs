//! The thread that follows the configuration and the directory.

use crate::gateway::world::copies;
use crate::gateway::world::sources::Sources;
use crate::gateway::world::state::{World, apply, whole};
use crate::id::Offset;
use crate::platform::records::{CONFIG_KEY, CONFIG_TOPIC, DIRECTORY_TOPIC};
use crate::platform::store::{Fault, Store};
use crate::telemetry::event;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{Instant, sleep};

/// The pause after a failed read, at first and at most.
const PAUSE: (Duration, Duration) = (Duration::from_millis(50), Duration::from_millis(800));
/// After an outage servers whose records lapsed write them again, within about two seconds. Until
/// then a missing record says nothing of its server.
const RETURN: Duration = Duration::from_millis(2300);

/// Follows both topics until the process ends.
pub(crate) async fn run(sources: Sources, worlds: watch::Sender<World>) {
    let config = follow_config(Store::new(sources.store), &worlds, sources.config_wait());
    let directory = follow_directory(
        Store::new(sources.store),
        &worlds,
        sources.directory_period(),
    );
    let copies = copies::follow(&sources, &worlds);
    tokio::join!(config, directory, copies);
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
            worlds.send_if_modified(|world| {
                let first = !world.listed;
                let changed = whole(world, &newest.records, lenient);
                if first {
                    // One line for all: 300 VMs that start before 3,600 servers would write a million.
                    event!(info, "directory_read", servers = world.directory.len());
                }
                changed
            });
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
