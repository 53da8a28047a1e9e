//! Records that lie in several partitions of the store, of which some may be unavailable.
//!
//! They are written to a majority of the partitions and read from a majority, so that a read finds what was written
//! before, wherever the store is unavailable at either time.

use super::store::{Error, Latest, Record, Store};
use crate::id::Offset;
use crate::policy::fallback::majority;
use futures::StreamExt;
use futures::future::join_all;
use futures::stream::FuturesUnordered;
use std::pin::pin;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// Partitions of a [`SpreadTopic`].
const SPREAD_PARTITIONS: u64 = 5;
/// Delay after which all partitions are written to, if the first ones have not all answered.
const HEDGE_DELAY: Duration = Duration::from_millis(60);

/// A topic whose records all lie in a majority of the same few partitions.
#[derive(Debug)]
pub(crate) struct SpreadTopic {
    store: Store,
    name: &'static str,
    partitions: Vec<u64>,
}

impl SpreadTopic {
    /// `partitions` is the number of partitions per topic.
    pub(crate) fn new(store: &Store, name: &'static str, partitions: u64) -> Self {
        // Evenly spread, since neighbours are often unavailable together.
        let spread = (0..SPREAD_PARTITIONS).map(|index| index * partitions / SPREAD_PARTITIONS);
        let mut partitions: Vec<_> = spread.collect();
        partitions.dedup();
        Self {
            store: store.separate(),
            name,
            partitions,
        }
    }

    pub(crate) const fn store(&self) -> &Store {
        &self.store
    }

    /// Number of calls to the store for one append, if all is well.
    pub(crate) const fn calls_per_append(&self) -> usize {
        majority(self.partitions.len())
    }

    /// Returns whether the records are durable.
    pub(crate) async fn append(&self, records: &[Record]) -> bool {
        let partitions = self.partitions.clone();
        self.store
            .append_to_majority(self.name, partitions, records, |_, _| {})
            .await
    }

    /// Reads all records; keys come once per partition.
    ///
    /// # Errors
    /// As [`Store::read_majority`], and if that takes longer than `limit`.
    pub(crate) async fn read(&self, limit: Duration) -> Result<Vec<Record>, Error> {
        let limit = self.store.observer().scaled_timeout(limit);
        let read = timeout(limit, self.store.read_majority(self.name, &self.partitions));
        let late = |_| Error::OutcomeUnknown("no answer in time".to_owned());
        read.await.map_err(late)?
    }

    /// Reads each partition that is available by itself, to delete records from it.
    pub(crate) async fn read_each(&self) -> Vec<(u64, Latest)> {
        let reads = self.partitions.iter().map(|partition| async move {
            let read = self.store.read_latest_or_empty(self.name, *partition);
            Some((*partition, read.await.ok()?))
        });
        join_all(reads).await.into_iter().flatten().collect()
    }

    /// Deletes records of a partition, unless it was written to since it was read. Returns whether that succeeded.
    pub(crate) async fn delete(&self, partition: u64, end: Offset, keys: Vec<String>) -> bool {
        let deletions = keys.into_iter().map(|key| Record { key, value: None });
        let deletions: Vec<_> = deletions.collect();
        let append = self
            .store
            .append_if_unchanged(self.name, partition, &deletions, end);
        append.await.is_ok()
    }
}

impl Store {
    /// Appends records to a majority of partitions, the first ones in this order if all is well. `answered` is called with
    /// each partition that answers, and whether it took the records. Returns whether a majority did.
    pub(crate) async fn append_to_majority(
        &self,
        topic: &str,
        partitions: Vec<u64>,
        records: &[Record],
        answered: impl Fn(u64, bool),
    ) -> bool {
        let needed = majority(partitions.len());
        let mut remaining = partitions.into_iter();
        let append = |partition| async move {
            // Other partitions are at the same busy store.
            let append = async || self.append(topic, partition, records, None).await;
            (partition, self.repeat_while_busy(append).await.is_ok())
        };
        let mut appends: FuturesUnordered<_> =
            remaining.by_ref().take(needed).map(append).collect();
        let mut hedge_timer = pin!(sleep(self.observer().scaled_timeout(HEDGE_DELAY)));
        let mut is_hedged = false;
        let mut taken = 0;
        while taken < needed {
            tokio::select! {
                Some((partition, is_taken)) = appends.next() => {
                    answered(partition, is_taken);
                    if is_taken {
                        taken += 1;
                    } else {
                        appends.extend(remaining.next().map(append));
                    }
                }
                () = &mut hedge_timer, if !is_hedged && !self.observer().is_busy() => {
                    is_hedged = true;
                    appends.extend(remaining.by_ref().map(append));
                }
                else => return false,
            }
        }
        true
    }

    /// Reads the newest records of a majority of partitions.
    ///
    /// # Errors
    /// The failure of a read if fewer can be read: a record may be in the others only.
    pub(crate) async fn read_majority(
        &self,
        topic: &str,
        partitions: &[u64],
    ) -> Result<Vec<Record>, Error> {
        let needed = majority(partitions.len());
        let reads = partitions.iter();
        let mut reads: FuturesUnordered<_> = reads
            .map(|partition| self.read_latest_or_empty(topic, *partition))
            .collect();
        let (mut read_count, mut records) = (0, Vec::new());
        let mut fault = Error::OutcomeUnknown("no read was attempted".to_owned());
        while let Some(read) = reads.next().await {
            match read {
                Ok(latest) => records.extend(latest.records),
                Err(error) => {
                    fault = error;
                    continue;
                }
            }
            read_count += 1;
            if read_count == needed {
                return Ok(records);
            }
        }
        Err(fault)
    }

    /// As [`Store::read_latest`]; no records if the topic does not exist, which it does from its first write on.
    pub(crate) async fn read_latest_or_empty(
        &self,
        topic: &str,
        partition: u64,
    ) -> Result<Latest, Error> {
        match self.read_latest(topic, partition).await {
            Err(Error::Refused(404)) => Ok(Latest::default()),
            read => read,
        }
    }
}
