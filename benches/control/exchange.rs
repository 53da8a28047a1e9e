//! An exchange of datagrams in memory between instances of the membership code, with delay, loss
//! and cuts, over a clock that only the exchange moves. It is no model of a whole cluster: nothing
//! but the membership runs on it.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;
use tokio::time::Instant;
use vanillatrail::id::{Boot, Epoch, Incarnation, Millicores, Offset, Shard, Vm};
use vanillatrail::member::{Action, Beat, Counts, Gossip, Sealer, View};

/// Bytes of the headers of IP and UDP, which count as control traffic too.
pub const HEADERS: usize = 28;
/// Time between two ticks of a peer.
const TICK: Duration = Duration::from_millis(50);
/// Availability zones, half of them in each of two regions.
pub const ZONES: usize = 6;

/// A datagram to send.
pub type Datagram = (SocketAddr, Vec<u8>);

/// One instance of a membership protocol.
pub trait Protocol {
    /// Does what is due.
    fn tick(&mut self, now: Instant) -> Vec<Datagram>;
    /// Takes in a datagram.
    fn take(&mut self, now: Instant, from: SocketAddr, datagram: &[u8]) -> Vec<Datagram>;
    /// What it holds of the others.
    fn view(&mut self, now: Instant) -> View;
    /// Takes in what its VM says of itself.
    fn local(&mut self, announcement: &Beat);
}

/// The protocol of the library, sealed as on the wire.
pub struct Peer {
    pub gossip: Gossip,
    sealer: Sealer,
}

impl Peer {
    pub fn new(
        now: Instant,
        announcement: Beat,
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
            Action::Tell { .. } => None,
        });
        sent.collect()
    }
}

impl Protocol for Peer {
    fn tick(&mut self, now: Instant) -> Vec<Datagram> {
        let actions = self.gossip.tick(now);
        self.seal(actions)
    }

    fn take(&mut self, now: Instant, from: SocketAddr, datagram: &[u8]) -> Vec<Datagram> {
        let message = self.sealer.open(datagram).expect("sealed by a peer");
        let actions = self.gossip.on_message(now, from, message);
        self.seal(actions)
    }

    fn view(&mut self, now: Instant) -> View {
        self.gossip.view(now)
    }

    fn local(&mut self, announcement: &Beat) {
        self.gossip.local(announcement);
    }
}

/// A VM of the exchange.
pub struct Node<P> {
    pub peer: P,
    pub announcement: Beat,
    pub running: bool,
    /// Stands still until then; its datagrams wait.
    paused: Option<Instant>,
    pub sent: u64,
    pub sent_bytes: u64,
    pub received: u64,
    pub received_bytes: u64,
    pub largest: usize,
    /// Processor time spent in the protocol.
    pub spent: Duration,
}

enum Event {
    Tick(usize),
    Deliver {
        from: usize,
        to: usize,
        datagram: Vec<u8>,
    },
}

/// Whether a datagram from one VM to another is lost.
pub type Cut = Box<dyn Fn(usize, usize) -> bool>;

/// The exchange.
pub struct Network<P> {
    pub nodes: Vec<Node<P>>,
    pub now: Instant,
    pub loss: f64,
    cut: Cut,
    events: BTreeMap<(Instant, u64), Event>,
    number: u64,
    rng: StdRng,
    started: Instant,
    /// The VM that failed the last check.
    last: usize,
}

pub fn address(index: usize) -> SocketAddr {
    let [.., high, low] = u32::try_from(index).expect("a small number").to_be_bytes();
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
    format!("vm-{index:03}").parse().expect("a plain name")
}

/// What a VM with its part of `shards` shards among `size` VMs says of itself.
pub fn announcement(index: usize, size: usize, shards: u64) -> Beat {
    let held = (0..shards).filter(|shard| *shard % size as u64 == index as u64);
    Beat {
        vm: vm_name(index),
        zone: format!("zone-{}", index % ZONES)
            .parse()
            .expect("a plain name"),
        boot: Boot(index as u64 + (1 << 60)),
        address: address(index),
        cores: Millicores(1000),
        ready: true,
        applied: Offset(1_000_000),
        held: held
            .map(|shard| (Shard(shard), Epoch::at(Offset(1_000_000 + shard), 0)))
            .collect(),
    }
}

impl Network<Peer> {
    /// VMs that run the gossip, one seed in each zone, owning `shards` shards between them.
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

    /// Starts the process of a VM anew: another boot, no shards, nothing known but the seeds.
    pub fn restart(&mut self, index: usize, incarnation: u64) {
        let seeds: Vec<SocketAddr> = (0..ZONES.min(self.nodes.len())).map(address).collect();
        let seed = self.rng.random();
        let now = self.now;
        let node = &mut self.nodes[index];
        node.announcement.boot = Boot(node.announcement.boot.0 + 1000);
        node.announcement.held.clear();
        node.peer = Peer::new(now, node.announcement.clone(), incarnation, seeds, seed);
        node.running = true;
        node.paused = None;
    }

    /// Events at all VMs that are up.
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
    pub fn new(now: Instant, peers: Vec<(Beat, P)>, seed: u64) -> Self {
        let node = |(announcement, peer)| Node {
            peer,
            announcement,
            running: true,
            paused: None,
            sent: 0,
            sent_bytes: 0,
            received: 0,
            received_bytes: 0,
            largest: 0,
            spent: Duration::ZERO,
        };
        let mut network = Self {
            nodes: peers.into_iter().map(node).collect(),
            now,
            loss: 0.0,
            cut: Box::new(|_, _| false),
            events: BTreeMap::new(),
            number: 0,
            rng: StdRng::seed_from_u64(seed),
            started: now,
            last: 0,
        };
        for index in 0..network.nodes.len() {
            let phase = network.rng.random_range(0..TICK.as_micros());
            let phase = Duration::from_micros(u64::try_from(phase).expect("a small number"));
            network.push(now + phase, Event::Tick(index));
        }
        network
    }

    fn push(&mut self, at: Instant, event: Event) {
        self.number += 1;
        self.events.insert((at, self.number), event);
    }

    /// Cuts the datagrams that `cut` names, from now on.
    pub fn partition(&mut self, cut: impl Fn(usize, usize) -> bool + 'static) {
        self.cut = Box::new(cut);
    }

    pub fn heal(&mut self) {
        self.partition(|_, _| false);
    }

    pub fn kill(&mut self, index: usize) {
        self.nodes[index].running = false;
    }

    /// The process stands still for a while; what arrives waits in its socket.
    pub fn pause(&mut self, index: usize, time: Duration) {
        self.nodes[index].paused = Some(self.now + time);
    }

    /// Changes what a VM says of itself.
    pub fn update(&mut self, index: usize, change: impl FnOnce(&mut Beat)) {
        let node = &mut self.nodes[index];
        change(&mut node.announcement);
        node.peer.local(&node.announcement);
    }

    pub fn view(&mut self, index: usize) -> View {
        let now = self.now;
        self.nodes[index].peer.view(now)
    }

    /// Whether `good` holds of the view of every VM that is up.
    pub fn all_views(&mut self, good: impl Fn(&View) -> bool) -> bool {
        // The VM that failed the last check is asked first: a view of every VM is costly.
        let size = self.nodes.len();
        for index in (self.last..size).chain(0..self.last) {
            if self.nodes[index].running && !good(&self.view(index)) {
                self.last = index;
                return false;
            }
        }
        true
    }

    pub fn running(&self) -> usize {
        self.nodes.iter().filter(|node| node.running).count()
    }

    /// Whether everybody holds exactly the VMs that are up.
    pub fn is_converged(&mut self) -> bool {
        let running = self.running();
        self.all_views(|view| view.members.len() == running)
    }

    /// Lets time pass.
    pub fn run(&mut self, time: Duration) {
        let until = self.now + time;
        while let Some(entry) = self.events.first_entry() {
            let (at, _) = *entry.key();
            if at > until {
                break;
            }
            let event = entry.remove();
            self.now = at;
            self.perform(event);
        }
        self.now = until;
    }

    /// Lets time pass until `good`, looking every 50 ms; the time that it took.
    pub fn run_until(
        &mut self,
        limit: Duration,
        mut good: impl FnMut(&mut Self) -> bool,
    ) -> Option<Duration> {
        let start = self.now;
        while self.now - start <= limit {
            if good(self) {
                return Some(self.now - start);
            }
            self.run(TICK);
        }
        None
    }

    fn perform(&mut self, event: Event) {
        match event {
            Event::Tick(index) => {
                self.push(self.now + TICK, Event::Tick(index));
                let now = self.now;
                self.step(index, |peer| peer.tick(now));
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
                    node.received_bytes += (datagram.len() + HEADERS) as u64;
                }
                let now = self.now;
                self.step(to, |peer| peer.take(now, address(from), &datagram));
            }
        }
    }

    fn step(&mut self, index: usize, act: impl FnOnce(&mut P) -> Vec<Datagram>) {
        let node = &mut self.nodes[index];
        if !node.running || node.paused.is_some_and(|until| until > self.now) {
            return;
        }
        let start = std::time::Instant::now();
        let sent = act(&mut node.peer);
        node.spent += start.elapsed();
        for (to, datagram) in sent {
            self.post(index, to, datagram);
        }
    }

    fn post(&mut self, from: usize, to: SocketAddr, datagram: Vec<u8>) {
        let node = &mut self.nodes[from];
        node.sent += 1;
        node.sent_bytes += (datagram.len() + HEADERS) as u64;
        node.largest = node.largest.max(datagram.len());
        let Some(to) = index_of(to).filter(|to| *to < self.nodes.len()) else {
            return;
        };
        if (self.cut)(from, to) || self.rng.random_bool(self.loss) {
            return;
        }
        let near = (from % ZONES) % 2 == (to % ZONES) % 2;
        let base = if near { 1000 } else { 40_000 };
        let delay = Duration::from_micros(self.rng.random_range(base..base * 2));
        self.push(self.now + delay, Event::Deliver { from, to, datagram });
    }

    /// Time since the start.
    pub fn elapsed(&self) -> Duration {
        self.now - self.started
    }

    /// Sets the counters of traffic and processor time to zero.
    pub fn reset(&mut self) {
        for node in &mut self.nodes {
            node.sent = 0;
            node.sent_bytes = 0;
            node.received = 0;
            node.received_bytes = 0;
            node.spent = Duration::ZERO;
        }
    }
}
