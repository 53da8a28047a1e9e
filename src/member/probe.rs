//! Probes: pings of one member after the other, directly and through others.

use super::gossip::{Action, Gossip};
use super::wire::{Kind, State};
use crate::id::Vm;
use rand::RngExt;
use rand::seq::SliceRandom;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// Time between the starts of two probes.
const PERIOD: Duration = Duration::from_millis(250);
/// When a probe sends pings, from its start.
const PINGS: [Duration; 4] = [
    Duration::ZERO,
    Duration::from_millis(150),
    Duration::from_millis(300),
    Duration::from_millis(500),
];
/// From which ping on other members are asked to ping too.
const INDIRECT: usize = 2;
/// Members that are asked.
const RELAYS: usize = 3;
/// When an unanswered probe ends in a suspicion.
const PATIENCE: Duration = Duration::from_millis(750);
/// How long a member passes an acknowledgement back.
const RELAYED: Duration = Duration::from_secs(1);
/// Acknowledgements that a member passes back at most.
const RELAYING: usize = 256;
/// Without any acknowledgement for this long a VM holds its own connection to be at fault.
const QUIET: Duration = Duration::from_millis(1500);
/// After this long it goes on alone.
const ALONE: Duration = Duration::from_secs(5);

#[derive(Debug)]
struct Probe {
    vm: Vm,
    address: SocketAddr,
    since: Instant,
    pings: usize,
}

#[derive(Debug)]
struct Relay {
    back: SocketAddr,
    number: u64,
    until: Instant,
}

/// The probes under way.
#[derive(Debug)]
pub(super) struct Probes {
    order: Vec<Vm>,
    due: Instant,
    open: BTreeMap<u64, Probe>,
    relays: BTreeMap<u64, Relay>,
    acked: Instant,
}

impl Probes {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            order: Vec::new(),
            due: now,
            open: BTreeMap::new(),
            relays: BTreeMap::new(),
            acked: now,
        }
    }

    /// Whether others can be judged: somebody answered lately, or nobody has for so long that
    /// this VM goes on alone.
    ///
    /// A VM that can't hear, or can't be heard, gets no answer from anybody. It would suspect the
    /// whole group and claim every shard, while the others are well.
    pub(super) fn connected(&self, now: Instant) -> bool {
        let silent = now.saturating_duration_since(self.acked);
        silent < QUIET || silent >= ALONE
    }

    /// Probes a member next.
    pub(super) fn next(&mut self, vm: &Vm) {
        self.order.retain(|other| other != vm);
        self.order.push(vm.clone());
    }

    /// Moves everything later by the time for which this process stood still.
    pub(super) fn shift(&mut self, now: Instant, by: Duration) {
        self.due = now;
        self.acked += by;
        for probe in self.open.values_mut() {
            probe.since += by;
        }
    }
}

impl Gossip {
    pub(super) fn probe(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.probes.relays.retain(|_, relay| relay.until > now);
        self.end_probes(now, actions);
        if now >= self.probes.due {
            self.probes.due = now + PERIOD;
            self.start_probe(now);
        }
        self.ping_due(now, actions);
    }

    fn end_probes(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let over = |probe: &Probe| now.saturating_duration_since(probe.since) >= PATIENCE;
        let ended: Vec<u64> = self
            .probes
            .open
            .iter()
            .filter(|(_, probe)| over(probe))
            .map(|(number, _)| *number)
            .collect();
        for number in ended {
            let Some(probe) = self.probes.open.remove(&number) else {
                continue;
            };
            if self.probes.connected(now) {
                self.suspect(now, &probe.vm, actions);
            }
        }
    }

    fn start_probe(&mut self, now: Instant) {
        if self.probes.order.is_empty() {
            let others = self.roster.live().map(|record| record.profile.vm.clone());
            self.probes.order = others.filter(|vm| *vm != self.me).collect();
            self.probes.order.shuffle(&mut self.rng);
            if self.probes.order.is_empty() {
                self.probes.acked = now;
            }
        }
        // A suspect is told so and has to refute it; an answer to a probe would not settle it.
        let record = std::iter::from_fn(|| self.probes.order.pop()).find_map(|vm| {
            let record = self.roster.records.get(&vm)?;
            (record.standing.state == State::Alive).then_some(record)
        });
        let Some(record) = record else {
            return;
        };
        let probe = Probe {
            vm: record.profile.vm.clone(),
            address: record.profile.address,
            since: now,
            pings: 0,
        };
        let number = self.number();
        self.probes.open.insert(number, probe);
    }

    fn ping_due(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let mut due = Vec::new();
        for (number, probe) in &mut self.probes.open {
            let after = PINGS.get(probe.pings);
            if after.is_some_and(|after| now.saturating_duration_since(probe.since) >= *after) {
                due.push((*number, probe.vm.clone(), probe.address, probe.pings));
                probe.pings += 1;
            }
        }
        for (number, vm, address, pings) in due {
            // Only the first ping carries news, which would be spent on a VM that does not answer.
            let news = if pings == 0 {
                self.pack(now)
            } else {
                Vec::new()
            };
            let to = Some(vm.clone());
            actions.push(self.send(address, Kind::Ping { number, to }, news));
            if pings >= INDIRECT {
                self.ask_others(number, &vm, address, actions);
            }
        }
    }

    fn ask_others(&mut self, number: u64, vm: &Vm, address: SocketAddr, actions: &mut Vec<Action>) {
        for (other, to) in self.some(RELAYS + 1) {
            if other != *vm {
                let relay = Kind::Relay {
                    number,
                    to: vm.clone(),
                    address,
                };
                actions.push(self.send(to, relay, Vec::new()));
            }
        }
    }

    /// Pings for another member.
    pub(super) fn relay(
        &mut self,
        now: Instant,
        back: SocketAddr,
        number: u64,
        to: Vm,
        address: SocketAddr,
    ) -> Action {
        let mine = self.number();
        if self.probes.relays.len() < RELAYING {
            let until = now + RELAYED;
            let relay = Relay {
                back,
                number,
                until,
            };
            self.probes.relays.insert(mine, relay);
        }
        let to = Some(to);
        self.send(address, Kind::Ping { number: mine, to }, Vec::new())
    }

    /// Takes in an acknowledgement.
    pub(super) fn acked(&mut self, now: Instant, number: u64) -> Option<Action> {
        if let Some(relay) = self.probes.relays.remove(&number) {
            let ack = Kind::Ack {
                number: relay.number,
            };
            return Some(self.send(relay.back, ack, Vec::new()));
        }
        if self.probes.open.remove(&number).is_some() {
            self.probes.acked = now;
        }
        None
    }

    /// A fresh number of a ping; zero is kept for contacts.
    fn number(&mut self) -> u64 {
        u64::from(self.rng.random_range(1..=u32::MAX))
    }

    /// Whether a member is under suspicion.
    #[must_use]
    pub fn suspects(&self, vm: &Vm) -> bool {
        let record = self.roster.records.get(vm);
        record.is_some_and(|record| record.standing.state == State::Suspect)
    }
}
