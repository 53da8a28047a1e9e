//! Simulated network between instances of the membership code, with delay, packet loss, partitions
//! and a simulated clock.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;
use tokio::time::Instant;
use vanillatrail::id::{Boot, Epoch, Incarnation, Millicores, Offset, Shard, Vm};
use vanillatrail::member::{Action, Announcement, Counts, Gossip, Sealer, View};

/// Size of the IP and UDP headers of a datagram, counted as traffic too.
pub const HEADER_BYTES: usize = 28;
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Number of availability zones, half of them in each of two regions.
pub const ZONES: usize = 6;

/// Datagram to send, with its destination.
pub type Datagram = (SocketAddr, Vec<u8>);

/// Instance of a membership protocol.
pub trait Protocol {
    /// Runs periodic work.
    fn tick(&mut self, now: Instant) -> Vec<Datagram>;
    /// Handles a received datagram.
    fn receive(&mut self, now: Instant, from: SocketAddr, datagram: &[u8]) -> Vec<Datagram>;
    /// Current view of the members.
    fn view(&mut self, now: Instant) -> View;
    /// Updates this VM's own state.
    fn local(&mut self, announcement: &Announcement);
}

/// Gossip instance of the library; datagrams are encoded and authenticated as on the wire.
pub struct Peer {
    pub gossip: Gossip,
    sealer: Sealer,
}

impl Peer {
    pub fn new(
        now: Instant,
        announcement: Announcement,
        incarnation: u64,
        seeds: Vec<SocketAddr>,
        seed: u64,
    ) -> Self {
        Self {
            gossip: Gossip::new(now, announcement, Incarnation(incarnation), seeds, seed),
            sealer: Sealer::new("a key for tests only"),
        }
    }

    fn seal(&self, actions: Vec<Action>) -> Vec<Datagram> {
        let sent = actions.into_iter().filter_map(|action| match action {
            Action::Send { to, message } => Some((to, self.sealer.seal(&message))),
            Action::LogState { .. } => None,
        });
        sent.collect()
    }
}

impl Protocol for Peer {
    fn tick(&mut self, now: Instant) -> Vec<Datagram> {
        let actions = self.gossip.tick(now);
        self.seal(actions)
    }

    fn receive(&mut self, now: Instant, from: SocketAddr, datagram: &[u8]) -> Vec<Datagram> {
        let message = self.sealer.open(datagram).expect("sealed by a peer");
        let actions = self.gossip.on_message(now, from, message);
        self.seal(actions)
    }

    fn view(&mut self, now: Instant) -> View {
        self.gossip.view(now)
    }

    fn local(&mut self, announcement: &Announcement) {
        self.gossip.update_local(announcement);
    }
}

/// Simulated VM.
pub struct Node<P> {
    pub peer: P,
    pub announcement: Announcement,
    pub running: bool,
    /// The process is suspended until this time; its datagrams are queued.
    paused: Option<Instant>,
    pub sent: u64,
    pub sent_bytes: u64,
    pub received: u64,
    pub received_bytes: u64,
    pub largest_datagram: usize,
    /// Wall-clock time spent in the protocol code.
    pub protocol_time: Duration,
}

enum Event {
    Tick(usize),
    Deliver {
        from: usize,
        to: usize,
        datagram: Vec<u8>,
    },
}

/// Whether to drop datagrams from one VM to another.
pub type DropRule = Box<dyn Fn(usize, usize) -> bool>;

/// Simulated network and its VMs.
pub struct Network<P> {
    pub nodes: Vec<Node<P>>,
    pub now: Instant,
    pub loss: f64,
    drop_rule: DropRule,
    events: BTreeMap<(Instant, u64), Event>,
    event_number: u64,
    rng: StdRng,
    started: Instant,
    /// VM whose view failed the last check.
    last_failed: usize,
}

pub fn address(index: usize) -> SocketAddr {
    let [.., high, low] = u32::try_from(index)
        .expect("an index fits into 32 bits")
        .to_be_bytes();
    (Ipv4Addr::new(10, 0, high, low), 7200).into()
}

fn index_of(address: SocketAddr) -> Option<usize> {
    match address {
        SocketAddr::V4(v4) => {
            let [a, _, high, low] = v4.ip().octets();
            (a == 10).then(|| usize::from(high) * 256 + usize::from(low))
        }
        SocketAddr::V6(_) => None,
    }
}

pub fn vm_name(index: usize) -> Vm {
    format!("vm-{index:03}").parse().expect("a valid name")
}

/// Announcement of one of `size` VMs that own `shards` shards in equal parts.
pub fn announcement(index: usize, size: usize, shards: u64) -> Announcement {
    let owned_shards = (0..shards).filter(|shard| *shard % size as u64 == index as u64);
    Announcement {
        vm: vm_name(index),
        zone: format!("zone-{}", index % ZONES)
            .parse()
            .expect("a valid name"),
        boot: Boot(index as u64 + (1 << 60)),
        address: address(index),
        cores: Millicores(1000),
        ready: true,
        applied: Offset(1_000_000),
        owned: owned_shards
            .map(|shard| (Shard(shard), Epoch::at(Offset(1_000_000 + shard), 0)))
            .collect(),
    }
}

impl Network<Peer> {
    /// Network of VMs that run the gossip protocol, with one seed member per zone.
    pub fn gossip(size: usize, shards: u64, seed: u64) -> Self {
        let now = Instant::now();
        let seeds: Vec<SocketAddr> = (0..ZONES.min(size)).map(address).collect();
        let peers = (0..size).map(|index| {
            let announcement = announcement(index, size, shards);
            let seed = seed.wrapping_mul(1000).wrapping_add(index as u64);
            let peer = Peer::new(now, announcement.clone(), 1_000_000, seeds.clone(), seed);
            (announcement, peer)
        });
        Self::new(now, peers.collect(), seed)
    }

    /// Restarts the process of a VM with a new boot number, without shards and members.
    pub fn restart(&mut self, index: usize, incarnation: u64) {
        let seeds: Vec<SocketAddr> = (0..ZONES.min(self.nodes.len())).map(address).collect();
        let seed = self.rng.random();
        let now = self.now;
        let node = &mut self.nodes[index];
        node.announcement.boot = Boot(node.announcement.boot.0 + 1000);
        node.announcement.owned.clear();
        node.peer = Peer::new(now, node.announcement.clone(), incarnation, seeds, seed);
        node.running = true;
        node.paused = None;
    }

    /// Sums of the protocol counters of all running VMs.
    pub fn counts(&self) -> Counts {
        let running = self.nodes.iter().filter(|node| node.running);
        running.fold(Counts::default(), |sum, node| {
            let counts = node.peer.gossip.counts();
            Counts {
                suspicions: sum.suspicions + counts.suspicions,
                refutations: sum.refutations + counts.refutations,
                removals: sum.removals + counts.removals,
            }
        })
    }
}

impl<P: Protocol> Network<P> {
    pub fn new(now: Instant, peers: Vec<(Announcement, P)>, seed: u64) -> Self {
        let node = |(announcement, peer)| Node {
            peer,
            announcement,
            running: true,
            paused: None,
            sent: 0,
            sent_bytes: 0,
            received: 0,
            received_bytes: 0,
            largest_datagram: 0,
            protocol_time: Duration::ZERO,
        };
        let mut network = Self {
            nodes: peers.into_iter().map(node).collect(),
            now,
            loss: 0.0,
            drop_rule: Box::new(|_, _| false),
            events: BTreeMap::new(),
            event_number: 0,
            rng: StdRng::seed_from_u64(seed),
            started: now,
            last_failed: 0,
        };
        for index in 0..network.nodes.len() {
            let phase = network.rng.random_range(0..TICK_INTERVAL.as_micros());
            let phase = Duration::from_micros(u64::try_from(phase).expect("a short time"));
            network.push(now + phase, Event::Tick(index));
        }
        network
    }

    fn push(&mut self, at: Instant, event: Event) {
        self.event_number += 1;
        self.events.insert((at, self.event_number), event);
    }

    /// Drops the datagrams that `dropped` selects, until [`Self::heal`].
    pub fn partition(&mut self, dropped: impl Fn(usize, usize) -> bool + 'static) {
        self.drop_rule = Box::new(dropped);
    }

    pub fn heal(&mut self) {
        self.partition(|_, _| false);
    }

    pub fn kill(&mut self, index: usize) {
        self.nodes[index].running = false;
    }

    /// Suspends the process of a VM; arriving datagrams are queued.
    pub fn pause(&mut self, index: usize, time: Duration) {
        self.nodes[index].paused = Some(self.now + time);
    }

    /// Changes the announcement of a VM.
    pub fn update(&mut self, index: usize, change: impl FnOnce(&mut Announcement)) {
        let node = &mut self.nodes[index];
        change(&mut node.announcement);
        node.peer.local(&node.announcement);
    }

    pub fn view(&mut self, index: usize) -> View {
        let now = self.now;
        self.nodes[index].peer.view(now)
    }

    /// Whether the view of every running VM satisfies `predicate`.
    pub fn all_views(&mut self, predicate: impl Fn(&View) -> bool) -> bool {
        // Views are costly, so the check starts with the VM that failed the last time.
        let size = self.nodes.len();
        for index in (self.last_failed..size).chain(0..self.last_failed) {
            if self.nodes[index].running && !predicate(&self.view(index)) {
                self.last_failed = index;
                return false;
            }
        }
        true
    }

    pub fn running(&self) -> usize {
        self.nodes.iter().filter(|node| node.running).count()
    }

    /// Whether every view contains exactly the running VMs.
    pub fn is_converged(&mut self) -> bool {
        let running = self.running();
        self.all_views(|view| view.members.len() == running)
    }

    /// Advances the clock and processes the events in between.
    pub fn run(&mut self, time: Duration) {
        let until = self.now + time;
        while let Some(entry) = self.events.first_entry() {
            let (at, _) = *entry.key();
            if at > until {
                break;
            }
            let event = entry.remove();
            self.now = at;
            self.handle(event);
        }
        self.now = until;
    }

    /// Advances the clock until `condition` holds. Returns the elapsed time,
    /// or `None` after `limit`.
    pub fn run_until(
        &mut self,
        limit: Duration,
        mut condition: impl FnMut(&mut Self) -> bool,
    ) -> Option<Duration> {
        let start = self.now;
        while self.now - start <= limit {
            if condition(self) {
                return Some(self.now - start);
            }
            self.run(TICK_INTERVAL);
        }
        None
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Tick(index) => {
                self.push(self.now + TICK_INTERVAL, Event::Tick(index));
                let now = self.now;
                self.run_node(index, |peer| peer.tick(now));
            }
            Event::Deliver { from, to, datagram } => {
                if let Some(until) = self.nodes[to].paused
                    && until > self.now
                {
                    self.push(until, Event::Deliver { from, to, datagram });
                    return;
                }
                let node = &mut self.nodes[to];
                if node.running {
                    node.received += 1;
                    node.received_bytes += (datagram.len() + HEADER_BYTES) as u64;
                }
                let now = self.now;
                self.run_node(to, |peer| peer.receive(now, address(from), &datagram));
            }
        }
    }

    fn run_node(&mut self, index: usize, action: impl FnOnce(&mut P) -> Vec<Datagram>) {
        let node = &mut self.nodes[index];
        if !node.running || node.paused.is_some_and(|until| until > self.now) {
            return;
        }
        let start = std::time::Instant::now();
        let sent = action(&mut node.peer);
        node.protocol_time += start.elapsed();
        for (to, datagram) in sent {
            self.send(index, to, datagram);
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, datagram: Vec<u8>) {
        let node = &mut self.nodes[from];
        node.sent += 1;
        node.sent_bytes += (datagram.len() + HEADER_BYTES) as u64;
        node.largest_datagram = node.largest_datagram.max(datagram.len());
        let Some(to) = index_of(to).filter(|to| *to < self.nodes.len()) else {
            return;
        };
        if (self.drop_rule)(from, to) || self.rng.random_bool(self.loss) {
            return;
        }
        let same_region = (from % ZONES) % 2 == (to % ZONES) % 2;
        let base_delay_us = if same_region { 1000 } else { 40_000 };
        let delay = Duration::from_micros(self.rng.random_range(base_delay_us..base_delay_us * 2));
        self.push(self.now + delay, Event::Deliver { from, to, datagram });
    }

    /// Simulated time since the start.
    pub fn elapsed(&self) -> Duration {
        self.now - self.started
    }

    /// Resets the counters of traffic and processor time.
    pub fn reset(&mut self) {
        for node in &mut self.nodes {
            node.sent = 0;
            node.sent_bytes = 0;
            node.received = 0;
            node.received_bytes = 0;
            node.protocol_time = Duration::ZERO;
        }
    }
}
