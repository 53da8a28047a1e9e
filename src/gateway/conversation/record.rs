//! Records a finished turn at the store before its answer ends.

use super::retention::extended_until_ms;
use super::writer::QueuedTurn;
use super::{Gateway, MAX_TURN_BYTES};
use crate::conversation::{Bucket, Id, Transcript, Turn};
use crate::gateway::peers::Note;
use crate::gateway::record_wait::wait_for_record;
use crate::gateway::request::job::Job;
use crate::platform::records::FALLBACK_TURN_TOPIC;
use crate::policy::store_health::LastWrite;
use crate::telemetry::event;
use bytes::Bytes;
use futures::future::select_ok;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep, sleep_until, timeout, timeout_at};

/// How long the end of an answer waits for the store before fallback partitions and other VMs are
/// tried as well. A shorter timeout would send turns to other VMs whenever the store is briefly
/// slow.
const STORE_TIMEOUT: Duration = Duration::from_millis(200);
/// The same while writes to the store are failing.
const STORE_DOWN_TIMEOUT: Duration = Duration::from_millis(20);
/// Time limit of a write to the fallback partitions.
const FALLBACK_TIMEOUT: Duration = Duration::from_millis(350);
/// Pause between two rounds of fallback writes.
const FALLBACK_RETRY_DELAY: Duration = Duration::from_millis(250);
/// No write starts this close to the caller's deadline. A write in progress when the answer is cut
/// could still take effect, and leave a turn at the store that the caller does not know of. Callers
/// whose answer was cut went on from such turns. A write takes 8 ms at a healthy store.
const WRITE_CUTOFF: Duration = Duration::from_millis(100);
/// Home VMs that are told where a turn is. More than one, since a datagram can be lost and VMs may
/// disagree for a moment on their order.
const MAX_HOMES_NOTIFIED: usize = 2;

/// How a turn reached the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RecordedVia {
    Store,
    /// Through a fallback partition.
    FallbackPartition,
    /// Through another VM.
    OtherVm,
}

impl RecordedVia {
    const fn label(self) -> &'static str {
        match self {
            Self::Store => "store",
            Self::FallbackPartition => "detour",
            Self::OtherVm => "relay",
        }
    }
}

impl Gateway {
    /// Records the turn of a request after its last event. Returns whether the answer may end as
    /// complete.
    ///
    /// If an answer ended before the store has its turn, the loss of all VMs could lose the turn.
    /// While the store is unavailable the end of the answer waits, at most until the caller's
    /// deadline; all other events have been sent already.
    pub(crate) async fn persist_turn(self: &Rc<Self>, job: &Job, transcript: Transcript) -> bool {
        let Ok(id) = job.meta.turn_name.parse::<Id>() else {
            // No caller can refer to the turn.
            return true;
        };
        let began = Instant::now();
        let turn = self.conversations.charged(Turn {
            id,
            prev: job.prev_turn.clone(),
            until_ms: extended_until_ms(&job.route, Duration::ZERO),
            // Copied, since the whole buffer would stay alive.
            input: Bytes::copy_from_slice(&job.input.to_bytes()),
            output: Bytes::copy_from_slice(&transcript.finish()),
        });
        if turn.size() > MAX_TURN_BYTES {
            event!(warn, "turn_too_large", id = turn.id, bytes = turn.size());
            return false;
        }
        let cutoff = job.deadline.checked_sub(WRITE_CUTOFF).unwrap_or(began);
        let recorded = timeout_at(cutoff, async {
            // Earlier turns first: if they can't be kept, the answer is cut, and there must be no record of the turn.
            let extension = job.extension.borrow().clone();
            if let Some(extension) = extension {
                extension.wait(&job.route).await;
            }
            let queued = self.conversations.enqueue(Rc::clone(&turn));
            self.record_queued(queued).await
        });
        let recorded = recorded.await.ok();
        job.turn_save_time.set(began.elapsed());
        let at = recorded.map_or("nowhere", RecordedVia::label);
        self.metrics.record_turn_save(began.elapsed(), at);
        if recorded != Some(RecordedVia::Store) || self.sampler.should_log(&job.meta.id) {
            event!(
                info,
                "turn_kept",
                id = turn.id,
                prev = turn.prev.as_ref().map_or("", Id::as_str),
                bytes = turn.size(),
                at = at,
                took_ms = began.elapsed().as_millis()
            );
        }
        if recorded.is_none() {
            // Let writes in progress finish before the answer is cut.
            sleep_until(job.deadline).await;
            return false;
        }
        let (id, now) = (turn.id.clone(), Instant::now());
        self.conversations.cache.borrow_mut().insert(now, turn);
        self.announce_holder(&id).await;
        true
    }

    /// Waits until the store has a queued turn: in its own partition, in a fallback partition, or written by another VM.
    pub(super) async fn record_queued(self: &Rc<Self>, mut queued: QueuedTurn) -> RecordedVia {
        let conversations = &self.conversations;
        let turn = Rc::clone(&queued.turn);
        let bucket = conversations.layout.bucket(&turn.id);
        let (writer, observer) = (queued.writer(), conversations.observer());
        let recorded = queued.wait_until_recorded();
        let recorded =
            if writer.last_write.get() == LastWrite::Failed || conversations.is_store_down() {
                timeout(STORE_DOWN_TIMEOUT, recorded).await.ok()
            } else {
                let limit = observer.scaled_timeout(STORE_TIMEOUT);
                wait_for_record(limit, &writer.last_write, recorded).await
            };
        if recorded.is_some() {
            return RecordedVia::Store;
        }
        let is_rejected = || writer.last_write.get() == LastWrite::Rejected;
        if !observer.is_slow() && !is_rejected() {
            conversations.record_store_failure();
        }
        let fallback = async {
            let mut round = 0;
            loop {
                if is_rejected() {
                    // Other partitions and other VMs are at the same busy store.
                    sleep(FALLBACK_RETRY_DELAY).await;
                    continue;
                }
                let recorded_in_fallback = timeout(
                    FALLBACK_TIMEOUT,
                    self.record_in_fallback_partition(bucket, &turn),
                );
                let relayed = self.record_through_peer(bucket, &turn, round);
                let (recorded_in_fallback, relayed) = tokio::join!(recorded_in_fallback, relayed);
                if relayed {
                    return RecordedVia::OtherVm;
                }
                if recorded_in_fallback == Ok(true) {
                    return RecordedVia::FallbackPartition;
                }
                sleep(FALLBACK_RETRY_DELAY).await;
                round += 1;
            }
        };
        tokio::select! {
            () = queued.wait_until_recorded() => RecordedVia::Store,
            recorded = fallback => recorded,
        }
    }

    /// Records a turn in a fallback partition while its own is unavailable: the store may lose some
    /// of its partitions and serve the rest.
    async fn record_in_fallback_partition(&self, bucket: Bucket, turn: &Turn) -> bool {
        let conversations = &self.conversations;
        // One probe per VM waits for a silent store.
        let is_silent = conversations
            .store
            .borrow()
            .observer()
            .silent_for()
            .is_some();
        if is_silent || !self.has_store() {
            return false;
        }
        let record = [super::writer::turn_record(turn)];
        let store = conversations.store.borrow().clone();
        let writes = conversations
            .layout
            .fallback_partitions(bucket)
            .into_iter()
            .map(|partition| {
                let (store, record) = (&store, &record);
                Box::pin(async move {
                    store
                        .append(FALLBACK_TURN_TOPIC, partition, record, None)
                        .await
                })
            });
        let writes: Vec<_> = writes.collect();
        !writes.is_empty() && select_ok(writes).await.is_ok()
    }

    /// Tells the home VMs of a turn that this VM has it in memory.
    pub(super) async fn announce_holder(&self, id: &Id) {
        let bucket = self.conversations.layout.bucket(id);
        for home in self.home_vms(bucket).into_iter().take(MAX_HOMES_NOTIFIED) {
            if home.vm == self.settings.vm {
                continue;
            }
            let note = Note::Holds { turn: id.clone() };
            self.peers.notify(home.address, note).await;
        }
    }
}
