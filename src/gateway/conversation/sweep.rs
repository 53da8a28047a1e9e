//! Drops turns that nobody can come back to, from memory and from the store.

use super::{Conversations, Gateway, SKEW, millis};
use crate::clock;
use crate::conversation::{Bucket, Turn};
use crate::platform::records::{FALLBACK_TURN_TOPIC, turn_topic};
use crate::platform::store::Record;
use crate::telemetry::event;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Time between two looks at what is in memory.
const TICK: Duration = Duration::from_millis(500);
/// Time between two looks at one bucket of the store. A look reads all that it holds; it holds records
/// of two minutes, so that each record is read about three times.
const SWEEP: Duration = Duration::from_mins(1);

/// Keeps house until the process ends.
pub(in crate::gateway) async fn run(gateway: Rc<Gateway>) {
    let all = Rc::clone(&gateway.conversations);
    let mut swept = Instant::now();
    loop {
        sleep(TICK).await;
        let now = Instant::now();
        all.cache.borrow_mut().expire(now);
        all.pointers.borrow_mut().expire(now);
        if swept.elapsed() >= SWEEP && gateway.has_store() {
            swept = now;
            gateway.sweep_store().await;
        }
    }
}

impl Gateway {
    /// Drops what is over from the buckets for which this VM comes first.
    async fn sweep_store(&self) {
        let all = &self.conversations;
        for number in 0..all.layout.count() {
            let bucket = Bucket(number);
            let homes = self.homes(bucket);
            if homes
                .first()
                .is_some_and(|home| home.vm == self.settings.vm)
            {
                let topic = turn_topic(all.layout.topic(bucket));
                all.sweep(&topic, all.layout.partition(bucket)).await;
            }
        }
        if self.is_first_of("turns/detours") {
            for part in 0..all.layout.partitions {
                all.sweep(FALLBACK_TURN_TOPIC, part).await;
            }
        }
    }

    fn is_first_of(&self, key: &str) -> bool {
        let ranked = self.ranked(key);
        ranked
            .first()
            .is_some_and(|first| first.vm == self.settings.vm)
    }
}

impl Conversations {
    async fn sweep(&self, topic: &str, part: u64) {
        let store = self.store.borrow().clone();
        let Ok(newest) = store.read_latest(topic, part).await else {
            // The next sweep finds it.
            return;
        };
        let over: Vec<Record> = newest.records.iter().filter_map(is_over).collect();
        if over.is_empty() {
            return;
        }
        let dropped = store.append(topic, part, &over, None).await;
        let fault = dropped
            .err()
            .map_or_else(String::new, |fault| fault.to_string());
        let kept = newest.records.len() - over.len();
        event!(
            info,
            "turns_dropped",
            topic = topic,
            part = part,
            turns = over.len(),
            kept = kept,
            fault = fault
        );
    }
}

/// What drops a record, where nobody can come back to it. One that is no turn is nobody's.
fn is_over(record: &Record) -> Option<Record> {
    let turn = record.value.as_deref().and_then(Turn::decode);
    let now_ms = clock::wall_ms();
    let kept = turn.is_some_and(|turn| turn.until_ms + millis(SKEW) > now_ms);
    (!kept).then(|| Record {
        key: record.key.clone(),
        value: None,
    })
}
