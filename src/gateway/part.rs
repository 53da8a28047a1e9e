//! One partition of programs: its ledger, and what is known of its records.

use crate::policy::allowance::{Entry, Ledger};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use tokio::sync::{Mutex, Notify};
use tokio::time::Instant;

/// The writer's hold on a partition.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Hold {
    pub(super) epoch: u64,
    pub(super) sequence: u64,
    /// Whether the store has shut out the writer before. Until then nothing can be recorded.
    pub(super) fenced: bool,
}

/// One partition.
#[derive(Debug, Default)]
pub(super) struct Part {
    pub(super) hold: Cell<Option<Hold>>,
    pub(super) ledger: RefCell<Ledger>,
    /// Allowances that are not durable yet.
    pub(super) pending: RefCell<HashMap<String, u64>>,
    /// Allowances that the VM that counts has told this one, in case it takes over.
    pub(super) kept: RefCell<HashMap<String, (u64, Instant)>>,
    /// Those of them that the store may lack.
    pub(super) lacking: RefCell<HashMap<String, u64>>,
    /// When another VM last shut this one out.
    pub(super) shut_out: Cell<Option<Instant>>,
    /// For how long the oldest VM had run that was asked for copies, in milliseconds.
    pub(super) oldest_ms: Cell<u64>,
    /// Whether the store did not take the newest record.
    pub(super) failing: Cell<bool>,
    /// Programs whose allowance was recorded in another partition.
    pub(super) detours: RefCell<HashSet<(u64, String)>>,
    /// Whether it is being handed over to another VM.
    pub(super) handing: Cell<bool>,
    /// What another VM is handing over.
    pub(super) incoming: RefCell<Vec<(Entry, u64)>>,
    /// Where the partition was handed over to.
    pub(super) successor: Cell<Option<SocketAddr>>,
    pub(super) taking: Mutex<()>,
    pub(super) writing: Cell<bool>,
    pub(super) written: Notify,
}

impl Part {
    /// The store lacks an allowance.
    pub(super) fn lack(&self, program: &str, allowed: u64) {
        let mut pending = self.pending.borrow_mut();
        let newest = pending.entry(program.to_owned()).or_default();
        *newest = allowed.max(*newest);
    }

    /// The store has taken a batch of allowances.
    pub(super) fn take_recorded(&self, batch: Vec<(String, u64)>) {
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
