//! Places forwarded requests on backend servers and queues those that have to wait.
//!
//! Servers run requests in order of arrival, without priorities. The dispatcher therefore sends a
//! server only as many requests as fit its concurrency window, keeps the others in a priority
//! queue, and grants the first of them when a slot frees up.

use super::affinity;
use super::load_share::{self, LoadShare, Report};
use super::memory::Need;
use super::pace::{Profile, Run};
use super::prefix::Part;
use super::queue::{Band, Prioritized};
use super::service_pool::{MAX_SCANNED, QueuedRequest, ServicePool};
use super::window::{Choice, Server, mean_error_rate, record_latency};
use crate::id::Permit;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Cleared when full.
const MAX_SESSIONS: usize = 50_000;
const SWEEP_INTERVAL: Duration = Duration::from_millis(200);
/// How often the slots of ended programs with a demand are released. Their usual pause is known, and a short program
/// can wait for hardly longer than 200 ms.
const RELEASE_INTERVAL: Duration = Duration::from_millis(100);
/// Retry-After of a request that was dropped from the queue by [`Dispatcher::tick`].
pub const LATE_REQUEST_RETRY_AFTER: Duration = Duration::from_millis(900);
/// Longest queue time of a request whose program is late or was not admitted. Short, so that its
/// caller can retry in time. About a quarter of the targets of the shorter programs.
const MAX_LATE_WAIT: Duration = Duration::from_millis(700);
/// The same limit as a fraction of the request's own maximum wait.
const MAX_LATE_WAIT_SHARE: f64 = 0.35;

/// How long after its arrival a request that fits into the memory of no engine may be overtaken by
/// requests behind it. About as long as a turn runs, after which memory should be free.
const MAX_OVERTAKING_MS: i64 = 300;

/// A backend server, as registered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Description {
    /// Identity of this run of the server; changes when it restarts.
    pub id: Arc<str>,
    /// Service that it serves.
    pub service: Arc<str>,
    /// Availability zone that it runs in.
    pub zone: Arc<str>,
    /// Requests that it runs concurrently.
    pub slots: usize,
    /// Capacity of its prefix cache in tokens; 0 if it has none or it is unknown.
    pub cache_tokens: u64,
    /// Whether it is draining and must get no new requests.
    pub draining: bool,
}

/// A request for a slot on a server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Request {
    /// Service that has to run it.
    pub service: Arc<str>,
    /// Availability zone of the VM that sends it.
    pub zone: Arc<str>,
    /// Hash that identifies the VM that sends it.
    pub vm: u64,
    /// Priority of its route; 0 is the most urgent.
    pub rank: u8,
    /// Hash of the program that it belongs to.
    pub program: Option<u64>,
    /// Turns of the program so far, including this one; 0 if unknown.
    pub turns: u32,
    /// Milliseconds until the deadline of its program; negative if the deadline has passed.
    pub left_ms: i64,
    /// Maximum time in the queue, in milliseconds.
    #[serde(rename = "limit_ms")]
    pub max_wait_ms: u64,
    /// Hash of its session, a series of turns whose prompts extend each other.
    #[serde(rename = "line")]
    pub session: Option<u64>,
    /// Parts of its prompt in order, for prefix caching; empty if unknown.
    pub prompt: Vec<Part>,
    /// Servers on which it has already failed.
    pub avoid: Vec<Arc<str>>,
    /// What it is expected to use, and whom it belongs to; `None` if nothing of that is known.
    ///
    /// Last and omitted if absent, so that requests without it are encoded as before.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub demand: Option<Demand>,
}

/// What a request is expected to use, and whom it belongs to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Demand {
    /// Hash of its route, which stands for the class of programs.
    pub class: u64,
    /// Hash of the team that sent it; `None` without configured teams.
    pub team: Option<u64>,
    /// Tokens of its prompt; 0 if unknown.
    pub prompt_tokens: u32,
    /// Tokens that its caller expects it to generate; 0 if unknown.
    pub output_tokens: u32,
    /// Most tokens that it generates; 0 if unknown.
    pub max_output_tokens: u32,
    /// Hash of the object that it concerns, on routes whose servers keep objects.
    pub object: Option<u64>,
}

impl Request {
    pub(super) fn max_wait(&self) -> Duration {
        Duration::from_millis(self.max_wait_ms)
    }

    /// Maximum queue time if its program is late or was not admitted.
    pub(super) fn max_late_wait(&self) -> Duration {
        MAX_LATE_WAIT.min(self.max_wait().mul_f64(MAX_LATE_WAIT_SHARE))
    }
}

/// Load that a server reports in a response header.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// Requests that it runs.
    pub running: usize,
    /// Requests that it queues.
    pub waiting: usize,
    /// Momentary pace of its host, which it shares with others; `None` if it reports none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub host_pace: Option<HostPace>,
}

/// How long work takes on a host at the moment, in percent of the usual time; above 100 it is slower.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct HostPace(pub u32);

impl HostPace {
    /// Factor on the usual time.
    ///
    /// ```
    /// use vanillatrail::policy::dispatch::HostPace;
    /// assert_eq!(HostPace(250).factor(), 2.5);
    /// ```
    #[must_use]
    pub fn factor(self) -> f64 {
        f64::from(self.0) / 100.0
    }
}

/// Result of a request at its server.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub enum Outcome {
    /// The server completed the request.
    Done {
        /// Time spent at the server.
        took: Duration,
        /// Size of the request, in a unit that is the same for all requests of the service.
        work: f64,
        /// Load that the server reported, if any.
        load: Option<Load>,
    },
    /// The server answered with a server error.
    Error,
    /// The server rejected it because it is full.
    Full,
    /// The connection failed or the server did not answer.
    Failed,
    /// No result: the caller disconnected, or the request was not sent.
    Void,
}

/// A request that was granted and has not ended.
#[derive(Debug)]
struct InFlight {
    service: Arc<str>,
    server: Arc<str>,
    vm: u64,
    session: Option<u64>,
    program: Option<u64>,
    started_at: Instant,
    /// Requests of this dispatcher on the server when this one started, including itself.
    running_at_start: usize,
    run: Run,
    demand: Option<Demand>,
}

/// Result of [`Dispatcher::request`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Placement {
    /// The request may be sent to this server.
    Granted(Arc<str>),
    /// The request is queued; [`Dispatcher::grant`] or [`Dispatcher::tick`] grants it later.
    Waiting,
    /// The service has no server that takes new requests.
    NoServer,
    /// No slot is expected to free up within its maximum wait; the caller may retry after this
    /// time.
    Refused(Duration),
}

/// Result of [`Dispatcher::tick`].
#[derive(Debug, Default)]
pub struct Tick {
    /// Granted requests and their servers.
    pub granted: Vec<(Permit, Arc<str>)>,
    /// Requests dropped from the queue. They were not sent.
    pub timed_out: Vec<Permit>,
}

/// Queue and load of a service.
#[derive(Debug, Clone, PartialEq)]
pub struct Stats<'a> {
    /// Name of the service.
    pub service: &'a str,
    /// Queued requests of admitted programs that have not missed their deadline.
    pub on_time: usize,
    /// Queued requests of other programs that can finish within twice their target time.
    pub late: usize,
    /// Queued requests of programs past twice their target time.
    pub overdue: usize,
    /// Slots in use by requests of this dispatcher.
    pub running: usize,
    /// Slots of usable servers, without those taken by other senders.
    pub usable_slots: f64,
    /// Grants per second; 0 if there were too few to measure.
    pub grants_per_second: f64,
    /// Admitted programs.
    pub admitted_programs: usize,
    /// Slots reserved for them.
    pub reserved_slots: f64,
    /// Programs that wait to be admitted in the order of shares.
    pub waiting_programs: usize,
    /// Classes and teams of those programs.
    pub waiting_flows: usize,
    /// Average slots in use by one program, by rank.
    pub slots_per_program: &'a BTreeMap<u8, f64>,
}

/// Pace of the hosts of the servers of a service.
#[derive(Debug, Clone, PartialEq)]
pub struct PaceStats<'a> {
    /// Name of the service.
    pub service: &'a str,
    /// Servers.
    pub servers: usize,
    /// Servers whose hosts are believed to be slow.
    pub slow: usize,
    /// Servers whose reports are ignored, since their answers contradict them.
    pub distrusted: usize,
    /// Average of the reported paces, as a factor on the usual time.
    pub mean_pace: f64,
    /// Requests so far that were queued for a server of usual pace although another had room.
    pub waits: u64,
    /// Expected memory of the runs of the fullest engine, as a share of its memory; 0 without
    /// engines.
    pub fullest_memory: f64,
    /// Requests so far that were queued since no engine with room had enough memory.
    pub memory_waits: u64,
}

/// Queues and server windows of all services.
#[derive(Debug, Default)]
pub struct Dispatcher {
    pools: HashMap<Arc<str>, ServicePool>,
    in_flight: HashMap<Permit, InFlight>,
    /// Service of each queued request.
    queued: HashMap<Permit, Arc<str>>,
    /// Server that ran the latest turn of each session.
    session_servers: HashMap<u64, Arc<str>>,
    /// Services without an engine.
    plain: HashMap<Arc<str>, LoadShare>,
    epoch: Option<Instant>,
    last_sweep: Option<Instant>,
    /// Tokens per unit of work of the services whose servers generate tokens.
    tokens_per_event: HashMap<Arc<str>, u64>,
    last_release: Option<Instant>,
}

impl Dispatcher {
    /// Replaces the set of servers. In-flight requests of removed servers continue.
    pub fn set_servers(&mut self, servers: impl IntoIterator<Item = Description>) {
        let mut by_service: HashMap<Arc<str>, HashMap<Arc<str>, Description>> = HashMap::new();
        for server in servers {
            let service = by_service.entry(Arc::clone(&server.service)).or_default();
            service.insert(Arc::clone(&server.id), server);
        }
        for service in by_service.keys() {
            if !self.pools.contains_key(service) {
                self.pools
                    .insert(Arc::clone(service), ServicePool::default());
            }
        }
        for (service, pool) in &mut self.pools {
            pool.set_servers(by_service.remove(service).unwrap_or_default());
            if let Some(share) = self.plain.get_mut(service) {
                share.retain_servers(pool);
            }
        }
    }

    /// Replaces the set of services that have no engine. Without it, requests are placed regardless
    /// of their object and of the reported pace of hosts.
    pub fn set_plain_services(&mut self, services: impl IntoIterator<Item = Arc<str>>) {
        let mut previous = std::mem::take(&mut self.plain);
        let with_state = services.into_iter().map(|service| {
            let state = previous.remove(&service).unwrap_or_default();
            (service, state)
        });
        self.plain = with_state.collect();
    }

    /// Adds or updates a server.
    pub fn update_server(&mut self, info: Description) {
        if !self.pools.contains_key(&info.service) {
            self.pools
                .insert(Arc::clone(&info.service), ServicePool::default());
        }
        if let Some(pool) = self.pools.get_mut(&info.service) {
            pool.update_server(info);
        }
    }

    /// Removes a server. Its in-flight requests continue.
    pub fn remove_server(&mut self, service: &str, id: &str) {
        if let Some(pool) = self.pools.get_mut(service) {
            pool.remove_server(id);
            if let Some(share) = self.plain.get_mut(service) {
                share.forget_server(id);
            }
        }
    }

    /// Whether a request needs more memory than any engine of its service has. It would wait in vain.
    ///
    /// ```
    /// use tokio::time::Instant;
    /// use vanillatrail::policy::dispatch::{Dispatcher, Request};
    /// # let request = Request {
    /// #     service: "pool".into(), zone: "a".into(), vm: 1, rank: 0, program: None, turns: 0,
    /// #     left_ms: 0, max_wait_ms: 0, session: None, prompt: vec![], avoid: vec![], demand: None,
    /// # };
    /// // Nothing is known of its service.
    /// assert!(!Dispatcher::default().is_too_large(Instant::now(), &request));
    /// ```
    #[must_use]
    pub fn is_too_large(&self, now: Instant, request: &Request) -> bool {
        let pool = self.pools.get(&request.service);
        pool.is_some_and(|pool| pool.is_too_large(now, request))
    }

    /// Grants, queues or refuses a request.
    pub fn request(&mut self, now: Instant, permit: Permit, request: Request) -> Placement {
        let now_ms = self.now_ms(now);
        let Some(pool) = self.pools.get_mut(&request.service) else {
            return Placement::NoServer;
        };
        if pool.servers.iter().all(|server| server.info.draining) {
            return Placement::NoServer;
        }
        let capacity = pool.capacity(now);
        let priority = pool
            .programs
            .request_arrived(now, now_ms, &request, capacity);
        let (band, _) = priority.band(now_ms);
        let queued_ahead = pool.queue.queued_ahead(band);
        let session_server = request
            .session
            .and_then(|session| self.session_servers.get(&session));
        if queued_ahead == 0 && !pool.must_hold(now, &request) {
            let plain = self.plain.get_mut(&request.service);
            let chosen = plain.and_then(|share| share.choose(now, permit, &request, band, pool));
            let choice = chosen.map_or_else(
                || pool.choose(now, permit, &request, band, session_server, 0),
                Choice::Server,
            );
            match choice {
                Choice::Server(index) => {
                    return Placement::Granted(self.start(now, permit, &request, index));
                }
                Choice::Wait => pool.waits_for_pace += 1,
                Choice::NoMemory => pool.waits_for_memory += 1,
                Choice::Full => {}
            }
        }
        if let Some(retry_after) = pool.overload_retry_after(now, band, &request) {
            pool.request_ended(now, request.program, Duration::ZERO);
            return Placement::Refused(retry_after);
        }
        self.queued.insert(permit, Arc::clone(&request.service));
        let queued = QueuedRequest {
            request,
            priority,
            place: None,
        };
        pool.enqueue(now_ms, permit, queued);
        Placement::Waiting
    }

    /// Grants queued requests that fit, and drops late ones that have exceeded their maximum wait.
    pub fn tick(&mut self, now: Instant) -> Tick {
        let now_ms = self.now_ms(now);
        if self.last_sweep.is_none_or(|at| at + SWEEP_INTERVAL <= now) {
            self.last_sweep = Some(now);
            for pool in self.pools.values_mut() {
                pool.sweep(now, now_ms);
            }
        }
        if self
            .last_release
            .is_none_or(|at| at + RELEASE_INTERVAL <= now)
        {
            self.last_release = Some(now);
            for pool in self.pools.values_mut() {
                pool.programs.release(now, now_ms, true);
            }
        }
        let granted = self.grant(now);
        let mut timed_out = Vec::new();
        for pool in self.pools.values_mut() {
            for permit in pool
                .queue
                .late_matching(|queued| queued.late_wait_expired(now_ms))
            {
                if let Some(queued) = pool.dequeue(permit) {
                    pool.request_ended(now, queued.request.program, Duration::ZERO);
                    self.queued.remove(&permit);
                    timed_out.push(permit);
                }
            }
        }
        Tick { granted, timed_out }
    }

    /// Grants queued requests that fit.
    pub fn grant(&mut self, now: Instant) -> Vec<(Permit, Arc<str>)> {
        let services: Vec<_> = self
            .pools
            .iter()
            .filter(|(_, pool)| !pool.queue.is_empty())
            .map(|(service, _)| Arc::clone(service))
            .collect();
        let mut granted = Vec::new();
        for service in services {
            self.grant_service(now, &service, &mut granted);
        }
        granted
    }

    fn grant_service(
        &mut self,
        now: Instant,
        service: &Arc<str>,
        granted: &mut Vec<(Permit, Arc<str>)>,
    ) {
        let now_ms = self.now_ms(now);
        let Some(pool) = self.pools.get_mut(service) else {
            return;
        };
        pool.admit_waiting(now, now_ms);
        let mut full_band = None;
        let mut left_waiting = 0;
        let urgent = pool.queue.most_urgent(now_ms, MAX_SCANNED);
        // Of a longer queue, the last request considered stands for those behind it: servers of
        // any pace are used if those would wait long.
        let not_considered = pool
            .queue
            .queued_ahead(Band::OnTime)
            .saturating_sub(MAX_SCANNED);
        let last = urgent.get(MAX_SCANNED - 1).copied();
        for permit in urgent {
            let Some(pool) = self.pools.get_mut(service) else {
                return;
            };
            let Some((queued, band)) = pool.queue.get(permit) else {
                continue;
            };
            if full_band == Some(band) {
                continue;
            }
            if pool.must_hold(now, &queued.request) {
                continue;
            }
            let session_server = queued
                .request
                .session
                .and_then(|session| self.session_servers.get(&session));
            let behind = if last == Some(permit) {
                not_considered
            } else {
                0
            };
            let ahead = left_waiting + behind;
            let index = match pool.choose(now, permit, &queued.request, band, session_server, ahead)
            {
                Choice::Server(index) => index,
                Choice::Wait => {
                    left_waiting += 1;
                    continue;
                }
                // Smaller requests may fit, but must not keep this one waiting for long.
                Choice::NoMemory if queued.priority.arrival_ms + MAX_OVERTAKING_MS > now_ms => {
                    continue;
                }
                Choice::Full | Choice::NoMemory if band == Band::OnTime => return,
                Choice::Full | Choice::NoMemory => {
                    // Requests of other bands may have more room.
                    full_band = Some(band);
                    continue;
                }
            };
            let Some(queued) = pool.dequeue(permit) else {
                continue;
            };
            pool.queue.record_grant();
            if band != Band::OnTime {
                pool.late_grant_rate.record(now);
            }
            self.queued.remove(&permit);
            granted.push((permit, self.start(now, permit, &queued.request, index)));
        }
    }

    fn start(&mut self, now: Instant, permit: Permit, request: &Request, index: usize) -> Arc<str> {
        let pool = self
            .pools
            .get_mut(&request.service)
            .expect("the pool was just found");
        pool.grant_rate.record(now);
        if let Some(program) = request.program {
            pool.programs.request_granted(program);
        }
        let server = &mut pool.servers[index];
        let need = Need::of(request, &pool.profile.outputs);
        let uncached = server.prefix_cache.uncached_tokens(&request.prompt);
        let work = server.work(uncached, &need, &pool.profile);
        let run = Run::new(now, work, &server.pace);
        server.in_flight += 1;
        if need.is_known && server.has_memory() {
            server.memory.begin(permit, &request.prompt, need.own());
        }
        server
            .prefix_cache
            .insert(&request.prompt, server.info.cache_tokens);
        let id = Arc::clone(&server.info.id);
        if let Some(share) = self.plain.get_mut(&request.service) {
            share.record_send(now, &id);
        }
        pool.candidates.record_prompt(&request.prompt, &id);
        let request = InFlight {
            service: Arc::clone(&request.service),
            server: Arc::clone(&id),
            vm: request.vm,
            session: request.session,
            program: request.program,
            started_at: now,
            running_at_start: server.in_flight,
            run,
            demand: request.demand.clone(),
        };
        self.in_flight.insert(permit, request);
        id
    }

    /// Sets how many tokens an event of a response has, for each service that generates tokens.
    pub fn set_tokens_per_event(&mut self, services: impl IntoIterator<Item = (Arc<str>, u64)>) {
        self.tokens_per_event = services.into_iter().collect();
    }

    /// Records the load that the server of a running request reported when its response began.
    ///
    /// ```
    /// use tokio::time::Instant;
    /// use vanillatrail::id::Permit;
    /// use vanillatrail::policy::dispatch::{Dispatcher, HostPace, Load};
    /// let load = Load { running: 3, waiting: 0, host_pace: Some(HostPace(250)) };
    /// // A report of a request that has ended is ignored.
    /// Dispatcher::default().report(Instant::now(), Permit(1), load);
    /// ```
    pub fn report(&mut self, now: Instant, permit: Permit, load: Load) {
        let Some(request) = self.in_flight.get_mut(&permit) else {
            return;
        };
        let Some(pool) = self.pools.get_mut(&request.service) else {
            return;
        };
        if let (Some(index), Some(host_pace)) =
            (pool.candidates.index_of(&request.server), load.host_pace)
        {
            let pace = &mut pool.servers[index].pace;
            pool.profile
                .record_report(now, pace, host_pace, Duration::ZERO);
            request.run.observe(now, pace);
            request.run.reported = true;
        }
    }

    /// Ends a request, whether it was queued or running, and records its outcome.
    pub fn finish(&mut self, now: Instant, permit: Permit, outcome: Outcome) {
        if let Some(service) = self.queued.remove(&permit)
            && let Some(pool) = self.pools.get_mut(&service)
        {
            let removed = pool.dequeue(permit);
            let program = removed.and_then(|queued| queued.request.program);
            pool.request_ended(now, program, Duration::ZERO);
        }
        let Some(request) = self.in_flight.remove(&permit) else {
            return;
        };
        let Some(pool) = self.pools.get_mut(&request.service) else {
            return;
        };
        let took = now.saturating_duration_since(request.started_at);
        pool.request_ended(now, request.program, took);
        let Some(index) = pool.candidates.index_of(&request.server) else {
            return;
        };
        let mean_error_rate = (outcome == Outcome::Error).then(|| mean_error_rate(&pool.servers));
        let server = &mut pool.servers[index];
        server.in_flight = server.in_flight.saturating_sub(1);
        server.memory.end(permit);
        match outcome {
            Outcome::Done { took, work, load } => {
                server.record_success();
                server.record_connection(now, request.vm);
                pool.candidates.record_use(request.vm, &request.server);
                if let Some(load) = load {
                    server.record_load(load, request.running_at_start);
                    if let Some(share) = self.plain.get_mut(&request.service) {
                        share.record_answer(now, &request.server, load);
                    }
                }
                record_latency(server, &mut pool.mean_ms_per_work, took, work);
                let tokens_per_event = self.tokens_per_event.get(&request.service);
                let work = (work, tokens_per_event.copied());
                // A response without events, such as one that is not a stream, gives no length.
                if let (Some(demand), (events, Some(tokens))) = (&request.demand, work)
                    && events > 1.0
                {
                    let tokens = (events - 1.0) * tokens as f64;
                    pool.profile.outputs.record(demand, tokens);
                }
                record_pace(
                    now,
                    server,
                    &mut pool.profile,
                    request.run,
                    (took, work, load),
                );
                if let Some(session) = request.session {
                    if self.session_servers.len() >= MAX_SESSIONS {
                        self.session_servers.clear();
                    }
                    self.session_servers.insert(session, request.server);
                }
            }
            Outcome::Error => server.record_error(now, mean_error_rate.unwrap_or_default()),
            Outcome::Full => server.eject(now),
            Outcome::Failed => {
                server.eject(now);
                if let Some(share) = self.plain.get_mut(&request.service) {
                    share.record_failure(now, &request.server);
                }
            }
            Outcome::Void => {}
        }
    }

    /// Load of the services that have queued requests.
    pub fn queue_stats(&self, now: Instant) -> impl Iterator<Item = Stats<'_>> {
        let pools = self.pools.iter();
        let with_queue = pools.filter(|(_, pool)| !pool.queue.is_empty());
        with_queue.map(move |(service, pool)| pool.queue_stats(now, service))
    }

    /// Requests placed by their object and by load reports, by service without an engine.
    pub fn plain_counts(
        &self,
    ) -> impl Iterator<Item = (&str, affinity::Counts, load_share::Counts)> {
        self.plain
            .iter()
            .map(|(service, share)| (&**service, share.by_object, share.by_load))
    }

    /// Services without an engine that have servers, with the number of servers.
    pub fn plain_services(&self) -> impl Iterator<Item = (&Arc<str>, usize)> {
        self.plain
            .keys()
            .filter_map(|service| Some((service, self.pools.get(service)?.servers.len())))
    }

    /// Whether a service is known to have no engine.
    #[must_use]
    pub fn is_plain(&self, service: &str) -> bool {
        self.plain.contains_key(service)
    }

    /// Whether servers of a service without an engine report the pace of their hosts.
    #[must_use]
    pub fn has_load_reports(&self, now: Instant, service: &str) -> bool {
        self.plain
            .get(service)
            .is_some_and(|share| share.is_active(now))
    }

    /// Load reports that came with answers since the previous call; `None` if the service was not
    /// used since, or its servers do not report the pace of their hosts.
    pub fn take_load_reports(&mut self, now: Instant, service: &str) -> Option<Vec<Report>> {
        self.plain.get_mut(service)?.take_reports(now)
    }

    /// The newest load report of each server, without those that are too old.
    #[must_use]
    pub fn load_digest(&self, now: Instant, service: &str) -> Vec<Report> {
        let share = self.plain.get(service);
        share.map_or_else(Vec::new, |share| share.digest(now))
    }

    /// Merges load reports that other VMs received, by which requests are then placed.
    pub fn merge_load_reports(&mut self, now: Instant, service: &str, reports: &[Report]) {
        if let (Some(share), Some(pool)) = (self.plain.get_mut(service), self.pools.get(service)) {
            share.merge(now, reports, pool);
        }
    }

    /// Pace of the hosts of the services whose servers report it.
    pub fn pace_stats(&self, now: Instant) -> impl Iterator<Item = PaceStats<'_>> {
        let pools = self.pools.iter();
        let reporting = pools.filter(move |(_, pool)| pool.profile.is_on(now));
        reporting.map(move |(service, pool)| pool.pace_stats(now, service))
    }

    /// Whether any request is queued.
    #[must_use]
    pub fn has_queued(&self) -> bool {
        !self.queued.is_empty()
    }

    /// Milliseconds since the first call.
    fn now_ms(&mut self, now: Instant) -> i64 {
        let epoch = *self.epoch.get_or_insert(now);
        let elapsed_ms = now.saturating_duration_since(epoch).as_millis();
        i64::try_from(elapsed_ms).unwrap_or(i64::MAX)
    }

    /// Queue length and in-flight requests per server, by service, as JSON.
    #[must_use]
    pub fn state(&self) -> serde_json::Value {
        let now = self.last_sweep;
        let pools = self.pools.iter().map(|(service, pool)| {
            let servers = pool.servers.iter().map(|server| {
                let state = serde_json::json!({
                    "in_flight": server.in_flight,
                    "others": server.external_load,
                    "slots": server.info.slots,
                    "slowness": server.slowdown,
                    "pace": now.map(|now| server.pace.factor(now, &pool.profile)),
                    "own_speed": server.pace.speeds(),
                    "memory": server.expected_memory(),
                    "pace_believed": !server.pace.is_distrusted(),
                    "failures": server.consecutive_failures,
                });
                (server.info.id.to_string(), state)
            });
            let servers: serde_json::Map<_, _> = servers.collect();
            let (known_programs, admitted) = pool.programs.counts();
            let state = serde_json::json!({
                "uses_pace": now.is_some_and(|now| pool.profile.is_on(now)),
                "pace_reports": pool.profile.reports,
                "waits_for_pace": pool.waits_for_pace,
                "waits_for_memory": pool.waits_for_memory,
                "waiting": pool.queue.len(),
                "programs": known_programs,
                "programs_admitted": admitted,
                "programs_waiting": pool.programs.waiting().0,
                "slots_reserved": pool.programs.reserved_slots(),
                "slots_by_class": pool
                    .programs
                    .slots_by_class()
                    .map(|(class, slots)| (format!("{class:x}"), slots.into()))
                    .collect::<serde_json::Map<_, _>>(),
                "servers": servers,
                "plain": self.plain.get(service).map(LoadShare::state),
            });
            (service.to_string(), state)
        });
        serde_json::Value::Object(pools.collect())
    }
}

/// Learns the pace of a server from a successful answer. `work` is the size of the request, and the
/// tokens per unit of it on services that generate tokens.
fn record_pace(
    now: Instant,
    server: &mut Server,
    profile: &mut Profile,
    mut run: Run,
    (took, (work, tokens_per_event), load): (Duration, (f64, Option<u64>), Option<Load>),
) {
    if let Some(host_pace) = load.and_then(|load| load.host_pace)
        && !run.reported
    {
        // The head of a stream, which has the report, may be as old as the request.
        let age = tokens_per_event.map_or(Duration::ZERO, |_| took);
        profile.record_report(now, &mut server.pace, host_pace, age);
    }
    run.observe(now, &server.pace);
    run.work.others = f64::midpoint(run.work.others, server.concurrent_requests());
    run.work.output_tokens = tokens_per_event.map_or(0.0, |tokens| (work - 1.0) * tokens as f64);
    profile.record_answer(&mut server.pace, &run, took);
}
