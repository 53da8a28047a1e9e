//! State of one partition of programs: its token accounts, and what is known of its records at the
//! store.

use crate::gateway::limits::count::Quotas;
use crate::gateway::tokens::takeover::INCOMPLETE_KEYS;
use crate::policy::allowance::{Ledger, Snapshot};
use crate::policy::share::Origin;
use crate::policy::store_health::LastWrite;
use crate::policy::unrecorded::Unrecorded;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use tokio::sync::{Mutex, Notify};
use tokio::time::Instant;

/// This VM's ownership of a partition, as the writer of its records.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Ownership {
    pub(crate) epoch: u64,
    pub(crate) sequence: u64,
    /// Whether the store has fenced off the previous writer. Nothing can be recorded until it has.
    pub(crate) fenced: bool,
    /// How this VM became the owner.
    pub(crate) origin: Origin,
}

#[derive(Debug, Default)]
pub(crate) struct Partition {
    pub(crate) ownership: Cell<Option<Ownership>>,
    pub(crate) ledger: RefCell<Ledger>,
    /// Rate-limit counters of the teams that hash to this partition.
    pub(crate) teams: RefCell<Quotas>,
    /// When the last acknowledged write started: monotonic time, and Unix time in milliseconds.
    pub(crate) last_confirmed_write: Cell<Option<(Instant, u64)>>,
    /// Newest values by key that are not recorded at the store yet.
    pub(crate) pending: RefCell<HashMap<String, u64>>,
    /// Allowances received from the owner, with the time of receipt, for a takeover by this VM.
    pub(crate) replicas: RefCell<HashMap<String, (u64, Instant)>>,
    /// Those of the replicas that the store may not have.
    pub(crate) unrecorded_replicas: RefCell<HashMap<String, u64>>,
    /// When this VM last lost ownership or handed it over.
    pub(crate) ownership_ended: Cell<Option<Instant>>,
    /// Since when so many of this VM and those that were asked for replicas run that one of them knows of each grant
    /// without a record; `None` if too few answered.
    pub(crate) known_since: Cell<Option<Instant>>,
    /// When the newest heartbeat was sent to the store, which may have it without having answered.
    pub(crate) heartbeat_sent: Cell<Option<Instant>>,
    /// Whether another VM may have got the accounts and grant tokens without a record. Ends with the next record.
    pub(crate) may_be_shared: Cell<bool>,
    /// Start of the oldest append since the last one that the store acknowledged.
    pub(crate) unanswered_since: Cell<Option<Instant>>,
    pub(crate) last_write: Cell<LastWrite>,
    /// Fallback partitions and programs whose allowance may be recorded there.
    pub(crate) fallback_records: RefCell<HashSet<(u64, String)>>,
    /// Whether a handover to another VM is in progress.
    pub(crate) handover_in_progress: Cell<bool>,
    /// Notified when the handover ends.
    pub(crate) handover_ended: Notify,
    /// Entries received so far in a handover from another VM.
    pub(crate) incoming_entries: RefCell<Vec<(Snapshot, u64)>>,
    /// The VM that this one handed the partition to.
    pub(crate) successor: Cell<Option<SocketAddr>>,
    pub(crate) takeover_lock: Mutex<()>,
    pub(crate) writer_running: Cell<bool>,
    pub(crate) record_written: Notify,
}

impl Ownership {
    /// Whether this VM knows what earlier owners have recorded and granted. One that took over from replicas does not, until
    /// it has read the records.
    pub(crate) const fn knows_accounts(&self) -> bool {
        self.fenced || !matches!(self.origin, Origin::Unresponsive(_))
    }
}

impl Partition {
    /// The epoch under which this VM owns the partition.
    pub(crate) fn epoch(&self) -> Option<u64> {
        self.ownership.get().map(|ownership| ownership.epoch)
    }

    /// Begins an ownership. A heartbeat is sent now, or was before by the owner whose accounts this VM has got.
    pub(crate) fn own(&self, ownership: Ownership) {
        let now = Instant::now();
        self.ownership.set(Some(ownership));
        self.successor.set(None);
        self.heartbeat_sent.set(Some(now));
        self.may_be_shared.set(false);
        // An owner that the store has not confirmed does not have it.
        self.unanswered_since
            .set((!ownership.fenced).then_some(now));
    }

    /// What this VM may grant beyond the records while the store takes none.
    pub(crate) fn unrecorded_limit(&self) -> Unrecorded {
        let ownership = self.ownership.get();
        let knows_accounts = ownership.is_some_and(|ownership| ownership.knows_accounts());
        match self.heartbeat_sent.get() {
            Some(sent) if knows_accounts && !self.may_be_shared.get() => {
                Unrecorded::grantable(sent.elapsed())
            }
            _ => Unrecorded::None,
        }
    }

    /// Whether this VM owns the partition, is taking it over, or is handing it over.
    pub(crate) fn is_owned_or_in_transfer(&self) -> bool {
        let being_taken_over = self.takeover_lock.try_lock().is_err();
        being_taken_over || self.ownership.get().is_some() || self.handover_in_progress.get()
    }

    /// Waits until no handover is in progress.
    pub(crate) async fn wait_for_handover(&self) {
        loop {
            let ended = self.handover_ended.notified();
            if !self.handover_in_progress.get() {
                return;
            }
            ended.await;
        }
    }

    /// The accounts of all programs, each with the allowance that is still to be recorded, or zero.
    pub(crate) fn export_entries(&self) -> Vec<(Snapshot, u64)> {
        let pending = self.pending.borrow();
        let entries = self.ledger.borrow().export().into_iter();
        let entries = entries.map(|entry| {
            let unrecorded = pending.get(&entry.program).copied().unwrap_or_default();
            (entry, unrecorded)
        });
        entries.collect()
    }

    /// Whether marks of lost grants are still to be recorded.
    pub(crate) fn has_pending_marks(&self) -> bool {
        let pending = self.pending.borrow();
        INCOMPLETE_KEYS
            .iter()
            .any(|(_, key)| pending.contains_key(*key))
    }

    /// Queues a value to be recorded; the highest value of a key counts.
    pub(crate) fn add_pending(&self, key: &str, value: u64) {
        let mut pending = self.pending.borrow_mut();
        let newest = pending.entry(key.to_owned()).or_default();
        *newest = value.max(*newest);
    }

    /// Applies a batch that the store has acknowledged.
    pub(crate) fn mark_recorded(&self, batch: Vec<(String, u64)>) {
        let mut pending = self.pending.borrow_mut();
        let mut ledger = self.ledger.borrow_mut();
        for (key, allowed) in batch {
            ledger.mark_recorded(&key, allowed);
            if pending.get(&key).is_some_and(|newest| *newest <= allowed) {
                pending.remove(&key);
            }
        }
    }
}
