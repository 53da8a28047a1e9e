//! Makes a finished turn durable before its answer ends.

use super::{Conversations, TURN_BYTES, until_ms};
use super::{Gateway, KEPT, millis};
use crate::clock;
use crate::conversation::{Bucket, Id, Transcript, Turn};
use crate::gateway::peers::Note;
use crate::gateway::request::job::Job;
use crate::platform::records::DETOURED_TURN_TOPIC;
use crate::telemetry::event;
use bytes::Bytes;
use futures::future::select_ok;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep, sleep_until, timeout, timeout_at};

/// How long the end of an answer waits for the store before other ways are tried beside it. A record
/// takes 8 ms on a good day; longer waits cost programs their targets, shorter ones send bytes to
/// other VMs whenever the store stutters.
const PATIENCE: Duration = Duration::from_millis(200);
/// The same while the store is known not to take records.
const SHORT: Duration = Duration::from_millis(20);
/// How long the other ways may take.
const ELSEWHERE: Duration = Duration::from_millis(350);
/// The pause before the other ways are tried again.
const AGAIN: Duration = Duration::from_millis(250);
/// How long before a caller's time is over nothing more is written for it. A write that is under way when its
/// answer is cut may take effect after that: callers whose answer was cut went on from a turn that they were
/// told nothing of. A write takes 8 ms on a good day.
const LAST: Duration = Duration::from_millis(100);
/// VMs that are told where a turn is: one hint in some hundred is lost, and VMs may disagree for a
/// moment on who comes first.
const TOLD: usize = 2;

/// Where a turn is kept.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Kept {
    Store,
    /// At the store, in another partition.
    Detour,
    /// At the store, through another VM.
    Relay,
}

impl Kept {
    const fn name(self) -> &'static str {
        match self {
            Self::Store => "store",
            Self::Detour => "detour",
            Self::Relay => "relay",
        }
    }
}

impl Gateway {
    /// Keeps the turn of a request whose last event came; gives whether its answer may end as whole.
    ///
    /// An answer that ended before the store has its turn would promise what the loss of all VMs can break.
    /// While the store is away the end waits, for as long as the caller does; the events have long gone out.
    pub(crate) async fn keep_turn(self: &Rc<Self>, job: &Job, said: Transcript) -> bool {
        let Ok(id) = job.meta.turn.parse::<Id>() else {
            // Nobody can name it.
            return true;
        };
        let began = Instant::now();
        let kept_for = job.route.program_idle.unwrap_or(KEPT);
        // Copied, since a part of a buffer would hold the whole buffer.
        let turn = Rc::new(Turn {
            id,
            prev: job.prev_turn.clone(),
            until_ms: until_ms(kept_for),
            input: Bytes::copy_from_slice(&job.input),
            output: Bytes::copy_from_slice(&said.finish()),
        });
        if turn.size() > TURN_BYTES {
            event!(warn, "turn_too_large", id = turn.id, bytes = turn.size());
            return false;
        }
        let until = job.deadline.checked_sub(LAST).unwrap_or(began);
        let kept = timeout_at(until, self.record(&turn)).await.ok();
        job.turn_save_time.set(began.elapsed());
        let at = kept.map_or("nowhere", Kept::name);
        self.metrics.kept(began.elapsed(), at);
        if kept != Some(Kept::Store) || self.sampler.takes(&job.meta.id) {
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
        let all = &self.conversations;
        if kept != Some(Kept::Store) {
            let lane = all.lane(all.layout.bucket(&turn.id));
            lane.outbox.borrow_mut().forget(&turn.id);
        }
        if kept.is_none() {
            // What is under way ends before the answer is cut.
            sleep_until(job.deadline).await;
            return false;
        }
        let now = Instant::now();
        all.cache.borrow_mut().insert(now, Rc::clone(&turn));
        self.tell_holder(&turn.id).await;
        all.refresh(&turn, kept_for);
        true
    }

    /// Waits until the store has a turn, by whichever way is open.
    async fn record(self: &Rc<Self>, turn: &Rc<Turn>) -> Kept {
        let all = &self.conversations;
        let bucket = all.layout.bucket(&turn.id);
        let lane = all.post(bucket, Rc::clone(turn));
        let patience = if lane.failing.get() || all.is_away() {
            SHORT
        } else {
            PATIENCE
        };
        if timeout(patience, lane.recorded(&turn.id)).await.is_ok() {
            return Kept::Store;
        }
        all.miss();
        let elsewhere = async {
            let mut round = 0;
            loop {
                let detour = timeout(ELSEWHERE, self.detour_turn(bucket, turn));
                let relay = self.relay_turn(bucket, turn, round);
                let (detour, relay) = tokio::join!(detour, relay);
                if relay {
                    return Kept::Relay;
                }
                if detour == Ok(true) {
                    return Kept::Detour;
                }
                sleep(AGAIN).await;
                round += 1;
            }
        };
        tokio::select! {
            () = lane.recorded(&turn.id) => Kept::Store,
            kept = elsewhere => kept,
        }
    }

    /// Records a turn in another partition while its own does not take it: the store may lose some of
    /// its partitions and serve the rest.
    async fn detour_turn(&self, bucket: Bucket, turn: &Turn) -> bool {
        if !self.has_store() {
            return false;
        }
        let all = &self.conversations;
        let record = [super::lane::record(turn)];
        let store = all.store.borrow().clone();
        let writes = all.layout.others(bucket).into_iter().map(|part| {
            let (store, record) = (&store, &record);
            Box::pin(async move { store.append(DETOURED_TURN_TOPIC, part, record, None).await })
        });
        let writes: Vec<_> = writes.collect();
        !writes.is_empty() && select_ok(writes).await.is_ok()
    }

    /// Tells the VMs that are asked for a turn that this one has it.
    pub(super) async fn tell_holder(&self, id: &Id) {
        let bucket = self.conversations.layout.bucket(id);
        for home in self.homes(bucket).into_iter().take(TOLD) {
            if home.vm == self.settings.vm {
                continue;
            }
            let note = Note::Holds { turn: id.clone() };
            self.peers.tell(home.address, note).await;
        }
    }
}

impl Conversations {
    /// Has the turns before this one kept as long as itself: each is written again once in the time
    /// for which it is kept, at most.
    fn refresh(self: &Rc<Self>, turn: &Turn, kept_for: Duration) {
        let needed = clock::wall_ms() + millis(kept_for + super::SKEW);
        let mut next = turn.prev.clone();
        while let Some(before) = next.as_ref().and_then(|id| self.find(id)) {
            next.clone_from(&before.prev);
            if before.until_ms >= needed {
                continue;
            }
            let longer = Rc::new(Turn {
                until_ms: until_ms(kept_for),
                ..(*before).clone()
            });
            let bucket = self.layout.bucket(&longer.id);
            self.cache
                .borrow_mut()
                .insert(Instant::now(), Rc::clone(&longer));
            self.post(bucket, longer);
        }
    }
}
