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
use super::tick::BUDGET;
use super::view::{Beat, Member, View};
use super::wire::{DATAGRAM, ENVELOPE, Header, Kind, Message, News, Profile, State};
use crate::id::{Epoch, Incarnation, Offset, Server, Shard, Vm};
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::IteratorRandom;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use tokio::time::Instant;

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
    pub(super) contacts: BTreeSet<SocketAddr>,
    pub(super) held: BTreeMap<Shard, Epoch>,
    /// The applied offset that was last announced.
    pub(super) announced: Offset,
    /// Live members, counted at the last exchange.
    pub(super) group: usize,
    pub(super) due: Due,
    pub(super) ticked: Instant,
    pub(super) tokens: f64,
    /// Whether the last exchange told of many differences.
    pub(super) behind: bool,
    pub(super) dirty: bool,
    pub(super) servers: BTreeSet<Server>,
    pub(super) left: bool,
}

#[derive(Debug)]
pub(super) struct Due {
    pub(super) news: Instant,
    pub(super) sync: Instant,
    pub(super) contact: Instant,
    pub(super) applied: Instant,
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

    /// How often a piece of news is passed on.
    pub(super) fn limit(&self) -> u32 {
        (self.group + 1).ilog2() + 5
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
