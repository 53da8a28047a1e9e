//! Answers other VMs' requests for directory changes, and pushes new changes to the VMs that follow this one.

use super::wire::{News, Packet};
use super::{FOLLOWER_TIMEOUT_PERIODS, MAX_RELAYED_CHANGES, Relay};
use crate::gateway::world::directory::Change;
use crate::id::Offset;
use crate::member::MAX_DATAGRAM_BYTES;
use crate::telemetry::event;
use std::net::SocketAddr;
use tokio::time::Instant;

/// Bytes of a datagram reserved for everything but the changes.
const NON_CHANGE_BYTES: usize = 160;

impl Relay {
    /// Handles incoming datagrams until the process ends.
    pub(in crate::gateway::world) async fn receive(&self) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES + 1];
        loop {
            let Ok((size, from)) = self.socket.recv_from(&mut buffer).await else {
                continue;
            };
            match self.sealer.open(&buffer[..size]) {
                Some(Packet::Ask { number, as_of }) => self.answer(from, number, as_of).await,
                Some(Packet::News { number: 0, news }) => {
                    self.apply_news(&news, Instant::now(), false);
                }
                Some(Packet::News { number, news }) => {
                    let request = self.pending_requests.borrow_mut().remove(&number);
                    // The request may have timed out.
                    drop(request.map(|request| request.send(news)));
                }
                None => event!(warn, "datagram_refused", from = from, bytes = size),
            }
        }
    }

    async fn answer(&self, from: SocketAddr, number: u64, as_of: Offset) {
        self.note_follower(from, Instant::now());
        let news = self.news_since(as_of);
        self.send(from, &Packet::News { number, news }).await;
    }

    fn note_follower(&self, follower: SocketAddr, now: Instant) {
        let mut followers = self.followers.borrow_mut();
        followers.retain(|_, asked_at| *asked_at + self.period * FOLLOWER_TIMEOUT_PERIODS > now);
        followers.insert(follower, now);
    }

    /// Returns the changes after an offset, as many as fit in a datagram.
    fn news_since(&self, since: Offset) -> News {
        let routing = self.routing.borrow();
        let mut remaining_bytes = MAX_DATAGRAM_BYTES - NON_CHANGE_BYTES;
        let fits = |change: &Change| {
            let size = rmp_serde::to_vec(change).map_or(MAX_DATAGRAM_BYTES, |bytes| bytes.len());
            let left = remaining_bytes.checked_sub(size);
            remaining_bytes = left.unwrap_or(0);
            left.is_some()
        };
        let can_send = routing.changes.count_after(since) <= MAX_RELAYED_CHANGES;
        let part = can_send
            .then(|| routing.changes.after(since, fits))
            .flatten();
        let complete = part.as_ref().is_none_or(|part| part.complete);
        let age = routing
            .directory_confirmed_at
            .filter(|_| routing.directory_loaded)
            .map(|at| at.elapsed());
        News {
            since,
            until: part
                .as_ref()
                .filter(|part| !part.complete)
                .map_or(routing.directory_offset, |part| part.end),
            age_ms: age.map(|age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX)),
            has_store: self.has_store.get(),
            digest: complete.then(|| routing.directory.digest()),
            changes: part.map(|part| part.changes),
            config: routing.config_version(),
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

    /// Pushes each change to the VMs that follow this one, until the process ends.
    pub(in crate::gateway::world) async fn tell(&self) {
        let mut routing_updates = self.routing.subscribe();
        let mut pushed = (Offset(0), 0);
        while routing_updates.changed().await.is_ok() {
            let newest = {
                let routing = routing_updates.borrow_and_update();
                let config_version = routing.config_version();
                (routing.changes.newest_offset(), config_version)
            };
            let before = std::mem::replace(&mut pushed, newest);
            // The first directory is not pushed: followers request it.
            if newest == before || before.0 == Offset(0) {
                continue;
            }
            let news = self.news_since(before.0);
            if news.changes.is_none() {
                // Too many changes to push: followers take a copy after their next request.
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
