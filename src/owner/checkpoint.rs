//! Checkpoints: each shard is written whole from time to time, so that the log may trim.

use super::duty::Owner;
use crate::id::{Epoch, Program, Shard};
use crate::journal::{Body, stream_of};
use crate::telemetry::event;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// The pause before a program that has records under way is looked at again.
const PAUSE: Duration = Duration::from_millis(20);

impl Owner {
    /// Claims the shard anew whose last checkpoints are furthest back, if that is far enough.
    ///
    /// A reader that starts behind the old claim could judge no record: it needs a claim that is
    /// still in the log, and everything from there on.
    pub(super) fn renew(&self) {
        let Some(shard) = self.furthest_behind() else {
            return;
        };
        if let Err(failure) = self.push(shard, Epoch::default(), Body::Claim) {
            event!(warn, "claim_failed", shard = shard, reason = failure);
            return;
        }
        if let Some(held) = self.shards.borrow_mut().get_mut(&shard) {
            held.renewing = true;
        }
    }

    /// The shard to write next; none while one is being written.
    fn furthest_behind(&self) -> Option<Shard> {
        let shards = self.shards.borrow();
        if shards.values().any(|held| held.renewing) {
            return None;
        }
        let next = self.next.borrow();
        let owned = shards.iter().filter_map(|(shard, held)| {
            held.epoch.filter(|_| !held.gap && !held.leaving)?;
            let end = next.get(&stream_of(*shard, self.context.streams))?;
            Some((end.0.saturating_sub(held.base.0), *shard))
        });
        let (behind, shard) = owned.max()?;
        (behind > self.context.checkpoint_entries).then_some(shard)
    }

    /// Starts the checkpoints of a shard that this VM has claimed anew.
    pub(super) fn renewed(self: &Rc<Self>, shard: Shard, epoch: Epoch) {
        let shards = self.shards.borrow();
        if shards.get(&shard).is_some_and(|held| held.renewing) {
            spawn_local(self.clone().checkpoint(shard, epoch));
        }
    }

    async fn checkpoint(self: Rc<Self>, shard: Shard, epoch: Epoch) {
        let mut written = BTreeSet::new();
        while self.epoch(shard) == Ok(epoch) {
            let Some(roots) = self.unwritten(shard, &written) else {
                let programs = written.len();
                event!(
                    info,
                    "shard_checkpointed",
                    shard = shard,
                    programs = programs
                );
                let _ = self.append_surely(shard, epoch, Body::Checkpointed).await;
                break;
            };
            for root in roots {
                self.write_tree(shard, epoch, root, &mut written);
            }
            sleep(PAUSE).await;
        }
        if let Some(held) = self.shards.borrow_mut().get_mut(&shard) {
            held.renewing = false;
        }
    }

    /// The roots of trees that have a program without a checkpoint; none when all have one.
    fn unwritten(&self, shard: Shard, written: &BTreeSet<Program>) -> Option<BTreeSet<Program>> {
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

    /// Writes a tree of programs in one go, if none of it has a record under way.
    ///
    /// A record that was written before the checkpoint and read after its state was taken would
    /// be missing from it, and a reader that starts there would lose a call.
    fn write_tree(
        &self,
        shard: Shard,
        epoch: Epoch,
        root: Program,
        written: &mut BTreeSet<Program>,
    ) {
        let states: Vec<_> = {
            let shards = self.shards.borrow();
            let Some(held) = shards.get(&shard) else {
                return;
            };
            let tree = held.table.subtree(root);
            let waiters = self.waiters.borrow();
            let under_way = |waiter: &super::duty::Waiter| {
                waiter
                    .program
                    .is_some_and(|program| tree.contains(&program))
            };
            if waiters.values().any(under_way) || !self.has_room(tree.len()) {
                return;
            }
            let states = tree.iter().filter_map(|id| held.table.get(*id).ok());
            states.cloned().collect()
        };
        for state in states {
            let id = state.id;
            let program = Box::new(state);
            if self
                .push(shard, epoch, Body::Checkpoint { program })
                .is_ok()
            {
                written.insert(id);
            }
        }
    }
}
