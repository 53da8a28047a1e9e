//! SWIM-style gossip membership, without I/O: takes datagrams and the time, returns datagrams to
//! send and a view of the members.
//!
//! Each VM probes the others in a shuffled order, directly and through relays. A member that does
//! not answer is suspected; the suspicion is gossiped, and the member can refute it with a higher
//! incarnation. Updates are piggybacked on probes and sent in datagrams of their own, a bounded
//! number of times each. Periodic anti-entropy exchanges repair lost updates and network partitions.

use super::probe::Probes;
use super::queue::{Queue, Subject};
use super::roster::{Change, Record, Roster, Status};
use super::shared::{OwnerClaim, SharedState};
use super::tick::BYTE_BUDGET;
use super::view::{Announcement, Member, View};
use super::wire::{
    ENVELOPE_BYTES, Header, Kind, MAX_DATAGRAM_BYTES, Message, Profile, State, Update,
};
use crate::id::{Epoch, Incarnation, Offset, Server, Shard, Vm};
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::IteratorRandom;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use tokio::time::Instant;

/// What the caller of a [`Gossip`] has to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Seal the message and send it as a datagram.
    Send {
        /// Address of the receiving member.
        to: SocketAddr,
        /// Message to seal; fits [`MAX_DATAGRAM_BYTES`] once sealed.
        message: Message,
    },
    /// Log a member's new state.
    LogState {
        /// Member whose state changed.
        vm: Vm,
        /// State after the change.
        state: State,
    },
}

/// Event counters since the start of this process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Suspicions raised by this VM's own probes.
    pub suspicions: u64,
    /// Times that this VM raised its incarnation above a reported one.
    pub refutations: u64,
    /// Members removed after an unrefuted suspicion.
    pub removals: u64,
}

/// Membership state of one VM.
///
/// ```
/// use std::time::Duration;
/// use tokio::time::Instant;
/// use vanillatrail::id::{Boot, Incarnation, Millicores, Offset};
/// use vanillatrail::member::{Action, Announcement, Gossip};
///
/// let announcement = |vm: &str, port| Announcement {
///     vm: vm.parse().unwrap(),
///     zone: "zone-a".parse().unwrap(),
///     boot: Boot(1),
///     address: ([127, 0, 0, 1], port).into(),
///     cores: Millicores(1000),
///     ready: true,
///     applied: Offset(0),
///     owned: Vec::new(),
/// };
/// let mut now = Instant::now();
/// let (a, b) = (announcement("vm-a", 1), announcement("vm-b", 2));
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
    pub(super) shared: SharedState,
    pub(super) queue: Queue,
    pub(super) probes: Probes,
    pub(super) counts: Counts,
    /// Addresses from the settings and the VM lists.
    pub(super) contact_addresses: BTreeSet<SocketAddr>,
    pub(super) owned_shards: BTreeMap<Shard, Epoch>,
    /// Applied configuration offset that was last gossiped.
    pub(super) announced_offset: Offset,
    /// Live members, counted before each anti-entropy exchange.
    pub(super) member_count: usize,
    pub(super) timers: Timers,
    pub(super) last_tick: Instant,
    pub(super) byte_budget: f64,
    /// Whether an exchange since the last scheduled one found many differences.
    pub(super) many_differences: bool,
    pub(super) view_changed: bool,
    pub(super) draining_servers: BTreeSet<Server>,
    pub(super) left: bool,
}

#[derive(Debug)]
pub(super) struct Timers {
    pub(super) gossip: Instant,
    pub(super) sync: Instant,
    pub(super) contact: Instant,
    pub(super) offset: Instant,
}

impl Gossip {
    /// Starts with this VM as the only member; `seeds` are addresses to contact.
    ///
    /// `incarnation` should exceed that of earlier runs of the same VM, such as wall clock seconds.
    /// If it does not, the VM raises it once a member reports the higher one. `seed` is for the
    /// random number generator.
    #[must_use]
    pub fn new(
        now: Instant,
        local: Announcement,
        incarnation: Incarnation,
        seeds: Vec<SocketAddr>,
        seed: u64,
    ) -> Self {
        let me = local.vm.clone();
        let timers = Timers {
            gossip: now,
            sync: now,
            contact: now,
            offset: now,
        };
        let mut gossip = Self {
            me: me.clone(),
            rng: StdRng::seed_from_u64(seed),
            roster: Roster::default(),
            shared: SharedState::default(),
            queue: Queue::new(seed),
            probes: Probes::new(now),
            counts: Counts::default(),
            contact_addresses: seeds.into_iter().collect(),
            owned_shards: BTreeMap::new(),
            announced_offset: Offset(0),
            member_count: 1,
            timers,
            last_tick: now,
            byte_budget: BYTE_BUDGET.1,
            many_differences: true,
            view_changed: true,
            draining_servers: BTreeSet::new(),
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
            status: Status {
                state: State::Alive,
                since: now,
            },
            refutation_requested_at: None,
        };
        gossip.roster.records.insert(me.clone(), record);
        gossip.queue.push(Subject::Profile(me));
        gossip.update_local(&local);
        gossip
    }

    /// Updates this VM's own state and queues the changes for gossip.
    pub fn update_local(&mut self, announcement: &Announcement) {
        let record = self.own_record();
        let profile = &mut record.profile;
        let announced = (
            &announcement.zone,
            announcement.boot,
            announcement.address,
            announcement.ready,
        );
        if announced != (&profile.zone, profile.boot, profile.address, profile.ready) {
            profile.zone = announcement.zone.clone();
            profile.boot = announcement.boot;
            profile.address = announcement.address;
            profile.ready = announcement.ready;
            record.incarnation = Incarnation(record.incarnation.0 + 1);
            record.profile.version = record.incarnation;
            self.queue.push(Subject::Profile(self.me.clone()));
            self.view_changed = true;
        }
        self.set_applied(announcement.applied);
        self.update_claims(announcement);
    }

    fn set_applied(&mut self, applied: Offset) {
        let record = self.own_record();
        if record.applied == applied {
            return;
        }
        record.applied = applied;
        self.view_changed = true;
        self.raise_newest_offset(applied);
    }

    fn update_claims(&mut self, announcement: &Announcement) {
        let owned: BTreeMap<Shard, Epoch> = announcement.owned.iter().copied().collect();
        if owned == self.owned_shards {
            return;
        }
        let previous = std::mem::replace(&mut self.owned_shards, owned);
        self.view_changed = true;
        for (shard, epoch) in previous {
            if self.owned_shards.get(&shard) != Some(&epoch) {
                self.gossip_claim(announcement, shard, epoch, true);
            }
        }
        for (shard, epoch) in self.owned_shards.clone() {
            self.gossip_claim(announcement, shard, epoch, false);
        }
    }

    fn gossip_claim(
        &mut self,
        announcement: &Announcement,
        shard: Shard,
        epoch: Epoch,
        released: bool,
    ) {
        let claim = OwnerClaim {
            epoch,
            vm: announcement.vm.clone(),
            boot: announcement.boot,
            released,
        };
        if matches!(
            self.shared.apply_claim(shard, claim),
            Change::Joined | Change::Status
        ) {
            self.queue
                .push(Subject::Claim(announcement.vm.clone(), shard));
        }
    }

    /// Adds addresses where members may be found. They are contacted at a low rate, and an address
    /// enters the view only once a member introduces itself there.
    pub fn add_contacts(&mut self, addresses: impl IntoIterator<Item = SocketAddr>) {
        self.contact_addresses.extend(addresses);
    }

    /// Announces to the members that a backend server is draining.
    pub fn announce_draining(&mut self, now: Instant, server: &Server) {
        if self.shared.announce_draining(now, server) {
            self.queue.push(Subject::Draining(server.clone()));
            self.view_changed = true;
        }
    }

    /// Tells some members that this VM leaves. Later messages and ticks are ignored.
    pub fn leave(&mut self, now: Instant) -> Vec<Action> {
        self.left = true;
        let record = self.own_record();
        record.incarnation = Incarnation(record.incarnation.0 + 1);
        record.status = Status {
            state: State::Left,
            since: now,
        };
        let updates = vec![record.status_update()];
        let to =
            self.random_members(usize::try_from(self.max_transmissions()).unwrap_or(usize::MAX));
        to.into_iter()
            .map(|(_, to)| self.send_action(to, Kind::Gossip, updates.clone()))
            .collect()
    }

    /// Whether the view has changed since the last call of [`Self::view`].
    #[must_use]
    pub fn view_changed(&self) -> bool {
        self.view_changed
    }

    /// Builds the current view.
    pub fn view(&mut self, now: Instant) -> View {
        self.view_changed = false;
        self.draining_servers = self.shared.draining_servers(now);
        let mut members: BTreeMap<Vm, Member> = self
            .roster
            .live()
            .map(|record| (record.profile.vm.clone(), member(record)))
            .collect();
        for (shard, claim) in &self.shared.shards {
            if let Some(member) = members.get_mut(&claim.vm)
                && member.boot == claim.boot
                && !claim.released
            {
                member.owned.push((*shard, claim.epoch));
            }
        }
        if let Some(me) = members.get_mut(&self.me) {
            me.owned = self
                .owned_shards
                .iter()
                .map(|(shard, epoch)| (*shard, *epoch))
                .collect();
        }
        View {
            members,
            draining: self.draining_servers.clone(),
            newest: self.shared.newest_offset,
        }
    }

    /// Event counters since the start.
    #[must_use]
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Numbers of member records, of shards with a known claim and of queued updates.
    #[must_use]
    pub fn sizes(&self) -> (usize, usize, usize) {
        (
            self.roster.records.len(),
            self.shared.shards.len(),
            self.queue.len(),
        )
    }

    /// How often each update is sent; grows with the logarithm of the group size.
    pub(super) fn max_transmissions(&self) -> u32 {
        (self.member_count + 1).ilog2() + 5
    }

    pub(super) fn raise_newest_offset(&mut self, offset: Offset) {
        if offset > self.shared.newest_offset {
            self.shared.newest_offset = offset;
            self.view_changed = true;
        }
    }

    /// Queued updates to piggyback on a datagram, as many as its size and the byte budget allow.
    pub(super) fn pack_updates(&mut self, now: Instant) -> Vec<Update> {
        let limit = self.max_transmissions();
        let mut free_bytes = MAX_DATAGRAM_BYTES - ENVELOPE_BYTES;
        let mut packed = Vec::new();
        for subject in self.queue.by_priority() {
            let Some(update) = self.update_about(now, &subject) else {
                self.queue.remove(&subject);
                continue;
            };
            let size = update.size_after(&packed);
            if size > free_bytes || !self.try_spend_bytes(size) {
                break;
            }
            free_bytes -= size;
            Update::push_merged(&mut packed, update);
            self.queue.count_transmission(&subject, limit);
        }
        packed
    }

    fn update_about(&self, now: Instant, subject: &Subject) -> Option<Update> {
        match subject {
            Subject::Status(vm) => Some(self.roster.records.get(vm)?.status_update()),
            Subject::Profile(vm) => Some(self.roster.records.get(vm)?.profile_update()),
            Subject::Applied(vm) => {
                let applied = self.roster.records.get(vm)?.applied;
                let vm = vm.clone();
                Some(Update::Applied { vm, applied })
            }
            Subject::Claim(vm, shard) => self.shared.claim_update(vm, *shard),
            Subject::Draining(server) => self.shared.draining_update(now, server),
        }
    }

    /// Takes bytes from the token bucket for updates and exchanges; false if too few are left.
    pub(super) fn try_spend_bytes(&mut self, bytes: usize) -> bool {
        let enough = self.byte_budget >= bytes as f64;
        if enough {
            self.byte_budget -= bytes as f64;
        }
        enough
    }

    /// Random members other than this one. Suspects are left out: updates sent to an unresponsive
    /// VM would waste the byte budget.
    pub(super) fn random_members(&mut self, count: usize) -> Vec<(Vm, SocketAddr)> {
        let others = self
            .roster
            .live()
            .filter(|record| record.status.state == State::Alive && record.profile.vm != self.me);
        let chosen = others.sample(&mut self.rng, count);
        let chosen = chosen.into_iter().map(|record| &record.profile);
        chosen
            .map(|profile| (profile.vm.clone(), profile.address))
            .collect()
    }

    pub(super) fn send_action(&self, to: SocketAddr, kind: Kind, updates: Vec<Update>) -> Action {
        let me = &self.roster.records[&self.me];
        let from = Header {
            vm: self.me.clone(),
            incarnation: me.incarnation,
            applied: me.applied,
            newest: self.shared.newest_offset,
        };
        let message = Message {
            from,
            kind,
            updates,
        };
        Action::Send { to, message }
    }

    pub(super) fn address_of(&self, vm: &Vm) -> Option<SocketAddr> {
        Some(self.roster.records.get(vm)?.profile.address)
    }

    pub(super) fn own_record(&mut self) -> &mut Record {
        self.roster
            .records
            .get_mut(&self.me)
            .expect("the roster always has a record of this VM")
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
        owned: Vec::new(),
        suspect: record.status.state == State::Suspect,
    }
}
