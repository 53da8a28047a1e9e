//! One partition of programs: its ledger, and what is known of its records.

use crate::gateway::limits::count::Quotas;
use crate::policy::allowance::{Entry, Ledger};
use crate::policy::trust::Origin;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use tokio::sync::{Mutex, Notify};
use tokio::time::Instant;

/// The writer's hold on a partition.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Hold {
    pub(crate) epoch: u64,
    pub(crate) sequence: u64,
    /// Whether the store has shut out the writer before. Until then nothing can be recorded.
    pub(crate) fenced: bool,
    /// How this VM came by the partition.
    pub(crate) origin: Origin,
}

/// One partition.
#[derive(Debug, Default)]
pub(crate) struct Part {
    pub(crate) hold: Cell<Option<Hold>>,
    pub(crate) ledger: RefCell<Ledger>,
    /// The teams that fall into it.
    pub(crate) teams: RefCell<Quotas>,
    /// When the write began that the store took last, by the steady clock and the time of day.
    pub(crate) confirmed: Cell<Option<(Instant, u64)>>,
    /// Allowances that are not durable yet.
    pub(crate) pending: RefCell<HashMap<String, u64>>,
    /// Allowances that the VM that counts has told this one, in case it takes over.
    pub(crate) kept: RefCell<HashMap<String, (u64, Instant)>>,
    /// Those of them that the store may lack.
    pub(crate) lacking: RefCell<HashMap<String, u64>>,
    /// When another VM last shut this one out.
    pub(crate) shut_out: Cell<Option<Instant>>,
    /// For how long the oldest VM had run that was asked for copies, in milliseconds.
    pub(crate) oldest_ms: Cell<u64>,
    /// Since when the store has not taken the newest record; none where it has.
    pub(crate) failing: Cell<Option<Instant>>,
    /// Programs whose allowance was recorded in another partition.
    pub(crate) detours: RefCell<HashSet<(u64, String)>>,
    /// Whether it is being handed over to another VM.
    pub(crate) handing: Cell<bool>,
    /// Told when that is over.
    pub(crate) handed: Notify,
    /// What another VM is handing over.
    pub(crate) incoming: RefCell<Vec<(Entry, u64)>>,
    /// Where the partition was handed over to.
    pub(crate) successor: Cell<Option<SocketAddr>>,
    pub(crate) taking: Mutex<()>,
    pub(crate) writing: Cell<bool>,
    pub(crate) written: Notify,
}

impl Part {
    /// The epoch under which this VM counts it.
    pub(crate) fn epoch(&self) -> Option<u64> {
        self.hold.get().map(|hold| hold.epoch)
    }

    /// Whether this VM counts it, or is about to: it takes it at the store, or hands it over.
    pub(crate) fn is_claimed(&self) -> bool {
        let taking = self.taking.try_lock().is_err();
        taking || self.hold.get().is_some() || self.handing.get()
    }

    /// Waits until it is not being handed over.
    pub(crate) async fn settled(&self) {
        loop {
            let handed = self.handed.notified();
            if !self.handing.get() {
                return;
            }
            handed.await;
        }
    }

    /// Its programs, each with the allowance that the store still lacks, or zero.
    pub(crate) fn entries(&self) -> Vec<(Entry, u64)> {
        let pending = self.pending.borrow();
        let entries = self.ledger.borrow().export().into_iter();
        let entries = entries.map(|entry| {
            let lacking = pending.get(&entry.program).copied().unwrap_or_default();
            let allowed = entry.allowed.max(lacking);
            (Entry { allowed, ..entry }, lacking)
        });
        entries.collect()
    }

    /// The store lacks an allowance.
    pub(crate) fn lack(&self, program: &str, allowed: u64) {
        let mut pending = self.pending.borrow_mut();
        let newest = pending.entry(program.to_owned()).or_default();
        *newest = allowed.max(*newest);
    }

    /// The store has taken a batch of allowances.
    pub(crate) fn take_recorded(&self, batch: Vec<(String, u64)>) {
        let mut pending = self.pending.borrow_mut();
        let mut ledger = self.ledger.borrow_mut();
        for (program, allowed) in batch {
            ledger.recorded(&program, allowed);
            if pending
                .get(&program)
                .is_some_and(|newest| *newest <= allowed)
            {
                pending.remove(&program);
            }
        }
    }
}
