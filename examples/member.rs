//! Five VMs find each other from one seed; one falls silent and leaves the view of the others.
//!
//!     cargo run --example member

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;
use vanillatrail::id::{Boot, Incarnation, Millicores, Offset};
use vanillatrail::member::{Action, Announcement, Gossip, Message};

/// Time between two ticks.
const TICK: Duration = Duration::from_millis(50);

/// The VMs and the datagrams between them, in place of a network.
struct Group {
    now: Instant,
    members: Vec<(SocketAddr, Gossip)>,
    silent: Option<usize>,
}

impl Group {
    fn new(count: u16) -> Self {
        let now = Instant::now();
        let address = |index: u16| SocketAddr::from(([127, 0, 0, 1], 7000 + index));
        let members = (0..count).map(|index| {
            let beat = Announcement {
                vm: format!("vm-{index}").parse().expect("a name"),
                zone: format!("zone-{}", index % 3).parse().expect("a name"),
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
            silent: None,
        }
    }

    fn tick(&mut self) {
        self.now += TICK;
        let mut sent = VecDeque::new();
        for index in 0..self.members.len() {
            let actions = self.members[index].1.tick(self.now);
            self.post(index, actions, &mut sent);
        }
        while let Some((from, to, message)) = sent.pop_front() {
            let Some(index) = self.members.iter().position(|(at, _)| *at == to) else {
                continue;
            };
            if self.silent != Some(index) {
                let actions = self.members[index].1.on_message(self.now, from, message);
                self.post(index, actions, &mut sent);
            }
        }
    }

    fn post(
        &self,
        index: usize,
        actions: Vec<Action>,
        sent: &mut VecDeque<(SocketAddr, SocketAddr, Message)>,
    ) {
        for action in actions {
            if let Action::Send { to, message } = action
                && self.silent != Some(index)
            {
                sent.push_back((self.members[index].0, to, message));
            }
        }
    }

    /// Ticks until VM 0 sees so many members, and tells how long it took.
    fn until(&mut self, count: usize) -> Duration {
        let started = self.now;
        for _ in 0..2400 {
            self.tick();
            if self.members[0].1.view(self.now).members.len() == count {
                return self.now - started;
            }
        }
        panic!("the view never has {count} members");
    }
}

fn main() {
    let mut group = Group::new(5);
    println!("all five know each other after {:?}", group.until(5));
    group.silent = Some(3);
    println!(
        "the silent one is out of the view after {:?}",
        group.until(4)
    );
    group.silent = None;
    println!("it is back {:?} after it speaks again", group.until(5));
}
