//! Anti-entropy: two members exchange digests by bucket, then the contents of differing buckets.

use super::gossip::{Action, Gossip};
use super::wire::{Digest, ENVELOPE_BYTES, Kind, MAX_DATAGRAM_BYTES, Profile, Update};
use crate::id::Vm;
use rand::RngExt;
use std::net::SocketAddr;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

/// Buckets of members, and also of claims by owner.
const BUCKET_COUNT: usize = 64;
/// Datagrams with contents that one side of an exchange sends at most.
const MAX_DATAGRAMS_PER_SIDE: usize = 3;
/// Number of differing buckets above which the next exchange starts sooner.
const FAST_SYNC_THRESHOLD: usize = 4;

impl Gossip {
    /// Sends a digest to the member at `to`, if the byte budget allows.
    pub(super) fn start_sync(&mut self, now: Instant, to: SocketAddr) -> Option<Action> {
        let salt = self.rng.random();
        let digest = self.digest(now, salt);
        self.try_spend_bytes(MAX_DATAGRAM_BYTES / 2)
            .then(|| self.send_action(to, Kind::Digest(digest), Vec::new()))
    }

    /// Answers a digest with this side's contents of the differing buckets.
    pub(super) fn answer_digest(
        &mut self,
        now: Instant,
        from: SocketAddr,
        theirs: &Digest,
    ) -> Vec<Action> {
        let mine = self.digest(now, theirs.salt);
        let members = differing_buckets(&mine.members, &theirs.members);
        let claims = differing_buckets(&mine.claims, &theirs.claims);
        if members.is_empty() && claims.is_empty() && mine.leaving == theirs.leaving {
            return Vec::new();
        }
        self.many_differences |= members.len() + claims.len() > FAST_SYNC_THRESHOLD;
        let mut datagrams = self.collect_updates(now, &members, &claims);
        if datagrams.is_empty() {
            datagrams.push(Vec::new());
        }
        let differ = Kind::Differ { members, claims };
        let first = self.send_action(from, differ, datagrams.remove(0));
        let rest = datagrams.into_iter();
        let rest = rest.map(|updates| self.send_action(from, Kind::Contents, updates));
        std::iter::once(first).chain(rest).collect()
    }

    /// Ends an exchange with this side's contents of the differing buckets.
    pub(super) fn answer_difference(
        &mut self,
        now: Instant,
        from: SocketAddr,
        members: &[u8],
        claims: &[u8],
    ) -> Vec<Action> {
        self.many_differences |= members.len() + claims.len() > FAST_SYNC_THRESHOLD;
        let datagrams = self.collect_updates(now, members, claims).into_iter();
        datagrams
            .map(|updates| self.send_action(from, Kind::Contents, updates))
            .collect()
    }

    /// Contents of the given buckets, from a random one on, in a bounded number of datagrams.
    fn collect_updates(&mut self, now: Instant, members: &[u8], claims: &[u8]) -> Vec<Vec<Update>> {
        let mut profile_updates: Vec<Vec<Update>> = vec![Vec::new(); BUCKET_COUNT];
        for record in self.roster.records.values() {
            profile_updates[bucket_of(&record.profile.vm)].push(record.profile_update());
        }
        let mut claim_updates: Vec<Vec<Update>> = vec![Vec::new(); BUCKET_COUNT];
        for (shard, claim) in &self.shared.shards {
            Update::push_merged(
                &mut claim_updates[bucket_of(&claim.vm)],
                claim.to_update(*shard),
            );
        }
        let draining = self.shared.draining_servers(now);
        let draining = draining.iter();
        let mut updates: Vec<Update> = draining
            .filter_map(|server| self.shared.draining_update(now, server))
            .collect();
        // Members and claims alternate by bucket, so that many members don't crowd out the claims.
        let start = self.rng.random_range(0..BUCKET_COUNT);
        for index in (start..BUCKET_COUNT).chain(0..start) {
            let is_requested =
                |buckets: &[u8]| buckets.iter().any(|bucket| usize::from(*bucket) == index);
            if is_requested(members) {
                updates.append(&mut profile_updates[index]);
            }
            if is_requested(claims) {
                updates.append(&mut claim_updates[index]);
            }
        }
        self.split_into_datagrams(updates)
    }

    fn split_into_datagrams(&mut self, updates: Vec<Update>) -> Vec<Vec<Update>> {
        // The first datagram also lists the differing buckets.
        let capacity = |index: usize| {
            MAX_DATAGRAM_BYTES - ENVELOPE_BYTES - if index == 0 { 2 * BUCKET_COUNT } else { 0 }
        };
        let mut datagrams: Vec<Vec<Update>> = Vec::new();
        let mut free_bytes = 0;
        for update in updates {
            let size = update.size();
            if size > free_bytes {
                if datagrams.len() == MAX_DATAGRAMS_PER_SIDE {
                    break;
                }
                free_bytes = capacity(datagrams.len());
                datagrams.push(Vec::new());
            }
            if !self.try_spend_bytes(size) {
                break;
            }
            free_bytes = free_bytes.saturating_sub(size);
            if let Some(last) = datagrams.last_mut() {
                last.push(update);
            }
        }
        datagrams
    }

    fn digest(&self, now: Instant, salt: u16) -> Digest {
        let mut members = vec![0; BUCKET_COUNT];
        for record in self.roster.live() {
            let Profile { vm, version, .. } = &record.profile;
            let text = format!("{salt}/{vm}/{}/{version}", record.incarnation);
            members[bucket_of(vm)] ^= hash16(&text);
        }
        let mut claims = vec![0; BUCKET_COUNT];
        for (shard, claim) in &self.shared.shards {
            let text = format!("{salt}/{shard}/{}/{}", claim.epoch, claim.released);
            claims[bucket_of(&claim.vm)] ^= hash16(&text);
        }
        let announced = self.shared.draining_serials(now);
        let leaving = announced.fold(0, |sum, (server, serial)| {
            sum ^ hash16(&format!("{salt}/{server}/{serial}"))
        });
        Digest {
            salt,
            members,
            claims,
            leaving,
        }
    }
}

fn differing_buckets(mine: &[u16], theirs: &[u16]) -> Vec<u8> {
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
fn hash16(text: &str) -> u16 {
    xxh3_64(text.as_bytes()) as u16
}

#[expect(clippy::cast_possible_truncation, reason = "the remainder is small")]
fn bucket_of(vm: &Vm) -> usize {
    (xxh3_64(vm.as_str().as_bytes()) % BUCKET_COUNT as u64) as usize
}
