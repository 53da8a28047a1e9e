//! Relays changes of the server directory from VM to VM.
//!
//! Each VM asks the VMs that [`crate::policy::relay`] chooses once per period, and they push changes in between. A
//! change is identified by its offset in the store, so answers of several VMs can be combined, and late or repeated
//! ones have no effect. Digests detect directories that differ anyway. `ask` is the side of the follower, `answer` that
//! of the upstream.

mod answer;
mod ask;
mod wire;

use crate::gateway::world::directory::Change;
use crate::gateway::world::sources::Sources;
use crate::gateway::world::state::Routing;
use crate::id::Offset;
use crate::member::Sealer;
use crate::policy::relay::is_fresh;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::{Notify, oneshot, watch};
use tokio::time::Instant;
use wire::News;

/// Most changes that are sent one by one; beyond it, the follower takes a copy of the directory.
const MAX_RELAYED_CHANGES: usize = 150;
const MIN_COPY_INTERVAL: Duration = Duration::from_secs(1);
/// Random VMs that are asked in addition if this VM may not or cannot read the store.
const RANDOM_SOURCES: usize = 2;
/// Periods after its last request for which changes are pushed to a follower.
const FOLLOWER_TIMEOUT_PERIODS: u32 = 3;

/// Result of asking the sources once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Heard {
    /// A VM with a fresh directory answered.
    News,
    /// A VM with a fresh directory answered, and has more changes.
    More,
    /// A VM is about to load the directory.
    Soon,
    /// No VM has a fresh directory.
    Nobody,
}

/// Exchanges directory changes with other VMs.
#[derive(Debug)]
pub(super) struct Relay {
    socket: UdpSocket,
    sealer: Sealer,
    routing: watch::Sender<Routing>,
    period: Duration,
    started: Instant,
    next_request_number: Cell<u64>,
    pending_requests: RefCell<HashMap<u64, oneshot::Sender<News>>>,
    /// VMs that request changes from this one, with the time of their last request.
    followers: RefCell<HashMap<SocketAddr, Instant>>,
    skipped_until: RefCell<HashMap<SocketAddr, Instant>>,
    /// Whether this VM can read the store.
    pub(super) has_store: Cell<bool>,
    /// When the store last became readable again after an outage.
    pub(super) store_back: Cell<Option<Instant>>,
    /// Lowest offset of the copy that is needed; set when changes alone can't bring the directory up to date.
    pub(super) wants_copy: Cell<Option<Offset>>,
    /// Newest configuration version that another VM announced, and when.
    pub(super) told_config: Cell<Option<(u64, Instant)>>,
    /// Notified when `wants_copy` or `told_config` is set.
    pub(super) wanted: Notify,
    last_copied_at: Cell<Option<Instant>>,
    /// Whether the digest in the newest answer differed from this VM's.
    digest_differs: Cell<bool>,
}

impl Relay {
    pub(super) fn new(
        socket: UdpSocket,
        key: &str,
        period: Duration,
        routing: watch::Sender<Routing>,
    ) -> Self {
        Self {
            socket,
            sealer: Sealer::new(key),
            routing,
            period,
            started: Instant::now(),
            next_request_number: Cell::new(u64::from(rand::random::<u32>()) << 24 | 1),
            pending_requests: RefCell::default(),
            followers: RefCell::default(),
            skipped_until: RefCell::default(),
            has_store: Cell::new(true),
            store_back: Cell::new(None),
            wants_copy: Cell::new(None),
            told_config: Cell::new(None),
            wanted: Notify::new(),
            last_copied_at: Cell::new(None),
            digest_differs: Cell::new(false),
        }
    }

    /// Offset up to which the directory is complete; `None` before it is loaded.
    pub(super) fn as_of(&self) -> Option<Offset> {
        let routing = self.routing.borrow();
        routing.directory_loaded.then_some(routing.directory_offset)
    }

    /// Whether the directory was confirmed by the store recently.
    pub(super) fn is_fresh(&self) -> bool {
        let confirmed_at = self.routing.borrow().directory_confirmed_at;
        confirmed_at.is_some_and(|at| is_fresh(at.elapsed(), self.period))
    }

    /// Records that the directory matched the store at this time.
    pub(super) fn aged(&self, at: Instant) {
        self.routing.send_if_modified(|routing| {
            routing.directory_confirmed_at = routing.directory_confirmed_at.max(Some(at));
            false
        });
    }

    /// Updates the directory to the offset `until`, and records the changes for followers.
    pub(super) fn update(
        &self,
        until: Offset,
        change: impl FnOnce(&mut Routing) -> Vec<(Offset, Change)>,
    ) {
        self.routing.send_if_modified(|routing| {
            let is_first = !routing.directory_loaded;
            let changes = change(routing);
            routing.directory_offset = until;
            if is_first && routing.directory_loaded {
                routing.changes.restart(until);
                return true;
            }
            let has_changes = !changes.is_empty();
            for (offset, change) in changes {
                routing.changes.push(offset, change);
            }
            has_changes
        });
    }

    /// Replaces the directory by one that was read completely from the store.
    pub(super) fn replace(&self, until: Offset, change: impl FnOnce(&mut Routing) -> Vec<Change>) {
        let known = self.as_of();
        self.update(until, |routing| {
            spread_offsets(known, until, change(routing))
        });
    }

    /// Replaces the directory by another VM's copy, unless the copy is older. Returns whether it was used.
    pub(super) fn take_copy(
        &self,
        until: Offset,
        change: impl FnOnce(&mut Routing) -> Vec<Change>,
    ) -> bool {
        if self.as_of().is_some_and(|known| until < known) {
            return false;
        }
        self.wants_copy.set(None);
        self.digest_differs.set(false);
        self.last_copied_at.set(Some(Instant::now()));
        // All changes get the same offset: a follower must get all of them or none.
        self.update(until, |routing| {
            let changes = change(routing).into_iter();
            changes.map(|change| (until, change)).collect()
        });
        true
    }

    /// Returns the VMs to ask now, and whether this VM may read the store if none of them has a fresh directory.
    pub(super) fn sources(&self, sources: &Sources) -> (Vec<SocketAddr>, bool) {
        let order = sources.relay_order();
        let has_store = self.has_store.get();
        // A VM without upstreams keeps trying: the directory's partition may be readable when others are not.
        let may_read_store = order.upstreams.is_empty() || order.may_read_store && has_store;
        let mut sources_to_ask = order.upstreams;
        if !order.may_read_store || !has_store {
            sources_to_ask.extend(sources.random_relays(RANDOM_SOURCES));
        }
        (sources_to_ask, may_read_store)
    }
}

/// Spreads changes that were read together over the offsets after `known`, as far as these suffice. Changes of one
/// offset can't be sent in separate datagrams.
fn spread_offsets(
    known: Option<Offset>,
    until: Offset,
    changes: Vec<Change>,
) -> Vec<(Offset, Change)> {
    let first = known.map_or(until.0, |known| known.0 + 1);
    let count = changes.len() as u64;
    let changes = changes.into_iter().zip(1..);
    let offset_of = |number: u64| {
        (until.0 + number)
            .saturating_sub(count)
            .max(first)
            .min(until.0)
    };
    changes
        .map(|(change, number)| (Offset(offset_of(number)), change))
        .collect()
}
