//! What other VMs ask of this one's directory, and what they are told of it unasked.

use super::wire::{News, Packet};
use super::{MANY, Relay, TOLD};
use crate::gateway::world::directory::Change;
use crate::id::Offset;
use crate::member::MAX_DATAGRAM_BYTES;
use crate::telemetry::event;
use std::net::SocketAddr;
use tokio::time::Instant;

/// Bytes of a datagram that are kept for all but the changes.
const ENVELOPE: usize = 160;

impl Relay {
    /// Takes datagrams in until the process ends.
    pub(in crate::gateway::world) async fn receive(&self) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES + 1];
        loop {
            let Ok((size, from)) = self.socket.recv_from(&mut buffer).await else {
                continue;
            };
            match self.sealer.open(&buffer[..size]) {
                Some(Packet::Ask { number, as_of }) => self.answer(from, number, as_of).await,
                Some(Packet::News { number: 0, news }) => {
                    self.learn(&news, Instant::now(), false);
                }
                Some(Packet::News { number, news }) => {
                    let waiting = self.waiting.borrow_mut().remove(&number);
                    // Whoever asked may have given up.
                    drop(waiting.map(|waiting| waiting.send(news)));
                }
                None => event!(warn, "datagram_refused", from = from, bytes = size),
            }
        }
    }

    async fn answer(&self, from: SocketAddr, number: u64, as_of: Offset) {
        self.note_follower(from, Instant::now());
        let news = self.news(as_of);
        self.send(from, &Packet::News { number, news }).await;
    }

    fn note_follower(&self, follower: SocketAddr, now: Instant) {
        let mut followers = self.followers.borrow_mut();
        followers.retain(|_, at| *at + self.period * TOLD > now);
        followers.insert(follower, now);
    }

    /// What came after an offset, as much as fits a datagram.
    fn news(&self, since: Offset) -> News {
        let world = self.worlds.borrow();
        let mut room = MAX_DATAGRAM_BYTES - ENVELOPE;
        let fits = |change: &Change| {
            let size = rmp_serde::to_vec(change).map_or(MAX_DATAGRAM_BYTES, |bytes| bytes.len());
            let left = room.checked_sub(size);
            room = left.unwrap_or(0);
            left.is_some()
        };
        let few = world.changes.count_after(since) <= MANY;
        let part = few.then(|| world.changes.after(since, fits)).flatten();
        let whole = part.as_ref().is_none_or(|part| part.complete);
        let age = world
            .directory_confirmed_at
            .filter(|_| world.directory_loaded)
            .map(|at| at.elapsed());
        News {
            since,
            until: part
                .as_ref()
                .filter(|part| !part.complete)
                .map_or(world.directory_offset, |part| part.end),
            age_ms: age.map(|age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX)),
            has_store: self.has_store.get(),
            digest: whole.then(|| world.directory.digest()),
            changes: part.map(|part| part.changes),
            config: world.config_version(),
        }
    }

    pub(super) async fn send(&self, to: SocketAddr, packet: &Packet) {
        self.send_sealed(to, &self.sealer.seal(packet)).await;
    }

    async fn send_sealed(&self, to: SocketAddr, datagram: &[u8]) {
        if let Err(error) = self.socket.send_to(datagram, to).await {
            event!(debug, "datagram_failed", peer = to, reason = error);
        }
    }

    /// Tells the VMs that follow this one of each change, until the process ends.
    pub(in crate::gateway::world) async fn tell(&self) {
        let mut world = self.worlds.subscribe();
        let mut told = (Offset(0), 0);
        while world.changed().await.is_ok() {
            let newest = {
                let world = world.borrow_and_update();
                let version = world.config_version();
                (world.changes.newest_offset(), version)
            };
            let before = std::mem::replace(&mut told, newest);
            // The first directory, or a copy, is nothing to tell: whoever follows asks for it.
            if newest == before || before.0 == Offset(0) {
                continue;
            }
            let news = self.news(before.0);
            if news.changes.is_none() {
                // Too many to tell each VM: they take a copy when they ask.
                continue;
            }
            let datagram = self.sealer.seal(&Packet::News { number: 0, news });
            let followers: Vec<_> = self.followers.borrow().keys().copied().collect();
            for follower in followers {
                self.send_sealed(follower, &datagram).await;
            }
        }
    }
}
