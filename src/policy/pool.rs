//! The call queue of a pool, and the choice of a server for each call.

use super::latency::{Model, Rates};
use super::queue::{Band, Queue};
use super::request::{Action, Outcome, Request};
use super::server::Server;
use super::slack::QueuedCall;
use crate::code::{Code, Failure};
use crate::id::{Permit, Program, Server as ServerName};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;
use tokio::time::Instant;

/// Calls beyond this are refused.
const MAX_QUEUED: usize = 100_000;
/// Queued calls considered per attempt to grant.
const MAX_SCANNED: usize = 32;
/// Servers considered for a call besides those that may have cached its program.
const MAX_OTHER_CANDIDATES: usize = 4;
/// Cost of a server on which the call has failed. Such a server is used only if no other has room.
const AVOID_COST_MS: f64 = 1e7;
/// Programs whose servers are remembered; cleared when full.
const MAX_REMEMBERED_PROGRAMS: usize = 200_000;

/// The servers and the call queue of one pool.
///
/// ```
/// use tokio::time::Instant;
/// use vanillatrail::id::{Permit, Program, Shard, Tokens};
/// use vanillatrail::policy::{Action, Pool, Request};
/// let mut pool = Pool::default();
/// let server = "engine-1".parse().unwrap();
/// pool.set_servers(&[server]);
/// let request = Request {
///     program: Program::new(Shard(0), 1),
///     class: None,
///     slack_ms: 1000,
///     remaining_ms: 500,
///     prompt: Tokens(100),
///     max_tokens: Tokens(50),
///     resident: Vec::new(),
///     avoid: Vec::new(),
///     zone: None,
/// };
/// let actions = pool.request(Instant::now(), Permit(1), request);
/// assert!(matches!(actions[..], [Action::Grant(Permit(1), _)]));
/// ```
#[derive(Debug, Default)]
pub struct Pool {
    servers: Vec<Server>,
    index_by_name: HashMap<ServerName, usize>,
    /// Servers with room, fastest first, by microseconds per token.
    available: BTreeSet<(u64, usize)>,
    /// Key of each server in `available`; none without room.
    availability_keys: Vec<Option<u64>>,
    /// Ejected servers by the end of their ejection.
    ejected: BTreeSet<(Instant, usize)>,
    /// Server of each running call.
    running: HashMap<Permit, usize>,
    /// Servers that may have cached each program.
    servers_of_program: HashMap<Program, Vec<usize>>,
    queue: Queue<QueuedCall>,
    pace: Model,
    epoch: Option<Instant>,
    export_enabled: bool,
}

impl Pool {
    /// Enables moving KV cache between servers, all of which must support export and import.
    #[must_use]
    pub fn with_cache_export(mut self) -> Self {
        self.export_enabled = true;
        self
    }

    /// Replaces the set of servers. In-flight calls of removed servers continue.
    pub fn set_servers(&mut self, names: &[ServerName]) {
        for name in names {
            if !self.index_by_name.contains_key(name) {
                self.index_by_name.insert(name.clone(), self.servers.len());
                self.servers.push(Server::new(name.clone()));
                self.availability_keys.push(None);
            }
        }
        let active: BTreeSet<&ServerName> = names.iter().collect();
        for index in 0..self.servers.len() {
            self.servers[index].draining = !active.contains(&self.servers[index].name);
            self.update_availability(index);
        }
    }

    /// Marks a server as draining: it gets no new calls.
    pub fn drain_server(&mut self, server: &ServerName) {
        if let Some(&index) = self.index_by_name.get(server) {
            self.servers[index].draining = true;
            self.update_availability(index);
        }
    }

    /// Queues a call and grants what fits.
    pub fn request(&mut self, now: Instant, permit: Permit, request: Request) -> Vec<Action> {
        if self.queue.len() >= MAX_QUEUED {
            let failure = Failure::refused(Code::Overloaded, "too many calls are queued")
                .retry_after(Duration::from_secs(1));
            return vec![Action::Refuse(permit, failure)];
        }
        if self.servers.iter().all(|server| server.draining) {
            let failure = Failure::refused(Code::NoServer, "the pool has no server")
                .retry_after(Duration::from_secs(1));
            return vec![Action::Refuse(permit, failure)];
        }
        let arrival_ms = self.now_ms(now);
        // While the call is queued, the cache of its program is as idle as during a pause.
        let resume_ms = arrival_ms.saturating_add(request.slack_ms.max(0));
        for &index in self
            .servers_of_program
            .get(&request.program)
            .into_iter()
            .flatten()
        {
            self.servers[index].cache.pause(request.program, resume_ms);
        }
        let call = QueuedCall {
            latest_start_ms: arrival_ms.saturating_add(request.slack_ms),
            arrival_ms,
            request,
        };
        self.queue.push(arrival_ms, permit, call);
        self.grant(now)
    }

    /// Ends a call, whether it was queued or running, and grants what fits. Without an outcome
    /// nothing is learned.
    pub fn finish(
        &mut self,
        now: Instant,
        permit: Permit,
        outcome: Option<&Outcome>,
    ) -> Vec<Action> {
        let queued = self
            .queue
            .remove(permit)
            .map(|call| call.request.max_tokens);
        let Some(index) = self.running.remove(&permit) else {
            return queued.map_or_else(Vec::new, |_| self.grant(now));
        };
        let server = &mut self.servers[index];
        if let Some(program) = server.end(now, permit, outcome, &mut self.pace) {
            self.record_placement(program, index, outcome);
        }
        if let Some(until) = self.servers[index].ejected_until {
            self.ejected.insert((until, index));
        }
        self.update_availability(index);
        self.grant(now)
    }

    /// Remembers that the latest call of the program ran on this server.
    fn record_placement(&mut self, program: Program, index: usize, outcome: Option<&Outcome>) {
        if outcome.is_none_or(|result| result.failed) {
            return;
        }
        if self.servers_of_program.len() >= MAX_REMEMBERED_PROGRAMS {
            self.servers_of_program.clear();
        }
        let servers = self.servers_of_program.entry(program).or_default();
        if !servers.contains(&index) {
            servers.push(index);
        }
    }

    /// Forgets a program that has ended.
    pub fn program_ended(&mut self, program: Program) {
        for index in self.servers_of_program.remove(&program).unwrap_or_default() {
            self.servers[index].cache.remove(program);
        }
    }

    /// Handles an eviction event: the server has dropped the cache of the program.
    pub fn cache_evicted(&mut self, server: &ServerName, program: Program) {
        if let Some(&index) = self.index_by_name.get(server) {
            self.servers[index].cache.record_eviction(program);
        }
    }

    /// Notes that a program pauses for about `pause`. Exports idle cache from its servers if they
    /// are nearly full.
    pub fn program_paused(
        &mut self,
        now: Instant,
        program: Program,
        pause: Duration,
    ) -> Vec<Action> {
        let resume_ms = i64::try_from(pause.as_millis()).unwrap_or(i64::MAX);
        let resume_ms = self.now_ms(now).saturating_add(resume_ms);
        let servers = self
            .servers_of_program
            .get(&program)
            .cloned()
            .unwrap_or_default();
        let mut actions = Vec::new();
        for index in servers {
            self.servers[index].cache.pause(program, resume_ms);
            self.export(index, &mut actions);
        }
        actions
    }

    /// Exports idle cache before the server evicts it in LRU order.
    fn export(&mut self, index: usize, actions: &mut Vec<Action>) {
        if !self.export_enabled {
            return;
        }
        let server = &mut self.servers[index];
        let programs = server.cache.take_excess().into_iter();
        actions.extend(programs.map(|program| Action::Export(server.name.clone(), program)));
    }

    /// Grants queued calls that fit.
    pub fn grant(&mut self, now: Instant) -> Vec<Action> {
        self.restore_ejected(now);
        let mut actions = Vec::new();
        if self.queue.is_empty() || self.available.is_empty() {
            return actions;
        }
        let now_ms = self.now_ms(now);
        for permit in self.queue.most_urgent(now_ms, MAX_SCANNED) {
            if self.available.is_empty() {
                break;
            }
            let Some((call, band)) = self.queue.get(permit) else {
                continue;
            };
            let Some(index) = self.choose_server(&call.request, band == Band::Backfill) else {
                continue;
            };
            if let Some(call) = self.queue.remove(permit) {
                self.export_from_others(call.request.program, index, &mut actions);
                self.start(permit, index, &call.request);
                self.export(index, &mut actions);
                actions.push(Action::Grant(permit, self.servers[index].name.clone()));
            }
        }
        actions
    }

    /// Exports the program's cache from all servers but the one that runs its next call.
    fn export_from_others(&mut self, program: Program, target: usize, actions: &mut Vec<Action>) {
        if !self.export_enabled {
            return;
        }
        for holder in self.servers_of_program.get(&program).into_iter().flatten() {
            let server = &mut self.servers[*holder];
            if *holder != target && server.cache.tokens(program) > 0 {
                server.cache.remove(program);
                actions.push(Action::Export(server.name.clone(), program));
            }
        }
    }

    fn start(&mut self, permit: Permit, index: usize, request: &Request) {
        let tokens = request.prompt.0 + request.max_tokens.0;
        self.servers[index].start(permit, request.program, tokens);
        self.running.insert(permit, index);
        self.queue.record_grant();
        self.update_availability(index);
    }

    /// The server for a call; none if the call should wait for one that may have cached its
    /// program.
    fn choose_server(&self, request: &Request, backfill: bool) -> Option<usize> {
        let cache_holders = self.cache_holders(request);
        let others = self
            .available
            .iter()
            .map(|(_, index)| *index)
            .take(MAX_OTHER_CANDIDATES);
        let candidates = cache_holders.iter().copied().chain(others).filter(|index| {
            let server = &self.servers[*index];
            self.availability_keys[*index].is_some() && server.has_room(&self.pace, backfill)
        });
        let (cost_ms, best) = candidates
            .map(|index| (self.expected_cost_ms(index, request), index))
            .min_by(|a, b| a.0.total_cmp(&b.0))?;
        let should_wait = cache_holders.iter().any(|holder| {
            let server = &self.servers[*holder];
            let unavailable = server.draining || server.ejected_until.is_some();
            !unavailable
                && !request.avoid.contains(&server.name)
                && self.expected_wait_ms(*holder, request) < cost_ms
        });
        (cache_holders.contains(&best) || !should_wait).then_some(best)
    }

    /// Servers that may have cached the program.
    fn cache_holders(&self, request: &Request) -> Vec<usize> {
        let mut cache_holders = self
            .servers_of_program
            .get(&request.program)
            .cloned()
            .unwrap_or_default();
        if cache_holders.is_empty() {
            cache_holders.extend(
                request
                    .resident
                    .iter()
                    .filter_map(|name| self.index_by_name.get(name)),
            );
        }
        cache_holders
    }

    /// Expected duration of the call on this server, plus penalties if its cache is full or if it
    /// should be avoided.
    fn expected_cost_ms(&self, index: usize, request: &Request) -> f64 {
        let server = &self.servers[index];
        let mut cost_ms = server.expected_call_ms(
            &self.pace,
            request.program,
            request.prompt.0,
            request.max_tokens.0,
        );
        let new_tokens = (request.prompt.0 + request.max_tokens.0)
            .saturating_sub(server.cache.tokens(request.program));
        if !server.cache.fits(new_tokens) {
            cost_ms += new_tokens as f64 * self.pace.prefill_ms();
        }
        if request.avoid.contains(&server.name) {
            cost_ms += AVOID_COST_MS;
        }
        cost_ms
    }

    /// Expected time until a busy server completes this call: its queue time and its duration.
    fn expected_wait_ms(&self, index: usize, request: &Request) -> f64 {
        let cost_ms = self.expected_cost_ms(index, request);
        cost_ms + cost_ms / (self.servers[index].running() as f64).max(1.0)
    }

    /// Number of queued calls, and of running calls by server.
    #[must_use]
    pub fn load(&self) -> (usize, BTreeMap<ServerName, usize>) {
        let running = self
            .servers
            .iter()
            .filter(|server| !server.draining || server.running() > 0)
            .map(|server| (server.name.clone(), server.running()));
        (self.queue.len(), running.collect())
    }

    /// Mean window of the servers, in calls.
    #[must_use]
    pub fn mean_window(&self) -> f64 {
        let count = (self.servers.len() as f64).max(1.0);
        let windows = self.servers.iter().map(|server| server.window(&self.pace));
        (windows.sum::<f64>() / count).max(1.0)
    }

    /// Engine cost and capacity of the pool, for admission control.
    #[must_use]
    pub fn rates(&self) -> Rates {
        let window = self.mean_window();
        let usable = self
            .servers
            .iter()
            .filter(|server| !server.draining && server.ejected_until.is_none());
        Rates {
            prefill_ms: self.pace.prefill_ms(),
            token_ms: self.pace.token_ms(window) / window,
            capacity: usable
                .map(|server| 1.0 / server.slowdown.get().max(1.0))
                .sum(),
        }
    }

    fn restore_ejected(&mut self, now: Instant) {
        while let Some(&(until, index)) = self.ejected.first() {
            if until > now {
                return;
            }
            self.ejected.remove(&(until, index));
            if self.servers[index].ejected_until == Some(until) {
                self.servers[index].ejected_until = None;
                self.update_availability(index);
            }
        }
    }

    /// Updates whether a server is among those with room.
    fn update_availability(&mut self, index: usize) {
        let server = &self.servers[index];
        let usable = !server.draining && server.ejected_until.is_none();
        let running = server.running() as f64 + 1.0;
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "microseconds"
        )]
        let key = (usable && server.has_room(&self.pace, false))
            .then(|| (self.pace.token_ms(running) * server.slowdown.get() * 1000.0) as u64);
        if let Some(old) = self.availability_keys[index] {
            self.available.remove(&(old, index));
        }
        if let Some(key) = key {
            self.available.insert((key, index));
        }
        self.availability_keys[index] = key;
    }

    /// Milliseconds since the first call.
    fn now_ms(&mut self, now: Instant) -> i64 {
        let epoch = *self.epoch.get_or_insert(now);
        let elapsed_ms = now.saturating_duration_since(epoch).as_millis();
        i64::try_from(elapsed_ms).unwrap_or(i64::MAX)
    }
}
