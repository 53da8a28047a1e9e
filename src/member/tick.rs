//! What a member does as time passes: probes, passes news on, compares digests, finds others.

use super::gossip::{Action, Gossip};
use super::queue::Item;
use super::wire::{Kind, State};
use rand::seq::IndexedRandom;
use std::collections::BTreeSet;
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
pub(super) const BUDGET: (f64, f64) = (8_000.0, 40_000.0);
/// The suspicion of a member of a small group.
const SUSPICION: Duration = Duration::from_millis(1200);

impl Gossip {
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
}
