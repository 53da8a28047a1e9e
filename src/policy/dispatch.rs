//! Which request goes to which backend server, and which one waits.
//!
//! Load it answers: more requests than the servers of a service work on at a time. Servers admit in
//! the order of arrival and know no ranks, so what is sent early can't be reordered any more. A
//! request therefore waits here while every server works on as many requests as fit its window,
//! and the first by its standing goes when a server is done.

use super::backlog::{Pool, SCAN, Waiting};
use super::prefix::Part;
use super::queue::{Band, Order};
use super::window::{learn, usual_errors};
use crate::id::Permit;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Lines of turns whose server is remembered.
const LINES: usize = 50_000;
/// Time between two looks at programs that have ended.
const SWEEP: Duration = Duration::from_millis(200);
/// When a caller may come back that was given up: about when a quarter of the programs that run now
/// have ended.
pub const GIVEN_UP: Duration = Duration::from_millis(900);
/// How long a request of a program that can't end in time waits for a place that others leave. It
/// is a quarter of the targets of the shorter programs: whoever waits longer had better come back.
const HELD: Duration = Duration::from_millis(700);
/// The part of its own time that such a request waits at the most.
const HELD_PART: f64 = 0.35;

/// A backend server as the dispatcher has to know it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Description {
    /// Its identity.
    pub id: Arc<str>,
    /// Its service.
    pub service: Arc<str>,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// Requests that it works on at a time.
    pub slots: usize,
    /// Tokens of prompts that it keeps; zero where it keeps none, or does not say.
    pub memory_tokens: u64,
    /// Whether it must get nothing new.
    pub leaving: bool,
}

/// A request that asks for a server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Ask {
    /// The service.
    pub service: Arc<str>,
    /// The availability zone that it comes from.
    pub zone: Arc<str>,
    /// The VM that sends it, by a hash.
    pub vm: u64,
    /// The rank of its route; 0 goes first.
    pub rank: u8,
    /// The program that it belongs to, by a hash.
    pub program: Option<u64>,
    /// Turns of the program so far, this one included; zero where that is not known.
    pub turns: u32,
    /// Milliseconds until its program should be finished; below zero when it is late.
    pub left_ms: i64,
    /// Milliseconds for which it may wait.
    pub limit_ms: u64,
    /// The line of turns that it belongs to.
    pub line: Option<u64>,
    /// The parts of its prompt.
    pub prompt: Vec<Part>,
    /// Servers that have failed it.
    pub avoid: Vec<Arc<str>>,
}

impl Ask {
    pub(super) fn limit(&self) -> Duration {
        Duration::from_millis(self.limit_ms)
    }

    /// How long it waits where its program can't end in time.
    pub(super) fn held(&self) -> Duration {
        HELD.min(self.limit().mul_f64(HELD_PART))
    }
}

/// What a server says of its load, when it begins an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// Requests that run.
    pub running: usize,
    /// Requests that wait there.
    pub waiting: usize,
}

/// How a request ended at its server.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub enum Outcome {
    /// Answered; how its time compares with what is usual.
    Done {
        /// The time that it took.
        took: Duration,
        /// The size of its work, in any unit that is the same for all requests of the service.
        work: f64,
        /// What the server said of its load.
        load: Option<Load>,
    },
    /// The server answered with an error of its own.
    Error,
    /// The server turned it away, as it is full.
    Full,
    /// The server failed it or did not answer.
    Failed,
    /// Nothing is known: the caller left, or it was not sent.
    Void,
}

/// A request that runs at a server.
#[derive(Debug)]
struct Flight {
    service: Arc<str>,
    server: Arc<str>,
    vm: u64,
    line: Option<u64>,
    program: Option<u64>,
    since: Instant,
    /// Requests from here that ran there at its start, this one included.
    together: usize,
}

/// Whether a request may go.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// It may go to this server now.
    Granted(Arc<str>),
    /// It waits; [`Dispatcher::done`] grants it later.
    Waiting,
    /// The service has no server.
    NoServer,
    /// It can't be served in the time that it may wait; it may come back after this time.
    Refused(Duration),
}

/// What has changed with time.
#[derive(Debug, Default)]
pub struct Ticked {
    /// Requests that may go, and to which server.
    pub granted: Vec<(Permit, Arc<str>)>,
    /// Requests that are given up; they have not run.
    pub refused: Vec<Permit>,
}

/// A service for whose servers requests wait.
#[derive(Debug, Clone, PartialEq)]
pub struct Crowd<'a> {
    /// The service.
    pub service: &'a str,
    /// Requests of programs that were admitted.
    pub in_time: usize,
    /// Requests of programs that may still end within twice their time.
    pub late: usize,
    /// Requests of programs past that.
    pub past: usize,
    /// Places that are taken by requests from here.
    pub running: usize,
    /// Places that can be used now.
    pub places: f64,
    /// Requests granted in a second.
    pub per_second: f64,
    /// Programs that were admitted.
    pub programs: usize,
    /// Places that a program needs at a time, by rank.
    pub needs: &'a BTreeMap<u8, f64>,
}

/// The windows of all servers.
#[derive(Debug, Default)]
pub struct Dispatcher {
    pools: HashMap<Arc<str>, Pool>,
    flights: HashMap<Permit, Flight>,
    waiting: HashMap<Permit, Arc<str>>,
    lines: HashMap<u64, Arc<str>>,
    epoch: Option<Instant>,
    swept: Option<Instant>,
}

impl Dispatcher {
    /// Sets the servers; what runs on one that is gone is left to end.
    pub fn configure(&mut self, descriptions: impl IntoIterator<Item = Description>) {
        let mut wanted: HashMap<Arc<str>, HashMap<Arc<str>, Description>> = HashMap::new();
        for about in descriptions {
            let service = wanted.entry(Arc::clone(&about.service)).or_default();
            service.insert(Arc::clone(&about.id), about);
        }
        for service in wanted.keys() {
            if !self.pools.contains_key(service) {
                self.pools.insert(Arc::clone(service), Pool::default());
            }
        }
        for (service, pool) in &mut self.pools {
            pool.configure(wanted.remove(service).unwrap_or_default());
        }
    }

    /// Sets one server.
    pub fn set(&mut self, about: Description) {
        if !self.pools.contains_key(&about.service) {
            self.pools
                .insert(Arc::clone(&about.service), Pool::default());
        }
        if let Some(pool) = self.pools.get_mut(&about.service) {
            pool.set(about);
        }
    }

    /// Takes one server of a service out; what runs on it is left to end.
    pub fn remove(&mut self, service: &str, id: &str) {
        if let Some(pool) = self.pools.get_mut(service) {
            pool.remove(id);
        }
    }

    /// Takes in a request.
    pub fn ask(&mut self, now: Instant, permit: Permit, ask: Ask) -> Verdict {
        let clock = self.clock(now);
        let Some(pool) = self.pools.get_mut(&ask.service) else {
            return Verdict::NoServer;
        };
        if pool.servers.iter().all(|server| server.about.leaving) {
            return Verdict::NoServer;
        }
        let capacity = pool.capacity(now);
        let standing = pool.programs.arrive(now, clock, &ask, capacity);
        let (band, _) = standing.band(clock);
        let ahead = pool.queue.ahead(band);
        let line = ask.line.and_then(|line| self.lines.get(&line));
        if ahead == 0
            && let Some(index) = pool.choose(now, permit, &ask, band, line)
        {
            return Verdict::Granted(self.start(now, permit, &ask, index));
        }
        if let Some(back) = pool.hopeless(now, band, &ask) {
            pool.over(now, ask.program, Duration::ZERO);
            return Verdict::Refused(back);
        }
        self.waiting.insert(permit, Arc::clone(&ask.service));
        pool.queue.push(clock, permit, Waiting { ask, standing });
        Verdict::Waiting
    }

    /// Gives the requests that may go now, and those that are given up: a caller that waits long and
    /// is not served in the end has waited for nothing.
    pub fn tick(&mut self, now: Instant) -> Ticked {
        let clock = self.clock(now);
        if self.swept.is_none_or(|swept| swept + SWEEP <= now) {
            self.swept = Some(now);
            for pool in self.pools.values_mut() {
                pool.sweep(now, clock);
            }
        }
        let granted = self.grant(now);
        let mut refused = Vec::new();
        for pool in self.pools.values_mut() {
            for permit in pool.queue.behind(|waiting| waiting.is_held(clock)) {
                if let Some(waiting) = pool.queue.remove(permit) {
                    pool.over(now, waiting.ask.program, Duration::ZERO);
                    self.waiting.remove(&permit);
                    refused.push(permit);
                }
            }
        }
        Ticked { granted, refused }
    }

    /// Gives the requests that may go now.
    pub fn grant(&mut self, now: Instant) -> Vec<(Permit, Arc<str>)> {
        let services: Vec<_> = self
            .pools
            .iter()
            .filter(|(_, pool)| !pool.queue.is_empty())
            .map(|(service, _)| Arc::clone(service))
            .collect();
        let mut granted = Vec::new();
        for service in services {
            self.grant_of(now, &service, &mut granted);
        }
        granted
    }

    fn grant_of(
        &mut self,
        now: Instant,
        service: &Arc<str>,
        granted: &mut Vec<(Permit, Arc<str>)>,
    ) {
        let clock = self.clock(now);
        let Some(pool) = self.pools.get_mut(service) else {
            return;
        };
        let mut full = None;
        for permit in pool.queue.first(clock, SCAN) {
            let Some(pool) = self.pools.get_mut(service) else {
                return;
            };
            let Some((waiting, band)) = pool.queue.get(permit) else {
                continue;
            };
            if full == Some(band) {
                continue;
            }
            let line = waiting.ask.line.and_then(|line| self.lines.get(&line));
            let Some(index) = pool.choose(now, permit, &waiting.ask, band, line) else {
                if band == Band::OnTime {
                    return;
                }
                // Those behind it that were admitted may still find room.
                full = Some(band);
                continue;
            };
            let Some(waiting) = pool.queue.remove(permit) else {
                continue;
            };
            pool.queue.granted();
            if band != Band::OnTime {
                pool.late.count(now);
            }
            self.waiting.remove(&permit);
            granted.push((permit, self.start(now, permit, &waiting.ask, index)));
        }
    }

    fn start(&mut self, now: Instant, permit: Permit, ask: &Ask, index: usize) -> Arc<str> {
        let pool = self
            .pools
            .get_mut(&ask.service)
            .expect("the pool was just found");
        pool.flow.count(now);
        if let Some(program) = ask.program {
            pool.programs.granted(program);
        }
        let server = &mut pool.servers[index];
        server.in_flight += 1;
        server
            .prefixes
            .read(&ask.prompt, server.about.memory_tokens);
        let id = Arc::clone(&server.about.id);
        pool.candidates.read(&ask.prompt, &id);
        let flight = Flight {
            service: Arc::clone(&ask.service),
            server: Arc::clone(&id),
            vm: ask.vm,
            line: ask.line,
            program: ask.program,
            since: now,
            together: server.in_flight,
        };
        self.flights.insert(permit, flight);
        id
    }

    /// A request is over, whether it waited or ran.
    pub fn done(&mut self, now: Instant, permit: Permit, outcome: Outcome) {
        if let Some(service) = self.waiting.remove(&permit)
            && let Some(pool) = self.pools.get_mut(&service)
        {
            let waited = pool.queue.remove(permit);
            let program = waited.and_then(|waiting| waiting.ask.program);
            pool.over(now, program, Duration::ZERO);
        }
        let Some(flight) = self.flights.remove(&permit) else {
            return;
        };
        let Some(pool) = self.pools.get_mut(&flight.service) else {
            return;
        };
        let took = now.saturating_duration_since(flight.since);
        pool.over(now, flight.program, took);
        let Some(index) = pool.candidates.find(&flight.server) else {
            return;
        };
        let usual_errors = (outcome == Outcome::Error).then(|| usual_errors(&pool.servers));
        let server = &mut pool.servers[index];
        server.in_flight = server.in_flight.saturating_sub(1);
        match outcome {
            Outcome::Done { took, work, load } => {
                server.succeeded();
                server.used_by(now, flight.vm);
                pool.candidates.used(flight.vm, &flight.server);
                if let Some(load) = load {
                    server.report(load, flight.together);
                }
                learn(server, &mut pool.pace, took, work);
                if let Some(line) = flight.line {
                    if self.lines.len() >= LINES {
                        self.lines.clear();
                    }
                    self.lines.insert(line, flight.server);
                }
            }
            Outcome::Error => server.erred(now, usual_errors.unwrap_or_default()),
            Outcome::Full | Outcome::Failed => server.rest(now),
            Outcome::Void => {}
        }
    }

    /// The load of the services for which requests wait.
    pub fn loads(&self, now: Instant) -> impl Iterator<Item = Crowd<'_>> {
        let pools = self.pools.iter();
        let crowded = pools.filter(|(_, pool)| !pool.queue.is_empty());
        crowded.map(move |(service, pool)| pool.crowd(now, service))
    }

    /// Whether requests wait.
    #[must_use]
    pub fn is_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Milliseconds since the first request.
    fn clock(&mut self, now: Instant) -> i64 {
        let epoch = *self.epoch.get_or_insert(now);
        let since = now.saturating_duration_since(epoch).as_millis();
        i64::try_from(since).unwrap_or(i64::MAX)
    }

    /// Requests that wait and requests that run at each server, by service.
    #[must_use]
    pub fn state(&self) -> serde_json::Value {
        let pools = self.pools.iter().map(|(service, pool)| {
            let servers = pool.servers.iter().map(|server| {
                let row = serde_json::json!({
                    "in_flight": server.in_flight,
                    "others": server.others,
                    "slots": server.about.slots,
                    "slowness": server.ratio,
                    "failures": server.failures,
                });
                (server.about.id.to_string(), row)
            });
            let servers: serde_json::Map<_, _> = servers.collect();
            let (known, admitted) = pool.programs.len();
            let row = serde_json::json!({
                "waiting": pool.queue.len(),
                "programs": known,
                "programs_admitted": admitted,
                "servers": servers,
            });
            (service.to_string(), row)
        });
        serde_json::Value::Object(pools.collect())
    }
}
