//! Stores the turns of conversations and loads the history of a turn.
//!
//! The VM that serves a turn records it at the store before its answer ends, and caches it in
//! memory. The turn's home VMs, found by hashing its identity, are told which VM has it. The VM
//! that serves the next turn asks a home VM; a home VM that does not know the turn reads the turn's
//! bucket from the store. Requests call [`Gateway::load_history`] before they are sent and
//! [`Gateway::persist_turn`] after their last event.

mod assemble;
mod exchange;
mod load;
mod record;
mod relay;
mod retention;
mod silence;
mod sweep;
mod writer;

pub(super) use exchange::{TURNS_PATH, serve};
pub(crate) use retention::{Extension, expiring_turns};
pub(super) use sweep::run as run_maintenance;

use super::Gateway;
use super::peers::Peer;
use crate::code::{Code, Failure};
use crate::conversation::{Bucket, Cache, Id, Layout, Locations, Turn};
use crate::intake::{Intake, Kind};
use crate::platform::records::TURN_TOPICS;
use crate::platform::store::Store;
use crate::policy::room::Need;
use load::BucketReads;
use silence::Silence;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{Mutex, Notify};
use tokio::time::Instant;
use writer::BucketWriter;

/// Time after its last use at which a turn is dropped from memory. It can still be read from the
/// store. Most programs continue within 0.3 s, and a read takes about 10 ms.
const CACHE_IDLE_TIMEOUT: Duration = Duration::from_secs(20);
const MAX_CACHE_BYTES: usize = 12 << 20;
/// What the cache keeps where memory is short.
const MIN_CACHE_BYTES: usize = 1 << 20;
/// Limit on the turns of one conversation.
const MAX_HISTORY_BYTES: usize = 4 << 20;
/// Limit on the input of one turn. Input and answer together have to fit into a record of the
/// store.
pub(super) const MAX_INPUT_BYTES: usize = 160_000;
/// Limit on input and answer of one turn; the store takes records of up to 256 KB.
pub(super) const MAX_TURN_BYTES: usize = 250_000;
/// Largest expected difference between the clocks of two VMs.
const MAX_CLOCK_SKEW: Duration = Duration::from_secs(6);
/// Consecutive failures, over all buckets, after which the store counts as unavailable.
const MAX_STORE_FAILURES: u32 = 2;

/// Cached turns, hints on where turns are, and turns to be recorded.
#[derive(Debug)]
pub(crate) struct Conversations {
    intake: Intake,
    store: RefCell<Store>,
    layout: Layout,
    cache: RefCell<Cache>,
    /// Hints on which VM has a turn in memory.
    locations: RefCell<Locations>,
    writers: RefCell<HashMap<Bucket, Rc<BucketWriter>>>,
    bucket_reads: BucketReads,
    exchange_client: exchange::Client,
    /// Failed or timed-out writes since the last success.
    consecutive_failures: Cell<u32>,
    /// Locked by the bucket that probes the unavailable store on behalf of all; given on in the order of waiting.
    probe: Mutex<()>,
    /// Buckets whose last write failed.
    stuck_buckets: RefCell<HashSet<Bucket>>,
    /// Notified when the store accepts a record.
    store_recovered: Notify,
    /// Turns and buckets that wait for a silent store.
    silence: Silence,
}

impl Conversations {
    pub(super) fn new(store: Store, partitions: u64, key: &str, intake: Intake) -> Self {
        Self {
            intake,
            store: RefCell::new(store),
            layout: Layout {
                topics: TURN_TOPICS,
                partitions,
            },
            cache: RefCell::new(Cache::new(MAX_CACHE_BYTES, CACHE_IDLE_TIMEOUT)),
            locations: RefCell::new(Locations::new(CACHE_IDLE_TIMEOUT)),
            writers: RefCell::default(),
            bucket_reads: BucketReads::default(),
            exchange_client: exchange::Client::new(key),
            consecutive_failures: Cell::new(0),
            probe: Mutex::default(),
            stuck_buckets: RefCell::default(),
            store_recovered: Notify::new(),
            silence: Silence::default(),
        }
    }

    fn writer(&self, bucket: Bucket) -> Rc<BucketWriter> {
        Rc::clone(self.writers.borrow_mut().entry(bucket).or_default())
    }

    /// Whether the store counts as unavailable.
    fn is_store_down(&self) -> bool {
        self.consecutive_failures.get() >= MAX_STORE_FAILURES
            || self.store.borrow().observer().silent_for().is_some()
    }

    /// Counts a write that failed or timed out.
    fn record_store_failure(&self) {
        self.consecutive_failures
            .set(self.consecutive_failures.get().saturating_add(1));
    }

    /// Keeps a turn in memory.
    fn cache_turn(&self, now: Instant, turn: Rc<Turn>) {
        self.cache.borrow_mut().insert(now, turn);
    }

    /// A turn whose bytes are charged for as long as it is in memory.
    fn charged(&self, turn: Turn) -> Rc<Turn> {
        Rc::new(Turn {
            input: self.intake.hold(Kind::History, turn.input),
            output: self.intake.hold(Kind::History, turn.output),
            ..turn
        })
    }

    /// Makes room to load a history.
    ///
    /// # Errors
    /// [`Code::NoRoom`] if what is held is in use.
    fn make_room(&self) -> Result<(), Failure> {
        let intake = &self.intake;
        if intake.admits(Need::Large, MAX_TURN_BYTES) {
            return Ok(());
        }
        self.cache.borrow_mut().shrink(MIN_CACHE_BYTES);
        if intake.admits(Need::Large, MAX_TURN_BYTES) {
            return Ok(());
        }
        intake.make_room(Need::Large, MAX_TURN_BYTES);
        let shortage = intake.shortage(Kind::History, Need::Large, MAX_TURN_BYTES);
        let failure = Failure::refused(Code::NoRoom, shortage.to_string());
        Err(failure.retry_after(shortage.retry_after))
    }

    /// Looks a turn up in memory.
    fn find_cached(&self, id: &Id) -> Option<Rc<Turn>> {
        self.cache.borrow_mut().get(Instant::now(), id)
    }

    pub(super) fn usage(&self) -> Sizes {
        let writers = self.writers.borrow();
        let cache = self.cache.borrow();
        Sizes {
            turns: cache.len(),
            bytes: cache.bytes(),
            unrecorded: writers
                .values()
                .map(|writer| writer.outbox.borrow().len())
                .sum(),
            pointers: self.locations.borrow().len(),
            held_turns: self.silence.turns(),
            held_buckets: self.silence.buckets(),
        }
    }
}

/// Sizes for the operators' state page.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize)]
pub(super) struct Sizes {
    turns: usize,
    bytes: usize,
    unrecorded: usize,
    pointers: usize,
    /// Turns that wait for a silent store before they use an engine.
    held_turns: usize,
    /// Buckets with turns that wait for a silent store.
    held_buckets: usize,
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

impl Gateway {
    /// The home VMs of a bucket, in the order in which they are asked. They know which VMs have its
    /// turns in memory.
    fn home_vms(&self, bucket: Bucket) -> Vec<Peer> {
        self.ranked_members(&format!("turns/{bucket}"))
    }
}
