//! Timed actions of a member: probes, gossip, anti-entropy exchanges and contacting lost members.

use super::gossip::{Action, Gossip};
use super::queue::Subject;
use super::wire::{Kind, State};
use rand::seq::IndexedRandom;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

const GOSSIP_INTERVAL: Duration = Duration::from_millis(200);
/// Members that updates are sent to per interval.
const GOSSIP_FANOUT: usize = 2;
/// Time between two anti-entropy exchanges: normally, and after one that found many differences.
const SYNC_INTERVALS: (Duration, Duration) = (Duration::from_secs(1), Duration::from_millis(200));
/// Time between pings to addresses without a known live member.
const CONTACT_INTERVAL: Duration = Duration::from_secs(1);
/// Addresses contacted at once by a VM that knows no other member.
const MAX_CONTACTS_WHEN_ALONE: usize = 3;
/// Least time between two announcements of the applied offset: a minimum, and an amount per member
/// that bounds the rate of all members together.
const OFFSET_INTERVALS: (Duration, Duration) = (Duration::from_secs(1), Duration::from_millis(100));
/// Time between two ticks from which this process counts as having been suspended.
const STALL_THRESHOLD: Duration = Duration::from_millis(500);
/// Token bucket for updates and exchanges: bytes per second, and burst in bytes.
pub(super) const BYTE_BUDGET: (f64, f64) = (8_000.0, 40_000.0);
/// How long a member of a small group is suspected before it counts as gone.
const MIN_SUSPICION_TIMEOUT: Duration = Duration::from_millis(1200);

impl Gossip {
    /// Performs the actions that are due at `now`; to be called about every 50 ms.
    pub fn tick(&mut self, now: Instant) -> Vec<Action> {
        if self.left {
            return Vec::new();
        }
        let elapsed = now.saturating_duration_since(self.last_tick);
        self.last_tick = now;
        self.byte_budget = BYTE_BUDGET
            .0
            .mul_add(elapsed.as_secs_f64(), self.byte_budget)
            .min(BYTE_BUDGET.1);
        if elapsed >= STALL_THRESHOLD {
            // After a suspension all probes and suspicions look timed out, although no answer could
            // be received meanwhile; without this, the whole group would be removed.
            self.roster.postpone_suspicions(elapsed);
            self.probes.postpone(now, elapsed);
        }
        let mut actions = self.remove_unresponsive(now);
        self.run_probes(now, &mut actions);
        self.gossip(now, &mut actions);
        self.start_due_sync(now, &mut actions);
        self.contact_absent_members(now, &mut actions);
        self.announce_applied(now);
        if self.draining_servers != self.shared.draining_servers(now) {
            self.view_changed = true;
        }
        actions
    }

    fn remove_unresponsive(&mut self, now: Instant) -> Vec<Action> {
        if !self.probes.connected(now) {
            return Vec::new();
        }
        let gone = self.roster.expire_suspects(now, self.suspicion_timeout());
        for vm in &gone {
            self.queue.remove(&Subject::Status(vm.clone()));
            self.queue.remove(&Subject::Profile(vm.clone()));
        }
        self.counts.removals += gone.len() as u64;
        self.view_changed |= !gone.is_empty();
        let log_gone = |vm| Action::LogState {
            vm,
            state: State::Gone,
        };
        let mut actions: Vec<Action> = gone.into_iter().map(log_gone).collect();
        // The refutation may have been lost only on its way to this VM, so ask once more before
        // removing the member.
        for vm in self.roster.late_suspects(now, self.suspicion_timeout()) {
            let incarnation = self.roster.records[&vm].incarnation;
            self.request_refutation(now, &vm, incarnation, &mut actions);
        }
        actions
    }

    /// Grows with the logarithm of the group size, like the time for gossip to reach all members.
    fn suspicion_timeout(&self) -> Duration {
        let members = self.member_count as f64;
        MIN_SUSPICION_TIMEOUT.mul_f64((members.log2() / 3.0).max(1.0))
    }

    fn gossip(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if now < self.timers.gossip {
            return;
        }
        self.timers.gossip = now + GOSSIP_INTERVAL;
        if self.queue.is_empty() {
            return;
        }
        for (_, to) in self.random_members(GOSSIP_FANOUT) {
            let updates = self.pack_updates(now);
            if !updates.is_empty() {
                actions.push(self.send_action(to, Kind::Gossip, updates));
            }
        }
    }

    fn start_due_sync(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if now < self.timers.sync {
            return;
        }
        self.timers.sync = now
            + if self.many_differences {
                SYNC_INTERVALS.1
            } else {
                SYNC_INTERVALS.0
            };
        self.many_differences = false;
        self.member_count = self.roster.live().count();
        self.roster.remove_old(now);
        self.shared.remove_expired(now);
        if let Some((_, to)) = self.random_members(1).pop() {
            actions.extend(self.start_sync(now, to));
        }
    }

    /// Pings addresses without a known live member, so that the two sides of a network partition, or
    /// a starting VM and the group, find each other.
    fn contact_absent_members(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if now < self.timers.contact {
            return;
        }
        self.timers.contact = now + CONTACT_INTERVAL;
        let live: BTreeSet<SocketAddr> = self.roster.live().map(|r| r.profile.address).collect();
        let gone = self
            .roster
            .records
            .values()
            .filter(|r| r.status.state == State::Gone);
        let mut addresses: BTreeSet<SocketAddr> = gone.map(|r| r.profile.address).collect();
        addresses.extend(&self.contact_addresses);
        let addresses: Vec<SocketAddr> = addresses.difference(&live).copied().collect();
        let count = if live.len() == 1 {
            MAX_CONTACTS_WHEN_ALONE
        } else {
            1
        };
        let chosen: Vec<SocketAddr> = addresses.sample(&mut self.rng, count).copied().collect();
        for to in chosen {
            let ping = Kind::Ping {
                number: 0,
                to: None,
            };
            let me = self.own_record().profile_update();
            actions.push(self.send_action(to, ping, vec![me]));
        }
    }

    fn announce_applied(&mut self, now: Instant) {
        let applied = self.own_record().applied;
        if applied != self.announced_offset && now >= self.timers.offset {
            let members = u32::try_from(self.member_count).unwrap_or(u32::MAX);
            self.timers.offset = now + OFFSET_INTERVALS.0.max(OFFSET_INTERVALS.1 * members);
            self.announced_offset = applied;
            self.queue.push(Subject::Applied(self.me.clone()));
        }
    }
}
