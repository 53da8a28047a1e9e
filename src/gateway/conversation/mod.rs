//! Keeps the turns of conversations, and puts together what was said before a turn.
//!
//! The VM that serves a turn records it at the store before the answer ends, and keeps it in memory
//! for a while. Two other VMs, found by the turn's identity, are told where it is; whoever serves the
//! next turn asks them, and one that knows nothing reads the turn's bucket at the store. Requests call
//! [`Gateway::history`] before they are sent and [`Gateway::keep_turn`] after their last event; no part
//! of this module calls back into the life of a request.

mod assemble;
mod exchange;
mod lane;
mod load;
mod record;
mod relay;
mod sweep;

pub(super) use exchange::{PATH, serve};
pub(super) use sweep::run as keep_house;

use super::Gateway;
use super::peers::Peer;
use crate::clock;
use crate::conversation::{Bucket, Cache, Id, Layout, Pointers, Turn};
use crate::platform::records::TURN_TOPICS;
use crate::platform::store::Store;
use lane::Lane;
use load::Loads;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// How long a turn that is of no use stays in memory. Most programs go on within 0.3 s; one that
/// comes back later is read from the store, in about 10 ms.
const CACHED: Duration = Duration::from_secs(20);
/// Bytes of turns in memory, at the most.
const CACHE_BYTES: usize = 12 << 20;
/// Bytes of one conversation; the largest prompts are of some hundred KB.
const HISTORY_BYTES: usize = 4 << 20;
/// Bytes that a caller may send in one turn. The store takes records of 256 KB, and the answer has to
/// fit as well.
pub(super) const INPUT_BYTES: usize = 160_000;
/// Bytes of a whole turn.
const TURN_BYTES: usize = 250_000;
/// How long a turn is kept where its route does not say.
const KEPT: Duration = Duration::from_mins(1);
/// By how much longer than asked for a record is kept: clocks of VMs differ by some seconds, and a turn
/// that is gone on from has to outlast the next one without being written again each time.
const KEPT_TIMES: u32 = 2;
/// How far the clocks of two VMs may be apart.
const SKEW: Duration = Duration::from_secs(6);
/// Waits in a row that ended without a record, in any bucket, after which the store counts as away.
const AWAY: u32 = 2;

/// What this VM keeps, knows and has yet to record.
#[derive(Debug)]
pub(crate) struct Conversations {
    store: RefCell<Store>,
    layout: Layout,
    cache: RefCell<Cache>,
    pointers: RefCell<Pointers>,
    lanes: RefCell<HashMap<Bucket, Rc<Lane>>>,
    loads: Loads,
    exchange: exchange::Client,
    /// Waits in a row without a record.
    misses: Cell<u32>,
    /// Whether some bucket tries the store while it is away, which is enough for all.
    probing: Cell<bool>,
    /// Told when the store takes a record.
    back: Notify,
}

impl Conversations {
    pub(super) fn new(store: SocketAddr, partitions: u64, key: &str) -> Self {
        Self {
            store: RefCell::new(Store::new(store)),
            layout: Layout {
                topics: TURN_TOPICS,
                partitions,
            },
            cache: RefCell::new(Cache::new(CACHE_BYTES, CACHED)),
            pointers: RefCell::new(Pointers::new(CACHED)),
            lanes: RefCell::default(),
            loads: Loads::default(),
            exchange: exchange::Client::new(key),
            misses: Cell::new(0),
            probing: Cell::new(false),
            back: Notify::new(),
        }
    }

    fn lane(&self, bucket: Bucket) -> Rc<Lane> {
        Rc::clone(self.lanes.borrow_mut().entry(bucket).or_default())
    }

    /// Whether the store takes no records, as far as the last ones tell.
    fn is_away(&self) -> bool {
        self.misses.get() >= AWAY
    }

    /// The store did not take a record in time.
    fn miss(&self) {
        self.misses.set(self.misses.get().saturating_add(1));
    }

    /// A turn from memory.
    fn find(&self, id: &Id) -> Option<Rc<Turn>> {
        self.cache.borrow_mut().get(Instant::now(), id)
    }

    /// Turns and bytes in memory, turns that the store lacks, and pointers.
    pub(super) fn size(&self) -> Size {
        let lanes = self.lanes.borrow();
        let cache = self.cache.borrow();
        Size {
            turns: cache.len(),
            bytes: cache.bytes(),
            unrecorded: lanes.values().map(|lane| lane.outbox.borrow().len()).sum(),
            pointers: self.pointers.borrow().len(),
        }
    }
}

/// How much is kept.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize)]
pub(super) struct Size {
    turns: usize,
    bytes: usize,
    unrecorded: usize,
    pointers: usize,
}

/// Until when a record is kept whose turn may be gone on from for `kept` from now on.
fn until_ms(kept: Duration) -> u64 {
    clock::wall_ms() + millis(kept * KEPT_TIMES + SKEW)
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

impl Gateway {
    /// The VMs that are told where the turns of a bucket are, the one that is asked first in front.
    fn homes(&self, bucket: Bucket) -> Vec<Peer> {
        self.ranked(&format!("turns/{bucket}"))
    }
}
