//! Drops expired turns from memory and from the store.

use super::{Conversations, Gateway, MAX_CLOCK_SKEW, millis};
use crate::clock;
use crate::conversation::{Bucket, Turn};
use crate::platform::records::{FALLBACK_TURN_TOPIC, turn_topic};
use crate::platform::store::Record;
use crate::telemetry::event;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Time between two sweeps of the memory.
const MEMORY_SWEEP_INTERVAL: Duration = Duration::from_millis(500);
/// Time between two sweeps of the store. A sweep reads all records of the buckets. They hold
/// records of two minutes, so that each record is read about three times.
const STORE_SWEEP_INTERVAL: Duration = Duration::from_mins(1);

/// Drops expired turns until the process ends.
pub(in crate::gateway) async fn run(gateway: Rc<Gateway>) {
    let conversations = Rc::clone(&gateway.conversations);
    let mut last_store_sweep = Instant::now();
    loop {
        sleep(MEMORY_SWEEP_INTERVAL).await;
        let now = Instant::now();
        conversations.cache.borrow_mut().expire(now);
        conversations.locations.borrow_mut().expire(now);
        if last_store_sweep.elapsed() >= STORE_SWEEP_INTERVAL && gateway.has_store() {
            last_store_sweep = now;
            gateway.sweep_store().await;
        }
    }
}

impl Gateway {
    /// Drops expired turns from the buckets of which this VM is the first home VM.
    async fn sweep_store(&self) {
        let conversations = &self.conversations;
        for number in 0..conversations.layout.count() {
            let bucket = Bucket(number);
            let homes = self.home_vms(bucket);
            if homes
                .first()
                .is_some_and(|home| home.vm == self.settings.vm)
            {
                let topic = turn_topic(conversations.layout.topic(bucket));
                conversations
                    .sweep_partition(&topic, conversations.layout.partition(bucket))
                    .await;
            }
        }
        if self.is_first_for("turns/detours") {
            for partition in 0..conversations.layout.partitions {
                conversations
                    .sweep_partition(FALLBACK_TURN_TOPIC, partition)
                    .await;
            }
        }
    }

    fn is_first_for(&self, key: &str) -> bool {
        let ranked = self.ranked_members(key);
        ranked
            .first()
            .is_some_and(|first| first.vm == self.settings.vm)
    }
}

impl Conversations {
    async fn sweep_partition(&self, topic: &str, partition: u64) {
        let store = self.store.borrow().clone();
        let Ok(newest) = store.read_latest(topic, partition).await else {
            // The next sweep tries again.
            return;
        };
        let deletions: Vec<Record> = newest
            .records
            .iter()
            .filter_map(deletion_if_expired)
            .collect();
        if deletions.is_empty() {
            return;
        }
        // A turn whose retention was extended since the read must stay. The next sweep deletes the others.
        let result = store
            .append_if_unchanged(topic, partition, &deletions, newest.end)
            .await;
        let fault = result
            .err()
            .map_or_else(String::new, |fault| fault.to_string());
        let retained = newest.records.len() - deletions.len();
        event!(
            info,
            "turns_dropped",
            topic = topic,
            part = partition,
            turns = deletions.len(),
            kept = retained,
            fault = fault
        );
    }
}

/// The record that deletes `record`, if its turn has expired or can't be decoded.
fn deletion_if_expired(record: &Record) -> Option<Record> {
    let turn = record.value.as_deref().and_then(Turn::decode);
    let now_ms = clock::wall_ms();
    let retained = turn.is_some_and(|turn| turn.until_ms + millis(MAX_CLOCK_SKEW) > now_ms);
    (!retained).then(|| Record {
        key: record.key.clone(),
        value: None,
    })
}
