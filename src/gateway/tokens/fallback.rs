//! Records allowances in fallback partitions while their own partition of the store rejects writes.

use crate::gateway::peers::Replica;
use crate::gateway::tokens::partition::Partition;
use crate::gateway::tokens::partitions::{Partitions, STORE_TIMEOUT, encode_record};
use crate::platform::records::FALLBACK_ALLOWANCE_TOPIC;
use crate::platform::store::Record;
use crate::telemetry::event;
use futures::future::select_ok;
use tokio::time::{Instant, timeout};

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
        if self.should_skip_store() {
            return false;
        }
        let began = Instant::now();
        let record = [encode_record(&replica.program, replica.allowed)];
        // Written to all at once, so that a turn does not wait for one timeout after another.
        let writes = self.fallback_partitions(partition_id).map(|fallback| {
            let write = self
                .store
                .append(FALLBACK_ALLOWANCE_TOPIC, fallback, &record, None);
            Box::pin(async move { write.await.map(|()| fallback) })
        });
        let limit = self.store.observer().scaled_timeout(STORE_TIMEOUT);
        let written = timeout(limit, select_ok(writes)).await;
        let Ok(Ok((fallback, _))) = written else {
            // If the store took another record meanwhile, it is slow and not lost.
            let is_slow = written.is_err() && self.last_success.get() >= Some(began);
            if !is_slow {
                self.record_store_result(false);
            }
            return false;
        };
        self.record_store_result(true);
        // The other writes may take effect as well.
        let possible = self
            .fallback_partitions(partition_id)
            .map(|fallback| (fallback, replica.program.clone()));
        partition.fallback_records.borrow_mut().extend(possible);
        event!(
            info,
            "allowance_detoured",
            program = replica.program,
            part = partition_id,
            through = fallback,
            allowed = replica.allowed
        );
        true
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
    pub(crate) fn fallback_partitions(&self, partition_id: u64) -> [u64; 3] {
        [self.partition_count / 2, self.partition_count / 3, 1]
            .map(|offset| (partition_id + offset) % self.partition_count)
    }
}
