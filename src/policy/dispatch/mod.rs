//! Places forwarded requests on backend servers and queues those that have to wait.
//!
//! Servers run requests in order of arrival, without priorities. The dispatcher therefore sends a
//! server only as many requests as fit its concurrency window, keeps the others in a priority
//! queue, and grants the first of them when a slot frees up.

mod plain;
mod stats;
mod types;

use super::load_share::LoadShare;
use super::memory::Need;
use super::pace::{Profile, Run};
use super::queue::{Band, Prioritized};
use super::service_pool::{MAX_SCANNED, QueuedRequest, ServicePool};
use super::window::{Choice, Query, Server, mean_error_rate, record_latency};
use crate::id::Permit;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

pub use stats::{PaceStats, Stats};
pub use types::{Demand, Description, HostPace, Load, Outcome, Placement, Request, Tick};

/// Cleared when full.
const MAX_SESSIONS: usize = 50_000;
const SWEEP_INTERVAL: Duration = Duration::from_millis(200);
/// How often the slots of ended programs with a demand are released. Their usual pause is known, and a short program
/// can wait for hardly longer than 200 ms.
const RELEASE_INTERVAL: Duration = Duration::from_millis(100);
/// Retry-After of a request that was dropped from the queue by [`Dispatcher::tick`].
pub const LATE_REQUEST_RETRY_AFTER: Duration = Duration::from_millis(900);
/// How long after its arrival a request that fits into the memory of no engine may be overtaken by
/// requests behind it. About as long as a turn runs, after which memory should be free.
const MAX_OVERTAKING_MS: i64 = 300;

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
    /// #     object: None, version: None, only: vec![],
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
        if !pool.has_server_for(&request) {
            return Placement::NoServer;
        }
        let capacity = pool.capacity(now);
        let priority = pool
            .programs
            .request_arrived(now, now_ms, &request, capacity);
        let (band, _) = priority.band(now_ms);
        let queued_ahead = pool.queue.queued_ahead(band);
        let query = Query {
            now,
            permit,
            request: &request,
            band,
            session_server: request
                .session
                .and_then(|session| self.session_servers.get(&session)),
        };
        if queued_ahead == 0 && !pool.must_hold(now, &request) {
            let plain = self.plain.get_mut(&request.service);
            let chosen = plain.and_then(|share| share.choose(&query, pool));
            let choice = chosen.map_or_else(|| pool.choose(&query, 0), Choice::Server);
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
        let sweeps = self.last_sweep.is_none_or(|at| at + SWEEP_INTERVAL <= now);
        if sweeps {
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
            let late = pool
                .queue
                .late_matching(|queued| queued.late_wait_expired(now_ms));
            let stranded = if sweeps { pool.stranded() } else { Vec::new() };
            for permit in late.into_iter().chain(stranded) {
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
            let behind = if last == Some(permit) {
                not_considered
            } else {
                0
            };
            let ahead = left_waiting + behind;
            let request = &queued.request;
            let query = Query {
                now,
                permit,
                request,
                band,
                session_server: request
                    .session
                    .and_then(|session| self.session_servers.get(&session)),
            };
            let index = match pool.choose(&query, ahead) {
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
                // The work of a stream is one more than its events.
                let output_tokens = tokens_per_event.map(|tokens| (work - 1.0) * *tokens as f64);
                // A response without events, such as one that is not a stream, gives no length.
                if let (Some(demand), Some(tokens)) = (&request.demand, output_tokens)
                    && tokens > 0.0
                {
                    pool.profile.outputs.record(demand, tokens);
                }
                let host_pace = load.and_then(|load| load.host_pace);
                let (profile, run) = (&mut pool.profile, request.run);
                record_pace(now, server, profile, run, took, output_tokens, host_pace);
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
}

/// Learns the pace of a server from a successful answer. `output_tokens` is `None` on services that generate none.
fn record_pace(
    now: Instant,
    server: &mut Server,
    profile: &mut Profile,
    mut run: Run,
    took: Duration,
    output_tokens: Option<f64>,
    host_pace: Option<HostPace>,
) {
    if let Some(host_pace) = host_pace
        && !run.reported
    {
        // The head of a stream, which has the report, may be as old as the request.
        let age = output_tokens.map_or(Duration::ZERO, |_| took);
        profile.record_report(now, &mut server.pace, host_pace, age);
    }
    run.observe(now, &server.pace);
    run.work.others = f64::midpoint(run.work.others, server.concurrent_requests());
    run.work.output_tokens = output_tokens.unwrap_or_default();
    profile.record_answer(&mut server.pace, &run, took);
}
