//! Decides which records of a shard are valid; every reader of the stream computes the same.

use crate::id::{Boot, Epoch, Offset, Sequence, Vm};
use crate::journal::{Body, Record};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The VM with the newest claim of a shard.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Owner {
    /// Name of the VM.
    pub vm: Vm,
    /// Run of the process that made the claim.
    pub boot: Boot,
    /// Position of the claim in the stream, which serves as fencing token.
    pub epoch: Epoch,
}

/// Whether a record of the stream is valid.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Validity {
    /// A claim, which starts this epoch.
    Claimed(Epoch),
    /// Written by the owner under the newest claim.
    Valid,
    /// Written under a superseded or released claim, to be ignored.
    Fenced,
    /// A copy of an earlier record of the stream, to be ignored.
    Duplicate,
}

/// The ownership of one shard, as decided by the claims and releases in its stream.
///
/// Only the order of the records in the stream matters, not clocks, leases or the member view: late
/// appends of a suspended former owner have no effect.
#[derive(Debug, Clone, Default)]
pub struct Ledger {
    owner: Option<Owner>,
    // Detects duplicates: otherwise a retried claim that arrives late would take the shard from a
    // newer owner.
    last_sequences: BTreeMap<(Vm, Boot), Sequence>,
}

impl Ledger {
    /// The owner after the records so far; `None` before the first claim and after a release.
    ///
    /// ```
    /// assert!(vanillatrail::ownership::Ledger::default().owner().is_none());
    /// ```
    #[must_use]
    pub fn owner(&self) -> Option<&Owner> {
        self.owner.as_ref()
    }

    /// Applies the record with this index in the batch at `offset`, and returns whether it is valid.
    ///
    /// ```
    /// use vanillatrail::id::{Boot, Epoch, Offset, Sequence, Shard};
    /// use vanillatrail::journal::{Body, Id, Record};
    /// use vanillatrail::ownership::{Ledger, Validity};
    /// let record = Record {
    ///     id: Id { vm: "vm-a".parse().unwrap(), boot: Boot(1), sequence: Sequence(1) },
    ///     shard: Shard(0),
    ///     epoch: Epoch::default(),
    ///     body: Body::Claim,
    /// };
    /// let mut ledger = Ledger::default();
    /// let epoch = Epoch::at(Offset(4), 0);
    /// assert_eq!(ledger.apply(Offset(4), 0, &record), Validity::Claimed(epoch));
    /// assert_eq!(ledger.apply(Offset(5), 0, &record), Validity::Duplicate);
    /// ```
    pub fn apply(&mut self, offset: Offset, index: usize, record: &Record) -> Validity {
        let writer = (record.id.vm.clone(), record.id.boot);
        if self
            .last_sequences
            .get(&writer)
            .is_some_and(|last| record.id.sequence <= *last)
        {
            return Validity::Duplicate;
        }
        self.last_sequences.insert(writer, record.id.sequence);
        if matches!(record.body, Body::Claim) {
            let epoch = Epoch::at(offset, index);
            let Record { id, .. } = record;
            self.owner = Some(Owner {
                vm: id.vm.clone(),
                boot: id.boot,
                epoch,
            });
            return Validity::Claimed(epoch);
        }
        let valid = self.owner.as_ref().is_some_and(|owner| {
            owner.epoch == record.epoch && owner.boot == record.id.boot && owner.vm == record.id.vm
        });
        if !valid {
            return Validity::Fenced;
        }
        if matches!(record.body, Body::Release { .. }) {
            self.owner = None;
        }
        Validity::Valid
    }
}
