//! Keeps the configuration and the directory of this VM up to date, on a thread of its own.

use crate::gateway::world::copies;
use crate::gateway::world::health::Health;
use crate::gateway::world::reader::{self, Reader};
use crate::gateway::world::relay::{Heard, Relay};
use crate::gateway::world::sources::Sources;
use crate::gateway::world::state::Routing;
use crate::platform::records::{CONFIG_KEY, CONFIG_TOPIC, DIRECTORY_TOPIC};
use crate::platform::store::{Error, Store};
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::watch;
use tokio::time::{Instant, sleep};

const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Longest time without a read of the configuration while a copy of a newer one is being fetched.
const MAX_READ_AGE: Duration = Duration::from_millis(1200);
/// How long a starting VM waits for peer discovery before it reads the directory itself.
const PEER_DISCOVERY_TIMEOUT: Duration = Duration::from_millis(1500);

/// Follows the configuration and the directory until the process ends.
pub(crate) async fn run(
    sources: Sources,
    socket: std::net::UdpSocket,
    key: String,
    routing_tx: watch::Sender<Routing>,
) {
    let socket = UdpSocket::from_std(socket).expect("the socket is bound and non-blocking");
    let relay = Relay::new(socket, &key, sources.period(), routing_tx.clone());
    tokio::join!(
        follow_config(&sources, &relay, &routing_tx),
        read_small_directory(&sources, &relay),
        follow_directory(&sources, &relay),
        copies::follow(&sources, &relay, &routing_tx),
        relay.receive(),
        relay.tell(),
    );
}

async fn follow_config(sources: &Sources, relay: &Relay, routing_tx: &watch::Sender<Routing>) {
    let period = sources.period();
    let mut store = sources.store.polling();
    let mut health = Health::new("config");
    loop {
        let started = Instant::now();
        // While another VM's copy is being fetched, a read would only add load on the store.
        let announced = relay.told_config.get();
        let known = routing_tx.borrow().config_version();
        let copy_pending = announced
            .is_some_and(|(version, at)| version > known && known > 0 && at.elapsed() < period);
        let last_read = routing_tx.borrow().last_store_read;
        if copy_pending && last_read.is_some_and(|at| at.elapsed() < MAX_READ_AGE) {
            sleep(RETRY_DELAY).await;
            continue;
        }
        match read_config(&store, routing_tx).await {
            Ok(()) => {
                if health.record_success().is_some() {
                    relay.store_back.set(Some(Instant::now()));
                }
                relay.has_store.set(true);
                routing_tx.send_if_modified(|routing| {
                    routing.last_store_read = routing.last_store_read.max(Some(started));
                    false
                });
                sleep(period.saturating_sub(started.elapsed())).await;
            }
            Err(Error::Trimmed(_)) => {
                routing_tx.send_if_modified(|routing| {
                    routing.next_config_offset = None;
                    false
                });
            }
            Err(error) => {
                // One late answer of a slow store does not mean that it is lost.
                let store_health = store.observer().health();
                let is_slow = store_health.is_slow() && !store_health.is_silent(Instant::now());
                relay.has_store.set(relay.has_store.get() && is_slow);
                health.record_failure(&error, &mut store).await;
            }
        }
    }
}

async fn read_config(store: &Store, routing_tx: &watch::Sender<Routing>) -> Result<(), Error> {
    let next = routing_tx.borrow().next_config_offset;
    let (next, records) = if let Some(from) = next {
        let page = store.read(CONFIG_TOPIC, 0, from, Duration::ZERO).await?;
        let records = page.records.into_iter().map(|(_, record)| record);
        (page.next, records.collect())
    } else {
        let latest = store.read_latest(CONFIG_TOPIC, 0).await?;
        (latest.end, latest.records)
    };
    routing_tx.send_if_modified(|routing| {
        let mut changed = false;
        let configs = records.iter().filter(|record| record.key == CONFIG_KEY);
        for value in configs.filter_map(|record| record.value.as_ref()) {
            changed |= routing.apply_config(value, "store");
        }
        routing.next_config_offset = routing.next_config_offset.max(Some(next));
        changed
    });
    Ok(())
}

/// Loads the directory at the start if it fits into one answer of the store.
///
/// Discovery and the choice of the VM that reads for the others take about half a second, in which a VM could serve no
/// request. After the loss of all VMs that adds to the time without service. A directory that is larger than one answer
/// is left to the chosen reader, since the load on the store would grow with VMs times servers.
async fn read_small_directory(sources: &Sources, relay: &Relay) {
    let started = Instant::now();
    let store = sources.store.separate();
    let latest = store.read_latest_if_small(DIRECTORY_TOPIC, 0).await;
    if let Ok(Some(latest)) = latest
        && relay.as_of().is_none()
    {
        reader::replace_all(relay, &latest, false);
        relay.aged(started);
    }
}

async fn follow_directory(sources: &Sources, relay: &Relay) {
    let period = sources.period();
    let mut reader = Reader::new(&sources.store);
    let follow_started = Instant::now();
    loop {
        let round_started = Instant::now();
        let (peers, may_read) = relay.sources(sources);
        // A VM that knows few others would elect itself as the reader. Discovery needs the store,
        // hence the timeout.
        let peers_known =
            *sources.peers_known.borrow() || follow_started.elapsed() > PEER_DISCOVERY_TIMEOUT;
        match relay.hear(&peers, may_read).await {
            Heard::News => reader.deactivate(),
            Heard::More => continue,
            Heard::Nobody if may_read && peers_known => {
                if !reader.read(relay).await {
                    continue;
                }
            }
            Heard::Nobody if peers_known => {}
            Heard::Soon | Heard::Nobody => {
                sleep(RETRY_DELAY).await;
                continue;
            }
        }
        sleep(period.saturating_sub(round_started.elapsed())).await;
    }
}
