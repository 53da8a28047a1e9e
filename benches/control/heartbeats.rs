//! The baseline: each VM sends all that it says of itself to every other, five times a second.

use crate::exchange::{Datagram, Protocol};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;
use vanillatrail::id::{Offset, Vm};
use vanillatrail::member::{Beat, Member, View};

/// Time between heartbeats.
const PERIOD: Duration = Duration::from_millis(200);
/// Silence after which a member leaves the view.
const SILENCE: Duration = Duration::from_secs(2);
/// Bytes of the seal.
const SEAL: usize = 16;

/// One VM that sends full heartbeats.
pub struct Heartbeats {
    key: [u8; 32],
    beat: Beat,
    heard: BTreeMap<Vm, (Instant, Beat)>,
    seeds: Vec<SocketAddr>,
    due: Instant,
    /// Members that left the view though they were alive, or not.
    pub removals: u64,
}

impl Heartbeats {
    pub fn new(now: Instant, beat: Beat, seeds: Vec<SocketAddr>) -> Self {
        Self {
            key: blake3::derive_key("vanillatrail peer key", b"a key for tests only"),
            beat,
            heard: BTreeMap::new(),
            seeds,
            due: now,
            removals: 0,
        }
    }

    fn seal(&self) -> Vec<u8> {
        let body = rmp_serde::to_vec(&self.beat).expect("a heartbeat can be encoded");
        let mut datagram = blake3::keyed_hash(&self.key, &body).as_bytes()[..SEAL].to_vec();
        datagram.extend(body);
        datagram
    }
}

impl Protocol for Heartbeats {
    fn tick(&mut self, now: Instant) -> Vec<Datagram> {
        if now < self.due {
            return Vec::new();
        }
        self.due = now + PERIOD;
        let before = self.heard.len();
        self.heard.retain(|_, (at, _)| now - *at < SILENCE);
        self.removals += (before - self.heard.len()) as u64;
        self.heard
            .insert(self.beat.vm.clone(), (now, self.beat.clone()));
        let known = self.heard.values().map(|(_, beat)| beat.address);
        let targets: BTreeSet<SocketAddr> = known.chain(self.seeds.iter().copied()).collect();
        let datagram = self.seal();
        let others = targets.into_iter().filter(|to| *to != self.beat.address);
        others.map(|to| (to, datagram.clone())).collect()
    }

    fn take(&mut self, now: Instant, _from: SocketAddr, datagram: &[u8]) -> Vec<Datagram> {
        let (seal, body) = datagram.split_at(SEAL);
        assert!(blake3::keyed_hash(&self.key, body).as_bytes()[..SEAL] == *seal);
        let beat: Beat = rmp_serde::from_slice(body).expect("sent by a peer");
        self.heard.insert(beat.vm.clone(), (now, beat));
        Vec::new()
    }

    fn view(&mut self, now: Instant) -> View {
        let heard = self.heard.values();
        let members = heard
            .filter(|(at, _)| now - *at < SILENCE)
            .map(|(_, beat)| {
                let Beat {
                    vm,
                    zone,
                    boot,
                    address,
                    cores,
                    ready,
                    applied,
                    held,
                } = beat.clone();
                let member = Member {
                    vm: vm.clone(),
                    zone,
                    boot,
                    address,
                    cores,
                    ready,
                    applied,
                    held,
                    suspect: false,
                };
                (vm, member)
            });
        let members: BTreeMap<Vm, Member> = members.collect();
        let newest = members.values().map(|member| member.applied).max();
        View {
            members,
            leaving: BTreeSet::new(),
            newest: newest.unwrap_or(Offset(0)),
        }
    }

    fn local(&mut self, beat: &Beat) {
        self.beat = beat.clone();
    }
}
