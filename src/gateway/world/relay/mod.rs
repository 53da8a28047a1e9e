//! Passes changes to the directory from VM to VM.
//!
//! Each VM asks those that [`crate::policy::relay`] names, once a period, and is told of changes in between. A change
//! is known by its offset at the store, so that the answers of different VMs fit together, and what comes late or
//! twice changes nothing. Digests find what differs all the same. `ask` is the side of the VM that follows, `answer`
//! that of the VM that is followed.

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

/// Changes that are passed on one by one; instead of more a copy is taken.
const MANY: usize = 150;
/// The shortest time between two copies.
const COPIES: Duration = Duration::from_secs(1);
/// VMs that are asked at random where those that come first do not help.
const AT_RANDOM: usize = 2;
/// For how many periods after its last question a VM is told of changes.
const TOLD: u32 = 3;

/// How the questions of one round ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Heard {
    /// A VM with a fresh directory answered.
    News,
    /// The same, and it has more to tell.
    More,
    /// A VM is about to have a directory.
    Soon,
    /// No VM has a fresh directory.
    Nobody,
}

/// The directory of this VM as others follow it.
#[derive(Debug)]
pub(super) struct Relay {
    socket: UdpSocket,
    sealer: Sealer,
    worlds: watch::Sender<Routing>,
    period: Duration,
    began: Instant,
    numbers: Cell<u64>,
    waiting: RefCell<HashMap<u64, oneshot::Sender<News>>>,
    /// VMs that ask this one, and when they last did.
    followers: RefCell<HashMap<SocketAddr, Instant>>,
    passed_over: RefCell<HashMap<SocketAddr, Instant>>,
    /// Whether the store answers this VM.
    pub(super) has_store: Cell<bool>,
    /// When it was last back after it did not.
    pub(super) store_back: Cell<Option<Instant>>,
    /// Set where the directory can't be brought up to date by changes: what a copy has to stand for at least.
    pub(super) wants_copy: Cell<Option<Offset>>,
    /// The newest configuration that some VM has, and since when that is known.
    pub(super) told_config: Cell<Option<(u64, Instant)>>,
    /// Told when one of the two above is set.
    pub(super) wanted: Notify,
    /// When a copy was last taken.
    copied: Cell<Option<Instant>>,
    /// Whether the newest answer told of another directory than this one.
    differs: Cell<bool>,
}

impl Relay {
    pub(super) fn new(
        socket: UdpSocket,
        key: &str,
        period: Duration,
        worlds: watch::Sender<Routing>,
    ) -> Self {
        Self {
            socket,
            sealer: Sealer::new(key),
            worlds,
            period,
            began: Instant::now(),
            numbers: Cell::new(u64::from(rand::random::<u32>()) << 24 | 1),
            waiting: RefCell::default(),
            followers: RefCell::default(),
            passed_over: RefCell::default(),
            has_store: Cell::new(true),
            store_back: Cell::new(None),
            wants_copy: Cell::new(None),
            told_config: Cell::new(None),
            wanted: Notify::new(),
            copied: Cell::new(None),
            differs: Cell::new(false),
        }
    }

    /// What the directory stands for; none where it is not known yet.
    pub(super) fn as_of(&self) -> Option<Offset> {
        let world = self.worlds.borrow();
        world.directory_loaded.then_some(world.directory_offset)
    }

    /// Whether the directory is what the store says now.
    pub(super) fn is_fresh(&self) -> bool {
        let aged = self.worlds.borrow().directory_confirmed_at;
        aged.is_some_and(|aged| is_fresh(aged.elapsed(), self.period))
    }

    /// The directory is what the store said at this time.
    pub(super) fn aged(&self, at: Instant) {
        self.worlds.send_if_modified(|world| {
            world.directory_confirmed_at = world.directory_confirmed_at.max(Some(at));
            false
        });
    }

    /// Changes the directory, and notes what changed for the VMs that follow. It stands for `until` then.
    pub(super) fn update(
        &self,
        until: Offset,
        change: impl FnOnce(&mut Routing) -> Vec<(Offset, Change)>,
    ) {
        self.worlds.send_if_modified(|world| {
            let first = !world.directory_loaded;
            let noted = change(world);
            world.directory_offset = until;
            if first && world.directory_loaded {
                world.changes.restart(until);
                return true;
            }
            let changed = !noted.is_empty();
            for (at, change) in noted {
                world.changes.push(at, change);
            }
            changed
        });
    }

    /// Changes the directory to what was read as a whole.
    pub(super) fn replace(&self, until: Offset, change: impl FnOnce(&mut Routing) -> Vec<Change>) {
        let known = self.as_of();
        self.update(until, |world| spread(known, until, change(world)));
    }

    /// Changes the directory to a copy of another VM's, unless that is older. Tells whether it was used.
    pub(super) fn take_copy(
        &self,
        until: Offset,
        change: impl FnOnce(&mut Routing) -> Vec<Change>,
    ) -> bool {
        if self.as_of().is_some_and(|known| until < known) {
            return false;
        }
        self.wants_copy.set(None);
        self.differs.set(false);
        self.copied.set(Some(Instant::now()));
        // A VM that follows may know a part of this from elsewhere: it gets all or nothing.
        self.update(until, |world| {
            let changes = change(world).into_iter();
            changes.map(|change| (until, change)).collect()
        });
        true
    }

    /// The VMs to ask now, and whether this one reads the store where none of them helps.
    pub(super) fn sources(&self, sources: &Sources) -> (Vec<SocketAddr>, bool) {
        let order = sources.relay_order();
        let has_store = self.has_store.get();
        // The first one goes on trying: the partition of the directory may be there where others are not.
        let reads = order.upstreams.is_empty() || order.may_read_store && has_store;
        let mut asked = order.upstreams;
        if !order.may_read_store || !has_store {
            asked.extend(sources.random_relays(AT_RANDOM));
        }
        (asked, reads)
    }
}

/// Gives changes that were found together offsets of their own, as far as there are enough after the last ones: those
/// of one offset can be passed on together only.
fn spread(known: Option<Offset>, until: Offset, changes: Vec<Change>) -> Vec<(Offset, Change)> {
    let first = known.map_or(until.0, |known| known.0 + 1);
    let count = changes.len() as u64;
    let changes = changes.into_iter().zip(1..);
    let at = |number: u64| {
        (until.0 + number)
            .saturating_sub(count)
            .max(first)
            .min(until.0)
    };
    changes
        .map(|(change, number)| (Offset(at(number)), change))
        .collect()
}
