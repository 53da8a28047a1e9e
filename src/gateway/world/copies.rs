//! Fetches copies of the configuration and the directory from other VMs.

use crate::gateway::world::copy::{CONFIG_PATH, Config, DIRECTORY_PATH, Directory, MIN_PARAMETER};
use crate::gateway::world::relay::Relay;
use crate::gateway::world::snapshot;
use crate::gateway::world::sources::Sources;
use crate::gateway::world::state::{Routing, replace_directory};
use crate::platform::store::Store;
use crate::telemetry::event;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout};

/// Interval of checks whether a copy is needed: before and after this VM can route requests.
const CHECK_INTERVALS: (Duration, Duration) = (Duration::from_millis(250), Duration::from_secs(1));
/// Delay after a failed attempt: before and after [`ATTEMPTS_UNTIL_SLOW`].
const RETRY_DELAYS: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(1));
const ATTEMPTS_UNTIL_SLOW: u32 = 15;
/// Attempts that ask only VMs of this zone, since cross-zone traffic costs money.
const SAME_ZONE_ATTEMPTS: u32 = 5;
/// Probability with which a retry first asks the upstream. It has the data, but other VMs of its
/// zone may have it by then, too.
const ASK_UPSTREAM_PROBABILITY: f64 = 0.25;
/// VMs that one attempt asks, one after the other.
const VMS_PER_ATTEMPT: usize = 3;
const FETCH_TIMEOUT: Duration = Duration::from_secs(3);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// How long a starting VM waits for the original records before it reads a snapshot from other
/// partitions of the store.
const SNAPSHOT_DELAY: Duration = Duration::from_millis(600);
/// Snapshots are read once per this many failed attempts.
const SNAPSHOT_READ_INTERVAL: u32 = 5;
/// How long a starting VM that can reach the store follows other VMs before it asks for a copy of
/// the directory.
const DIRECTORY_COPY_DELAY: Duration = Duration::from_secs(3);

/// Fetches copies when they are needed: while nothing is known yet, after missed directory changes,
/// and when another VM has a newer configuration.
pub(super) async fn follow(sources: &Sources, relay: &Relay, routing_tx: &watch::Sender<Routing>) {
    let fetcher = CopyFetcher::new(sources, relay, routing_tx);
    loop {
        let complete = routing_tx.borrow().is_complete();
        let interval = if complete {
            CHECK_INTERVALS.1
        } else {
            CHECK_INTERVALS.0
        };
        // Checks on a notification and on a timeout alike.
        let _ = timeout(interval, relay.wanted.notified()).await;
        let mut failures = 0;
        while fetcher.is_needed() {
            if !fetcher.fetch(failures).await {
                failures += 1;
                fetcher.read_snapshot(failures).await;
                sleep(if failures < ATTEMPTS_UNTIL_SLOW {
                    RETRY_DELAYS.0
                } else {
                    RETRY_DELAYS.1
                })
                .await;
            }
        }
    }
}

struct CopyFetcher<'a> {
    sources: &'a Sources,
    relay: &'a Relay,
    routing_tx: &'a watch::Sender<Routing>,
    client: reqwest::Client,
    store: Store,
    started: Instant,
}

impl<'a> CopyFetcher<'a> {
    fn new(sources: &'a Sources, relay: &'a Relay, routing_tx: &'a watch::Sender<Routing>) -> Self {
        let client = reqwest::Client::builder()
            .timeout(FETCH_TIMEOUT)
            .connect_timeout(CONNECT_TIMEOUT)
            .pool_max_idle_per_host(0)
            .no_proxy()
            .build();
        Self {
            sources,
            relay,
            routing_tx,
            client: client.expect("a client without TLS can be built"),
            store: sources.store.separate(),
            started: Instant::now(),
        }
    }

    fn needs_directory(&self) -> bool {
        let loaded = self.routing_tx.borrow().directory_loaded;
        let overdue = !self.relay.has_store.get() || self.started.elapsed() > DIRECTORY_COPY_DELAY;
        self.relay.wants_copy.get().is_some() || !loaded && overdue
    }

    fn needs_config(&self) -> bool {
        let routing = self.routing_tx.borrow();
        let known = routing.config_version();
        let announced = self
            .relay
            .told_config
            .get()
            .map_or(0, |(version, _)| version);
        announced > known
            || self.sources.is_behind(&routing)
            || known == 0 && !self.relay.has_store.get()
    }

    fn is_needed(&self) -> bool {
        self.needs_directory() || self.needs_config()
    }

    /// The VMs to ask: the upstream, then random VMs of this zone, or of any zone after
    /// [`SAME_ZONE_ATTEMPTS`].
    fn candidates(&self, failures: u32) -> Vec<SocketAddr> {
        let ask_upstream = failures == 0 || rand::random_bool(ASK_UPSTREAM_PROBABILITY);
        let source = self.relay.source().filter(|_| ask_upstream);
        let source = source.map(|source| SocketAddr::new(source.ip(), self.sources.port));
        let mut others = if failures < SAME_ZONE_ATTEMPTS {
            self.sources.same_zone_addresses()
        } else {
            Vec::new()
        };
        if others.is_empty() {
            others = self.sources.addresses();
        }
        source
            .into_iter()
            .chain(others)
            .take(VMS_PER_ATTEMPT)
            .collect()
    }

    /// Asks some VMs and returns whether one of them sent a copy that was needed.
    async fn fetch(&self, failures: u32) -> bool {
        for address in self.candidates(failures) {
            let config = self.needs_config() && self.fetch_config(address).await;
            let directory = self.needs_directory() && self.fetch_directory(address).await;
            if config || directory {
                return true;
            }
        }
        false
    }

    async fn fetch_config(&self, address: SocketAddr) -> bool {
        let known = self.routing_tx.borrow().config_version();
        let path = format!("{CONFIG_PATH}?{MIN_PARAMETER}={}", known + 1);
        let Some(copy) = self.get::<Config>(address, &path).await else {
            return false;
        };
        self.routing_tx.send_if_modified(|routing| {
            let changed = routing.apply_config(&copy.raw, "peer");
            routing.next_config_offset = routing.next_config_offset.max(Some(copy.next));
            changed
        });
        !self.needs_config()
    }

    async fn fetch_directory(&self, address: SocketAddr) -> bool {
        let minimum = self.relay.wants_copy.get().unwrap_or_default();
        let path = format!("{DIRECTORY_PATH}?{MIN_PARAMETER}={minimum}");
        let copy = self.get::<Directory>(address, &path).await;
        copy.is_some_and(|copy| self.apply_directory(&copy, address))
    }

    async fn get<T: DeserializeOwned>(&self, address: SocketAddr, path: &str) -> Option<T> {
        let request = self.client.get(format!("http://{address}{path}"));
        let response = request.send().await.ok()?.error_for_status().ok()?;
        let bytes = response.bytes().await.ok()?;
        match rmp_serde::from_slice(&bytes) {
            Ok(copy) => Some(copy),
            Err(error) => {
                event!(warn, "copy_refused", from = address, reason = error);
                None
            }
        }
    }

    fn apply_directory(&self, copy: &Directory, from: SocketAddr) -> bool {
        let Some(entries) = copy.entries() else {
            event!(
                warn,
                "copy_refused",
                from = from,
                reason = "malformed entries"
            );
            return false;
        };
        let servers = entries.len();
        let applied = self
            .relay
            .take_copy(copy.as_of, |routing| replace_directory(routing, entries));
        if applied {
            event!(
                info,
                "directory_copied",
                servers = servers,
                from = from,
                as_of = copy.as_of,
                age_ms = copy.age_ms
            );
            let age = Duration::from_millis(copy.age_ms);
            if let Some(at) = Instant::now().checked_sub(age) {
                self.relay.aged(at);
            }
        }
        applied
    }

    /// Reads a snapshot from the store if no VM has a copy, as after the loss of all VMs during a
    /// partial outage of the store.
    async fn read_snapshot(&self, failures: u32) {
        let complete = self.routing_tx.borrow().is_complete();
        // A VM that announced its directory has a newer one than the snapshot.
        let announced = self.relay.has_store.get() && self.relay.wants_copy.get().is_some();
        if complete
            || announced
            || self.started.elapsed() < SNAPSHOT_DELAY
            || failures < ATTEMPTS_UNTIL_SLOW && !failures.is_multiple_of(SNAPSHOT_READ_INTERVAL)
        {
            return;
        }
        if let Some(snapshot) = snapshot::from_store(&self.store).await {
            self.routing_tx
                .send_if_modified(|routing| routing.apply_snapshot(snapshot));
        }
    }
}
