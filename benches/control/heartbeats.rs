//! Baseline protocol: each VM sends its full state to every other VM five times a second.

use crate::exchange::{Datagram, Protocol};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;
use vanillatrail::id::{Offset, Vm};
use vanillatrail::member::{Announcement, Member, View};

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);
/// Time without heartbeats after which a member is removed.
const MEMBER_TIMEOUT: Duration = Duration::from_secs(2);
/// Size of the authentication code.
const SEAL_BYTES: usize = 16;

/// VM that sends full heartbeats.
pub struct Heartbeats {
    key: [u8; 32],
    announcement: Announcement,
    last_heard: BTreeMap<Vm, (Instant, Announcement)>,
    seeds: Vec<SocketAddr>,
    next_send: Instant,
    /// Number of members that timed out, rightly or not.
    pub removals: u64,
}

impl Heartbeats {
    pub fn new(now: Instant, announcement: Announcement, seeds: Vec<SocketAddr>) -> Self {
        Self {
            key: blake3::derive_key("vanillatrail peer key", b"a key for tests only"),
            announcement,
            last_heard: BTreeMap::new(),
            seeds,
            next_send: now,
            removals: 0,
        }
    }

    fn seal(&self) -> Vec<u8> {
        let body = rmp_serde::to_vec(&self.announcement).expect("an announcement can be encoded");
        let mut datagram = blake3::keyed_hash(&self.key, &body).as_bytes()[..SEAL_BYTES].to_vec();
        datagram.extend(body);
        datagram
    }
}

impl Protocol for Heartbeats {
    fn tick(&mut self, now: Instant) -> Vec<Datagram> {
        if now < self.next_send {
            return Vec::new();
        }
        self.next_send = now + HEARTBEAT_INTERVAL;
        let count_before = self.last_heard.len();
        self.last_heard
            .retain(|_, (at, _)| now - *at < MEMBER_TIMEOUT);
        self.removals += (count_before - self.last_heard.len()) as u64;
        self.last_heard.insert(
            self.announcement.vm.clone(),
            (now, self.announcement.clone()),
        );
        let member_addresses = self
            .last_heard
            .values()
            .map(|(_, announcement)| announcement.address);
        let targets: BTreeSet<SocketAddr> =
            member_addresses.chain(self.seeds.iter().copied()).collect();
        let datagram = self.seal();
        let others = targets
            .into_iter()
            .filter(|to| *to != self.announcement.address);
        others.map(|to| (to, datagram.clone())).collect()
    }

    fn receive(&mut self, now: Instant, _from: SocketAddr, datagram: &[u8]) -> Vec<Datagram> {
        let (seal, body) = datagram.split_at(SEAL_BYTES);
        assert!(blake3::keyed_hash(&self.key, body).as_bytes()[..SEAL_BYTES] == *seal);
        let announcement: Announcement = rmp_serde::from_slice(body).expect("sent by a peer");
        self.last_heard
            .insert(announcement.vm.clone(), (now, announcement));
        Vec::new()
    }

    fn view(&mut self, now: Instant) -> View {
        let last_heard = self.last_heard.values();
        let members =
            last_heard
                .filter(|(at, _)| now - *at < MEMBER_TIMEOUT)
                .map(|(_, announcement)| {
                    let Announcement {
                        vm,
                        zone,
                        boot,
                        address,
                        cores,
                        ready,
                        applied,
                        owned,
                    } = announcement.clone();
                    let member = Member {
                        vm: vm.clone(),
                        zone,
                        boot,
                        address,
                        cores,
                        ready,
                        applied,
                        owned,
                        suspect: false,
                    };
                    (vm, member)
                });
        let members: BTreeMap<Vm, Member> = members.collect();
        let newest = members.values().map(|member| member.applied).max();
        View {
            members,
            draining: BTreeSet::new(),
            newest: newest.unwrap_or(Offset(0)),
        }
    }

    fn local(&mut self, announcement: &Announcement) {
        self.announcement = announcement.clone();
    }
}
