//! The thread that follows the configuration and the directory.

use crate::gateway::world::copies;
use crate::gateway::world::health::Health;
use crate::gateway::world::reader::Reader;
use crate::gateway::world::relay::{Heard, Relay};
use crate::gateway::world::sources::Sources;
use crate::gateway::world::state::World;
use crate::platform::records::{CONFIG_KEY, CONFIG_TOPIC};
use crate::platform::store::{Fault, Store};
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::watch;
use tokio::time::{Instant, sleep};

/// The pause before a VM that is about to have a directory is asked again.
const SOON: Duration = Duration::from_millis(100);
/// How long the store may not be asked while a copy is on its way.
const HEARD: Duration = Duration::from_millis(1200);
/// How long a VM that starts waits to know the others before it reads the directory itself.
const INTRODUCED: Duration = Duration::from_millis(1500);

/// Follows both until the process ends.
pub(crate) async fn run(
    sources: Sources,
    socket: std::net::UdpSocket,
    key: String,
    worlds: watch::Sender<World>,
) {
    let socket = UdpSocket::from_std(socket).expect("the socket is bound and non-blocking");
    let relay = Relay::new(socket, &key, sources.period(), worlds.clone());
    tokio::join!(
        follow_config(&sources, &relay, &worlds),
        follow_directory(&sources, &relay),
        copies::follow(&sources, &relay, &worlds),
        relay.receive(),
        relay.tell(),
    );
}

async fn follow_config(sources: &Sources, relay: &Relay, worlds: &watch::Sender<World>) {
    let period = sources.period();
    let mut store = Store::new(sources.store);
    let mut health = Health::new("config");
    loop {
        let began = Instant::now();
        // A copy of a newer one is on its way: reading it here as well would cost the store its bytes again.
        let told = relay.told_config.get();
        let known = worlds.borrow().version();
        let on_its_way =
            told.is_some_and(|(version, at)| version > known && known > 0 && at.elapsed() < period);
        let heard = worlds.borrow().heard;
        if on_its_way && heard.is_some_and(|heard| heard.elapsed() < HEARD) {
            sleep(SOON).await;
            continue;
        }
        match read_config(&store, worlds).await {
            Ok(()) => {
                if health.good().is_some() {
                    relay.store_back.set(Some(Instant::now()));
                }
                relay.has_store.set(true);
                worlds.send_if_modified(|world| {
                    world.heard = world.heard.max(Some(began));
                    false
                });
                sleep(period.saturating_sub(began.elapsed())).await;
            }
            Err(Fault::Trimmed(_)) => {
                worlds.send_if_modified(|world| {
                    world.config_next = None;
                    false
                });
            }
            Err(fault) => {
                relay.has_store.set(false);
                health.bad(&fault, &mut store).await;
            }
        }
    }
}

async fn read_config(store: &Store, worlds: &watch::Sender<World>) -> Result<(), Fault> {
    let next = worlds.borrow().config_next;
    let (next, records) = if let Some(from) = next {
        let page = store.read(CONFIG_TOPIC, 0, from, Duration::ZERO).await?;
        let records = page.records.into_iter().map(|(_, record)| record);
        (page.next, records.collect())
    } else {
        let newest = store.newest(CONFIG_TOPIC, 0).await?;
        (newest.end, newest.records)
    };
    worlds.send_if_modified(|world| {
        let mut changed = false;
        let configs = records.iter().filter(|record| record.key == CONFIG_KEY);
        for value in configs.filter_map(|record| record.value.as_ref()) {
            changed |= world.learn(value, "store");
        }
        world.config_next = world.config_next.max(Some(next));
        changed
    });
    Ok(())
}

async fn follow_directory(sources: &Sources, relay: &Relay) {
    let period = sources.period();
    let mut reader = Reader::new(sources.store);
    let started = Instant::now();
    loop {
        let began = Instant::now();
        let (asked, reads) = relay.sources(sources);
        // Who knows few others would take itself for the first one. Without the store nobody is introduced, and
        // others may be known by the settings.
        let introduced = *sources.introduced.borrow() || started.elapsed() > INTRODUCED;
        match relay.hear(&asked, reads).await {
            Heard::News => reader.rest(),
            Heard::More => continue,
            Heard::Nobody if reads && introduced => {
                if !reader.read(relay).await {
                    continue;
                }
            }
            Heard::Nobody if introduced => {}
            Heard::Soon | Heard::Nobody => {
                sleep(SOON).await;
                continue;
            }
        }
        sleep(period.saturating_sub(began.elapsed())).await;
    }
}
