//! Records allowances in fallback partitions while their own partition of the store rejects writes.

use crate::gateway::peers::Replica;
use crate::gateway::tokens::partition::{Ownership, Partition};
use crate::gateway::tokens::partitions::{
    Partitions, STORE_RETRY_INTERVAL, STORE_TIMEOUT, encode_record, writer,
};
use crate::platform::records::{ALLOWANCE_TOPIC, FALLBACK_ALLOWANCE_TOPIC};
use crate::platform::store::{Error, Record};
use crate::policy::fallback;
use crate::policy::store_health::LastWrite;
use crate::telemetry::event;
use std::time::Duration;
use tokio::time::{Instant, timeout};

/// Time limit of the check whether another VM has taken a partition over.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(100);

impl Partitions {
    /// Records an allowance in a fallback partition while its own partition is unavailable.
    ///
    /// The store may lose some of its partitions and serve the rest. Copies in memory would not
    /// survive a power loss of all VMs, and the program would get its budget a second time.
    pub(crate) async fn record_in_fallback_partition(
        &self,
        partition_id: u64,
        partition: &Partition,
        replica: &Replica,
    ) -> bool {
        if !self.may_try_fallback(partition) {
            return false;
        }
        let began = Instant::now();
        let record = [encode_record(&replica.program, replica.allowed)];
        let limit = self.store.observer().scaled_timeout(STORE_TIMEOUT);
        let write = self.append_to_majority(partition_id, &record);
        let written = timeout(limit, write).await;
        // Writes without an answer may take effect as well.
        let possible = self.fallback_partitions(partition_id).into_iter();
        let possible = possible.map(|fallback| (fallback, replica.program.clone()));
        partition.fallback_records.borrow_mut().extend(possible);
        if written != Ok(true) {
            self.fallback_failed_at.set(Some(Instant::now()));
            // If the store took another record meanwhile, it is slow and not lost.
            let is_slow = written.is_err() && self.last_success.get() >= Some(began);
            if !is_slow {
                self.record_store_result(false);
            }
            return false;
        }
        self.fallback_failed_at.set(None);
        self.record_store_result(true);
        event!(
            info,
            "allowance_detoured",
            program = replica.program,
            part = partition_id,
            allowed = replica.allowed
        );
        true
    }

    /// Whether the fallback partitions may be tried. That the partitions of this VM fail does not tell: the store may serve
    /// all others. After a failure one turn a second tries, and the others do not wait for it. A partition whose record was
    /// rejected as one too many takes it soon, and the others are at the same store.
    fn may_try_fallback(&self, partition: &Partition) -> bool {
        let is_rejected = partition.last_write.get() == LastWrite::Rejected;
        if is_rejected || self.store.observer().silent_for().is_some() {
            return false;
        }
        let failed_at = self.fallback_failed_at.get();
        if failed_at.is_some_and(|at| at.elapsed() < STORE_RETRY_INTERVAL) {
            return false;
        }
        self.fallback_failed_at
            .set(failed_at.map(|_| Instant::now()));
        true
    }

    /// Whether no other VM can have taken the partition over before now, as far as the store tells.
    ///
    /// Asked after a fallback record is durable: who takes the partition over later reads that record. Without this check
    /// a former owner that does not know yet that its partition is back would grant the same tokens as the new one.
    pub(crate) async fn confirm_ownership(
        &self,
        partition_id: u64,
        partition: &Partition,
        ownership: Ownership,
    ) -> bool {
        let writer = writer(ownership.epoch, ownership.sequence);
        // Appends nothing. A partition that is unavailable can't have been taken over.
        let probe = self
            .store
            .append(ALLOWANCE_TOPIC, partition_id, &[], Some(&writer));
        let limit = self.store.observer().scaled_timeout(CONFIRM_TIMEOUT);
        if let Ok(Err(Error::Fenced)) = timeout(limit, probe).await {
            self.lose_ownership(partition_id, partition, ownership.epoch);
            return false;
        }
        partition.epoch() == Some(ownership.epoch)
    }

    /// Appends records to a majority of the fallback partitions of a partition; returns whether that many took them.
    ///
    /// Whoever takes the partition over reads a majority too, so that it finds them wherever the store is then
    /// unavailable.
    async fn append_to_majority(&self, partition_id: u64, records: &[Record]) -> bool {
        let mut fallbacks = self.fallback_partitions(partition_id);
        fallbacks.sort_by_key(|fallback| self.failed_fallbacks.borrow().contains(fallback));
        let note_answer = |fallback, is_taken| {
            let mut failed = self.failed_fallbacks.borrow_mut();
            if is_taken {
                failed.remove(&fallback);
            } else {
                failed.insert(fallback);
            }
        };
        let topic = FALLBACK_ALLOWANCE_TOPIC;
        self.store
            .append_to_majority(topic, fallbacks, records, note_answer)
            .await
    }

    /// Reads the records in a majority of the fallback partitions of a partition, including those of other partitions.
    pub(crate) async fn read_fallback_records(
        &self,
        partition_id: u64,
    ) -> Result<Vec<Record>, Error> {
        let fallbacks = self.fallback_partitions(partition_id);
        self.store
            .read_majority(FALLBACK_ALLOWANCE_TOPIC, &fallbacks)
            .await
    }

    /// Drops the fallback records of programs that have expired.
    ///
    /// They are not dropped as soon as the partition itself has taken the allowance: the delete may
    /// take effect seconds later, and could remove a newer fallback record.
    pub(crate) async fn drop_fallback_records(
        &self,
        partition_id: u64,
        partition: &Partition,
        expired: &[Record],
    ) {
        for fallback in self.fallback_partitions(partition_id) {
            let records: Vec<Record> = {
                let mut fallback_records = partition.fallback_records.borrow_mut();
                let remove_tracked =
                    |record: &&Record| fallback_records.remove(&(fallback, record.key.clone()));
                expired.iter().filter(remove_tracked).cloned().collect()
            };
            if records.is_empty() {
                continue;
            }
            if let Err(fault) = self
                .store
                .append(FALLBACK_ALLOWANCE_TOPIC, fallback, &records, None)
                .await
            {
                // A fallback record that stays is harmless: the partition's own record is at least
                // as high.
                event!(debug, "detours_left", part = partition_id, reason = fault);
            }
        }
    }

    /// The fallback partitions of a partition.
    pub(crate) fn fallback_partitions(&self, partition_id: u64) -> Vec<u64> {
        fallback::partitions(partition_id, self.partition_count)
    }
}
