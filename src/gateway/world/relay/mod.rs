//! Passes changes to the directory from VM to VM.
//!
//! Each VM asks those that [`crate::policy::relay`] names, once a period, and is told of changes in between. A change
//! is known by its offset at the store, so that the answers of different VMs fit together, and what comes late or
//! twice changes nothing. Digests find what differs all the same.

mod wire;

use crate::gateway::world::directory::Change;
use crate::gateway::world::sources::Sources;
use crate::gateway::world::state::{World, apply_change};
use crate::id::Offset;
use crate::member::{DATAGRAM, Sealer};
use crate::policy::relay::{Step, step};
use crate::telemetry::event;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::{Notify, oneshot, watch};
use tokio::time::{Instant, timeout};
use wire::{News, Packet};

/// Time after which a question is sent again. A round trip within a region takes 1 to 4 ms.
const AGAIN: Duration = Duration::from_millis(60);
/// How often it is sent.
const SENDS: usize = 3;
/// For how long a VM that did not answer, or whose directory is old, is not asked again.
const PASSED_OVER: Duration = Duration::from_secs(1);
/// Bytes of a datagram that are kept for all but the changes.
const ENVELOPE: usize = 160;
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
    worlds: watch::Sender<World>,
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
        worlds: watch::Sender<World>,
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
        world.listed.then_some(world.as_of)
    }

    /// The directory is what the store said at this time.
    pub(super) fn aged(&self, at: Instant) {
        self.worlds.send_if_modified(|world| {
            world.aged = world.aged.max(Some(at));
            false
        });
    }

    /// Changes the directory, and notes what changed for the VMs that follow. It stands for `until` then.
    pub(super) fn update(
        &self,
        until: Offset,
        change: impl FnOnce(&mut World) -> Vec<(Offset, Change)>,
    ) {
        self.worlds.send_if_modified(|world| {
            let first = !world.listed;
            let noted = change(world);
            world.as_of = until;
            if first && world.listed {
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
    pub(super) fn replace(&self, until: Offset, change: impl FnOnce(&mut World) -> Vec<Change>) {
        let known = self.as_of();
        self.update(until, |world| spread(known, until, change(world)));
    }

    /// Changes the directory to a copy of another VM's, unless that is older. Tells whether it was used.
    pub(super) fn take_copy(
        &self,
        until: Offset,
        change: impl FnOnce(&mut World) -> Vec<Change>,
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

    /// Takes datagrams in until the process ends.
    pub(super) async fn receive(&self) {
        let mut buffer = vec![0; DATAGRAM + 1];
        loop {
            let Ok((size, from)) = self.socket.recv_from(&mut buffer).await else {
                continue;
            };
            match self.sealer.open(&buffer[..size]) {
                Some(Packet::Ask { number, as_of }) => self.answer(from, number, as_of).await,
                Some(Packet::News { number: 0, news }) => {
                    self.learn(&news, Instant::now(), false);
                }
                Some(Packet::News { number, news }) => {
                    let waiting = self.waiting.borrow_mut().remove(&number);
                    // Whoever asked may have given up.
                    drop(waiting.map(|waiting| waiting.send(news)));
                }
                None => event!(warn, "datagram_refused", from = from, bytes = size),
            }
        }
    }

    async fn answer(&self, from: SocketAddr, number: u64, as_of: Offset) {
        self.note_follower(from, Instant::now());
        let news = self.news(as_of);
        self.send(from, &Packet::News { number, news }).await;
    }

    fn note_follower(&self, follower: SocketAddr, now: Instant) {
        let mut followers = self.followers.borrow_mut();
        followers.retain(|_, at| *at + self.period * TOLD > now);
        followers.insert(follower, now);
    }

    /// What came after an offset, as much as fits a datagram.
    fn news(&self, since: Offset) -> News {
        let world = self.worlds.borrow();
        let mut room = DATAGRAM - ENVELOPE;
        let fits = |change: &Change| {
            let size = rmp_serde::to_vec(change).map_or(DATAGRAM, |bytes| bytes.len());
            let left = room.checked_sub(size);
            room = left.unwrap_or(0);
            left.is_some()
        };
        let few = world.changes.count_after(since) <= MANY;
        let part = few.then(|| world.changes.after(since, fits)).flatten();
        let whole = part.as_ref().is_none_or(|part| part.whole);
        let age = world.aged.filter(|_| world.listed).map(|at| at.elapsed());
        News {
            since,
            until: part
                .as_ref()
                .filter(|part| !part.whole)
                .map_or(world.as_of, |part| part.until),
            age_ms: age.map(|age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX)),
            has_store: self.has_store.get(),
            digest: whole.then(|| world.directory.digest()),
            changes: part.map(|part| part.changes),
            config: world.table.as_ref().map_or(0, |table| table.version),
        }
    }

    async fn send(&self, to: SocketAddr, packet: &Packet) {
        self.send_sealed(to, &self.sealer.seal(packet)).await;
    }

    async fn send_sealed(&self, to: SocketAddr, datagram: &[u8]) {
        if let Err(error) = self.socket.send_to(datagram, to).await {
            event!(debug, "datagram_failed", peer = to, reason = error);
        }
    }

    /// Tells the VMs that follow this one of each change, until the process ends.
    pub(super) async fn tell(&self) {
        let mut world = self.worlds.subscribe();
        let mut told = (Offset(0), 0);
        while world.changed().await.is_ok() {
            let newest = {
                let world = world.borrow_and_update();
                let version = world.table.as_ref().map_or(0, |table| table.version);
                (world.changes.newest(), version)
            };
            let before = std::mem::replace(&mut told, newest);
            // The first directory, or a copy, is nothing to tell: whoever follows asks for it.
            if newest == before || before.0 == Offset(0) {
                continue;
            }
            let news = self.news(before.0);
            if news.changes.is_none() {
                // Too many to tell each VM: they take a copy when they ask.
                continue;
            }
            let datagram = self.sealer.seal(&Packet::News { number: 0, news });
            let followers: Vec<_> = self.followers.borrow().keys().copied().collect();
            for follower in followers {
                self.send_sealed(follower, &datagram).await;
            }
        }
    }

    /// Asks VMs one after the other until one has a fresh directory.
    pub(super) async fn hear(&self, sources: &[SocketAddr]) -> Heard {
        for source in sources {
            if self.is_passed_over(*source) {
                continue;
            }
            let asked = Instant::now();
            let step = match self.ask(*source).await {
                Some(news) => {
                    let waited = if self.as_of().is_some() {
                        Duration::MAX
                    } else {
                        self.began.elapsed()
                    };
                    match step(news.standing(), self.period, waited) {
                        Step::Use => self.learn(&news, asked, true),
                        Step::Wait => return Heard::Soon,
                        Step::Next => None,
                    }
                }
                None => None,
            };
            if let Some(heard) = step {
                self.note_source(Some(*source));
                return heard;
            }
            self.pass_over(*source, Instant::now());
        }
        self.note_source(None);
        Heard::Nobody
    }

    fn pass_over(&self, source: SocketAddr, now: Instant) {
        let mut passed_over = self.passed_over.borrow_mut();
        passed_over.retain(|_, until| now < *until);
        passed_over.insert(source, now + PASSED_OVER);
    }

    fn is_passed_over(&self, source: SocketAddr) -> bool {
        let passed_over = self.passed_over.borrow();
        passed_over
            .get(&source)
            .is_some_and(|until| Instant::now() < *until)
    }

    /// The VM from which this one heard last.
    pub(super) fn source(&self) -> Option<SocketAddr> {
        self.worlds.borrow().source
    }

    fn note_source(&self, source: Option<SocketAddr>) {
        let mut before = source;
        self.worlds.send_if_modified(|world| {
            before = std::mem::replace(&mut world.source, source);
            false
        });
        if before != source {
            let name = |source: Option<SocketAddr>| {
                source.map_or_else(|| "store".to_owned(), |source| source.to_string())
            };
            event!(
                info,
                "directory_source",
                from = name(source),
                before = name(before),
                as_of = self.as_of().unwrap_or_default()
            );
        }
    }

    async fn ask(&self, source: SocketAddr) -> Option<News> {
        let number = self.numbers.get();
        self.numbers.set(number + 1);
        let as_of = self.as_of().unwrap_or_default();
        let (answer, mut news) = oneshot::channel();
        self.waiting.borrow_mut().insert(number, answer);
        for _ in 0..SENDS {
            self.send(source, &Packet::Ask { number, as_of }).await;
            if let Ok(news) = timeout(AGAIN, &mut news).await {
                return news.ok();
            }
        }
        self.waiting.borrow_mut().remove(&number);
        None
    }

    /// Takes in what another VM said after `asked`, as an answer or not; none where this VM knows more.
    fn learn(&self, news: &News, asked: Instant, answer: bool) -> Option<Heard> {
        self.note_config(news.config);
        let known = self.as_of();
        if known.is_some_and(|known| news.until < known) {
            return None;
        }
        let changes = match (&news.changes, known) {
            (Some(changes), Some(known)) if news.since <= known => changes,
            _ => {
                self.want_copy(news.until);
                return Some(Heard::News);
            }
        };
        self.update(news.until, |world| {
            let changes = changes
                .iter()
                .filter(|change| apply_change(world, change, false));
            // All stand at the last offset: a part of them may follow from what this VM knew.
            changes.map(|change| (news.until, change.clone())).collect()
        });
        let age = news.age_ms.map(Duration::from_millis);
        if let Some(at) = age.and_then(|age| asked.checked_sub(age)) {
            self.aged(at);
        }
        let Some(digest) = news.digest else {
            return Some(Heard::More);
        };
        // Two VMs that read the store at the same time differ for a moment.
        let differs = self.worlds.borrow().directory.digest() != digest;
        if answer && self.differs.replace(differs) && differs {
            event!(info, "directory_differs", as_of = news.until);
            self.want_copy(news.until);
        }
        Some(Heard::News)
    }

    fn note_config(&self, version: u64) {
        let known = self
            .worlds
            .borrow()
            .table
            .as_ref()
            .map_or(0, |table| table.version);
        let told = self.told_config.get().map_or(0, |(told, _)| told);
        if version > known.max(told) {
            self.told_config.set(Some((version, Instant::now())));
            self.wanted.notify_one();
        }
    }

    fn want_copy(&self, least: Offset) {
        let lately = self.copied.get().is_some_and(|at| at.elapsed() < COPIES);
        if lately {
            return;
        }
        self.wants_copy.set(Some(least));
        self.wanted.notify_one();
    }

    /// The VMs to ask now, and whether this one reads the store where none of them helps.
    pub(super) fn sources(&self, sources: &Sources) -> (Vec<SocketAddr>, bool) {
        let order = sources.relays();
        let has_store = self.has_store.get();
        // The first one goes on trying: the partition of the directory may be there where others are not.
        let reads = order.before.is_empty() || order.reads && has_store;
        let mut asked = order.before;
        if !order.reads || !has_store {
            asked.extend(sources.some_relays(AT_RANDOM));
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
