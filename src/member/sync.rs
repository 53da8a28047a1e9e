//! The exchange of what differs between two members, by digests of buckets.

use super::gossip::{Action, Gossip};
use super::roster::Record;
use super::wire::{DATAGRAM, Digest, ENVELOPE, Kind, News};
use crate::id::Shard;
use rand::RngExt;
use std::net::SocketAddr;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

/// Buckets of members, and of shards.
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
        let shards = differing(&mine.shards, &theirs.shards);
        let leaving = mine.leaving != theirs.leaving;
        if members.is_empty() && shards.is_empty() && !leaving {
            return Vec::new();
        }
        self.behind |= members.len() > MANY;
        let mut datagrams = self.collect(now, &members, &shards);
        if datagrams.is_empty() {
            datagrams.push(Vec::new());
        }
        let differ = |members: &[u8], shards: &[u8]| Kind::Differ {
            members: members.to_vec(),
            shards: shards.to_vec(),
        };
        let first = self.send(from, differ(&members, &shards), datagrams.remove(0));
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
        shards: &[u8],
    ) -> Vec<Action> {
        self.behind |= members.len() > MANY;
        let datagrams = self.collect(now, members, shards).into_iter();
        datagrams
            .map(|news| self.send(from, Kind::Contents, news))
            .collect()
    }

    /// What is known in the given buckets, from a random one on, in a bounded number of datagrams.
    fn collect(&mut self, now: Instant, members: &[u8], shards: &[u8]) -> Vec<Vec<News>> {
        let mut news: Vec<News> = Vec::new();
        let leaving: Vec<_> = self
            .hints
            .announced(now)
            .map(|(server, _)| server)
            .collect();
        news.extend(
            leaving
                .iter()
                .filter_map(|server| self.hints.leaving_news(now, server)),
        );
        let skip = self.rng.random_range(0..BUCKETS);
        let turned = |buckets: &[u8]| {
            let mut buckets = buckets.to_vec();
            let count = buckets.len();
            buckets.rotate_left(skip % count.max(1));
            buckets
        };
        let mut of_members: Vec<Vec<News>> = vec![Vec::new(); BUCKETS];
        for record in self.roster.records.values() {
            of_members[bucket_of(record)].push(record.full());
        }
        let mut of_shards: Vec<Vec<News>> = vec![Vec::new(); BUCKETS];
        for shard in self.hints.shards.keys() {
            of_shards[bucket_of_shard(*shard)].extend(self.hints.claim_news(*shard));
        }
        // The two kinds take turns, or a long list of members would keep every claim away.
        let mut members = turned(members).into_iter();
        let mut shards = turned(shards).into_iter();
        loop {
            let (member, shard) = (members.next(), shards.next());
            if member.is_none() && shard.is_none() {
                break;
            }
            for (bucket, of) in [(member, &mut of_members), (shard, &mut of_shards)] {
                if let Some(of) = bucket.and_then(|bucket| of.get_mut(usize::from(bucket))) {
                    news.append(of);
                }
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
                if datagrams.len() == DATAGRAMS || !self.spend(DATAGRAM) {
                    break;
                }
                left = room(datagrams.len());
                datagrams.push(Vec::new());
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
            let Record {
                profile,
                incarnation,
                ..
            } = record;
            let text = format!("{salt}/{}/{incarnation}/{}", profile.vm, profile.version);
            members[bucket_of(record)] ^= short(&text);
        }
        let mut shards = vec![0; BUCKETS];
        for (shard, hint) in &self.hints.shards {
            let text = format!("{salt}/{shard}/{}/{}", hint.epoch, hint.released);
            shards[bucket_of_shard(*shard)] ^= short(&text);
        }
        let announced = self.hints.announced(now);
        let leaving = announced.fold(0, |sum, (server, serial)| {
            sum ^ short(&format!("{salt}/{server}/{serial}"))
        });
        Digest {
            salt,
            members,
            shards,
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

#[expect(
    clippy::cast_possible_truncation,
    reason = "a part of the hash is enough"
)]
fn bucket_of(record: &Record) -> usize {
    xxh3_64(record.profile.vm.as_str().as_bytes()) as usize % BUCKETS
}

#[expect(clippy::cast_possible_truncation, reason = "the remainder is small")]
fn bucket_of_shard(shard: Shard) -> usize {
    (shard.0 % BUCKETS as u64) as usize
}
