//! The exchange of what differs between two members, by digests of buckets.

use super::gossip::{Action, Gossip};
use super::wire::{DATAGRAM, Digest, ENVELOPE, Kind, News, Profile};
use crate::id::Vm;
use rand::RngExt;
use std::net::SocketAddr;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

/// Buckets of members, and of claims by owner.
const BUCKETS: usize = 64;
/// Datagrams with contents that one side of an exchange sends.
const DATAGRAMS: usize = 3;
/// Differing buckets above which the next exchange comes sooner.
const MANY: usize = 4;

impl Gossip {
    /// Starts an exchange with the member at `to`.
    pub(super) fn sync(&mut self, now: Instant, to: SocketAddr) -> Option<Action> {
        let salt = self.rng.random();
        let digest = self.digest(now, salt);
        self.spend(DATAGRAM / 2)
            .then(|| self.send(to, Kind::Digest(digest), Vec::new()))
    }

    /// Answers a digest with what differs.
    pub(super) fn compare(
        &mut self,
        now: Instant,
        from: SocketAddr,
        theirs: &Digest,
    ) -> Vec<Action> {
        let mine = self.digest(now, theirs.salt);
        let members = differing(&mine.members, &theirs.members);
        let claims = differing(&mine.claims, &theirs.claims);
        if members.is_empty() && claims.is_empty() && mine.leaving == theirs.leaving {
            return Vec::new();
        }
        self.behind |= members.len() + claims.len() > MANY;
        let mut datagrams = self.collect(now, &members, &claims);
        if datagrams.is_empty() {
            datagrams.push(Vec::new());
        }
        let differ = Kind::Differ { members, claims };
        let first = self.send(from, differ, datagrams.remove(0));
        let rest = datagrams.into_iter();
        let rest = rest.map(|news| self.send(from, Kind::Contents, news));
        std::iter::once(first).chain(rest).collect()
    }

    /// Answers with this side's contents of the buckets that differ.
    pub(super) fn contents(
        &mut self,
        now: Instant,
        from: SocketAddr,
        members: &[u8],
        claims: &[u8],
    ) -> Vec<Action> {
        self.behind |= members.len() + claims.len() > MANY;
        let datagrams = self.collect(now, members, claims).into_iter();
        datagrams
            .map(|news| self.send(from, Kind::Contents, news))
            .collect()
    }

    /// What is known in the given buckets, from a random one on, in a bounded number of datagrams.
    fn collect(&mut self, now: Instant, members: &[u8], claims: &[u8]) -> Vec<Vec<News>> {
        let mut profiles: Vec<Vec<News>> = vec![Vec::new(); BUCKETS];
        for record in self.roster.records.values() {
            profiles[bucket(&record.profile.vm)].push(record.full());
        }
        let mut owned: Vec<Vec<News>> = vec![Vec::new(); BUCKETS];
        for (shard, hint) in &self.hints.shards {
            News::join(&mut owned[bucket(&hint.vm)], hint.news(*shard));
        }
        let leaving = self.hints.servers(now);
        let leaving = leaving.iter();
        let mut news: Vec<News> = leaving
            .filter_map(|server| self.hints.leaving_news(now, server))
            .collect();
        // The two kinds take turns, or a long list of members would keep every claim away.
        let start = self.rng.random_range(0..BUCKETS);
        for index in (start..BUCKETS).chain(0..start) {
            let named = |buckets: &[u8]| buckets.iter().any(|name| usize::from(*name) == index);
            if named(members) {
                news.append(&mut profiles[index]);
            }
            if named(claims) {
                news.append(&mut owned[index]);
            }
        }
        self.split(news)
    }

    fn split(&mut self, news: Vec<News>) -> Vec<Vec<News>> {
        // The first datagram also lists the buckets.
        let room = |index: usize| DATAGRAM - ENVELOPE - if index == 0 { 2 * BUCKETS } else { 0 };
        let mut datagrams: Vec<Vec<News>> = Vec::new();
        let mut left = 0;
        for news in news {
            let size = news.size();
            if size > left {
                if datagrams.len() == DATAGRAMS {
                    break;
                }
                left = room(datagrams.len());
                datagrams.push(Vec::new());
            }
            if !self.spend(size) {
                break;
            }
            left = left.saturating_sub(size);
            if let Some(last) = datagrams.last_mut() {
                last.push(news);
            }
        }
        datagrams
    }

    fn digest(&self, now: Instant, salt: u16) -> Digest {
        let mut members = vec![0; BUCKETS];
        for record in self.roster.live() {
            let Profile { vm, version, .. } = &record.profile;
            let text = format!("{salt}/{vm}/{}/{version}", record.incarnation);
            members[bucket(vm)] ^= short(&text);
        }
        let mut claims = vec![0; BUCKETS];
        for (shard, hint) in &self.hints.shards {
            let text = format!("{salt}/{shard}/{}/{}", hint.epoch, hint.released);
            claims[bucket(&hint.vm)] ^= short(&text);
        }
        let announced = self.hints.announced(now);
        let leaving = announced.fold(0, |sum, (server, serial)| {
            sum ^ short(&format!("{salt}/{server}/{serial}"))
        });
        Digest {
            salt,
            members,
            claims,
            leaving,
        }
    }
}

fn differing(mine: &[u16], theirs: &[u16]) -> Vec<u8> {
    let pairs = mine.iter().zip(theirs).enumerate();
    pairs
        .filter(|(_, (mine, theirs))| mine != theirs)
        .filter_map(|(bucket, _)| u8::try_from(bucket).ok())
        .collect()
}

#[expect(
    clippy::cast_possible_truncation,
    reason = "a part of the hash is enough"
)]
fn short(text: &str) -> u16 {
    xxh3_64(text.as_bytes()) as u16
}

#[expect(clippy::cast_possible_truncation, reason = "the remainder is small")]
fn bucket(vm: &Vm) -> usize {
    (xxh3_64(vm.as_str().as_bytes()) % BUCKETS as u64) as usize
}
