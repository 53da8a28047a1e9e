//! VMs that start together and discover each other through introduction records.

mod beat;

use beat::announcement;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;
use vanillatrail::id::{Boot, Incarnation};
use vanillatrail::member::{Action, Announcement, Gossip, Introduction};

const VM_COUNT: u16 = 120;
const TICK: Duration = Duration::from_millis(50);

/// VMs whose datagrams are delivered without delay.
struct Group {
    now: Instant,
    nodes: Vec<Gossip>,
    index_by_address: HashMap<SocketAddr, usize>,
    /// Actions other than sending: changed member states that a VM logs.
    state_changes: usize,
}

impl Group {
    fn start() -> Self {
        let now = Instant::now();
        let announcements: Vec<Announcement> = (0..VM_COUNT).map(announcement).collect();
        let seeds = vec![announcements[0].address];
        let nodes = announcements
            .iter()
            .enumerate()
            .map(|(index, announcement)| {
                let seeds = seeds.clone();
                Gossip::new(
                    now,
                    announcement.clone(),
                    Incarnation(7),
                    seeds,
                    index as u64,
                )
            });
        let addresses = announcements.iter().enumerate();
        Self {
            now,
            nodes: nodes.collect(),
            index_by_address: addresses
                .map(|(index, announcement)| (announcement.address, index))
                .collect(),
            state_changes: 0,
        }
    }

    fn introductions(&self) -> Vec<Introduction> {
        self.nodes.iter().map(Gossip::introduction).collect()
    }

    fn run(&mut self, duration: Duration) {
        for _ in 0..duration.as_millis() / TICK.as_millis() {
            self.now += TICK;
            for index in 0..self.nodes.len() {
                let actions = self.nodes[index].tick(self.now);
                self.deliver(index, actions);
            }
        }
    }

    fn deliver(&mut self, from: usize, actions: Vec<Action>) {
        let mut pending: Vec<_> = actions.into_iter().map(|action| (from, action)).collect();
        while let Some((from, action)) = pending.pop() {
            let Action::Send { to, message } = action else {
                self.state_changes += 1;
                continue;
            };
            let Some(to) = self.index_by_address.get(&to).copied() else {
                continue;
            };
            let source = announcement(u16::try_from(from).expect("the index fits")).address;
            let replies = self.nodes[to].on_message(self.now, source, message);
            pending.extend(replies.into_iter().map(|action| (to, action)));
        }
    }

    fn member_counts(&mut self) -> Vec<usize> {
        let now = self.now;
        let views = self.nodes.iter_mut().map(|node| node.view(now));
        views.map(|view| view.members.len()).collect()
    }
}

/// Guards against VMs that start together and know each other only after seconds of gossip, so that several own one
/// program meanwhile, and against gossiping what all of them have read.
#[test]
fn vms_starting_together_know_each_other_from_introductions() {
    let mut group = Group::start();
    let introductions = group.introductions();
    for node in &mut group.nodes {
        node.apply_introductions(group.now, &introductions);
    }
    assert!(
        group
            .member_counts()
            .iter()
            .all(|count| *count == usize::from(VM_COUNT))
    );
    group.run(Duration::from_secs(2));
    assert!(
        group
            .member_counts()
            .iter()
            .all(|count| *count == usize::from(VM_COUNT))
    );
    assert_eq!(group.state_changes, 0);
    let queued_updates: usize = group.nodes.iter().map(|node| node.sizes().2).sum();
    assert!(
        queued_updates <= usize::from(VM_COUNT),
        "{queued_updates} queued updates"
    );
}

/// Guards against introductions that keep a stopped VM in the views, or replace a restarted VM by its earlier run.
#[test]
fn outdated_introductions_are_dropped() {
    let mut group = Group::start();
    let mut introductions = group.introductions();
    let mut stopped_vm = introductions[0].clone();
    stopped_vm.profile.vm = "vm-ghost".parse().expect("a name");
    stopped_vm.profile.address = SocketAddr::from(([127, 0, 0, 1], 9999));
    introductions.push(stopped_vm);
    introductions[5].profile.boot = Boot(0);
    introductions[5].profile.version = Incarnation(3);
    introductions[5].incarnation = Incarnation(3);
    for node in &mut group.nodes {
        node.apply_introductions(group.now, &introductions);
    }
    group.run(Duration::from_secs(30));
    assert!(
        group
            .member_counts()
            .iter()
            .all(|count| *count == usize::from(VM_COUNT))
    );
    let view = group.nodes[0].view(group.now);
    assert_eq!(view.members[&announcement(5).vm].boot, Boot(1));
}
