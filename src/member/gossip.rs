//! The membership protocol: datagrams and time in, datagrams and a view out; no I/O.
//!
//! Each VM probes the others in a shuffled order, directly and through some of them. One that
//! answers nobody is suspected, and the suspicion spreads; it can refute it by a new incarnation.
//! What changes is passed on a bounded number of times, on probes and in datagrams of its own,
//! and a periodic exchange of digests repairs what was lost, also after a partition.

use super::hints::{Hint, Hints};
use super::probe::Probes;
use super::queue::{Item, Queue};
use super::roster::{Change, Record, Roster, Standing};
use super::view::{Beat, Member, View};
use super::wire::{DATAGRAM, ENVELOPE, Header, Kind, Message, News, Profile, State};
use crate::id::{Epoch, Incarnation, Offset, Server, Shard, Vm};
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::{IndexedRandom, IteratorRandom};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// Time between two datagrams that only pass news on.
const NEWS: Duration = Duration::from_millis(200);
/// Members that such datagrams go to.
const FANOUT: usize = 2;
/// Time between two exchanges of digests, and while much differs.
const SYNC: (Duration, Duration) = (Duration::from_secs(1), Duration::from_millis(200));
/// Time between two contacts of an address where no live member is known.
const CONTACT: Duration = Duration::from_secs(1);
/// Addresses contacted at once by a VM that knows no other.
const CONTACTS: usize = 3;
/// The shortest time between two announcements of the applied offset, and the part of it for
/// each member: all members together announce at most ten a second.
const APPLIED: (Duration, Duration) = (Duration::from_secs(1), Duration::from_millis(100));
/// A gap between two ticks that means that this process stood still.
const STALL: Duration = Duration::from_millis(500);
/// Bytes a second that may be spent on news and exchanges, and saved up at most.
const BUDGET: (f64, f64) = (8_000.0, 40_000.0);
/// The suspicion of a member of a small group.
const SUSPICION: Duration = Duration::from_millis(1200);

/// What the driver of a [`Gossip`] has to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send a message.
    Send {
        /// Where to.
        to: SocketAddr,
        /// The message.
        message: Message,
    },
    /// Log that a member is held in another state.
    Tell {
        /// The member.
        vm: Vm,
        /// The state.
        state: State,
    },
}

/// Events since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Suspicions that this VM raised.
    pub suspicions: u64,
    /// Suspicions of itself that this VM refuted.
    pub refutations: u64,
    /// Members that this VM dropped from its view.
    pub removals: u64,
}

/// The membership as one VM sees it.
///
/// ```
/// use std::time::Duration;
/// use tokio::time::Instant;
/// use vanillatrail::id::{Boot, Incarnation, Millicores, Offset};
/// use vanillatrail::member::{Action, Beat, Gossip};
///
/// let beat = |vm: &str, port| Beat {
///     vm: vm.parse().unwrap(),
///     zone: "zone-a".parse().unwrap(),
///     boot: Boot(1),
///     address: ([127, 0, 0, 1], port).into(),
///     cores: Millicores(1000),
///     ready: true,
///     applied: Offset(0),
///     held: Vec::new(),
/// };
/// let mut now = Instant::now();
/// let (a, b) = (beat("vm-a", 1), beat("vm-b", 2));
/// let mut one = Gossip::new(now, a.clone(), Incarnation(1), vec![b.address], 7);
/// let mut two = Gossip::new(now, b.clone(), Incarnation(1), vec![a.address], 8);
/// for _ in 0..20 {
///     now += Duration::from_millis(50);
///     let mut actions: Vec<_> = one.tick(now).into_iter().map(|action| (1, action)).collect();
///     actions.extend(two.tick(now).into_iter().map(|action| (2, action)));
///     while let Some((from, action)) = actions.pop() {
///         let Action::Send { message, .. } = action else { continue };
///         let (to, peer, source) = if from == 1 { (2, &mut two, a.address) } else { (1, &mut one, b.address) };
///         actions.extend(peer.on_message(now, source, message).into_iter().map(|action| (to, action)));
///     }
/// }
/// assert_eq!(one.view(now).members.len(), 2);
/// ```
#[derive(Debug)]
pub struct Gossip {
    pub(super) me: Vm,
    pub(super) rng: StdRng,
    pub(super) roster: Roster,
    pub(super) hints: Hints,
    pub(super) queue: Queue,
    pub(super) probes: Probes,
    pub(super) counts: Counts,
    /// Addresses from the settings and the VM list.
    contacts: BTreeSet<SocketAddr>,
    held: BTreeMap<Shard, Epoch>,
    /// The applied offset that was last announced.
    announced: Offset,
    /// Live members, counted at the last exchange.
    group: usize,
    due: Due,
    ticked: Instant,
    tokens: f64,
    /// Whether the last exchange told of many differences.
    pub(super) behind: bool,
    pub(super) dirty: bool,
    servers: BTreeSet<Server>,
    pub(super) left: bool,
}

#[derive(Debug)]
struct Due {
    news: Instant,
    sync: Instant,
    contact: Instant,
    applied: Instant,
}

impl Gossip {
    /// The membership of a VM that knows only some addresses.
    ///
    /// `incarnation` should exceed that of an earlier run of the same VM, such as the seconds of
    /// the wall clock; if it does not, the VM raises it as soon as it hears of the earlier run.
    #[must_use]
    pub fn new(
        now: Instant,
        local: Beat,
        incarnation: Incarnation,
        seeds: Vec<SocketAddr>,
        seed: u64,
    ) -> Self {
        let me = local.vm.clone();
        let due = Due {
            news: now,
            sync: now,
            contact: now,
            applied: now,
        };
        let mut gossip = Self {
            me: me.clone(),
            rng: StdRng::seed_from_u64(seed),
            roster: Roster::default(),
            hints: Hints::default(),
            queue: Queue::new(seed),
            probes: Probes::new(now),
            counts: Counts::default(),
            contacts: seeds.into_iter().collect(),
            held: BTreeMap::new(),
            announced: Offset(0),
            group: 1,
            due,
            ticked: now,
            tokens: BUDGET.1,
            behind: true,
            dirty: true,
            servers: BTreeSet::new(),
            left: false,
        };
        let profile = Profile {
            vm: me.clone(),
            zone: local.zone.clone(),
            boot: local.boot,
            address: local.address,
            cores: local.cores,
            ready: local.ready,
            version: incarnation,
        };
        let record = Record {
            profile,
            incarnation,
            applied: Offset(0),
            standing: Standing {
                state: State::Alive,
                since: now,
            },
            doubted: None,
        };
        gossip.roster.records.insert(me.clone(), record);
        gossip.queue.push(Item::Profile(me));
        gossip.local(&local);
        gossip
    }

    /// Takes in what this VM says of itself, and spreads what changed.
    pub fn local(&mut self, beat: &Beat) {
        let record = self.my_record();
        let profile = &mut record.profile;
        let told = (&beat.zone, beat.boot, beat.address, beat.ready);
        if told != (&profile.zone, profile.boot, profile.address, profile.ready) {
            profile.zone = beat.zone.clone();
            profile.boot = beat.boot;
            profile.address = beat.address;
            profile.ready = beat.ready;
            record.incarnation = Incarnation(record.incarnation.0 + 1);
            record.profile.version = record.incarnation;
            self.queue.push(Item::Profile(self.me.clone()));
            self.dirty = true;
        }
        self.applied(beat.applied);
        self.claims(beat);
    }

    fn applied(&mut self, applied: Offset) {
        let record = self.my_record();
        if record.applied == applied {
            return;
        }
        record.applied = applied;
        self.dirty = true;
        self.newest(applied);
    }

    fn claims(&mut self, beat: &Beat) {
        let held: BTreeMap<Shard, Epoch> = beat.held.iter().copied().collect();
        if held == self.held {
            return;
        }
        let before = std::mem::replace(&mut self.held, held);
        self.dirty = true;
        for (shard, epoch) in before {
            if self.held.get(&shard) != Some(&epoch) {
                self.spread_claim(beat, shard, epoch, true);
            }
        }
        for (shard, epoch) in self.held.clone() {
            self.spread_claim(beat, shard, epoch, false);
        }
    }

    fn spread_claim(&mut self, beat: &Beat, shard: Shard, epoch: Epoch, released: bool) {
        let hint = Hint {
            epoch,
            vm: beat.vm.clone(),
            boot: beat.boot,
            released,
        };
        if matches!(
            self.hints.claim(shard, hint),
            Change::Joined | Change::Status
        ) {
            self.queue.push(Item::Claim(beat.vm.clone(), shard));
        }
    }

    /// Adds addresses at which members may be found. They are contacted at a low rate, and a
    /// stale one costs no more than that: only a member's own word brings it into the view.
    pub fn contact(&mut self, addresses: impl IntoIterator<Item = SocketAddr>) {
        self.contacts.extend(addresses);
    }

    /// Announces that a backend server is leaving.
    pub fn leaving(&mut self, now: Instant, server: &Server) {
        if self.hints.announce(now, server) {
            self.queue.push(Item::Leaving(server.clone()));
            self.dirty = true;
        }
    }

    /// Tells some members that this VM leaves; it takes no part afterwards.
    pub fn leave(&mut self, now: Instant) -> Vec<Action> {
        self.left = true;
        let record = self.my_record();
        record.incarnation = Incarnation(record.incarnation.0 + 1);
        record.standing = Standing {
            state: State::Left,
            since: now,
        };
        let news = vec![record.status()];
        let to = self.some(usize::try_from(self.limit()).unwrap_or(usize::MAX));
        to.into_iter()
            .map(|(_, to)| self.send(to, Kind::Gossip, news.clone()))
            .collect()
    }

    /// Whether the view has changed since it was last taken.
    #[must_use]
    pub fn changed(&self) -> bool {
        self.dirty
    }

    /// The view at `now`.
    pub fn view(&mut self, now: Instant) -> View {
        self.dirty = false;
        self.servers = self.hints.servers(now);
        let mut members: BTreeMap<Vm, Member> = self
            .roster
            .live()
            .map(|record| (record.profile.vm.clone(), member(record)))
            .collect();
        for (shard, hint) in &self.hints.shards {
            if let Some(member) = members.get_mut(&hint.vm)
                && member.boot == hint.boot
                && !hint.released
            {
                member.held.push((*shard, hint.epoch));
            }
        }
        if let Some(me) = members.get_mut(&self.me) {
            me.held = self
                .held
                .iter()
                .map(|(shard, epoch)| (*shard, *epoch))
                .collect();
        }
        View {
            members,
            leaving: self.servers.clone(),
            newest: self.hints.newest,
        }
    }

    /// Events since the start.
    #[must_use]
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Records, hints and queued news that are held, for reports.
    #[must_use]
    pub fn sizes(&self) -> (usize, usize, usize) {
        (
            self.roster.records.len(),
            self.hints.shards.len(),
            self.queue.len(),
        )
    }

    /// Does what is due at `now`; called every 50 ms or so.
    pub fn tick(&mut self, now: Instant) -> Vec<Action> {
        if self.left {
            return Vec::new();
        }
        let gap = now.saturating_duration_since(self.ticked);
        self.ticked = now;
        self.tokens = BUDGET
            .0
            .mul_add(gap.as_secs_f64(), self.tokens)
            .min(BUDGET.1);
        if gap >= STALL {
            // A process that stood still finds every probe unanswered and every suspicion old,
            // and would drop the whole group; nobody had a chance to answer it meanwhile.
            self.roster.shift(gap);
            self.probes.shift(now, gap);
        }
        let mut actions = self.expire(now);
        self.probe(now, &mut actions);
        self.spread(now, &mut actions);
        self.sync_due(now, &mut actions);
        self.contact_due(now, &mut actions);
        self.announce_applied(now);
        if self.servers != self.hints.servers(now) {
            self.dirty = true;
        }
        actions
    }

    fn expire(&mut self, now: Instant) -> Vec<Action> {
        if !self.probes.connected(now) {
            return Vec::new();
        }
        let gone = self.roster.expire(now, self.suspicion());
        for vm in &gone {
            self.queue.remove(&Item::Status(vm.clone()));
            self.queue.remove(&Item::Profile(vm.clone()));
        }
        self.counts.removals += gone.len() as u64;
        self.dirty |= !gone.is_empty();
        let tell = |vm| Action::Tell {
            vm,
            state: State::Gone,
        };
        let mut actions: Vec<Action> = gone.into_iter().map(tell).collect();
        // The refutation may have been lost on the way to this VM alone, so it asks once more
        // before it drops the member by itself.
        for vm in self.roster.late_suspects(now, self.suspicion()) {
            let incarnation = self.roster.records[&vm].incarnation;
            self.doubt(now, &vm, incarnation, &mut actions);
        }
        actions
    }

    /// How long a suspicion has to last; it grows with the time that news take to all members.
    fn suspicion(&self) -> Duration {
        let members = self.group as f64;
        SUSPICION.mul_f64((members.log2() / 3.0).max(1.0))
    }

    /// How often a piece of news is passed on.
    pub(super) fn limit(&self) -> u32 {
        (self.group + 1).ilog2() + 5
    }

    fn spread(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if now < self.due.news {
            return;
        }
        self.due.news = now + NEWS;
        if self.queue.is_empty() {
            return;
        }
        for (_, to) in self.some(FANOUT) {
            let news = self.pack(now);
            if !news.is_empty() {
                actions.push(self.send(to, Kind::Gossip, news));
            }
        }
    }

    fn sync_due(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if now < self.due.sync {
            return;
        }
        self.due.sync = now + if self.behind { SYNC.1 } else { SYNC.0 };
        self.behind = false;
        self.group = self.roster.live().count();
        self.roster.forget(now);
        self.hints.forget(now);
        if let Some((_, to)) = self.some(1).pop() {
            actions.extend(self.sync(now, to));
        }
    }

    /// Contacts an address where no live member is known, so that the sides of a partition and a
    /// VM that starts find the others.
    fn contact_due(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if now < self.due.contact {
            return;
        }
        self.due.contact = now + CONTACT;
        let live: BTreeSet<SocketAddr> = self.roster.live().map(|r| r.profile.address).collect();
        let gone = self
            .roster
            .records
            .values()
            .filter(|r| r.standing.state == State::Gone);
        let mut places: BTreeSet<SocketAddr> = gone.map(|r| r.profile.address).collect();
        places.extend(&self.contacts);
        let places: Vec<SocketAddr> = places.difference(&live).copied().collect();
        let count = if live.len() == 1 { CONTACTS } else { 1 };
        let chosen: Vec<SocketAddr> = places.sample(&mut self.rng, count).copied().collect();
        for to in chosen {
            let ping = Kind::Ping {
                number: 0,
                to: None,
            };
            let me = self.my_record().full();
            actions.push(self.send(to, ping, vec![me]));
        }
    }

    fn announce_applied(&mut self, now: Instant) {
        let applied = self.my_record().applied;
        if applied != self.announced && now >= self.due.applied {
            let members = u32::try_from(self.group).unwrap_or(u32::MAX);
            self.due.applied = now + APPLIED.0.max(APPLIED.1 * members);
            self.announced = applied;
            self.queue.push(Item::Applied(self.me.clone()));
        }
    }

    pub(super) fn newest(&mut self, offset: Offset) {
        if offset > self.hints.newest {
            self.hints.newest = offset;
            self.dirty = true;
        }
    }

    /// News to go with a datagram, as many as its size and the budget allow.
    pub(super) fn pack(&mut self, now: Instant) -> Vec<News> {
        let limit = self.limit();
        let mut room = DATAGRAM - ENVELOPE;
        let mut packed = Vec::new();
        for item in self.queue.fresh() {
            let Some(news) = self.news(now, &item) else {
                self.queue.remove(&item);
                continue;
            };
            let size = news.size_in(&packed);
            if size > room || !self.spend(size) {
                break;
            }
            room -= size;
            News::join(&mut packed, news);
            self.queue.count(&item, limit);
        }
        packed
    }

    fn news(&self, now: Instant, item: &Item) -> Option<News> {
        match item {
            Item::Status(vm) => Some(self.roster.records.get(vm)?.status()),
            Item::Profile(vm) => Some(self.roster.records.get(vm)?.full()),
            Item::Applied(vm) => {
                let applied = self.roster.records.get(vm)?.applied;
                let vm = vm.clone();
                Some(News::Applied { vm, applied })
            }
            Item::Claim(vm, shard) => self.hints.claim_news(vm, *shard),
            Item::Leaving(server) => self.hints.leaving_news(now, server),
        }
    }

    /// Takes bytes from the budget for news and exchanges, if they are there.
    pub(super) fn spend(&mut self, bytes: usize) -> bool {
        let enough = self.tokens >= bytes as f64;
        if enough {
            self.tokens -= bytes as f64;
        }
        enough
    }

    /// Some members other than this one, none of them under suspicion: news sent to a VM that does
    /// not answer would be spent in vain.
    pub(super) fn some(&mut self, count: usize) -> Vec<(Vm, SocketAddr)> {
        let others = self
            .roster
            .live()
            .filter(|record| record.standing.state == State::Alive && record.profile.vm != self.me);
        let chosen = others.sample(&mut self.rng, count);
        let chosen = chosen.into_iter().map(|record| &record.profile);
        chosen
            .map(|profile| (profile.vm.clone(), profile.address))
            .collect()
    }

    pub(super) fn send(&self, to: SocketAddr, kind: Kind, news: Vec<News>) -> Action {
        let me = &self.roster.records[&self.me];
        let from = Header {
            vm: self.me.clone(),
            incarnation: me.incarnation,
            applied: me.applied,
            newest: self.hints.newest,
        };
        let message = Message { from, kind, news };
        Action::Send { to, message }
    }

    pub(super) fn address(&self, vm: &Vm) -> Option<SocketAddr> {
        Some(self.roster.records.get(vm)?.profile.address)
    }

    pub(super) fn my_record(&mut self) -> &mut Record {
        self.roster
            .records
            .get_mut(&self.me)
            .expect("this VM is always on its own roster")
    }
}

fn member(record: &Record) -> Member {
    Member {
        vm: record.profile.vm.clone(),
        zone: record.profile.zone.clone(),
        boot: record.profile.boot,
        address: record.profile.address,
        cores: record.profile.cores,
        ready: record.profile.ready,
        applied: record.applied,
        held: Vec::new(),
        suspect: record.standing.state == State::Suspect,
    }
}
