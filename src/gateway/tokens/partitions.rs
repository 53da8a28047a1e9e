//! Token accounting of programs. Programs are hashed to partitions, and each partition is owned by
//! one VM, the first live member in rendezvous order.
//!
//! VMs may disagree for a while on who owns a partition. That is safe: a VM that takes a partition
//! over raises the epoch of its writer at the store, and the store then rejects records of the
//! previous owner.

use crate::clock;
use crate::gateway::peers;
use crate::gateway::peers::Replica;
use crate::gateway::tokens::expiry::DEFAULT_IDLE_TIMEOUT;
use crate::gateway::tokens::partition::{Ownership, Partition};
use crate::id::{Epoch, Shard};
use crate::platform::records::ALLOWANCE_TOPIC;
use crate::platform::store::{Error, Record, Store, Writer, pause_when_busy};
use crate::policy::allowance::{Reservation, Snapshot};
use crate::policy::share::Origin;
use crate::policy::store_health::LastWrite;
use crate::policy::unrecorded::Unrecorded;
use crate::telemetry::event;
use bytes::Bytes;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep};
use xxhash_rust::xxh3::xxh3_64;

/// How long a turn waits for the store to take its allowance before the allowance is written to a
/// fallback partition or replicated to other VMs. A record takes about 8 ms at a healthy store, and
/// one that is slow or away must not hold up every program.
pub(crate) const STORE_TIMEOUT: Duration = Duration::from_millis(250);
/// Keys with this prefix hold metadata of the partition; all others are programs.
pub(crate) const INTERNAL_KEY_PREFIX: char = '@';
/// Key of the owner's heartbeat record. Its value is a Unix time in milliseconds.
pub(crate) const HEARTBEAT_KEY: &str = "@alive";
/// Initial and maximum delay between two attempts to write a record. Every owned partition retries
/// on its own, so the delay bounds the load on a store that is down.
const RETRY_BACKOFF: (Duration, Duration) =
    (Duration::from_millis(100), Duration::from_millis(400));
/// Consecutive failures after which the store counts as unavailable.
const MAX_STORE_FAILURES: u32 = 2;
/// Time since the last failure after which the store may be tried again.
pub(crate) const STORE_RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// The partitions known to this VM, and the client of the store that they are recorded in.
#[derive(Debug)]
pub(crate) struct Partitions {
    /// Address for messages from other VMs.
    pub(crate) address: SocketAddr,
    pub(crate) vm_number: u64,
    pub(crate) store: Store,
    pub(crate) partition_count: u64,
    pub(super) by_id: RefCell<HashMap<u64, Rc<Partition>>>,
    /// Tokens spent or reserved by each program, as last reported by its owner.
    pub(crate) reported_totals: RefCell<HashMap<String, u64>>,
    /// Allowances that were granted but not recorded before this VM lost ownership of their
    /// partition.
    pub(crate) orphaned_replicas: RefCell<Vec<Replica>>,
    /// The VM that last answered as owner of each partition.
    pub(crate) last_owners: RefCell<HashMap<u64, SocketAddr>>,
    /// Fallback partitions that did not take the last record.
    pub(crate) failed_fallbacks: RefCell<HashSet<u64>>,
    /// When the last try of fallback partitions failed, or a try began after a failure; none after a success.
    pub(crate) fallback_failed_at: Cell<Option<Instant>>,
    consecutive_failures: Cell<u32>,
    last_failure: Cell<Option<Instant>>,
    /// When the store last took a record of this VM.
    pub(crate) last_success: Cell<Option<Instant>>,
    pub(crate) started_at: Instant,
    /// Longest time that any route has allowed a program to pause between two turns.
    pub(super) idle_timeout: Cell<Duration>,
}

/// Permission for one turn to generate tokens. Released by [`Gateway::settle_tokens`].
#[derive(Debug, Clone)]
pub(crate) struct Grant {
    /// The owner of the program's partition; none if it is this VM.
    pub(crate) owner: Option<SocketAddr>,
    /// Number of the program's partition.
    pub(crate) part: u64,
    pub(crate) reservation: u64,
    /// Number of turns of the program so far, including this one.
    pub(crate) turns: u32,
}

impl Partitions {
    pub(crate) fn new(address: SocketAddr, store: Store, partition_count: u64) -> Self {
        Self {
            address,
            vm_number: peers::vm_number(address),
            store,
            partition_count,
            by_id: RefCell::default(),
            reported_totals: RefCell::default(),
            last_owners: RefCell::default(),
            orphaned_replicas: RefCell::default(),
            failed_fallbacks: RefCell::default(),
            fallback_failed_at: Cell::new(None),
            consecutive_failures: Cell::new(0),
            last_failure: Cell::new(None),
            last_success: Cell::new(None),
            started_at: Instant::now(),
            idle_timeout: Cell::new(DEFAULT_IDLE_TIMEOUT),
        }
    }

    pub(crate) fn partition(&self, partition_id: u64) -> Rc<Partition> {
        Rc::clone(self.by_id.borrow_mut().entry(partition_id).or_default())
    }

    pub(crate) fn partition_of(&self, key: &str) -> u64 {
        xxh3_64(key.as_bytes()) % self.partition_count
    }

    /// Time since this VM started, in milliseconds.
    pub(crate) fn uptime_ms(&self) -> u64 {
        u64::try_from(self.started_at.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Queues a heartbeat record for each owned partition.
    pub(crate) fn queue_heartbeats(self: &Rc<Self>) {
        for (partition_id, partition) in self.owned() {
            partition.add_pending(HEARTBEAT_KEY, clock::wall_ms());
            Rc::clone(self).start_writer(partition_id, partition);
        }
    }

    /// Whether the store accepts records from this VM. Turns true again [`STORE_RETRY_INTERVAL`]
    /// after the last failure, so that the store is retried.
    pub(crate) fn has_store(&self) -> bool {
        let failed_recently = self
            .last_failure
            .get()
            .is_some_and(|last_failure| last_failure.elapsed() < STORE_RETRY_INTERVAL);
        self.consecutive_failures.get() < MAX_STORE_FAILURES || !failed_recently
    }

    /// Whether callers should skip the store without waiting for it. While this VM owns partitions,
    /// their writers keep retrying and notice when the store is back, so callers need not probe it.
    pub(crate) fn should_skip_store(&self) -> bool {
        self.consecutive_failures.get() >= MAX_STORE_FAILURES
            && (!self.has_store() || !self.owned().is_empty())
    }

    /// Counts a call that the store has taken or not. A busy store takes it later.
    pub(crate) fn record_store_result(&self, succeeded: bool) {
        if !succeeded && self.store.observer().is_busy() {
            return;
        }
        let had_store = self.has_store();
        self.consecutive_failures.set(if succeeded {
            0
        } else {
            self.consecutive_failures.get() + 1
        });
        self.last_failure.set((!succeeded).then(Instant::now));
        if succeeded {
            self.last_success.set(Some(Instant::now()));
        }
        match (had_store, self.has_store()) {
            (true, false) => event!(warn, "store_lost", for_what = "allowances"),
            (false, true) => event!(info, "store_back", for_what = "allowances"),
            _ => {}
        }
    }

    pub(crate) fn settle(&self, partition_id: u64, reservation: Reservation, used: u64) {
        let partition = self.partition(partition_id);
        partition
            .ledger
            .borrow_mut()
            .settle(Instant::now(), reservation, used);
    }

    pub(crate) fn start_writer(self: Rc<Self>, partition_id: u64, partition: Rc<Partition>) {
        if !partition.writer_running.replace(true) {
            tokio::task::spawn_local(self.write_pending(partition_id, partition));
        }
    }

    /// Writes pending records until none are left. Appends are sequential, so allowances that
    /// arrive during an append share the next one.
    pub(super) async fn write_pending(self: Rc<Self>, partition_id: u64, partition: Rc<Partition>) {
        loop {
            let batch: Vec<(String, u64)> = partition
                .pending
                .borrow()
                .iter()
                .map(|(key, value)| (key.clone(), *value))
                .collect();
            let Some(ownership) = partition.ownership.get().filter(|_| !batch.is_empty()) else {
                partition.writer_running.set(false);
                return;
            };
            if !ownership.fenced {
                if self
                    .take_over(partition_id, &partition, None, ownership.origin)
                    .await
                    .is_err()
                {
                    sleep(RETRY_BACKOFF.0).await;
                }
                continue;
            }
            let records: Vec<Record> = batch
                .iter()
                .map(|(key, value)| encode_record(key, *value))
                .collect();
            if batch.iter().any(|(key, _)| key == HEARTBEAT_KEY) {
                partition.heartbeat_sent.set(Some(Instant::now()));
            }
            if !self
                .append_batch(partition_id, &partition, ownership, &records)
                .await
            {
                continue;
            }
            partition.mark_recorded(batch);
            partition.record_written.notify_waiters();
        }
    }

    /// Appends one batch, retrying until the store answers. Returns false if the writer's state
    /// changed and the batch has to be rebuilt.
    pub(super) async fn append_batch(
        &self,
        partition_id: u64,
        partition: &Partition,
        ownership: Ownership,
        records: &[Record],
    ) -> bool {
        let writer = writer(ownership.epoch, ownership.sequence);
        let mut delay = RETRY_BACKOFF.0;
        loop {
            let started_at = (Instant::now(), clock::wall_ms());
            let unanswered_since = partition.unanswered_since.get();
            let unanswered_since = unanswered_since.unwrap_or(started_at.0);
            partition.unanswered_since.set(Some(unanswered_since));
            let result = self
                .store
                .append_hedged(ALLOWANCE_TOPIC, partition_id, records, Some(&writer))
                .await;
            let set_sequence = |sequence| {
                // The partition may have been handed over during the append.
                if partition.ownership.get() == Some(ownership) {
                    partition.ownership.set(Some(Ownership {
                        sequence,
                        ..ownership
                    }));
                }
            };
            match result {
                Ok(()) => {
                    self.record_store_result(true);
                    partition.last_confirmed_write.set(Some(started_at));
                    partition.may_be_shared.set(false);
                    partition.unanswered_since.set(None);
                    if partition.last_write.replace(LastWrite::Taken) == LastWrite::Failed {
                        event!(info, "records_flow", part = partition_id);
                    }
                    set_sequence(ownership.sequence + 1);
                    return true;
                }
                Err(Error::Fenced) => {
                    self.lose_ownership(partition_id, partition, ownership.epoch);
                    return false;
                }
                Err(Error::SequenceMismatch(expected)) => {
                    event!(
                        warn,
                        "sequence_corrected",
                        part = partition_id,
                        sent = ownership.sequence,
                        expected = expected
                    );
                    set_sequence(expected);
                    sleep(RETRY_BACKOFF.0).await;
                    return false;
                }
                // Allowances that arrive meanwhile share the next call. Turns wait for it before they begin, so the pause
                // does not grow.
                Err(fault) if self.store.is_busy_rejection(&fault) => {
                    partition.last_write.set(LastWrite::Rejected);
                    pause_when_busy(1).await;
                    return false;
                }
                // Retry with the same sequence number: the store deduplicates the append if it took
                // effect.
                Err(fault) => {
                    if partition.last_write.replace(LastWrite::Failed) != LastWrite::Failed {
                        event!(warn, "records_stuck", part = partition_id, reason = fault);
                    }
                    sleep(delay).await;
                    delay = (delay * 2).min(RETRY_BACKOFF.1);
                }
            }
        }
    }

    /// Gives up ownership because another VM owns the partition under a higher epoch.
    ///
    /// Does nothing if `epoch` is not the present one. A late answer of the store must not drop the accounts of a newer
    /// ownership, or those of a partition that is being handed over: if the handover fails, this VM keeps it.
    pub(crate) fn lose_ownership(&self, partition_id: u64, partition: &Partition, epoch: u64) {
        if partition.epoch() != Some(epoch) {
            return;
        }
        event!(warn, "allowances_lost", part = partition_id, epoch = epoch);
        partition.ownership.set(None);
        partition.ownership_ended.set(Some(Instant::now()));
        partition.ledger.borrow_mut().forget_accounts();
        let unrecorded = partition.pending.take().into_iter();
        let unrecorded = unrecorded.filter(|(key, _)| !key.starts_with(INTERNAL_KEY_PREFIX));
        let replicas = unrecorded.map(|(program, allowed)| Replica {
            part: partition_id,
            program,
            allowed,
            epoch,
            fenced: true,
        });
        self.orphaned_replicas.borrow_mut().extend(replicas);
        partition.record_written.notify_waiters();
    }

    /// Merges a replica of an allowance; the highest value counts.
    pub(crate) fn merge_replica(&self, replica: Replica) {
        let partition = self.partition(replica.part);
        if partition.ownership.get().is_some() {
            // The previous owner granted more than this VM knew of and could not record it. Record
            // it here, or the program could get these tokens again if all VMs are lost.
            let mut ledger = partition.ledger.borrow_mut();
            if ledger.allowed(&replica.program) < replica.allowed {
                partition.add_pending(&replica.program, replica.allowed);
            }
            ledger.restore_unrecorded(Instant::now(), &replica.program, replica.allowed);
            return;
        }
        let mut replicas = partition.replicas.borrow_mut();
        let known = replicas
            .entry(replica.program)
            .or_insert((0, Instant::now()));
        *known = (replica.allowed.max(known.0), Instant::now());
    }

    /// Imports the accounts of a partition handed over by its previous owner, each with its
    /// unrecorded allowance. `fenced` tells whether this VM has taken the partition over at the
    /// store.
    pub(crate) fn import_partition(
        &self,
        partition_id: u64,
        epoch: u64,
        entries: Vec<(Snapshot, u64)>,
        fenced: bool,
    ) {
        let partition = self.partition(partition_id);
        let now = Instant::now();
        for (entry, unrecorded) in entries {
            if unrecorded > 0 {
                partition.add_pending(&entry.program, unrecorded);
            }
            partition.ledger.borrow_mut().import(now, entry, unrecorded);
        }
        let programs = partition.ledger.borrow().len();
        event!(
            info,
            "allowances_adopted",
            part = partition_id,
            epoch = epoch,
            programs = programs,
            fenced = fenced
        );
        if !fenced {
            // The marks at the store could not be read.
            let until = now + self.idle_timeout();
            let mut ledger = partition.ledger.borrow_mut();
            ledger.mark_incomplete(Unrecorded::Quarter, until);
            drop(ledger);
            partition.own(Ownership {
                epoch: epoch + 1,
                sequence: 0,
                fenced: false,
                origin: Origin::HandedOver,
            });
        }
    }

    /// The partitions that this VM owns, and their epochs, as announced to the other members.
    /// Partitions taken over from replicas alone are left out: they must not displace an owner that
    /// the store has confirmed.
    pub(crate) fn ownership_claims(&self) -> Vec<(Shard, Epoch)> {
        let partitions = self.by_id.borrow();
        let confirmed = partitions.iter().filter_map(|(partition_id, partition)| {
            let ownership = partition
                .ownership
                .get()
                .filter(|ownership| ownership.fenced)?;
            Some((Shard(*partition_id), Epoch(ownership.epoch)))
        });
        let mut claims: Vec<_> = confirmed.collect();
        claims.sort_unstable();
        claims
    }

    pub(crate) fn owned(&self) -> Vec<(u64, Rc<Partition>)> {
        let partitions = self.by_id.borrow();
        let owned = partitions
            .iter()
            .filter(|(_, partition)| partition.ownership.get().is_some());
        owned
            .map(|(partition_id, partition)| (*partition_id, Rc::clone(partition)))
            .collect()
    }

    /// The number of owned partitions, and of programs in them.
    pub(crate) fn owned_counts(&self) -> (usize, usize) {
        let partitions = self.by_id.borrow();
        let owned = partitions
            .values()
            .filter(|partition| partition.ownership.get().is_some());
        owned.fold((0, 0), |(count, programs), partition| {
            (count + 1, programs + partition.ledger.borrow().len())
        })
    }
}

pub(crate) fn writer(epoch: u64, sequence: u64) -> Writer {
    Writer {
        name: "allowance".to_owned(),
        epoch,
        sequence,
        expected_end: None,
    }
}

pub(crate) fn encode_record(key: &str, value: u64) -> Record {
    Record {
        key: key.to_owned(),
        value: Some(Bytes::from(value.to_string())),
    }
}

pub(crate) fn decode_value(value: &Bytes) -> Option<u64> {
    std::str::from_utf8(value).ok()?.parse().ok()
}
