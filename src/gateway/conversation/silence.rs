//! Holds turns back while no VM reaches the store, and probes the store for all that wait.
//!
//! A turn whose record the store can't take occupies an engine for nothing: its answer is cut, and its caller asks again.
//! So turns wait before they use an engine, and are refused in time if the store stays silent.

use super::{Conversations, Gateway};
use crate::code::{Code, Failure};
use crate::conversation::{Bucket, Id};
use crate::gateway::request::job::Job;
use crate::id::Offset;
use crate::platform::observer::Observer;
use crate::platform::records::turn_topic;
use crate::policy::outage::heard_after_loss;
use crate::policy::store_health::{release_delay, retry_after, wait_limit};
use crate::telemetry::event;
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout};

/// Turns held back at a time; beyond it they are refused at once.
const MAX_HELD_TURNS: usize = 500;
/// Interval at which a held turn checks whether another VM reaches the store.
const RECHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Time limit of a probe. Short, since a connection that was silent may stay so after the store is back.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);
/// Pause between two probes.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);
/// Offset beyond the end of any partition, so that a probe reads no records.
const BEYOND_END: Offset = Offset(u32::MAX as u64);

/// Turns and buckets that wait for a silent store.
#[derive(Debug, Default)]
pub(super) struct Silence {
    turns: Cell<usize>,
    /// Waiting buckets, with the time since when, ordered by how long they have waited.
    buckets: RefCell<BTreeSet<(Instant, Bucket)>>,
    probing: Cell<bool>,
    /// Whether `turns_held` was logged without a `turns_released` after it.
    hold_logged: Cell<bool>,
}

impl Silence {
    pub(super) fn turns(&self) -> usize {
        self.turns.get()
    }

    pub(super) fn buckets(&self) -> usize {
        self.buckets.borrow().len()
    }

    /// Logs the end of a silence, if its beginning was logged.
    fn log_release(&self) {
        if self.hold_logged.replace(false) {
            event!(
                info,
                "turns_released",
                turns = self.turns(),
                buckets = self.buckets()
            );
        }
    }

    /// Adds a bucket to those that wait.
    pub(super) fn wait(&self, bucket: Bucket) -> Waiting<'_> {
        let key = (Instant::now(), bucket);
        self.buckets.borrow_mut().insert(key);
        Waiting { silence: self, key }
    }
}

/// A bucket that waits for the store, until it is dropped.
#[derive(Debug)]
pub(super) struct Waiting<'a> {
    silence: &'a Silence,
    key: (Instant, Bucket),
}

impl Waiting<'_> {
    /// Waits after the return of the store until the bucket may write: those that have waited longest come first.
    pub(super) async fn release(self) {
        let (earlier, waiting) = {
            let buckets = self.silence.buckets.borrow();
            (buckets.range(..self.key).count(), buckets.len())
        };
        sleep(release_delay(earlier, waiting)).await;
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.silence.buckets.borrow_mut().remove(&self.key);
    }
}

/// Counts a held turn until it is dropped, since its caller may leave at any moment.
struct Held<'a>(&'a Silence);

impl<'a> Held<'a> {
    fn new(silence: &'a Silence) -> Self {
        silence.turns.set(silence.turns.get() + 1);
        Self(silence)
    }
}

impl Drop for Held<'_> {
    fn drop(&mut self) {
        self.0.turns.set(self.0.turns.get() - 1);
    }
}

impl Gateway {
    /// Waits while no VM reaches the store, before a turn that must be recorded uses an engine.
    ///
    /// # Errors
    /// [`Code::LogUnavailable`] if the store stays silent for longer than the caller can wait.
    pub(crate) async fn wait_for_store(&self, job: &Job) -> Result<(), Failure> {
        let conversations = &self.conversations;
        let observer = conversations.observer();
        if !job.route.stores_history {
            return Ok(());
        }
        if observer.silent_for().is_none() {
            // The probe ends without a line if nobody waits when the store returns.
            conversations.silence.log_release();
            return Ok(());
        }
        let Ok(id) = job.meta.turn_name.parse::<Id>() else {
            // The turn will not be recorded.
            return Ok(());
        };
        let bucket = conversations.layout.bucket(&id);
        let began = Instant::now();
        let limit = wait_limit(began, job.arrived, job.deadline);
        let has_room = conversations.silence.turns() < MAX_HELD_TURNS;
        let held = Held::new(&conversations.silence);
        let result = loop {
            let recovered = observer.recovered();
            let Some(silent_for) = self.store_silent_for_all().await else {
                break Ok(());
            };
            if !has_room || Instant::now() >= limit {
                break Err(silent_for);
            }
            conversations.start_probe(bucket);
            let wait = limit
                .saturating_duration_since(Instant::now())
                .min(RECHECK_INTERVAL);
            // Ends on the answer of the store or on the timeout.
            let _ = timeout(wait, recovered).await;
        };
        drop(held);
        self.metrics.count_held_turn(result.is_ok());
        if result.is_err() || self.sampler.should_log(&job.meta.id) {
            event!(
                info,
                "turn_held",
                id = job.meta.id,
                waited_ms = began.elapsed().as_millis(),
                served = result.is_ok()
            );
        }
        result.map_err(|silent_for| {
            let failure = Failure::refused(
                Code::LogUnavailable,
                "the store does not answer, so the turn could not be recorded",
            );
            failure.retry_after(retry_after(silent_for, rand::random()))
        })
    }

    /// How long the store has been silent, if no other VM has heard from it meanwhile.
    async fn store_silent_for_all(&self) -> Option<Duration> {
        let silent_for = self.partitions.store.observer().silent_for()?;
        let last_contact = self.last_store_contact_of_others().await;
        let heard = heard_after_loss(silent_for, last_contact.map(|at| at.elapsed()));
        (!heard).then_some(silent_for)
    }
}

impl Conversations {
    pub(super) fn observer(&self) -> Arc<Observer> {
        Arc::clone(self.store.borrow().observer())
    }

    /// Waits while the store is silent, and then until the bucket may write: those that have waited longest come first.
    /// Returns at once if the store is not silent.
    pub(super) async fn wait_out_silence(self: &Rc<Self>, bucket: Bucket) {
        let observer = self.observer();
        if observer.silent_for().is_none() {
            return;
        }
        let waiting = self.silence.wait(bucket);
        loop {
            let recovered = observer.recovered();
            if observer.silent_for().is_none() {
                break;
            }
            self.start_probe(bucket);
            // Also ends if the notification was missed.
            let _ = timeout(RECHECK_INTERVAL, recovered).await;
        }
        waiting.release().await;
    }

    /// Starts to probe the store on behalf of all turns and buckets, unless that is under way.
    fn start_probe(self: &Rc<Self>, bucket: Bucket) {
        if !self.silence.probing.replace(true) {
            tokio::task::spawn_local(Rc::clone(self).probe(bucket));
        }
    }

    /// Reads a partition of turns until the store answers or nobody waits any longer.
    async fn probe(self: Rc<Self>, bucket: Bucket) {
        let observer = self.observer();
        let topic = turn_topic(self.layout.topic(bucket));
        let partition = self.layout.partition(bucket);
        if !self.silence.hold_logged.replace(true) {
            let silent_ms = observer.silent_for().unwrap_or_default().as_millis();
            event!(warn, "turns_held", silent_ms = silent_ms);
        }
        while observer.silent_for().is_some() && self.silence.turns() + self.silence.buckets() > 0 {
            // Each probe uses a new connection.
            let store = self.store.borrow().separate();
            let read = store.read(&topic, partition, BEYOND_END, Duration::ZERO);
            // The observer notices an answer.
            let _ = timeout(PROBE_TIMEOUT, read).await;
            if observer.silent_for().is_some() {
                sleep(PROBE_INTERVAL).await;
            }
        }
        self.silence.probing.set(false);
        if observer.silent_for().is_none() {
            self.silence.log_release();
        }
    }
}
