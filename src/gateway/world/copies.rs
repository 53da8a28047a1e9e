//! Reads copies of the configuration and the directory from other VMs.

use crate::gateway::world::copy::{CONFIG_PATH, Config, DIRECTORY_PATH, Directory, LEAST};
use crate::gateway::world::relay::Relay;
use crate::gateway::world::snapshot;
use crate::gateway::world::sources::Sources;
use crate::gateway::world::state::{World, copied};
use crate::platform::store::Store;
use crate::telemetry::event;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout};

/// Time between two looks at whether copies are needed, by a VM that can't route yet and by one that can.
const PERIOD: (Duration, Duration) = (Duration::from_millis(250), Duration::from_secs(1));
/// The pause where nobody that was asked gave a copy, at first and after many tries.
const AGAIN: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(1));
/// Tries after which the longer pause is made.
const MANY: u32 = 15;
/// Tries at which VMs of the own zone are asked: what crosses zones is paid for.
const NEAR: u32 = 5;
/// The part of the tries after the first one in which the VM that told of something new is asked: it has it, but so
/// may all others of its zone soon.
const AT_SOURCE: f64 = 0.25;
/// VMs that are asked, one after the other, before that pause.
const ASKED: usize = 3;
/// How long another VM may take to give a copy.
const ANSWER: Duration = Duration::from_secs(3);
/// How long a connection to it may take.
const CONNECT: Duration = Duration::from_millis(300);
/// How long a VM that starts waits for the originals before it looks for a copy in other partitions of the store.
const SILENT: Duration = Duration::from_millis(600);
/// At which tries it looks there.
const EACH: u32 = 5;
/// How long a VM that starts, and has the store, waits for another one to have the directory.
const STARTING: Duration = Duration::from_secs(3);

/// Reads copies where they are needed: while nothing is known yet, where changes of the directory were missed, and
/// where another VM has a newer configuration.
pub(super) async fn follow(sources: &Sources, relay: &Relay, worlds: &watch::Sender<World>) {
    let copies = Copies::new(sources, relay, worlds);
    loop {
        let complete = worlds.borrow().is_complete();
        let period = if complete { PERIOD.1 } else { PERIOD.0 };
        // Whether it was told or not, what is needed is looked at below.
        let _ = timeout(period, relay.wanted.notified()).await;
        let mut tries = 0;
        while copies.are_needed() {
            if !copies.fetch(tries).await {
                tries += 1;
                copies.look_at_store(tries).await;
                sleep(if tries < MANY { AGAIN.0 } else { AGAIN.1 }).await;
            }
        }
    }
}

struct Copies<'a> {
    sources: &'a Sources,
    relay: &'a Relay,
    worlds: &'a watch::Sender<World>,
    client: reqwest::Client,
    store: Store,
    began: Instant,
}

impl<'a> Copies<'a> {
    fn new(sources: &'a Sources, relay: &'a Relay, worlds: &'a watch::Sender<World>) -> Self {
        let client = reqwest::Client::builder()
            .timeout(ANSWER)
            .connect_timeout(CONNECT)
            .pool_max_idle_per_host(0)
            .no_proxy()
            .build();
        Self {
            sources,
            relay,
            worlds,
            client: client.expect("a client without TLS can be built"),
            store: Store::new(sources.store),
            began: Instant::now(),
        }
    }

    fn needs_directory(&self) -> bool {
        let listed = self.worlds.borrow().listed;
        let alone = !self.relay.has_store.get() || self.began.elapsed() > STARTING;
        self.relay.wants_copy.get().is_some() || !listed && alone
    }

    fn needs_config(&self) -> bool {
        let world = self.worlds.borrow();
        let known = world.version();
        let told = self.relay.told_config.get().map_or(0, |(told, _)| told);
        told > known || self.sources.is_behind(&world) || known == 0 && !self.relay.has_store.get()
    }

    fn are_needed(&self) -> bool {
        self.needs_directory() || self.needs_config()
    }

    /// The VMs to ask: the one that told of something new, then others of the zone at random. After some tries any.
    fn holders(&self, tries: u32) -> Vec<SocketAddr> {
        let told = tries == 0 || rand::random_bool(AT_SOURCE);
        let source = self.relay.source().filter(|_| told);
        let source = source.map(|source| SocketAddr::new(source.ip(), self.sources.port));
        let mut others = if tries < NEAR {
            self.sources.near()
        } else {
            Vec::new()
        };
        if others.is_empty() {
            others = self.sources.addresses();
        }
        source.into_iter().chain(others).take(ASKED).collect()
    }

    /// Asks some VMs; tells whether one gave what is needed.
    async fn fetch(&self, tries: u32) -> bool {
        for address in self.holders(tries) {
            let config = self.needs_config() && self.fetch_config(address).await;
            let directory = self.needs_directory() && self.fetch_directory(address).await;
            if config || directory {
                return true;
            }
        }
        false
    }

    async fn fetch_config(&self, address: SocketAddr) -> bool {
        let known = self.worlds.borrow().version();
        let path = format!("{CONFIG_PATH}?{LEAST}={}", known + 1);
        let Some(copy) = self.get::<Config>(address, &path).await else {
            return false;
        };
        self.worlds.send_if_modified(|world| {
            let changed = world.learn(&copy.raw, "peer");
            world.config_next = world.config_next.max(Some(copy.next));
            changed
        });
        !self.needs_config()
    }

    async fn fetch_directory(&self, address: SocketAddr) -> bool {
        let least = self.relay.wants_copy.get().unwrap_or_default();
        let path = format!("{DIRECTORY_PATH}?{LEAST}={least}");
        let copy = self.get::<Directory>(address, &path).await;
        copy.is_some_and(|copy| self.take(&copy, address))
    }

    async fn get<T: DeserializeOwned>(&self, address: SocketAddr, path: &str) -> Option<T> {
        let call = self.client.get(format!("http://{address}{path}"));
        let reply = call.send().await.ok()?.error_for_status().ok()?;
        let bytes = reply.bytes().await.ok()?;
        match rmp_serde::from_slice(&bytes) {
            Ok(copy) => Some(copy),
            Err(error) => {
                event!(warn, "copy_refused", from = address, reason = error);
                None
            }
        }
    }

    fn take(&self, copy: &Directory, from: SocketAddr) -> bool {
        let Some(entries) = copy.entries() else {
            event!(warn, "copy_refused", from = from, reason = "no entries");
            return false;
        };
        let servers = entries.len();
        let taken = self
            .relay
            .take_copy(copy.as_of, |world| copied(world, entries));
        if taken {
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
        taken
    }

    /// After the loss of all VMs in an outage of some partitions, others may hold a copy.
    async fn look_at_store(&self, tries: u32) {
        let complete = self.worlds.borrow().is_complete();
        // A VM that told of its directory has a better one.
        let told = self.relay.has_store.get() && self.relay.wants_copy.get().is_some();
        if complete
            || told
            || self.began.elapsed() < SILENT
            || tries < MANY && !tries.is_multiple_of(EACH)
        {
            return;
        }
        if let Some(snapshot) = snapshot::from_store(&self.store).await {
            self.worlds
                .send_if_modified(|world| world.learn_snapshot(snapshot));
        }
    }
}
