//! The verdict on each record of a shard, computed alike by every reader of the stream.

use crate::id::{Boot, Epoch, Offset, Sequence, Vm};
use crate::journal::{Body, Record};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The VM whose claim is the newest.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Holder {
    /// The VM.
    pub vm: Vm,
    /// The run of its process.
    pub boot: Boot,
    /// Where its claim stands.
    pub epoch: Epoch,
}

/// Whether a record counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// A claim that starts this epoch.
    Claimed(Epoch),
    /// Written under the newest claim: it counts.
    Valid,
    /// Written under an older claim: it does not count.
    Void,
    /// A copy of a record that stands earlier in the stream.
    Duplicate,
}

/// The claims of one shard in the order of its stream.
///
/// Only the place of a record in the stream matters: no clock, no lease time and no member view
/// enters the verdict, so a paused former owner can append what it likes without effect.
#[derive(Debug, Clone, Default)]
pub struct Ledger {
    holder: Option<Holder>,
    // A claim appended again after a lost reply must not start an epoch of its own, or a deposed
    // VM would depose its successor by a copy that was delayed on the way.
    seen: BTreeMap<(Vm, Boot), Sequence>,
}

impl Ledger {
    /// The VM whose claim is the newest so far, unless it has released the shard.
    ///
    /// ```
    /// assert!(vanillatrail::ownership::Ledger::default().holder().is_none());
    /// ```
    #[must_use]
    pub fn holder(&self) -> Option<&Holder> {
        self.holder.as_ref()
    }

    /// Takes in the record at place `index` of the batch at `offset` and judges it.
    ///
    /// ```
    /// use vanillatrail::id::{Boot, Epoch, Offset, Sequence, Shard};
    /// use vanillatrail::journal::{Body, Id, Record};
    /// use vanillatrail::ownership::{Ledger, Verdict};
    /// let record = Record {
    ///     id: Id { vm: "vm-a".parse().unwrap(), boot: Boot(1), sequence: Sequence(1) },
    ///     shard: Shard(0),
    ///     epoch: Epoch::default(),
    ///     body: Body::Claim,
    /// };
    /// let mut ledger = Ledger::default();
    /// let epoch = Epoch::at(Offset(4), 0);
    /// assert_eq!(ledger.judge(Offset(4), 0, &record), Verdict::Claimed(epoch));
    /// assert_eq!(ledger.judge(Offset(5), 0, &record), Verdict::Duplicate);
    /// ```
    pub fn judge(&mut self, offset: Offset, index: usize, record: &Record) -> Verdict {
        let writer = (record.id.vm.clone(), record.id.boot);
        if self
            .seen
            .get(&writer)
            .is_some_and(|last| record.id.sequence <= *last)
        {
            return Verdict::Duplicate;
        }
        self.seen.insert(writer, record.id.sequence);
        if matches!(record.body, Body::Claim) {
            let epoch = Epoch::at(offset, index);
            let Record { id, .. } = record;
            self.holder = Some(Holder {
                vm: id.vm.clone(),
                boot: id.boot,
                epoch,
            });
            return Verdict::Claimed(epoch);
        }
        let valid = self.holder.as_ref().is_some_and(|holder| {
            holder.epoch == record.epoch
                && holder.boot == record.id.boot
                && holder.vm == record.id.vm
        });
        if !valid {
            return Verdict::Void;
        }
        if matches!(record.body, Body::Release { .. }) {
            self.holder = None;
        }
        Verdict::Valid
    }
}
