//! Records that lie in several partitions of the store, of which some may be unavailable.
//!
//! They are written to a majority of the partitions and read from a majority, so that a read finds what was written
//! before, wherever the store is unavailable at either time.

use super::store::{Error, Latest, Record, Store};
use crate::policy::fallback::majority;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use std::pin::pin;
use std::time::Duration;
use tokio::time::sleep;

/// Delay after which all partitions are written to, if the first ones have not all answered.
const HEDGE_DELAY: Duration = Duration::from_millis(60);

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
            let append = self.append(topic, partition, records, None);
            (partition, append.await.is_ok())
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
                () = &mut hedge_timer, if !is_hedged => {
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
