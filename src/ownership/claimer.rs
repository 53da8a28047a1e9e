//! When to claim a shard: after the view has lacked its owner for a while, in rendezvous order.

use crate::id::{Epoch, Shard, Vm, rendezvous_score};
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::Instant;

/// How long a shard lacks an owner before the first in rank claims it.
const GRACE: Duration = Duration::from_millis(400);
/// How much longer each next in rank waits.
const RANK_WAIT: Duration = Duration::from_millis(600);
/// How long a member must have been seen, without a break, before shards are handed over to it.
const STEADY: Duration = Duration::from_secs(30);
/// Time between two shards that one VM hands over to even out the load.
const HANDOVER: Duration = Duration::from_secs(5);
/// How long a claim is given to appear in the stream before it is made again.
const CLAIM_WAIT: Duration = Duration::from_secs(3);

/// A member of the view that says it owns shards.
#[derive(Debug, Clone)]
pub struct Sighting {
    /// The member.
    pub vm: Vm,
    /// Whether it may claim: it is ready and not stopping.
    pub eligible: bool,
    /// The shards it says it owns, with the epochs of its claims.
    pub held: Vec<(Shard, Epoch)>,
}

/// Decides when this VM claims a shard.
///
/// A wrong decision costs an append and a takeover, never a result: the log orders the claims.
#[derive(Debug)]
pub struct Claimer {
    me: Vm,
    shards: u64,
    lacking: BTreeMap<Shard, Instant>,
    claimed: BTreeMap<Shard, Instant>,
    /// Since when each member has been seen to be eligible without a break.
    steady: BTreeMap<Vm, Instant>,
    handed: Option<Instant>,
}

impl Claimer {
    /// A claimer for `me` over `shards` shards.
    ///
    /// ```
    /// let claimer = vanillatrail::ownership::Claimer::new("vm-a".parse().unwrap(), 16);
    /// assert!(format!("{claimer:?}").contains("vm-a"));
    /// ```
    #[must_use]
    pub fn new(me: Vm, shards: u64) -> Self {
        Self {
            me,
            shards,
            lacking: BTreeMap::new(),
            claimed: BTreeMap::new(),
            steady: BTreeMap::new(),
            handed: None,
        }
    }

    /// The shards to claim now, given what the members say, `me` among them.
    ///
    /// ```
    /// use vanillatrail::ownership::Claimer;
    /// let mut claimer = Claimer::new("vm-a".parse().unwrap(), 1);
    /// assert!(claimer.due(tokio::time::Instant::now(), &[]).is_empty());
    /// ```
    pub fn due(&mut self, now: Instant, members: &[Sighting]) -> Vec<Shard> {
        let held: std::collections::BTreeSet<Shard> = members
            .iter()
            .flat_map(|member| member.held.iter().map(|(shard, _)| *shard))
            .collect();
        let mut due = Vec::new();
        for shard in (0..self.shards).map(Shard) {
            if held.contains(&shard) {
                self.lacking.remove(&shard);
                self.claimed.remove(&shard);
                continue;
            }
            let since = *self.lacking.entry(shard).or_insert(now);
            let Some(rank) = self.rank(shard, members) else {
                continue;
            };
            let wait = GRACE + RANK_WAIT * u32::try_from(rank).unwrap_or(u32::MAX);
            let waiting = self
                .claimed
                .get(&shard)
                .is_some_and(|at| now - *at < CLAIM_WAIT);
            if now - since >= wait && !waiting {
                self.claimed.insert(shard, now);
                due.push(shard);
            }
        }
        due
    }

    /// The shard to hand over now, and to whom; `idle` tells which shards have nothing under way.
    ///
    /// Ownership is sticky: a shard moves only from a VM that has more than its even share to one
    /// that has less, one at a time with a pause between. A member counts only after it has been
    /// seen for a while without a break, so one that comes and goes moves nothing; each move would
    /// cost callers of the shard the time of a takeover.
    ///
    /// ```
    /// use vanillatrail::ownership::Claimer;
    /// let mut claimer = Claimer::new("vm-a".parse().unwrap(), 1);
    /// assert!(claimer.spare(tokio::time::Instant::now(), &[], |_| true).is_none());
    /// ```
    pub fn spare(
        &mut self,
        now: Instant,
        members: &[Sighting],
        idle: impl Fn(Shard) -> bool,
    ) -> Option<(Shard, Vm)> {
        let eligible = || members.iter().filter(|member| member.eligible);
        self.steady
            .retain(|vm, _| eligible().any(|member| member.vm == *vm));
        for member in eligible() {
            self.steady.entry(member.vm.clone()).or_insert(now);
        }
        if self.handed.is_some_and(|at| now - at < HANDOVER) {
            return None;
        }
        let even = self.shards.div_ceil(eligible().count().max(1) as u64);
        let mine = &eligible().find(|member| member.vm == self.me)?.held;
        if mine.len() as u64 <= even {
            return None;
        }
        let (shard, _) = mine.iter().find(|(shard, _)| idle(*shard))?;
        let takers = eligible().filter(|member| {
            now - self.steady[&member.vm] >= STEADY && (member.held.len() as u64) < even
        });
        let key = format!("shard/{shard}");
        let taker = takers.max_by_key(|member| rendezvous_score(&key, member.vm.as_str()))?;
        self.handed = Some(now);
        Some((*shard, taker.vm.clone()))
    }

    fn rank(&self, shard: Shard, members: &[Sighting]) -> Option<usize> {
        let key = format!("shard/{shard}");
        let score = |vm: &Vm| (rendezvous_score(&key, vm.as_str()), vm.clone());
        let mine = score(&self.me);
        let mut eligible = members.iter().filter(|member| member.eligible).peekable();
        eligible.clone().find(|member| member.vm == self.me)?;
        Some(
            eligible
                .by_ref()
                .filter(|member| score(&member.vm) > mine)
                .count(),
        )
    }
}
