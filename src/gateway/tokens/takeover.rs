//! Takes over a partition from its previous owner.

use crate::clock;
use crate::gateway::tokens::partition::{Ownership, Partition};
use crate::gateway::tokens::partitions::{
    HEARTBEAT_KEY, INTERNAL_KEY_PREFIX, PROGRAM_IDLE_TIMEOUT, Partitions, decode_value, writer,
};
use crate::id::Offset;
use crate::platform::records::ALLOWANCE_TOPIC;
use crate::platform::store::{Error, Latest, Record, Writer};
use crate::policy::allowance::Ledger;
use crate::policy::share::Origin;
use crate::telemetry::event;
use bytes::Bytes;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// Key of the record that names the owner.
const OWNER_KEY: &str = "@owner";
/// Epochs per millisecond of the wall clock. The VM number is added to the time, so that two VMs do
/// not use the same epoch.
const EPOCHS_PER_MS: u64 = 1 << 12;
/// Added to an epoch that the store rejects as too low; equals ten seconds of the clock.
const EPOCH_STEP: u64 = 10_000 * EPOCHS_PER_MS;
/// Uptime after which this VM has received replicas for all programs that are still active.
const MIN_UPTIME_FOR_REPLICAS: Duration = Duration::from_secs(5);
/// Key of the record that marks a partition as incomplete: tokens granted without a record may have
/// been lost. Its value is the Unix time in milliseconds at which the mark expires.
const INCOMPLETE_KEY: &str = "@doubt";
/// A longer gap between the last heartbeat of a partition and the start of the oldest VM means that
/// the store was unavailable in between. Exceeds the restart time after a power loss of all VMs.
const MIN_OUTAGE: Duration = Duration::from_millis(2500);

/// Tokens that a record counts for which can't be read; more than any budget.
const UNREADABLE_ALLOWANCE: u64 = u32::MAX as u64;

/// Why a partition could not be taken over.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum TakeoverError {
    /// A call for the partition itself failed.
    Store(Error),
    /// Too few of its fallback partitions can be read.
    FallbackUnreadable(Error),
}

impl From<Error> for TakeoverError {
    fn from(error: Error) -> Self {
        Self::Store(error)
    }
}

/// The owner record of a partition.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct OwnerRecord {
    /// The owner's address and the Unix time of its takeover in milliseconds, separated by a space.
    record: Option<Bytes>,
    /// End offset of the partition when the record was read.
    pub(crate) end: Offset,
}

impl OwnerRecord {
    /// Whether the partition never had an owner.
    pub(crate) const fn is_absent(&self) -> bool {
        self.record.is_none()
    }

    /// The owner's address for messages between VMs.
    pub(crate) fn address(&self) -> Option<SocketAddr> {
        let text = std::str::from_utf8(self.record.as_ref()?).ok()?;
        let (address, _taken_over_ms) = text.split_once(' ')?;
        address.parse().ok()
    }
}

impl Partitions {
    /// Reads the owner record of a partition.
    pub(crate) async fn read_owner(&self, partition_id: u64) -> Result<OwnerRecord, Error> {
        let newest = self
            .store
            .read_latest(ALLOWANCE_TOPIC, partition_id)
            .await?;
        let mut records = newest.records.into_iter();
        let record = records.find(|record| record.key == OWNER_KEY);
        Ok(OwnerRecord {
            record: record.and_then(|record| record.value),
            end: newest.end,
        })
    }

    /// Takes a partition over: fences off the previous writer, then reads its records.
    ///
    /// With `as_of`, fails with [`Error::Conflict`] if anything was written to the partition after
    /// that offset. VMs that start at the same time all read that there is no owner; the condition
    /// lets only one of them win.
    pub(crate) async fn take_over(
        &self,
        partition_id: u64,
        partition: &Partition,
        as_of: Option<Offset>,
        origin: Origin,
    ) -> Result<(), TakeoverError> {
        let _guard = partition.takeover_lock.lock().await;
        if partition
            .ownership
            .get()
            .is_some_and(|ownership| ownership.fenced)
        {
            return Ok(());
        }
        // Checked before the previous owner is fenced off: it may be well, and can't be replaced without these.
        let readable = self.read_fallback_records(partition_id).await;
        readable.map_err(TakeoverError::FallbackUnreadable)?;
        let began = (Instant::now(), clock::wall_ms());
        let ownership = self
            .fence_previous_owner(partition_id, as_of, origin)
            .await?;
        partition.last_confirmed_write.set(Some(began));
        let newest = self.read_records(partition_id, partition).await?;
        let replicas = partition.replicas.take();
        let ledger = self.build_ledger(partition, &newest.records, &replicas);
        event!(
            info,
            "allowances_taken",
            part = partition_id,
            epoch = ownership.epoch,
            programs = ledger.len(),
            copies = replicas.len(),
            oldest_ms = partition.oldest_uptime_ms.get(),
            doubtful = ledger.is_incomplete()
        );
        // The store may lack these, and the next owner would miss them.
        for (program, (allowed, _)) in replicas {
            partition.add_pending(&program, allowed);
        }
        // A replica may be older than the record. Writing it would lower the allowance.
        let recorded = |key: &str| {
            let record = newest.records.iter().find(|record| record.key == key)?;
            record.value.as_ref().and_then(decode_value)
        };
        let mut pending = partition.pending.borrow_mut();
        pending.retain(|key, allowed| recorded(key).is_none_or(|recorded| recorded < *allowed));
        drop(pending);
        partition.add_pending(HEARTBEAT_KEY, clock::wall_ms());
        partition.ledger.replace(ledger);
        partition.ownership.set(Some(ownership));
        partition.successor.set(None);
        Ok(())
    }

    /// Writes the owner record under a new epoch, so that the store rejects the previous writer.
    async fn fence_previous_owner(
        &self,
        partition_id: u64,
        expected_end: Option<Offset>,
        origin: Origin,
    ) -> Result<Ownership, Error> {
        let record = Bytes::from(format!("{} {}", self.address, clock::wall_ms()));
        let owner = [Record {
            key: OWNER_KEY.to_owned(),
            value: Some(record.clone()),
        }];
        let mut epoch = self.next_epoch();
        loop {
            let writer = Writer {
                expected_end,
                ..writer(epoch, 0)
            };
            let append =
                self.store
                    .append_hedged(ALLOWANCE_TOPIC, partition_id, &owner, Some(&writer));
            let mut done = append.await;
            // The first answer may have been lost, and the end offset moved by this very record.
            if done == Err(Error::Conflict)
                && self.read_owner(partition_id).await?.record == Some(record.clone())
            {
                done = Ok(());
            }
            match done {
                Ok(()) => {
                    return Ok(Ownership {
                        epoch,
                        sequence: 1,
                        fenced: true,
                        origin,
                    });
                }
                Err(Error::Conflict) => return Err(Error::Conflict),
                // The previous owner's clock is ahead of this one's.
                Err(Error::Fenced) => epoch += EPOCH_STEP,
                Err(fault) => {
                    self.record_store_result(false);
                    return Err(fault);
                }
            }
        }
    }

    /// Reads the records of a partition, and merges those in its fallback partitions into the
    /// replicas.
    async fn read_records(
        &self,
        partition_id: u64,
        partition: &Partition,
    ) -> Result<Latest, TakeoverError> {
        let (newest, fallback_records) = tokio::join!(
            self.store.read_latest(ALLOWANCE_TOPIC, partition_id),
            self.read_fallback_records(partition_id),
        );
        self.record_store_result(newest.is_ok());
        let newest = newest?;
        let fallback_records = fallback_records.map_err(TakeoverError::FallbackUnreadable)?;
        for record in fallback_records {
            let (Some(allowed), true) = (
                record_value(&record),
                self.partition_of(&record.key) == partition_id,
            ) else {
                continue;
            };
            // Fallback partitions that were not read may have it as well.
            let possible = self.fallback_partitions(partition_id).into_iter();
            let possible = possible.map(|fallback| (fallback, record.key.clone()));
            partition.fallback_records.borrow_mut().extend(possible);
            let mut replicas = partition.replicas.borrow_mut();
            let known = replicas.entry(record.key);
            let known = known.or_insert((0, Instant::now()));
            known.0 = allowed.max(known.0);
        }
        Ok(newest)
    }

    /// Builds the ledger from the records and the replicas.
    fn build_ledger(
        &self,
        partition: &Partition,
        records: &[Record],
        replicas: &HashMap<String, (u64, Instant)>,
    ) -> Ledger {
        let now = Instant::now();
        // Accounts that this VM already owns are newer than their records.
        let mut ledger = partition.ledger.take();
        if partition.ownership.get().is_none() {
            let doubtful = ledger.is_incomplete();
            ledger = Ledger::default();
            if doubtful {
                ledger.mark_incomplete();
            }
        }
        let programs = records.iter();
        for record in programs.filter(|record| !record.key.starts_with(INTERNAL_KEY_PREFIX)) {
            if let Some(allowed) = record_value(record) {
                ledger.restore(now, &record.key, allowed);
            }
        }
        for (program, (allowed, _)) in replicas {
            ledger.restore(now, program, *allowed);
        }
        // In a handover no VM is asked for replicas, since the previous owner sends everything;
        // this VM's own uptime is used then.
        let oldest_uptime_ms = partition.oldest_uptime_ms.get().max(self.uptime_ms());
        if may_lack_grants(records, oldest_uptime_ms) {
            ledger.mark_incomplete();
            let until = clock::wall_ms()
                + u64::try_from(PROGRAM_IDLE_TIMEOUT.as_millis()).unwrap_or(u64::MAX);
            partition.add_pending(INCOMPLETE_KEY, until);
        }
        ledger
    }

    /// Takes a partition over from replicas alone while the store is unavailable.
    ///
    /// The previous owner may still be running behind a network partition. It cannot grant more
    /// than its durable or replicated allowances, and all of these count as spent here.
    pub(crate) fn take_over_from_replicas(&self, partition_id: u64, partition: &Partition) -> bool {
        let replicas = partition.replicas.borrow();
        if replicas.is_empty() || self.started_at.elapsed() < MIN_UPTIME_FOR_REPLICAS {
            return false;
        }
        let mut ledger = Ledger::default();
        for (program, (allowed, _)) in replicas.iter() {
            ledger.restore(Instant::now(), program, *allowed);
            // The store can't be asked which of them it has.
            partition.add_pending(program, *allowed);
        }
        event!(
            warn,
            "allowances_taken_from_copies",
            part = partition_id,
            programs = replicas.len()
        );
        partition.ledger.replace(ledger);
        partition.ownership.set(Some(Ownership {
            epoch: self.next_epoch(),
            sequence: 0,
            fenced: false,
            origin: Origin::Unresponsive(Instant::now()),
        }));
        true
    }

    /// A new epoch, higher than earlier ones and different from those of other VMs.
    fn next_epoch(&self) -> u64 {
        clock::wall_ms() * EPOCHS_PER_MS + self.vm_number % EPOCHS_PER_MS
    }
}

/// The allowance in a program's record; `None` for a tombstone. A record that can't be read counts as the highest
/// allowance.
fn record_value(record: &Record) -> Option<u64> {
    let value = record.value.as_ref()?;
    let allowed = decode_value(value);
    if allowed.is_none() {
        event!(warn, "allowance_unreadable", program = record.key);
    }
    Some(allowed.unwrap_or(UNREADABLE_ALLOWANCE))
}

/// Whether the previous owner may have granted tokens that neither a record nor a running VM knows
/// of: it could not write for a while, and then all VMs were lost.
fn may_lack_grants(records: &[Record], oldest_uptime_ms: u64) -> bool {
    let time_of = |key| {
        let record = records.iter().find(|record| record.key == key);
        record.and_then(|record| record.value.as_ref().and_then(decode_value))
    };
    let now = clock::wall_ms();
    let min_outage_ms = u64::try_from(MIN_OUTAGE.as_millis()).unwrap_or(u64::MAX);
    let gap_after_heartbeat = time_of(HEARTBEAT_KEY)
        .is_some_and(|heartbeat| heartbeat + min_outage_ms + oldest_uptime_ms < now);
    gap_after_heartbeat || time_of(INCOMPLETE_KEY).is_some_and(|until| now < until)
}
