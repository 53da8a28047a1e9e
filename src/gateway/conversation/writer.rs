//! Writes the turns of one bucket to the store.
//!
//! The end of an answer waits for its turn to be written. Turns that arrive during a write share
//! the next one, a write without an answer is sent again (turns are immutable), and a store that is
//! unavailable is probed by one bucket at a time. While it is silent no bucket writes; see `silence`.

use super::Conversations;
use crate::clock;
use crate::conversation::{Bucket, Outbox, Turn};
use crate::platform::records::turn_topic;
use crate::platform::store::{Error, Record, pause_when_busy};
use crate::policy::store_health::LastWrite;
use crate::telemetry::event;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{MutexGuard, oneshot};
use tokio::time::sleep;

/// Size limit of one write; the store accepts 2 MB.
const MAX_WRITE_BYTES: usize = 1 << 20;
/// Initial and maximum delay after a failed write. The ends of answers that wait for the store go
/// out at most the maximum delay after its return.
const RETRY_BACKOFF: (Duration, Duration) = (Duration::from_millis(60), Duration::from_millis(300));

/// Turns of one bucket that are not recorded at the store yet.
#[derive(Debug, Default)]
pub(super) struct BucketWriter {
    pub(super) outbox: RefCell<Outbox>,
    running: Cell<bool>,
    pub(super) last_write: Cell<LastWrite>,
    waiters: RefCell<Vec<Waiter>>,
}

/// Waits for the store to have a turn with at least this retention.
#[derive(Debug)]
struct Waiter {
    turn: Rc<Turn>,
    recorded: oneshot::Sender<()>,
}

impl BucketWriter {
    /// Applies a batch that the store has acknowledged.
    fn mark_recorded(&self, batch: &[Rc<Turn>]) {
        self.outbox.borrow_mut().mark_recorded(batch);
        let covers = |waiter: &Waiter| {
            batch
                .iter()
                .any(|turn| turn.id == waiter.turn.id && turn.until_ms >= waiter.turn.until_ms)
        };
        let waiters = self.waiters.take().into_iter();
        let (covered, others): (Vec<_>, Vec<_>) = waiters.partition(covers);
        self.waiters.replace(others);
        for waiter in covered {
            // Fails if nobody waits any longer.
            let _ = waiter.recorded.send(());
        }
    }
}

/// A turn that was queued to be recorded. Dropping it takes the turn out of the queue: a write that is late could shorten
/// a retention that was extended since, or record a turn whose answer was cut.
#[derive(Debug)]
pub(super) struct QueuedTurn {
    pub(super) turn: Rc<Turn>,
    writer: Rc<BucketWriter>,
    recorded: oneshot::Receiver<()>,
}

impl QueuedTurn {
    /// The writer of the turn's bucket.
    pub(super) fn writer(&self) -> Rc<BucketWriter> {
        Rc::clone(&self.writer)
    }

    /// Waits until the turn's own partition has it.
    pub(super) async fn wait_until_recorded(&mut self) {
        if (&mut self.recorded).await.is_err() {
            // Only a removed waiter drops the sender, and that is removed after this one.
            std::future::pending::<()>().await;
        }
    }
}

impl Drop for QueuedTurn {
    fn drop(&mut self) {
        self.writer.outbox.borrow_mut().remove(&self.turn);
    }
}

impl Conversations {
    /// Queues a turn to be recorded, and starts the writer of its bucket if it is idle.
    pub(super) fn enqueue(self: &Rc<Self>, turn: Rc<Turn>) -> QueuedTurn {
        let bucket = self.layout.bucket(&turn.id);
        let writer = self.writer(bucket);
        let (sender, recorded) = oneshot::channel();
        let mut waiters = writer.waiters.borrow_mut();
        waiters.retain(|waiter| !waiter.recorded.is_closed());
        waiters.push(Waiter {
            turn: Rc::clone(&turn),
            recorded: sender,
        });
        drop(waiters);
        writer.outbox.borrow_mut().push(Rc::clone(&turn));
        if !writer.running.replace(true) {
            tokio::task::spawn_local(Rc::clone(self).write_pending(bucket, Rc::clone(&writer)));
        }
        QueuedTurn {
            turn,
            writer,
            recorded,
        }
    }

    /// Writes queued turns until none are left.
    async fn write_pending(self: Rc<Self>, bucket: Bucket, writer: Rc<BucketWriter>) {
        let mut delay = RETRY_BACKOFF.0;
        let mut probe = None;
        let mut rejections = 0;
        loop {
            self.wait_out_silence(bucket).await;
            writer.outbox.borrow_mut().expire(clock::wall_ms());
            let batch = writer.outbox.borrow().batch(MAX_WRITE_BYTES);
            if batch.is_empty() {
                self.record_flow(bucket);
                writer.running.set(false);
                return;
            }
            match self.append_batch(bucket, &batch).await {
                Ok(()) => {
                    rejections = 0;
                    writer.mark_recorded(&batch);
                    writer.last_write.set(LastWrite::Taken);
                    self.record_store_success();
                    self.record_flow(bucket);
                    drop(probe.take());
                    delay = RETRY_BACKOFF.0;
                }
                Err(fault) if self.store.borrow().is_busy_rejection(&fault) => {
                    rejections += 1;
                    writer.last_write.set(LastWrite::Rejected);
                    pause_when_busy(rejections).await;
                }
                Err(fault) => {
                    self.record_store_failure();
                    if self.store.borrow().observer().silent_for().is_some() {
                        continue;
                    }
                    writer.last_write.set(LastWrite::Failed);
                    self.record_stuck(bucket, &fault);
                    // The next bucket probes.
                    drop(probe.take());
                    probe = self.wait_to_retry(bucket, delay).await;
                    delay = (delay * 2).min(RETRY_BACKOFF.1);
                }
            }
        }
    }

    fn record_store_success(&self) {
        self.consecutive_failures.set(0);
        self.store_recovered.notify_waiters();
    }

    /// Logs the first of the buckets whose records the store refuses.
    fn record_stuck(&self, bucket: Bucket, fault: &Error) {
        let mut stuck = self.stuck_buckets.borrow_mut();
        if stuck.is_empty() {
            event!(warn, "turns_stuck", bucket = bucket, reason = fault);
        }
        stuck.insert(bucket);
    }

    /// Logs that no bucket is stuck any longer.
    fn record_flow(&self, bucket: Bucket) {
        let mut stuck = self.stuck_buckets.borrow_mut();
        if stuck.remove(&bucket) && stuck.is_empty() {
            event!(info, "turns_flow", bucket = bucket);
        }
    }

    /// Waits after a failed write. While the store is unavailable, one bucket at a time retries after `delay`, in the
    /// order of waiting, and the others wait until a bucket succeeds. Returns the right to probe, to be kept until the
    /// next write has ended.
    async fn wait_to_retry(&self, bucket: Bucket, delay: Duration) -> Option<MutexGuard<'_, ()>> {
        if !self.is_store_down() {
            sleep(delay).await;
            return None;
        }
        let waiting = self.silence.wait(bucket);
        tokio::select! {
            biased;
            () = self.store_recovered.notified() => {
                waiting.release().await;
                None
            }
            probe = self.probe.lock() => {
                sleep(delay).await;
                Some(probe)
            }
        }
    }

    async fn append_batch(&self, bucket: Bucket, batch: &[Rc<Turn>]) -> Result<(), Error> {
        let records: Vec<Record> = batch.iter().map(|turn| turn_record(turn)).collect();
        let topic = turn_topic(self.layout.topic(bucket));
        let partition = self.layout.partition(bucket);
        let store = self.store.borrow().clone();
        let result = store.append_hedged(&topic, partition, &records, None).await;
        if matches!(result, Err(Error::OutcomeUnknown(_))) {
            self.store.borrow_mut().reconnect();
        }
        result
    }
}

/// The store's record of a turn.
pub(super) fn turn_record(turn: &Turn) -> Record {
    Record {
        key: turn.id.to_string(),
        value: Some(turn.encode()),
    }
}
