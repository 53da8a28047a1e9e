//! Which shards this VM holds: claims, hand-over and release.

use super::duty::Owner;
use crate::id::{Epoch, Shard, Vm};
use crate::journal::Body;
use crate::ownership::Sighting;
use crate::telemetry::event;
use tokio::time::Instant;

/// Claims of a shard with a gap that are left to other VMs, so that nobody is answered with the
/// gap while there is a VM without one.
const LEFT: u32 = 2;

impl Owner {
    /// Claims what has been released to this VM, and what has lacked an owner for a while.
    pub(super) fn claim(&self) {
        // Only once ready: a VM that starts reads old offers in the log, long since taken by
        // others, and has no configuration yet to serve programs with.
        if self.context.announcement.borrow().ready {
            for shard in self.offered() {
                self.append_claim(shard);
            }
        }
        let sightings: Vec<Sighting> = {
            let view = self.context.view.borrow();
            let members = view.members.values().map(|member| Sighting {
                vm: member.vm.clone(),
                eligible: member.ready && !member.suspect,
                held: if member.vm == self.context.vm {
                    self.context.announcement.borrow().held.clone()
                } else {
                    member.held.clone()
                },
            });
            members.collect()
        };
        let due = self.claimer.borrow_mut().due(Instant::now(), &sightings);
        let others = sightings
            .iter()
            .any(|member| member.eligible && member.vm != self.context.vm);
        for shard in due {
            if !(others && self.leaves(shard)) {
                self.append_claim(shard);
            }
        }
        let mut claimer = self.claimer.borrow_mut();
        let spare = claimer.spare(Instant::now(), &sightings, |shard| self.idle(shard));
        if let Some((shard, successor)) = spare {
            self.hand_over(shard, Some(successor));
        }
    }

    /// Whether nothing of a shard is under way and it is not being handed over.
    fn idle(&self, shard: Shard) -> bool {
        let shards = self.shards.borrow();
        let held = shards.get(&shard);
        let stays = held.is_some_and(|held| held.epoch.is_some() && !held.leaving);
        let runs = self.runs.borrow();
        stays && !runs.values().any(|run| run.program.shard() == shard)
    }

    /// Releases a shard in favour of a successor; with the journal's queue full, a later tick
    /// tries again.
    fn hand_over(&self, shard: Shard, successor: Option<Vm>) {
        let epoch = self.shards.borrow().get(&shard).and_then(|held| held.epoch);
        let Some(epoch) = epoch else { return };
        let pushed = self.push(shard, epoch, Body::Release { successor });
        if let Err(failure) = &pushed {
            event!(warn, "release_failed", shard = shard, reason = failure);
        }
        if let Some(held) = self.shards.borrow_mut().get_mut(&shard) {
            held.leaving = pushed.is_ok();
        }
    }

    /// Whether a claim is left to the other VMs, which may have read what this one misses.
    fn leaves(&self, shard: Shard) -> bool {
        let mut shards = self.shards.borrow_mut();
        let held = shards.entry(shard).or_default();
        held.left += u32::from(held.gap);
        held.gap && held.left <= LEFT
    }

    /// Takes the shards that were released to this VM.
    fn offered(&self) -> Vec<Shard> {
        let mut shards = self.shards.borrow_mut();
        let taken = shards
            .iter_mut()
            .filter_map(|(shard, held)| std::mem::take(&mut held.offered).then_some(*shard));
        taken.collect()
    }

    pub(super) fn append_claim(&self, shard: Shard) {
        if let Err(failure) = self.push(shard, Epoch::default(), Body::Claim) {
            event!(warn, "claim_failed", shard = shard, reason = failure);
        }
    }

    /// Hands over each shard that has no run; true once none is left.
    pub(super) fn release(&self) -> bool {
        let shards = self.shards.borrow();
        let held = shards.iter().filter(|(_, held)| held.epoch.is_some());
        let held: Vec<Shard> = held.map(|(shard, _)| *shard).collect();
        drop(shards);
        for shard in held.iter().filter(|shard| self.idle(**shard)) {
            self.hand_over(*shard, self.successor(*shard));
        }
        held.is_empty()
    }

    fn successor(&self, shard: Shard) -> Option<Vm> {
        let mut view = self.context.view.borrow().as_ref().clone();
        view.members.remove(&self.context.vm);
        view.first(&format!("shard/{shard}"))
            .map(|member| member.vm.clone())
    }
}
