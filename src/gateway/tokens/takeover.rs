//! Takes over a partition from its previous owner.

use crate::clock;
use crate::gateway::tokens::partition::{Ownership, Partition};
use crate::gateway::tokens::partitions::{
    HEARTBEAT_KEY, INTERNAL_KEY_PREFIX, Partitions, decode_value, writer,
};
use crate::id::Offset;
use crate::platform::records::ALLOWANCE_TOPIC;
use crate::platform::store::{Error, Latest, Record, Writer};
use crate::policy::allowance::Ledger;
use crate::policy::share::Origin;
use crate::policy::unrecorded::Unrecorded;
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
/// Uptime after which this VM takes over from replicas.
const MIN_UPTIME_FOR_REPLICAS: Duration = Duration::from_secs(5);
/// Keys of the records that mark a partition as incomplete: tokens granted without a record may have
/// been lost. Their value is the Unix time in milliseconds at which the mark expires.
pub(super) const INCOMPLETE_KEYS: [(Unrecorded, &str); 2] = [
    (Unrecorded::Half, "@doubt"),
    (Unrecorded::Quarter, "@quarter"),
];

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
        let ledger = self.build_ledger(partition, origin, &newest.records, &replicas);
        let lost = ledger.lost(Instant::now());
        event!(
            info,
            "allowances_taken",
            part = partition_id,
            epoch = ownership.epoch,
            programs = ledger.len(),
            copies = replicas.len(),
            known_ms = partition
                .known_since
                .get()
                .map_or(0, |since| since.elapsed().as_millis()),
            doubtful = (lost != Unrecorded::None),
            lost = lost
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
        partition.own(ownership);
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
            let append = async || {
                let append =
                    self.store
                        .append_hedged(ALLOWANCE_TOPIC, partition_id, &owner, Some(&writer));
                append.await
            };
            let mut done = self.store.repeat_while_busy(append).await;
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
        origin: Origin,
        records: &[Record],
        replicas: &HashMap<String, (u64, Instant)>,
    ) -> Ledger {
        let now = Instant::now();
        // Accounts that this VM already owns are newer than their records.
        let mut ledger = partition.ledger.take();
        if partition.ownership.get().is_none() {
            let previous = std::mem::take(&mut ledger);
            ledger.inherit_lost(&previous);
        }
        let programs = records.iter();
        for record in programs.filter(|record| !record.key.starts_with(INTERNAL_KEY_PREFIX)) {
            if let Some(allowed) = record_value(record) {
                ledger.restore(now, &record.key, allowed);
            }
        }
        for (program, (allowed, _)) in replicas {
            ledger.restore_unrecorded(now, program, *allowed);
        }
        // What this VM was told may be known to nobody else.
        let lost = lost_grants(records, origin, partition.known_since.get()).max(ledger.lost(now));
        if let Some((_, key)) = INCOMPLETE_KEYS.iter().find(|(mark, _)| *mark == lost) {
            ledger.mark_incomplete(lost, now + self.idle_timeout());
            let until = clock::wall_ms()
                + u64::try_from(self.idle_timeout().as_millis()).unwrap_or(u64::MAX);
            partition.add_pending(key, until);
        }
        ledger
    }

    /// Takes a partition over from replicas alone while the store is unavailable.
    ///
    /// The previous owner may still be running behind a network partition, and the replicas may lack what it has recorded.
    /// So nothing is granted until the store is back.
    pub(crate) fn take_over_from_replicas(&self, partition_id: u64, partition: &Partition) -> bool {
        let replicas = partition.replicas.borrow();
        if replicas.is_empty() || self.started_at.elapsed() < MIN_UPTIME_FOR_REPLICAS {
            return false;
        }
        let mut ledger = Ledger::default();
        for (program, (allowed, _)) in replicas.iter() {
            ledger.restore_unrecorded(Instant::now(), program, *allowed);
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
        partition.own(Ownership {
            epoch: self.next_epoch(),
            sequence: 0,
            fenced: false,
            origin: Origin::Unresponsive(Instant::now()),
        });
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

/// What the previous owner may have granted that neither a record nor a running VM knows of: it could not write for a
/// while, and then it was lost with those that knew.
fn lost_grants(records: &[Record], origin: Origin, known_since: Option<Instant>) -> Unrecorded {
    let time_of = |key: &str| {
        let record = records.iter().find(|record| record.key == key);
        record.and_then(|record| record.value.as_ref().and_then(decode_value))
    };
    let now = clock::wall_ms();
    let marks = INCOMPLETE_KEYS.iter();
    let marked = marks.filter(|(_, key)| time_of(key).is_some_and(|until| now < until));
    let marked = marked.map(|(mark, _)| *mark).max().unwrap_or_default();
    // There was no owner, or it has sent all that it knew.
    if matches!(origin, Origin::First | Origin::HandedOver) {
        return marked;
    }
    let known_for = known_since.map(|since| since.elapsed());
    let heartbeat_age = match time_of(HEARTBEAT_KEY) {
        Some(heartbeat) => Duration::from_millis(now.saturating_sub(heartbeat)),
        // The previous owner was lost before its first heartbeat.
        None => known_for.unwrap_or_default(),
    };
    marked.max(Unrecorded::lost(heartbeat_age, known_for))
}
