//! Claims, handover and release of shards.

use super::duty::Owner;
use crate::id::{Epoch, Shard, Vm};
use crate::journal::Body;
use crate::ownership::Claims;
use crate::telemetry::event;
use tokio::time::Instant;

/// Times that this VM leaves the claim of a shard to other VMs while it misses records of the shard: another VM
/// may have read all of them.
const MAX_SKIPPED_CLAIMS: u32 = 2;

impl Owner {
    /// Claims the shards that were released to this VM or had no owner for a while, and hands over a shard to
    /// balance the load.
    pub(super) fn claim_shards(&self) {
        // Only once ready: a starting VM has no configuration yet, and reads releases in the log that
        // others have long since claimed.
        if self.context.announcement.borrow().ready {
            for shard in self.take_offered() {
                self.append_claim(shard);
            }
        }
        let members: Vec<Claims> = {
            let view = self.context.view.borrow();
            let members = view.members.values().map(|member| Claims {
                vm: member.vm.clone(),
                eligible: member.ready && !member.suspect,
                owned: if member.vm == self.context.vm {
                    self.context.announcement.borrow().owned.clone()
                } else {
                    member.owned.clone()
                },
            });
            members.collect()
        };
        let due = self
            .claimer
            .borrow_mut()
            .shards_to_claim(Instant::now(), &members);
        let others = members
            .iter()
            .any(|member| member.eligible && member.vm != self.context.vm);
        for shard in due {
            if !(others && self.skips_claim(shard)) {
                self.append_claim(shard);
            }
        }
        let mut claimer = self.claimer.borrow_mut();
        let handover =
            claimer.shard_to_hand_over(Instant::now(), &members, |shard| self.is_idle(shard));
        if let Some((shard, successor)) = handover {
            self.hand_over(shard, Some(successor));
        }
    }

    /// Whether a shard is owned, not being handed over, and has no call in progress.
    fn is_idle(&self, shard: Shard) -> bool {
        let shards = self.shards.borrow();
        let state = shards.get(&shard);
        let may_move = state.is_some_and(|state| state.epoch.is_some() && !state.releasing);
        let runs = self.runs.borrow();
        may_move && !runs.values().any(|run| run.program.shard() == shard)
    }

    /// Releases a shard to a successor; retried by a later tick if the journal's queue is full.
    fn hand_over(&self, shard: Shard, successor: Option<Vm>) {
        let epoch = self
            .shards
            .borrow()
            .get(&shard)
            .and_then(|state| state.epoch);
        let Some(epoch) = epoch else { return };
        let submitted = self.submit(shard, epoch, Body::Release { successor });
        if let Err(failure) = &submitted {
            event!(warn, "release_failed", shard = shard, reason = failure);
        }
        if let Some(state) = self.shards.borrow_mut().get_mut(&shard) {
            state.releasing = submitted.is_ok();
        }
    }

    /// Whether to leave the claim to other VMs, which may have read the records that this VM misses.
    fn skips_claim(&self, shard: Shard) -> bool {
        let mut shards = self.shards.borrow_mut();
        let state = shards.entry(shard).or_default();
        state.skipped_claims += u32::from(state.gap);
        state.gap && state.skipped_claims <= MAX_SKIPPED_CLAIMS
    }

    /// Shards that were released to this VM since the last call.
    fn take_offered(&self) -> Vec<Shard> {
        let mut shards = self.shards.borrow_mut();
        let offered = shards
            .iter_mut()
            .filter_map(|(shard, state)| std::mem::take(&mut state.offered).then_some(*shard));
        offered.collect()
    }

    pub(super) fn append_claim(&self, shard: Shard) {
        if let Err(failure) = self.submit(shard, Epoch::default(), Body::Claim) {
            event!(warn, "claim_failed", shard = shard, reason = failure);
        }
    }

    /// Hands over each idle shard; `true` once this VM owns none.
    pub(super) fn release_shards(&self) -> bool {
        let shards = self.shards.borrow();
        let owned = shards.iter().filter(|(_, state)| state.epoch.is_some());
        let owned: Vec<Shard> = owned.map(|(shard, _)| *shard).collect();
        drop(shards);
        for shard in owned.iter().filter(|shard| self.is_idle(**shard)) {
            self.hand_over(*shard, self.successor(*shard));
        }
        owned.is_empty()
    }

    fn successor(&self, shard: Shard) -> Option<Vm> {
        let mut view = self.context.view.borrow().as_ref().clone();
        view.members.remove(&self.context.vm);
        view.preferred_member(&format!("shard/{shard}"))
            .map(|member| member.vm.clone())
    }
}
