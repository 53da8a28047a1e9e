//! Failure detection: pings one member after the other, directly and through relays.

use super::gossip::{Action, Gossip};
use super::wire::{Kind, State};
use crate::id::Vm;
use rand::RngExt;
use rand::seq::SliceRandom;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

const PROBE_INTERVAL: Duration = Duration::from_millis(250);
/// Delays of a probe's pings from its start.
const PING_DELAYS: [Duration; 4] = [
    Duration::ZERO,
    Duration::from_millis(150),
    Duration::from_millis(300),
    Duration::from_millis(500),
];
/// Index of the first ping that is also requested from other members.
const FIRST_INDIRECT_PING: usize = 2;
const INDIRECT_PROBERS: usize = 3;
/// A probe without an acknowledgement for this long raises a suspicion.
const PROBE_TIMEOUT: Duration = Duration::from_millis(750);
/// How long a relayed ping waits for its acknowledgement.
const RELAY_TIMEOUT: Duration = Duration::from_secs(1);
const MAX_RELAYED_PINGS: usize = 256;
/// Without any acknowledgement for this long, a VM assumes that its own network has failed.
const ISOLATED_AFTER: Duration = Duration::from_millis(1500);
/// Without any acknowledgement for this long, it assumes that all other members have failed.
const STANDALONE_AFTER: Duration = Duration::from_secs(5);

#[derive(Debug)]
struct Probe {
    vm: Vm,
    address: SocketAddr,
    started_at: Instant,
    pings: usize,
}

#[derive(Debug)]
struct Relay {
    requester: SocketAddr,
    number: u64,
    expires_at: Instant,
}

/// Probes in flight, and pings relayed for other members.
#[derive(Debug)]
pub(super) struct Probes {
    targets: Vec<Vm>,
    next_start: Instant,
    in_flight: BTreeMap<u64, Probe>,
    relays: BTreeMap<u64, Relay>,
    last_ack: Instant,
}

impl Probes {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            targets: Vec::new(),
            next_start: now,
            in_flight: BTreeMap::new(),
            relays: BTreeMap::new(),
            last_ack: now,
        }
    }

    /// Whether failures of other members may be concluded: some member answered recently, or none
    /// has for so long that this VM continues alone.
    ///
    /// Otherwise a VM with a failed network would suspect the whole group and claim every shard.
    pub(super) fn connected(&self, now: Instant) -> bool {
        let silence = now.saturating_duration_since(self.last_ack);
        silence < ISOLATED_AFTER || silence >= STANDALONE_AFTER
    }

    pub(super) fn probe_next(&mut self, vm: &Vm) {
        self.targets.retain(|other| other != vm);
        self.targets.push(vm.clone());
    }

    /// Extends all deadlines by the time for which this process was suspended.
    pub(super) fn postpone(&mut self, now: Instant, stall: Duration) {
        self.next_start = now;
        self.last_ack += stall;
        for probe in self.in_flight.values_mut() {
            probe.started_at += stall;
        }
    }
}

impl Gossip {
    pub(super) fn run_probes(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.probes.relays.retain(|_, relay| relay.expires_at > now);
        self.expire_probes(now, actions);
        if now >= self.probes.next_start {
            self.probes.next_start = now + PROBE_INTERVAL;
            self.start_probe(now);
        }
        self.send_due_pings(now, actions);
    }

    fn expire_probes(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let timed_out =
            |probe: &Probe| now.saturating_duration_since(probe.started_at) >= PROBE_TIMEOUT;
        let expired: Vec<u64> = self
            .probes
            .in_flight
            .iter()
            .filter(|(_, probe)| timed_out(probe))
            .map(|(number, _)| *number)
            .collect();
        for number in expired {
            let Some(probe) = self.probes.in_flight.remove(&number) else {
                continue;
            };
            if self.probes.connected(now) {
                self.mark_suspect(now, &probe.vm, actions);
            }
        }
    }

    fn start_probe(&mut self, now: Instant) {
        if self.probes.targets.is_empty() {
            let others = self.roster.live().map(|record| record.profile.vm.clone());
            self.probes.targets = others.filter(|vm| *vm != self.me).collect();
            self.probes.targets.shuffle(&mut self.rng);
            if self.probes.targets.is_empty() {
                self.probes.last_ack = now;
            }
        }
        // Suspects are not probed: only a refutation clears a suspicion, an acknowledgement doesn't.
        let record = std::iter::from_fn(|| self.probes.targets.pop()).find_map(|vm| {
            let record = self.roster.records.get(&vm)?;
            (record.status.state == State::Alive).then_some(record)
        });
        let Some(record) = record else {
            return;
        };
        let probe = Probe {
            vm: record.profile.vm.clone(),
            address: record.profile.address,
            started_at: now,
            pings: 0,
        };
        let number = self.random_ping_number();
        self.probes.in_flight.insert(number, probe);
    }

    fn send_due_pings(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let mut due = Vec::new();
        for (number, probe) in &mut self.probes.in_flight {
            let delay = PING_DELAYS.get(probe.pings);
            if delay.is_some_and(|delay| now.saturating_duration_since(probe.started_at) >= *delay)
            {
                due.push((*number, probe.vm.clone(), probe.address, probe.pings));
                probe.pings += 1;
            }
        }
        for (number, vm, address, pings) in due {
            // Only the first ping carries updates: a VM that does not answer would waste them.
            let updates = if pings == 0 {
                self.pack_updates(now)
            } else {
                Vec::new()
            };
            let to = Some(vm.clone());
            actions.push(self.send_action(address, Kind::Ping { number, to }, updates));
            if pings >= FIRST_INDIRECT_PING {
                self.request_indirect_pings(number, &vm, address, actions);
            }
        }
    }

    fn request_indirect_pings(
        &mut self,
        number: u64,
        vm: &Vm,
        address: SocketAddr,
        actions: &mut Vec<Action>,
    ) {
        for (other, to) in self.random_members(INDIRECT_PROBERS + 1) {
            if other != *vm {
                let relay = Kind::Relay {
                    number,
                    to: vm.clone(),
                    address,
                };
                actions.push(self.send_action(to, relay, Vec::new()));
            }
        }
    }

    /// Pings a member on behalf of another one.
    pub(super) fn relay_ping(
        &mut self,
        now: Instant,
        requester: SocketAddr,
        number: u64,
        to: Vm,
        address: SocketAddr,
    ) -> Action {
        let relay_number = self.random_ping_number();
        if self.probes.relays.len() < MAX_RELAYED_PINGS {
            let expires_at = now + RELAY_TIMEOUT;
            let relay = Relay {
                requester,
                number,
                expires_at,
            };
            self.probes.relays.insert(relay_number, relay);
        }
        let to = Some(to);
        self.send_action(
            address,
            Kind::Ping {
                number: relay_number,
                to,
            },
            Vec::new(),
        )
    }

    /// Ends the probe with this number, or forwards the acknowledgement of a relayed ping.
    pub(super) fn handle_ack(&mut self, now: Instant, number: u64) -> Option<Action> {
        if let Some(relay) = self.probes.relays.remove(&number) {
            let ack = Kind::Ack {
                number: relay.number,
            };
            return Some(self.send_action(relay.requester, ack, Vec::new()));
        }
        if self.probes.in_flight.remove(&number).is_some() {
            self.probes.last_ack = now;
        }
        None
    }

    /// Zero is reserved for pings to contact addresses.
    fn random_ping_number(&mut self) -> u64 {
        u64::from(self.rng.random_range(1..=u32::MAX))
    }

    /// Whether the member is known and currently suspected.
    #[must_use]
    pub fn is_suspected(&self, vm: &Vm) -> bool {
        let record = self.roster.records.get(vm);
        record.is_some_and(|record| record.status.state == State::Suspect)
    }
}
