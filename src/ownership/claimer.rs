//! When a VM claims a shard without an owner, or hands one over to balance the load.

use crate::id::{Epoch, Shard, Vm, rendezvous_score};
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::Instant;

/// How long a shard has no owner in the view before the first VM in rendezvous order claims it.
const OWNERLESS_TIMEOUT: Duration = Duration::from_millis(400);
/// Additional wait per rank of the other VMs.
const WAIT_PER_RANK: Duration = Duration::from_millis(600);
/// How long a member must have been eligible without interruption to be handed a shard.
const MIN_ELIGIBLE_TIME: Duration = Duration::from_secs(30);
/// Least time between two handovers by one VM to balance the load.
const HANDOVER_INTERVAL: Duration = Duration::from_secs(5);
/// How long a VM waits for its claim to appear in the stream before it claims again.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(3);

/// A member of the view, with the shards that it claims to own.
#[derive(Debug, Clone)]
pub struct Claims {
    /// Name of the member.
    pub vm: Vm,
    /// Whether the member may own shards: it is ready and not stopping.
    pub eligible: bool,
    /// Shards that the member says it owns, with the epochs of its claims.
    pub owned: Vec<(Shard, Epoch)>,
}

/// Decides when this VM claims shards and hands them over.
///
/// A wrong decision only costs an append and a takeover: the log decides which claim is valid.
#[derive(Debug)]
pub struct Claimer {
    me: Vm,
    shards: u64,
    ownerless_since: BTreeMap<Shard, Instant>,
    claimed_at: BTreeMap<Shard, Instant>,
    /// Since when each member has been eligible without interruption.
    eligible_since: BTreeMap<Vm, Instant>,
    last_handover: Option<Instant>,
}

impl Claimer {
    /// A claimer on the VM `me`, for shards numbered from zero up to `shards`.
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
            ownerless_since: BTreeMap::new(),
            claimed_at: BTreeMap::new(),
            eligible_since: BTreeMap::new(),
            last_handover: None,
        }
    }

    /// The shards that this VM should claim at `now`; `members` must include this VM.
    ///
    /// ```
    /// use vanillatrail::ownership::Claimer;
    /// let mut claimer = Claimer::new("vm-a".parse().unwrap(), 1);
    /// assert!(claimer.shards_to_claim(tokio::time::Instant::now(), &[]).is_empty());
    /// ```
    pub fn shards_to_claim(&mut self, now: Instant, members: &[Claims]) -> Vec<Shard> {
        let owned: std::collections::BTreeSet<Shard> = members
            .iter()
            .flat_map(|member| member.owned.iter().map(|(shard, _)| *shard))
            .collect();
        let mut to_claim = Vec::new();
        for shard in (0..self.shards).map(Shard) {
            if owned.contains(&shard) {
                self.ownerless_since.remove(&shard);
                self.claimed_at.remove(&shard);
                continue;
            }
            let since = *self.ownerless_since.entry(shard).or_insert(now);
            let Some(rank) = self.rank(shard, members) else {
                continue;
            };
            let wait = OWNERLESS_TIMEOUT + WAIT_PER_RANK * u32::try_from(rank).unwrap_or(u32::MAX);
            let claim_pending = self
                .claimed_at
                .get(&shard)
                .is_some_and(|at| now - *at < CLAIM_TIMEOUT);
            if now - since >= wait && !claim_pending {
                self.claimed_at.insert(shard, now);
                to_claim.push(shard);
            }
        }
        to_claim
    }

    /// The shard to hand over at `now` and the VM that should take it over, if any. `idle` says
    /// whether a shard has no work in flight.
    ///
    /// Each move costs the callers of the shard the time of a takeover. So a shard moves only from a
    /// VM with more than its even share to one with less, one at a time, and only to a member that
    /// has been eligible for some time: unstable members cause no moves.
    ///
    /// ```
    /// use vanillatrail::ownership::Claimer;
    /// let mut claimer = Claimer::new("vm-a".parse().unwrap(), 1);
    /// assert!(claimer.shard_to_hand_over(tokio::time::Instant::now(), &[], |_| true).is_none());
    /// ```
    pub fn shard_to_hand_over(
        &mut self,
        now: Instant,
        members: &[Claims],
        idle: impl Fn(Shard) -> bool,
    ) -> Option<(Shard, Vm)> {
        let eligible = || members.iter().filter(|member| member.eligible);
        self.eligible_since
            .retain(|vm, _| eligible().any(|member| member.vm == *vm));
        for member in eligible() {
            self.eligible_since.entry(member.vm.clone()).or_insert(now);
        }
        if self
            .last_handover
            .is_some_and(|at| now - at < HANDOVER_INTERVAL)
        {
            return None;
        }
        let even_share = self.shards.div_ceil(eligible().count().max(1) as u64);
        let own_shards = &eligible().find(|member| member.vm == self.me)?.owned;
        if own_shards.len() as u64 <= even_share {
            return None;
        }
        let (shard, _) = own_shards.iter().find(|(shard, _)| idle(*shard))?;
        let recipients = eligible().filter(|member| {
            now - self.eligible_since[&member.vm] >= MIN_ELIGIBLE_TIME
                && (member.owned.len() as u64) < even_share
        });
        let key = format!("shard/{shard}");
        let recipient =
            recipients.max_by_key(|member| rendezvous_score(&key, member.vm.as_str()))?;
        self.last_handover = Some(now);
        Some((*shard, recipient.vm.clone()))
    }

    fn rank(&self, shard: Shard, members: &[Claims]) -> Option<usize> {
        let key = format!("shard/{shard}");
        let score = |vm: &Vm| (rendezvous_score(&key, vm.as_str()), vm.clone());
        let own_score = score(&self.me);
        let mut eligible = members.iter().filter(|member| member.eligible).peekable();
        eligible.clone().find(|member| member.vm == self.me)?;
        Some(
            eligible
                .by_ref()
                .filter(|member| score(&member.vm) > own_score)
                .count(),
        )
    }
}
