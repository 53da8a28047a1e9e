//! Which request goes to which backend server, and which one waits.
//!
//! Load it answers: more requests than the servers of a service work on at a time. Servers admit in
//! the order of arrival and know no ranks, so what is sent early can't be reordered any more. A
//! request therefore waits here while every server works on as many requests as fit its window,
//! and the most urgent one goes first when a server is done.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// How long a server rests after a failure; doubled with each further one in a row.
const REST: Duration = Duration::from_millis(250);
/// The longest rest: a server that is back should be found again within a few seconds.
const LONGEST_REST: Duration = Duration::from_secs(4);
/// Weight of the newest answer in the time that a server takes against its kind.
const NEWEST: f64 = 0.15;
/// Bounds of that ratio, so that one odd answer does not decide.
const RATIO: (f64, f64) = (0.25, 8.0);
/// What it costs to leave the zone, in parts of a server's window: bytes between zones are paid
/// for, but a wait costs more.
const FAR: f64 = 0.12;
/// What it saves to go where the line of turns was before, in parts of a window: its prompt is
/// kept there, and reading it again takes about as long as a tenth of a turn.
const NEAR_LINE: f64 = 0.25;
/// Lines of turns whose server is remembered.
const LINES: usize = 50_000;

/// The number by which a request is known here.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ticket(pub u64);

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
    /// Whether it must get nothing new.
    pub leaving: bool,
}

/// A request that asks for a server.
#[derive(Debug, Clone)]
pub struct Ask {
    /// The service.
    pub service: Arc<str>,
    /// The availability zone that it comes from.
    pub zone: Arc<str>,
    /// Its place in the order: the lowest goes first.
    pub urgency: i64,
    /// The line of turns that it belongs to.
    pub line: Option<u64>,
    /// Servers that have failed it.
    pub avoid: Vec<Arc<str>>,
}

/// How a request ended at its server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Outcome {
    /// Answered; how its time compares with what is usual.
    Done {
        /// The time that it took.
        took: Duration,
        /// The size of its work, in any unit that is the same for all requests of the service.
        work: f64,
    },
    /// The server turned it away, as it is full.
    Full,
    /// The server failed it or did not answer.
    Failed,
    /// Nothing is known: the caller left, or it was not sent.
    Void,
}

#[derive(Debug)]
struct Server {
    about: Description,
    in_flight: usize,
    /// The time that it takes against the usual one.
    ratio: f64,
    failures: u32,
    rests_until: Option<Instant>,
}

impl Server {
    fn new(about: Description) -> Self {
        Self {
            about,
            in_flight: 0,
            ratio: 1.0,
            failures: 0,
            rests_until: None,
        }
    }

    fn has_room(&self, now: Instant) -> bool {
        !self.about.leaving
            && self.in_flight < self.about.slots
            && self.rests_until.is_none_or(|until| until <= now)
    }

    /// How little it is wanted: the part of its window that is taken, on a slow server more.
    fn cost(&self) -> f64 {
        (self.in_flight as f64 + 0.5) / self.about.slots as f64 * self.ratio
    }

    fn rest(&mut self, now: Instant) {
        let rest = REST * 2_u32.saturating_pow(self.failures.min(6));
        self.failures += 1;
        self.rests_until = Some(now + rest.min(LONGEST_REST));
    }
}

/// The servers of one service and the requests that wait for them.
#[derive(Debug, Default)]
struct Pool {
    servers: Vec<Server>,
    queue: BTreeMap<(i64, Ticket), Ask>,
    /// The usual time for one unit of work, in milliseconds.
    pace: Option<f64>,
}

/// A request that runs at a server.
#[derive(Debug)]
struct Flight {
    service: Arc<str>,
    server: Arc<str>,
    line: Option<u64>,
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
}

/// The windows of all servers.
#[derive(Debug, Default)]
pub struct Dispatcher {
    pools: HashMap<Arc<str>, Pool>,
    flights: HashMap<Ticket, Flight>,
    waiting: HashMap<Ticket, (Arc<str>, i64)>,
    lines: HashMap<u64, Arc<str>>,
}

impl Dispatcher {
    /// Sets the servers; what runs on one that is gone is left to end.
    pub fn configure(&mut self, descriptions: impl IntoIterator<Item = Description>) {
        let mut wanted: HashMap<Arc<str>, HashMap<Arc<str>, Description>> = HashMap::new();
        for about in descriptions {
            let service = wanted.entry(Arc::clone(&about.service)).or_default();
            service.insert(Arc::clone(&about.id), about);
        }
        for (service, pool) in &mut self.pools {
            let mut wanted = wanted.remove(service).unwrap_or_default();
            pool.servers.retain_mut(|server| {
                let Some(about) = wanted.remove(&server.about.id) else {
                    return false;
                };
                server.about = about;
                true
            });
            pool.servers.extend(wanted.into_values().map(Server::new));
        }
        for (service, wanted) in wanted {
            let servers = wanted.into_values().map(Server::new).collect();
            let pool = Pool {
                servers,
                ..Pool::default()
            };
            self.pools.insert(service, pool);
        }
    }

    /// Takes in a request.
    pub fn ask(&mut self, now: Instant, ticket: Ticket, ask: Ask) -> Verdict {
        let Some(pool) = self.pools.get_mut(&ask.service) else {
            return Verdict::NoServer;
        };
        if pool.servers.iter().all(|server| server.about.leaving) {
            return Verdict::NoServer;
        }
        let first = pool.queue.first_key_value();
        let goes_first = first.is_none_or(|((urgency, _), _)| ask.urgency < *urgency);
        if goes_first && let Some(index) = choose(&pool.servers, &ask, &self.lines, now) {
            return Verdict::Granted(self.start(ticket, &ask, index));
        }
        let key = (ask.urgency, ticket);
        self.waiting
            .insert(ticket, (Arc::clone(&ask.service), ask.urgency));
        pool.queue.insert(key, ask);
        Verdict::Waiting
    }

    /// Gives the requests that may go now.
    pub fn grant(&mut self, now: Instant) -> Vec<(Ticket, Arc<str>)> {
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
        granted: &mut Vec<(Ticket, Arc<str>)>,
    ) {
        while let Some(pool) = self.pools.get_mut(service) {
            let Some((&key, ask)) = pool.queue.first_key_value() else {
                return;
            };
            let Some(index) = choose(&pool.servers, ask, &self.lines, now) else {
                return;
            };
            let Some(ask) = pool.queue.remove(&key) else {
                return;
            };
            self.waiting.remove(&key.1);
            granted.push((key.1, self.start(key.1, &ask, index)));
        }
    }

    fn start(&mut self, ticket: Ticket, ask: &Ask, index: usize) -> Arc<str> {
        let pool = self
            .pools
            .get_mut(&ask.service)
            .expect("the pool was just found");
        let server = &mut pool.servers[index];
        server.in_flight += 1;
        let id = Arc::clone(&server.about.id);
        let flight = Flight {
            service: Arc::clone(&ask.service),
            server: Arc::clone(&id),
            line: ask.line,
        };
        self.flights.insert(ticket, flight);
        id
    }

    /// A request is over, whether it waited or ran.
    pub fn done(&mut self, now: Instant, ticket: Ticket, outcome: Outcome) {
        if let Some((service, urgency)) = self.waiting.remove(&ticket)
            && let Some(pool) = self.pools.get_mut(&service)
        {
            pool.queue.remove(&(urgency, ticket));
        }
        let Some(flight) = self.flights.remove(&ticket) else {
            return;
        };
        let Some(pool) = self.pools.get_mut(&flight.service) else {
            return;
        };
        let mut servers = pool.servers.iter_mut();
        let Some(server) = servers.find(|server| server.about.id == flight.server) else {
            return;
        };
        server.in_flight = server.in_flight.saturating_sub(1);
        match outcome {
            Outcome::Done { took, work } => {
                server.failures = 0;
                learn(server, &mut pool.pace, took, work);
                if let Some(line) = flight.line {
                    if self.lines.len() >= LINES {
                        self.lines.clear();
                    }
                    self.lines.insert(line, flight.server);
                }
            }
            Outcome::Full | Outcome::Failed => server.rest(now),
            Outcome::Void => {}
        }
    }

    /// When a resting server is to be tried again, if one rests while requests wait.
    #[must_use]
    pub fn next(&self) -> Option<Instant> {
        let pools = self.pools.values().filter(|pool| !pool.queue.is_empty());
        let servers = pools.flat_map(|pool| &pool.servers);
        servers.filter_map(|server| server.rests_until).min()
    }

    /// Requests that wait and requests that run at each server, by service.
    #[must_use]
    pub fn state(&self) -> serde_json::Value {
        let pools = self.pools.iter().map(|(service, pool)| {
            let servers = pool.servers.iter().map(|server| {
                let row = serde_json::json!({
                    "in_flight": server.in_flight,
                    "slots": server.about.slots,
                    "slowness": server.ratio,
                    "failures": server.failures,
                });
                (server.about.id.to_string(), row)
            });
            let servers: serde_json::Map<_, _> = servers.collect();
            let row = serde_json::json!({ "waiting": pool.queue.len(), "servers": servers });
            (service.to_string(), row)
        });
        serde_json::Value::Object(pools.collect())
    }
}

fn learn(server: &mut Server, pace: &mut Option<f64>, took: Duration, work: f64) {
    let sample = took.as_secs_f64() * 1000.0 / work.max(0.001);
    let usual = pace.get_or_insert(sample);
    let ratio = (sample / usual.max(0.001)).clamp(RATIO.0, RATIO.1);
    server.ratio += NEWEST * (ratio - server.ratio);
    // A server that is slow must not make the usual time longer.
    *usual += NEWEST / 8.0 * (sample / server.ratio.max(RATIO.0) - *usual);
}

fn choose(
    servers: &[Server],
    ask: &Ask,
    lines: &HashMap<u64, Arc<str>>,
    now: Instant,
) -> Option<usize> {
    let line = ask.line.and_then(|line| lines.get(&line));
    let cost = |server: &Server| {
        let far = if server.about.zone == ask.zone {
            0.0
        } else {
            FAR
        };
        let near = if line == Some(&server.about.id) {
            NEAR_LINE
        } else {
            0.0
        };
        let avoided = if ask.avoid.contains(&server.about.id) {
            100.0
        } else {
            0.0
        };
        server.cost() + far + avoided - near
    };
    let open = servers
        .iter()
        .enumerate()
        .filter(|(_, server)| server.has_room(now));
    open.map(|(index, server)| (index, cost(server)))
        .min_by(|(_, one), (_, other)| one.total_cmp(other))
        .map(|(index, _)| index)
}
