//! Checkpoints: writes the full state of each shard from time to time, so that the log can be trimmed.

use super::duty::Owner;
use crate::id::{Epoch, Program, Shard};
use crate::journal::{Body, stream_of};
use crate::telemetry::event;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Pause before a retry for programs with records on their way.
const RETRY_INTERVAL: Duration = Duration::from_millis(20);

impl Owner {
    /// Claims the shard with the oldest checkpoints again, if these are old enough.
    ///
    /// The checkpoints follow the new claim: a reader can only validate records that come after a claim, so the
    /// claim must still be in the log.
    pub(super) fn renew_oldest_claim(&self) {
        let Some(shard) = self.shard_to_checkpoint() else {
            return;
        };
        if let Err(failure) = self.submit(shard, Epoch::default(), Body::Claim) {
            event!(warn, "claim_failed", shard = shard, reason = failure);
            return;
        }
        if let Some(state) = self.shards.borrow_mut().get_mut(&shard) {
            state.checkpointing = true;
        }
    }

    /// Owned shard with the oldest checkpoints; `None` if they are recent, or while a shard is being written.
    fn shard_to_checkpoint(&self) -> Option<Shard> {
        let shards = self.shards.borrow();
        if shards.values().any(|state| state.checkpointing) {
            return None;
        }
        let next_offsets = self.next_offsets.borrow();
        let owned = shards.iter().filter_map(|(shard, state)| {
            state.epoch.filter(|_| !state.gap && !state.releasing)?;
            let end = next_offsets.get(&stream_of(*shard, self.context.streams))?;
            Some((end.0.saturating_sub(state.checkpoint_offset.0), *shard))
        });
        let (behind, shard) = owned.max()?;
        (behind > self.context.checkpoint_entries).then_some(shard)
    }

    /// Writes the checkpoints of a shard after its renewed claim was read back.
    pub(super) fn start_checkpoint(self: &Rc<Self>, shard: Shard, epoch: Epoch) {
        let shards = self.shards.borrow();
        if shards.get(&shard).is_some_and(|state| state.checkpointing) {
            spawn_local(self.clone().write_checkpoint(shard, epoch));
        }
    }

    async fn write_checkpoint(self: Rc<Self>, shard: Shard, epoch: Epoch) {
        let mut written = BTreeSet::new();
        while self.owned_epoch(shard) == Ok(epoch) {
            let Some(roots) = self.unwritten_roots(shard, &written) else {
                let programs = written.len();
                event!(
                    info,
                    "shard_checkpointed",
                    shard = shard,
                    programs = programs
                );
                let _ = self.append_retrying(shard, epoch, Body::Checkpointed).await;
                break;
            };
            for root in roots {
                self.write_tree(shard, epoch, root, &mut written);
            }
            sleep(RETRY_INTERVAL).await;
        }
        if let Some(state) = self.shards.borrow_mut().get_mut(&shard) {
            state.checkpointing = false;
        }
    }

    /// Roots of the program trees with a program not written yet; `None` if all are written.
    fn unwritten_roots(
        &self,
        shard: Shard,
        written: &BTreeSet<Program>,
    ) -> Option<BTreeSet<Program>> {
        let shards = self.shards.borrow();
        let table = &shards.get(&shard)?.table;
        let missing = table
            .iter()
            .filter(|program| !written.contains(&program.id));
        let roots: BTreeSet<_> = missing
            .filter_map(|program| table.lineage(program.id).pop())
            .collect();
        (!roots.is_empty()).then_some(roots)
    }

    /// Writes all programs of a tree at once, unless one has a record on its way.
    ///
    /// The checkpoint would miss a record that comes before it in the log but is read back after the state was
    /// copied, and a reader that starts at the checkpoint would lose a call.
    fn write_tree(
        &self,
        shard: Shard,
        epoch: Epoch,
        root: Program,
        written: &mut BTreeSet<Program>,
    ) {
        let programs: Vec<_> = {
            let shards = self.shards.borrow();
            let Some(state) = shards.get(&shard) else {
                return;
            };
            let tree = state.table.subtree(root);
            let waiters = self.waiters.borrow();
            let in_tree = |waiter: &super::duty::Waiter| {
                waiter
                    .program
                    .is_some_and(|program| tree.contains(&program))
            };
            if waiters.values().any(in_tree) || !self.journal_has_room(tree.len()) {
                return;
            }
            let programs = tree.iter().filter_map(|id| state.table.get(*id).ok());
            programs.cloned().collect()
        };
        for program in programs {
            let id = program.id;
            let program = Box::new(program);
            if self
                .submit(shard, epoch, Body::Checkpoint { program })
                .is_ok()
            {
                written.insert(id);
            }
        }
    }
}
