//! Drops programs that have been idle for too long, and writes heartbeats.

use crate::gateway::Gateway;
use crate::gateway::tokens::partitions::Partitions;
use crate::platform::store::Record;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// How long replicas of allowances received from partition owners are kept, at least.
const REPLICA_LIFETIME: Duration = Duration::from_mins(2);
/// Time that a program may pause between two turns where no route allows more.
pub(super) const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_mins(1);
/// Added to the idle timeout before the records of a program are dropped.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_secs(30);

impl Partitions {
    /// Time that a program may pause between two turns.
    pub(crate) const fn idle_timeout(&self) -> Duration {
        self.idle_timeout.get()
    }

    /// Notes for how long a route lets programs pause. Programs that began under it may still come back once it is gone.
    fn note_idle_timeout(&self, idle: Duration) {
        self.idle_timeout.set(idle.max(self.idle_timeout.get()));
    }

    /// Drops outdated replicas, and drops programs that have been idle for too long from memory and the
    /// store.
    async fn expire_idle(self: &Rc<Self>) {
        let idle = self.idle_timeout() + IDLE_TIMEOUT_MARGIN;
        let replica_lifetime = REPLICA_LIFETIME.max(idle);
        for partition in self.by_id.borrow().values() {
            let mut replicas = partition.replicas.borrow_mut();
            replicas.retain(|_, (_, updated_at)| updated_at.elapsed() < replica_lifetime);
            partition
                .unrecorded_replicas
                .borrow_mut()
                .retain(|program, _| replicas.contains_key(program));
        }
        for (partition_id, partition) in self.owned() {
            let expired = partition.ledger.borrow_mut().expire(Instant::now(), idle);
            let fenced = partition
                .ownership
                .get()
                .is_some_and(|ownership| ownership.fenced);
            if expired.is_empty() || !fenced || partition.writer_running.replace(true) {
                continue;
            }
            let dropped = expired.into_iter().map(|key| Record { key, value: None });
            let records: Vec<Record> = dropped.collect();
            if let Some(ownership) = partition.ownership.get() {
                self.append_batch(partition_id, &partition, ownership, &records)
                    .await;
            }
            self.drop_fallback_records(partition_id, &partition, &records)
                .await;
            tokio::task::spawn_local(Rc::clone(self).write_pending(partition_id, partition));
        }
    }
}

/// Writes heartbeats and drops idle programs until the process ends.
pub(crate) async fn run_maintenance(gateway: Rc<Gateway>) {
    let mut last_expiry = Instant::now();
    loop {
        sleep(HEARTBEAT_INTERVAL).await;
        gateway.partitions.queue_heartbeats();
        let table = gateway.routing.borrow().table.clone();
        if let Some(pause) = table.and_then(|table| table.longest_program_pause()) {
            gateway.partitions.note_idle_timeout(pause);
        }
        if last_expiry.elapsed() >= IDLE_TIMEOUT_MARGIN / 3 {
            last_expiry = Instant::now();
            gateway.partitions.expire_idle().await;
        }
    }
}
