//! Replay of calls from many VMs to plain servers whose hosts change their pace, in virtual time.

use crate::fleet::{request, server};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;
use vanillatrail::id::Permit;
use vanillatrail::policy::dispatch::{Dispatcher, HostPace, Load, Outcome, Placement, Request};
use vanillatrail::policy::load_share::exchange_interval;

/// Period with which hosts draw their pace anew.
const PACE_PERIOD_US: u64 = 600_000;
const SLOW_SHARE: u64 = 15;
/// Delay of a message between two VMs.
const MESSAGE_US: u64 = 1_000;
/// How long a server handles an object faster.
const OBJECT_MEMORY_US: u64 = 3_000_000;
const CONNECTION_IDLE_US: u64 = 3_300_000;

/// What is replayed.
#[derive(Debug, Clone, Copy)]
pub struct Scenario {
    pub vms: usize,
    pub servers: usize,
    pub zones: usize,
    pub calls_per_second: u64,
    /// Usual times of calls, equally frequent.
    pub call_us: &'static [u64],
    /// Objects, of which the first tenth gets half of the calls; 0 for calls without objects.
    pub objects: u64,
    /// Whether the dispatchers know that the service has no engine, and VMs exchange load reports.
    pub enabled: bool,
    /// Second from which the messages between VMs are lost.
    pub lost_from_s: u64,
    pub seconds: u64,
    pub seed: u64,
}

/// Measured from the second second on.
#[derive(Debug, Default)]
pub struct Measured {
    /// Time of each call from its arrival.
    pub times_us: Vec<u64>,
    pub new_connections: u64,
    pub cross_zone: u64,
    pub refused: u64,
    /// Calls that ran while the host was slow.
    pub slow: u64,
    /// Calls that waited at the server.
    pub queued: u64,
}

impl Measured {
    pub fn percentile_ms(&self, percent: usize) -> f64 {
        let mut times = self.times_us.clone();
        times.sort_unstable();
        times[(times.len() - 1) * percent / 100] as f64 / 1000.0
    }

    pub fn share(&self, count: u64) -> f64 {
        count as f64 / self.times_us.len() as f64
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival,
    Pace,
    Finished { server: usize, call: usize },
    Sweep,
    Report { vm: usize },
    Digest,
}

#[derive(Debug)]
struct Call {
    vm: usize,
    server: usize,
    arrived_us: u64,
    started_us: u64,
    usual_us: u64,
    object: u64,
}

#[derive(Debug, Default)]
struct Server {
    pace: u32,
    running: usize,
    waiting: VecDeque<usize>,
    objects: HashMap<u64, u64>,
}

const SLOTS: usize = 6;

/// A splitmix generator.
fn draw(state: &mut u64, below: u64) -> u64 {
    *state = state.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let mut mixed = *state;
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    (mixed ^ (mixed >> 31)) % below
}

struct Replay {
    scenario: Scenario,
    start: Instant,
    dispatchers: Vec<Dispatcher>,
    collector: Dispatcher,
    subscribers: HashSet<usize>,
    servers: Vec<Server>,
    calls: Vec<Call>,
    waiting: HashMap<(usize, u64), usize>,
    connections: HashMap<(usize, usize), Vec<u64>>,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    number: u64,
    random: u64,
    measured: Measured,
}

impl Replay {
    fn at(&mut self, us: u64, event: Event) {
        self.number += 1;
        self.events.push(Reverse((us, self.number, event)));
    }

    fn now(&self, us: u64) -> Instant {
        self.start + Duration::from_micros(us)
    }

    fn arrive(&mut self, us: u64) {
        let scenario = self.scenario;
        let pause = draw(&mut self.random, 2_000_000 / scenario.calls_per_second) + 1;
        self.at(us + pause, Event::Arrival);
        let vm = usize::try_from(draw(&mut self.random, scenario.vms as u64)).expect("a VM");
        let kinds = scenario.call_us.len() as u64;
        let kind = usize::try_from(draw(&mut self.random, kinds)).expect("an index");
        let object = match scenario.objects {
            0 => 0,
            objects if draw(&mut self.random, 2) == 0 => draw(&mut self.random, objects / 10),
            objects => draw(&mut self.random, objects),
        };
        let call = self.calls.len();
        self.calls.push(Call {
            vm,
            server: 0,
            arrived_us: us,
            started_us: 0,
            usual_us: scenario.call_us[kind],
            object,
        });
        let request = Request {
            vm: vm as u64,
            zone: format!("z{}", vm % scenario.zones).into(),
            object: (scenario.objects > 0).then_some(object),
            ..request(0)
        };
        let permit = Permit(call as u64);
        let now = self.now(us);
        match self.dispatchers[vm].request(now, permit, request) {
            Placement::Granted(server) => self.send(us, call, &server),
            Placement::Waiting => {
                self.waiting.insert((vm, permit.0), call);
            }
            Placement::Refused(_) | Placement::NoServer => self.measured.refused += 1,
        }
    }

    fn send(&mut self, us: u64, call: usize, server: &Arc<str>) {
        let server: usize = server[1..].parse().expect("a number");
        self.calls[call].server = server;
        let vm = self.calls[call].vm;
        let idle = self.connections.entry((vm, server)).or_default();
        idle.retain(|since| since + CONNECTION_IDLE_US > us);
        if idle.pop().is_none() && us > 1_000_000 {
            self.measured.new_connections += 1;
        }
        if us > 1_000_000 && vm % self.scenario.zones != server % self.scenario.zones {
            self.measured.cross_zone += 1;
        }
        if self.servers[server].running < SLOTS {
            self.run(us, server, call);
        } else {
            self.measured.queued += u64::from(us > 1_000_000);
            self.servers[server].waiting.push_back(call);
        }
    }

    fn run(&mut self, us: u64, server: usize, call: usize) {
        let state = &mut self.servers[server];
        state.running += 1;
        let Call {
            usual_us, object, ..
        } = self.calls[call];
        let mut took = usual_us * u64::from(state.pace) / 100;
        self.measured.slow += u64::from(state.pace > 100 && us > 1_000_000);
        let known = state.objects.insert(object, us);
        if self.scenario.objects > 0 && known.is_some_and(|at| at + OBJECT_MEMORY_US > us) {
            took /= 2;
        }
        self.calls[call].started_us = us;
        self.at(us + took, Event::Finished { server, call });
    }

    fn finish(&mut self, us: u64, server: usize, call: usize) {
        let state = &mut self.servers[server];
        state.running -= 1;
        if let Some(next) = state.waiting.pop_front() {
            self.run(us, server, next);
        }
        let state = &self.servers[server];
        let load = Load {
            running: state.running,
            waiting: state.waiting.len(),
            // The previous order read no pace.
            host_pace: self.scenario.enabled.then_some(HostPace(state.pace)),
        };
        let Call { vm, arrived_us, .. } = self.calls[call];
        if arrived_us > 1_000_000 {
            self.measured.times_us.push(us - arrived_us);
        }
        let idle = self.connections.entry((vm, server)).or_default();
        idle.push(us);
        let outcome = Outcome::Done {
            took: Duration::from_micros(us - arrived_us),
            work: 1.0,
            load: Some(load),
        };
        let now = self.now(us);
        self.dispatchers[vm].finish(now, Permit(call as u64), outcome);
        let granted = self.dispatchers[vm].grant(now);
        for (permit, server) in granted {
            self.grant(us, vm, permit, &server);
        }
    }

    fn grant(&mut self, us: u64, vm: usize, permit: Permit, server: &Arc<str>) {
        let call = self.waiting.remove(&(vm, permit.0));
        self.send(us, call.expect("the call waits"), server);
    }

    fn sweep(&mut self, us: u64) {
        self.at(us + 50_000, Event::Sweep);
        for vm in 0..self.scenario.vms {
            let now = self.now(us);
            let tick = self.dispatchers[vm].tick(now);
            for (permit, server) in tick.granted {
                self.grant(us, vm, permit, &server);
            }
            self.measured.refused += tick.timed_out.len() as u64;
        }
    }

    fn draw_paces(&mut self, us: u64) {
        self.at(us + PACE_PERIOD_US, Event::Pace);
        for index in 0..self.servers.len() {
            let slow = draw(&mut self.random, 100) < SLOW_SHARE;
            self.servers[index].pace = if slow { 250 } else { 100 };
        }
    }

    fn exchange(&mut self, us: u64, vm: Option<usize>) {
        let interval = exchange_interval(self.scenario.vms, self.scenario.servers);
        let interval = interval.expect("the exchange is on");
        let interval_us = u64::try_from(interval.as_micros()).expect("it is short");
        let event = vm.map_or(Event::Digest, |vm| Event::Report { vm });
        self.at(us + interval_us, event);
        if us > self.scenario.lost_from_s * 1_000_000 {
            return;
        }
        let (now, arrival) = (self.now(us), self.now(us + MESSAGE_US));
        if let Some(vm) = vm {
            if let Some(reports) = self.dispatchers[vm].take_load_reports(now, "pool") {
                self.collector.merge_load_reports(arrival, "pool", &reports);
                self.subscribers.insert(vm);
            }
            return;
        }
        let digest = self.collector.load_digest(now, "pool");
        for vm in &self.subscribers {
            self.dispatchers[*vm].merge_load_reports(arrival, "pool", &digest);
        }
    }
}

/// Replays a scenario.
pub fn replay(scenario: Scenario) -> Measured {
    let dispatcher = || {
        let mut dispatcher = Dispatcher::default();
        let servers = (0..scenario.servers).map(|index| {
            server(
                &format!("s{index}"),
                &format!("z{}", index % scenario.zones),
                SLOTS,
            )
        });
        dispatcher.set_servers(servers);
        if scenario.enabled {
            dispatcher.set_plain_services([Arc::from("pool")]);
        }
        dispatcher
    };
    let mut replay = Replay {
        scenario,
        start: Instant::now(),
        dispatchers: (0..scenario.vms).map(|_| dispatcher()).collect(),
        collector: dispatcher(),
        subscribers: HashSet::new(),
        servers: (0..scenario.servers).map(|_| Server::default()).collect(),
        calls: Vec::new(),
        waiting: HashMap::new(),
        connections: HashMap::new(),
        events: BinaryHeap::new(),
        number: 0,
        random: scenario.seed,
        measured: Measured::default(),
    };
    replay.at(0, Event::Pace);
    replay.at(1, Event::Arrival);
    replay.at(2, Event::Sweep);
    if scenario.enabled {
        replay.at(3, Event::Digest);
        for vm in 0..scenario.vms {
            let offset = draw(&mut replay.random, 100_000);
            replay.at(offset, Event::Report { vm });
        }
    }
    while let Some(Reverse((us, _, event))) = replay.events.pop() {
        if us > scenario.seconds * 1_000_000 {
            break;
        }
        match event {
            Event::Arrival => replay.arrive(us),
            Event::Pace => replay.draw_paces(us),
            Event::Finished { server, call } => replay.finish(us, server, call),
            Event::Sweep => replay.sweep(us),
            Event::Report { vm } => replay.exchange(us, Some(vm)),
            Event::Digest => replay.exchange(us, None),
        }
    }
    replay.measured
}
