//! Five VMs discover each other through one seed member; one becomes unreachable and is removed.
//!
//!     cargo run --example member

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;
use vanillatrail::id::{Boot, Incarnation, Millicores, Offset};
use vanillatrail::member::{Action, Announcement, Gossip, Message};

const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// VMs that exchange datagrams in memory.
struct Cluster {
    now: Instant,
    members: Vec<(SocketAddr, Gossip)>,
    unreachable: Option<usize>,
}

impl Cluster {
    fn new(count: u16) -> Self {
        let now = Instant::now();
        let address = |index: u16| SocketAddr::from(([127, 0, 0, 1], 7000 + index));
        let members = (0..count).map(|index| {
            let beat = Announcement {
                vm: format!("vm-{index}").parse().expect("a valid name"),
                zone: format!("zone-{}", index % 3).parse().expect("a valid name"),
                boot: Boot(1),
                address: address(index),
                cores: Millicores(1000),
                ready: true,
                applied: Offset(0),
                owned: Vec::new(),
            };
            let seeds = vec![address(0)];
            let gossip = Gossip::new(now, beat, Incarnation(1), seeds, u64::from(index));
            (address(index), gossip)
        });
        Self {
            now,
            members: members.collect(),
            unreachable: None,
        }
    }

    fn tick(&mut self) {
        self.now += TICK_INTERVAL;
        let mut sent = VecDeque::new();
        for index in 0..self.members.len() {
            let actions = self.members[index].1.tick(self.now);
            self.queue_messages(index, actions, &mut sent);
        }
        while let Some((from, to, message)) = sent.pop_front() {
            let Some(index) = self.members.iter().position(|(address, _)| *address == to) else {
                continue;
            };
            if self.unreachable != Some(index) {
                let actions = self.members[index].1.on_message(self.now, from, message);
                self.queue_messages(index, actions, &mut sent);
            }
        }
    }

    fn queue_messages(
        &self,
        index: usize,
        actions: Vec<Action>,
        sent: &mut VecDeque<(SocketAddr, SocketAddr, Message)>,
    ) {
        for action in actions {
            if let Action::Send { to, message } = action
                && self.unreachable != Some(index)
            {
                sent.push_back((self.members[index].0, to, message));
            }
        }
    }

    /// Ticks until VM 0 sees `count` members; returns the elapsed time.
    fn run_until(&mut self, count: usize) -> Duration {
        let started = self.now;
        for _ in 0..2400 {
            self.tick();
            if self.members[0].1.view(self.now).members.len() == count {
                return self.now - started;
            }
        }
        panic!("the view did not reach {count} members");
    }
}

fn main() {
    let mut cluster = Cluster::new(5);
    println!(
        "all five VMs see each other after {:?}",
        cluster.run_until(5)
    );
    cluster.unreachable = Some(3);
    println!(
        "the unreachable VM is removed after {:?}",
        cluster.run_until(4)
    );
    cluster.unreachable = None;
    println!(
        "it is back {:?} after it is reachable again",
        cluster.run_until(5)
    );
}
