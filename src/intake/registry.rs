//! The open connections of a process.

use super::link::{CONNECTION_BYTES, Io, Link, RECEIVE_BYTES};
use super::{Charge, Intake, Kind};
use crate::policy::room::{self, Connections, Holder, Need, Phase, Port};
use crate::telemetry::event;
use socket2::SockRef;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// Shortest time between two searches for connections to close that found none.
const SEARCH_INTERVAL: Duration = Duration::from_millis(20);

/// Descriptors that a process may open where the operating system does not say it.
const DEFAULT_DESCRIPTORS: usize = 1024;

/// Identifies a connection of the process.
type Key = (Port, SocketAddr);

/// Connections by listener and address of the other end.
type Links = [HashMap<SocketAddr, Arc<Link>>; Port::ALL.len()];

/// Time limits of callers' connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Timeouts {
    /// From the first byte of a head to its last one.
    pub(crate) head: Duration,
    /// Between an answer and the next request.
    pub(crate) idle: Duration,
}

/// Why connections were closed or not opened, and how often.
#[derive(Debug, Default)]
pub(crate) struct Counts {
    pub(crate) closed_for_memory: AtomicU64,
    pub(crate) closed_for_descriptors: AtomicU64,
    pub(crate) closed_overdue: AtomicU64,
    pub(crate) refused: AtomicU64,
}

impl Counts {
    pub(crate) fn by_reason(&self) -> [(&'static str, u64); 4] {
        let count = |count: &AtomicU64| count.load(Ordering::Relaxed);
        [
            ("memory", count(&self.closed_for_memory)),
            ("descriptors", count(&self.closed_for_descriptors)),
            ("overdue", count(&self.closed_overdue)),
            ("refused", count(&self.refused)),
        ]
    }
}

/// The open connections.
#[derive(Debug)]
pub(crate) struct Registry {
    limits: Connections,
    links: Mutex<Links>,
    /// Connections that hold a descriptor, by listener: those in `links`, and those that are being closed.
    open: [AtomicUsize; Port::ALL.len()],
    /// When nobody was found last who has to give way for memory.
    fruitless_search: Mutex<Option<(Instant, Need)>>,
    pub(crate) counts: Counts,
}

impl Registry {
    pub(super) fn new(limits: Connections) -> Self {
        Self {
            limits,
            links: Mutex::default(),
            open: Default::default(),
            fruitless_search: Mutex::default(),
            counts: Counts::default(),
        }
    }

    fn links(&self) -> MutexGuard<'_, Links> {
        self.links.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn holders(&self, port: Option<Port>) -> Vec<Holder<Key>> {
        let now = Instant::now();
        let links = self.links();
        let ports = Port::ALL
            .into_iter()
            .filter(|at| port.is_none_or(|port| *at == port));
        ports
            .flat_map(|port| {
                links[port as usize]
                    .iter()
                    .map(move |(peer, link)| ((port, *peer), link))
            })
            .filter_map(|(key, link)| link.holder(key, now))
            .collect()
    }

    fn close(&self, keys: &[Key], reason: &str, count: &AtomicU64) {
        count.fetch_add(keys.len() as u64, Ordering::Relaxed);
        let mut links = self.links();
        for (port, peer) in keys {
            let links = &mut links[*port as usize];
            if links.get(peer).is_some_and(|link| link.give_way(reason)) {
                links.remove(peer);
            }
        }
    }

    /// Closes connections that hold memory in vain; returns whether some are closing.
    pub(super) fn close_for_memory(&self, need: Need, bytes: usize) -> bool {
        let mut fruitless = self
            .fruitless_search
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        if fruitless.is_some_and(|(at, of)| of == need && now < at + SEARCH_INTERVAL) {
            return false;
        }
        let closed = room::close_for_memory(self.holders(None), need, bytes);
        *fruitless = closed.is_empty().then_some((now, need));
        self.close(&closed, "memory", &self.counts.closed_for_memory);
        !closed.is_empty()
    }

    /// Time after which a refused caller finds room.
    pub(super) fn retry_after(&self) -> Duration {
        room::retry_after(&self.holders(None))
    }

    /// Closes connections of callers that are idle, or whose head is incomplete, for too long; those of other listeners only
    /// in the second case.
    pub(crate) fn close_overdue(&self, timeouts: Timeouts) {
        let now = Instant::now();
        for port in Port::ALL {
            // Clients of the other listeners keep connections and don't expect them to be closed.
            let idle = (port == Port::Callers).then_some(timeouts.idle);
            let mut overdue = 0;
            self.links()[port as usize].retain(|_, link| {
                let reason = link.overdue(now, timeouts.head, idle);
                overdue += u64::from(reason.is_some());
                !reason.is_some_and(|reason| link.give_way(reason))
            });
            self.counts
                .closed_overdue
                .fetch_add(overdue, Ordering::Relaxed);
        }
    }

    /// Number of connections of a listener that are not being closed.
    fn count(&self, port: Port) -> usize {
        self.links()[port as usize].len()
    }

    /// Number of connections of a listener that hold a descriptor.
    pub(crate) fn open(&self, port: Port) -> usize {
        self.open[port as usize].load(Ordering::Relaxed)
    }

    /// Number of connections by listener and phase.
    pub(crate) fn phases(&self) -> Vec<(Port, Phase, usize)> {
        let mut counts: Vec<(Port, Phase, usize)> = Vec::new();
        for holder in self.holders(None) {
            let port = holder.key.0;
            let known = counts.iter_mut();
            let mut known = known.filter(|(at, phase, _)| (*at, *phase) == (port, holder.phase));
            match known.next() {
                Some((_, _, count)) => *count += 1,
                None => counts.push((port, holder.phase, 1)),
            }
        }
        counts
    }

    /// The connection of a caller.
    pub(crate) fn find(&self, port: Port, peer: SocketAddr) -> Option<Arc<Link>> {
        self.links()[port as usize].get(&peer).cloned()
    }
}

impl Intake {
    /// Limits what a connection of a listener may send unread. Accepted connections inherit it.
    pub(crate) fn limit_receive_buffers<'a>(listener: impl Into<SockRef<'a>>) {
        if let Err(error) = listener.into().set_recv_buffer_size(RECEIVE_BYTES) {
            event!(debug, "socket_options_failed", reason = error);
        }
    }

    /// Takes a new connection in; `None` if there is no room for it, which closes it.
    pub(crate) fn open(
        &self,
        stream: TcpStream,
        peer: SocketAddr,
        port: Port,
    ) -> Option<(Io, Registration)> {
        let registry = self.registry();
        if registry.count(port) >= registry.limits.limit(port) {
            let closed = room::close_for_connection(registry.holders(Some(port)));
            registry.close(
                &closed,
                "descriptors",
                &registry.counts.closed_for_descriptors,
            );
            if closed.is_empty() {
                self.refuse(peer, port, "descriptors");
                return None;
            }
        }
        if registry.open(port) >= registry.limits.limit_with_closing(port) {
            self.refuse(peer, port, "descriptors");
            return None;
        }
        if !self.admits(Need::Small, CONNECTION_BYTES)
            && !self.make_room(Need::Small, CONNECTION_BYTES)
        {
            self.refuse(peer, port, "memory");
            return None;
        }
        let link = Arc::new(Link::new(stream, peer, port, self.clone()));
        registry.links()[port as usize].insert(peer, Arc::clone(&link));
        registry.open[port as usize].fetch_add(1, Ordering::Relaxed);
        let registration = Registration {
            intake: self.clone(),
            link: Arc::clone(&link),
            _charge: self.charge(Kind::Connection, CONNECTION_BYTES),
        };
        Some((Io(link), registration))
    }

    pub(super) fn refuse(&self, peer: SocketAddr, port: Port, reason: &str) {
        self.registry()
            .counts
            .refused
            .fetch_add(1, Ordering::Relaxed);
        event!(
            info,
            "connection_refused",
            port = port.name(),
            peer = peer,
            reason = reason,
            open = self.registry().open(port),
            held = self.total()
        );
    }
}

/// Keeps a connection registered until it is dropped.
#[derive(Debug)]
pub(crate) struct Registration {
    intake: Intake,
    link: Arc<Link>,
    _charge: Charge,
}

impl Registration {
    pub(crate) fn link(&self) -> Arc<Link> {
        Arc::clone(&self.link)
    }
}

impl Drop for Registration {
    fn drop(&mut self) {
        let registry = self.intake.registry();
        registry.open[self.link.port as usize].fetch_sub(1, Ordering::Relaxed);
        let mut links = registry.links();
        let links = &mut links[self.link.port as usize];
        // Another connection may have the address by now.
        let known = links.get(&self.link.peer);
        if known.is_some_and(|link| Arc::ptr_eq(link, &self.link)) {
            links.remove(&self.link.peer);
        }
    }
}

/// Descriptors that the operating system allows the process to open.
pub(super) fn descriptor_limit() -> usize {
    system_limit().unwrap_or(DEFAULT_DESCRIPTORS)
}

fn system_limit() -> Option<usize> {
    let limits = std::fs::read_to_string("/proc/self/limits").ok()?;
    let line = limits
        .lines()
        .find_map(|line| line.strip_prefix("Max open files"))?;
    line.split_whitespace().next()?.parse().ok()
}
