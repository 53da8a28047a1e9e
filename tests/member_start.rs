//! VMs that start together and learn of each other from what each has left for the others.

mod beat;

use beat::announcement;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;
use vanillatrail::id::{Boot, Incarnation};
use vanillatrail::member::{Action, Announcement, Gossip, Introduction};

const VMS: u16 = 120;
const TICK: Duration = Duration::from_millis(50);

/// VMs that exchange datagrams without delay.
struct Group {
    now: Instant,
    nodes: Vec<Gossip>,
    places: HashMap<SocketAddr, usize>,
    /// Members that some VM held in another state than before.
    told: usize,
}

impl Group {
    fn start() -> Self {
        let now = Instant::now();
        let beats: Vec<Announcement> = (0..VMS).map(announcement).collect();
        let seeds = vec![beats[0].address];
        let nodes = beats.iter().enumerate().map(|(index, beat)| {
            let seeds = seeds.clone();
            Gossip::new(now, beat.clone(), Incarnation(7), seeds, index as u64)
        });
        let places = beats.iter().enumerate();
        Self {
            now,
            nodes: nodes.collect(),
            places: places.map(|(index, beat)| (beat.address, index)).collect(),
            told: 0,
        }
    }

    fn introductions(&self) -> Vec<Introduction> {
        self.nodes.iter().map(Gossip::introduction).collect()
    }

    fn run(&mut self, time: Duration) {
        for _ in 0..time.as_millis() / TICK.as_millis() {
            self.now += TICK;
            for index in 0..self.nodes.len() {
                let actions = self.nodes[index].tick(self.now);
                self.deliver(index, actions);
            }
        }
    }

    fn deliver(&mut self, from: usize, actions: Vec<Action>) {
        let mut open: Vec<_> = actions.into_iter().map(|action| (from, action)).collect();
        while let Some((from, action)) = open.pop() {
            let Action::Send { to, message } = action else {
                self.told += 1;
                continue;
            };
            let Some(to) = self.places.get(&to).copied() else {
                continue;
            };
            let source = announcement(u16::try_from(from).expect("few")).address;
            let replies = self.nodes[to].on_message(self.now, source, message);
            open.extend(replies.into_iter().map(|action| (to, action)));
        }
    }

    fn members(&mut self) -> Vec<usize> {
        let now = self.now;
        let views = self.nodes.iter_mut().map(|node| node.view(now));
        views.map(|view| view.members.len()).collect()
    }
}

/// All VMs start in the same second. By news alone they take 9 s at 100 VMs to know each other, and meanwhile
/// requests of one program are counted, and queue, at several VMs. Each reads what all others have left,
/// and knows them at once; nobody passes on what everybody has read.
#[test]
fn vms_that_start_together_know_each_other_at_once() {
    let mut group = Group::start();
    let introductions = group.introductions();
    for node in &mut group.nodes {
        node.apply_introductions(group.now, &introductions);
    }
    assert!(
        group
            .members()
            .iter()
            .all(|members| *members == usize::from(VMS))
    );
    group.run(Duration::from_secs(2));
    assert!(
        group
            .members()
            .iter()
            .all(|members| *members == usize::from(VMS))
    );
    assert_eq!(group.told, 0);
    let waiting: usize = group.nodes.iter().map(|node| node.sizes().2).sum();
    assert!(waiting <= usize::from(VMS), "{waiting} pieces of news wait");
}

/// A VM has left an introduction and is gone; another one has started again since it left its own. The
/// first is dropped after it answers nobody, and of the second the newer run counts.
#[test]
fn an_old_introduction_does_not_last() {
    let mut group = Group::start();
    let mut introductions = group.introductions();
    let mut ghost = introductions[0].clone();
    ghost.profile.vm = "vm-ghost".parse().expect("a name");
    ghost.profile.address = SocketAddr::from(([127, 0, 0, 1], 9999));
    introductions.push(ghost);
    introductions[5].profile.boot = Boot(0);
    introductions[5].profile.version = Incarnation(3);
    introductions[5].incarnation = Incarnation(3);
    for node in &mut group.nodes {
        node.apply_introductions(group.now, &introductions);
    }
    group.run(Duration::from_secs(30));
    assert!(
        group
            .members()
            .iter()
            .all(|members| *members == usize::from(VMS))
    );
    let view = group.nodes[0].view(group.now);
    assert_eq!(view.members[&announcement(5).vm].boot, Boot(1));
}
