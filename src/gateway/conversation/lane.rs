//! Writes the turns of one bucket to the store.
//!
//! Load it answers: a turn each few milliseconds, each of which holds up the end of an answer; a store
//! whose answers are late or lost; and a store that is away, which must not be met by every turn. A
//! record is immutable, so a write whose answer is late is simply sent again beside the first.

use super::Conversations;
use crate::clock;
use crate::conversation::{Bucket, Id, Outbox, Turn};
use crate::platform::records::turn_topic;
use crate::platform::store::{Error, Record};
use crate::telemetry::event;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::sleep;

/// Bytes of one write; the store takes 2 MB.
const WRITE_BYTES: usize = 1 << 20;
/// The pause after a failed write, at first and at most. While the store is away each VM makes about
/// three writes a second, and the ends of answers that wait go out 0.3 s after it is back.
const PAUSE: (Duration, Duration) = (Duration::from_millis(60), Duration::from_millis(300));
/// How long a bucket waits to be told that the store is back before it tries by itself.
const UNTOLD: Duration = Duration::from_millis(1500);

/// The turns of one bucket that the store has not taken yet.
#[derive(Debug, Default)]
pub(super) struct Lane {
    pub(super) outbox: RefCell<Outbox>,
    writing: Cell<bool>,
    /// Whether the last write failed.
    pub(super) failing: Cell<bool>,
    written: Notify,
}

impl Lane {
    /// Waits until the store has a turn.
    pub(super) async fn recorded(&self, id: &Id) {
        loop {
            let written = self.written.notified();
            if !self.outbox.borrow().lacks(id) {
                return;
            }
            written.await;
        }
    }
}

impl Conversations {
    /// Has a turn recorded, at once or as soon as the store takes it.
    pub(super) fn post(self: &Rc<Self>, bucket: Bucket, turn: Rc<Turn>) -> Rc<Lane> {
        let lane = self.lane(bucket);
        lane.outbox.borrow_mut().push(turn);
        if !lane.writing.replace(true) {
            tokio::task::spawn_local(Rc::clone(self).write(bucket, Rc::clone(&lane)));
        }
        lane
    }

    /// Writes until nothing is left; turns that come meanwhile share the next write.
    async fn write(self: Rc<Self>, bucket: Bucket, lane: Rc<Lane>) {
        let mut pause = PAUSE.0;
        loop {
            lane.outbox.borrow_mut().expire(clock::wall_ms());
            let batch = lane.outbox.borrow().batch(WRITE_BYTES);
            if batch.is_empty() {
                lane.writing.set(false);
                return;
            }
            match self.append(bucket, &batch).await {
                Ok(()) => {
                    lane.outbox.borrow_mut().recorded(&batch);
                    lane.written.notify_waiters();
                    self.store_takes(&lane, bucket);
                    pause = PAUSE.0;
                }
                Err(fault) => {
                    self.miss();
                    if !lane.failing.replace(true) {
                        event!(warn, "turns_stuck", bucket = bucket, reason = fault);
                    }
                    self.pause(pause).await;
                    pause = (pause * 2).min(PAUSE.1);
                }
            }
        }
    }

    fn store_takes(&self, lane: &Lane, bucket: Bucket) {
        self.misses.set(0);
        self.back.notify_waiters();
        if lane.failing.replace(false) {
            event!(info, "turns_flow", bucket = bucket);
        }
    }

    /// The pause after a failed write. While the store is away one bucket tries it for all.
    async fn pause(&self, time: Duration) {
        if self.is_away() && self.probing.get() {
            tokio::select! {
                () = self.back.notified() => {}
                () = sleep(UNTOLD) => {}
            }
            return;
        }
        self.probing.set(true);
        sleep(time).await;
        self.probing.set(false);
    }

    async fn append(&self, bucket: Bucket, batch: &[Rc<Turn>]) -> Result<(), Error> {
        let records: Vec<Record> = batch.iter().map(|turn| record(turn)).collect();
        let topic = turn_topic(self.layout.topic(bucket));
        let part = self.layout.partition(bucket);
        let store = self.store.borrow().clone();
        let done = store.append_hedged(&topic, part, &records, None).await;
        if matches!(done, Err(Error::OutcomeUnknown(_))) {
            self.store.borrow_mut().reconnect();
        }
        done
    }
}

/// The record of a turn.
pub(super) fn record(turn: &Turn) -> Record {
    Record {
        key: turn.id.to_string(),
        value: Some(turn.encode()),
    }
}
