//! Extends the retention of the earlier turns of a conversation to that of the turn that continues it.
//!
//! The records of earlier turns are written again while the new turn runs, for the longest that it may take. Its answer
//! ends only after they are durable, since the conversation may be continued for the retention time from then on.

use super::writer::QueuedTurn;
use super::{Gateway, MAX_CLOCK_SKEW, millis};
use crate::clock;
use crate::conversation::{Id, Turn};
use crate::gateway::request::job::Job;
use crate::gateway::world::table::Route;
use crate::telemetry::event;
use futures::StreamExt;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{Instant, timeout_at};

/// How long a turn is kept if its route sets no time.
const DEFAULT_RETENTION: Duration = Duration::from_mins(1);
/// How long after a write without an answer it may still take effect.
const MAX_WRITE_DELAY: Duration = Duration::from_secs(6);
/// Turns of one conversation that are written at the same time, where their own partitions are unavailable.
const MAX_CONCURRENT_TURNS: usize = 8;

/// Time for which a turn can be continued from the end of its answer.
fn retention(route: &Route) -> Duration {
    route.program_idle_timeout.unwrap_or(DEFAULT_RETENTION)
}

/// Lowest end of retention that lets a conversation be continued whose newest answer ends in `ends_in`.
fn required_until_ms(route: &Route, ends_in: Duration) -> u64 {
    clock::wall_ms() + millis(ends_in + retention(route) + MAX_CLOCK_SKEW)
}

/// End of retention for the records of a conversation whose newest answer ends in `ends_in`.
///
/// Records outlive what is required, so that not every turn rewrites all earlier ones, and so that a late write of a
/// shorter retention, or that of a turn that runs at the same time, does no harm.
pub(super) fn extended_until_ms(route: &Route, ends_in: Duration) -> u64 {
    let margin = retention(route).max(route.timeout + MAX_WRITE_DELAY);
    required_until_ms(route, ends_in) + millis(margin)
}

/// Those of the earlier turns whose retention may be too short when the answer ends.
pub(crate) fn expiring_turns(job: &Job, turns: &[Rc<Turn>]) -> Vec<Rc<Turn>> {
    let required_ms = required_until_ms(&job.route, job.remaining());
    let expiring = turns.iter().filter(|turn| turn.until_ms < required_ms);
    expiring.map(Rc::clone).collect()
}

/// Retention of the earlier turns of one request that is being extended.
#[derive(Debug)]
pub(crate) struct Extension {
    /// Turns whose longer retention is not durable yet, each with the end of the one that is.
    pending: RefCell<HashMap<Id, u64>>,
    recorded: Notify,
}

impl Extension {
    /// Waits until the conversation can be continued for the retention time of the route from now on.
    pub(super) async fn wait(&self, route: &Route) {
        loop {
            let recorded = self.recorded.notified();
            let required_ms = required_until_ms(route, Duration::ZERO);
            if self
                .pending
                .borrow()
                .values()
                .all(|until_ms| *until_ms >= required_ms)
            {
                return;
            }
            recorded.await;
        }
    }
}

impl Gateway {
    /// Starts to extend the retention of earlier turns; the end of the answer waits for it.
    pub(in crate::gateway) fn extend_retention(self: &Rc<Self>, job: &Job) {
        let expiring = job.expiring_turns.take();
        if expiring.is_empty() {
            return;
        }
        let extension = Rc::new(Extension {
            pending: expiring
                .iter()
                .map(|turn| (turn.id.clone(), turn.until_ms))
                .collect::<HashMap<_, _>>()
                .into(),
            recorded: Notify::new(),
        });
        job.extension.replace(Some(Rc::clone(&extension)));
        let until_ms = extended_until_ms(&job.route, job.remaining());
        let extended = expiring.iter().map(|turn| {
            Rc::new(Turn {
                until_ms,
                ..(**turn).clone()
            })
        });
        let gateway = Rc::clone(self);
        let (id, turns, deadline) = (job.meta.id.clone(), extended.collect(), job.deadline);
        tokio::task::spawn_local(async move {
            let began = Instant::now();
            gateway.record_extended(&extension, turns, deadline).await;
            event!(
                info,
                "retention_extended",
                id = id,
                turns = expiring.len(),
                missing = extension.pending.borrow().len(),
                took_ms = began.elapsed().as_millis()
            );
        });
    }

    async fn record_extended(
        self: &Rc<Self>,
        extension: &Extension,
        turns: Vec<Rc<Turn>>,
        deadline: Instant,
    ) {
        let conversations = &self.conversations;
        // All are queued first, so that the writers of their buckets work at the same time.
        let queued: Vec<_> = turns
            .into_iter()
            .map(|turn| conversations.enqueue(turn))
            .collect();
        let records = futures::stream::iter(queued);
        let record = |queued: QueuedTurn| async move {
            let turn = Rc::clone(&queued.turn);
            if timeout_at(deadline, self.record_queued(queued))
                .await
                .is_err()
            {
                return;
            }
            extension.pending.borrow_mut().remove(&turn.id);
            extension.recorded.notify_waiters();
            let mut cache = conversations.cache.borrow_mut();
            if cache.contains(&turn.id) {
                cache.insert(Instant::now(), turn);
            }
        };
        records
            .for_each_concurrent(MAX_CONCURRENT_TURNS, record)
            .await;
    }
}
