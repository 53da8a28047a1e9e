//! The concurrency window and health of one backend server, and the choice between servers.
//!
//! Slow servers, failing servers and servers with load from other senders get fewer requests. A
//! server is compared with the others of its service; one that fails is ejected for a time that
//! doubles with each failure in a row (outlier ejection).

use super::dispatch::{Description, Load, Request};
use super::memory::{Memory, Need};
use super::pace::{Pace, Profile, Work};
use super::prefix::Cache;
use super::queue::Band;
use crate::id::Permit;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// First ejection; doubled with each further failure in a row.
const EJECTION_TIME: Duration = Duration::from_millis(250);
/// A recovered server should be in use again within seconds.
const MAX_EJECTION_TIME: Duration = Duration::from_secs(4);
/// Weight of the newest response in a server's slowdown.
const LATENCY_EWMA_WEIGHT: f64 = 0.15;
/// Bounds of one sample, against outliers.
const SLOWDOWN_BOUNDS: (f64, f64) = (0.25, 8.0);
/// Cost of a server in another zone, as a fraction of its window: traffic between zones is billed.
/// One request more hardly slows a server.
pub(super) const CROSS_ZONE_COST: f64 = 0.24;
/// Bonus of the server that ran the previous turn of the session, as a fraction of its window. Only
/// for prompts of unknown parts; others are scored by their uncached tokens.
const SESSION_AFFINITY_BONUS: f64 = 1.0;
/// Uncached prompt tokens that cost as much as a full window: a server generates nothing while it
/// prefills a prompt.
const UNCACHED_TOKENS_PER_WINDOW: f64 = 1500.0;
/// Bonus of a server to which the sending VM probably has an open connection, as a fraction of its
/// window. Must outweigh a difference of two requests in load. Otherwise a VM that sends few
/// requests goes to whichever server has one less at the moment. A new connection takes 2 ms more.
pub(super) const OPEN_CONNECTION_BONUS: f64 = 0.4;
/// How long a connection is assumed to stay open; below the keep-alive timeout of the servers.
const CONNECTION_IDLE_TIME: Duration = Duration::from_secs(3);
/// Requests sent to a server beyond its slots, so that a freed slot is refilled without a round
/// trip.
const MAX_REQUESTS_BEYOND_SLOTS: usize = 3;
/// Cost of a server that only returns errors, as a fraction of its window. Without it, a server
/// that fails fast looks idle and attracts requests.
const ERROR_RATE_COST: f64 = 2.0;
/// Weight of the newest response in a server's error rate. Two errors in a row are needed before a
/// server is ejected.
const ERROR_EWMA_WEIGHT: f64 = 0.15;
/// Error rate above which an error ejects a server. Must be above that of a healthy service. Plain
/// services return errors for one of 100 requests by themselves.
const EJECTION_ERROR_RATE: f64 = 0.25;
/// Ejection also needs an error rate this many times the mean of the service: if all servers fail,
/// ejecting one does not help.
const EJECTION_MEAN_RATIO: f64 = 3.0;
/// One in this many requests may be sent to a server that has failed since its last answer.
const PROBE_INTERVAL: u64 = 16;
/// Weight of the newest load report in a server's external load.
const LOAD_EWMA_WEIGHT: f64 = 0.1;
/// Cost of a full window in mean times of a request. Below 1, expected times outweigh cached prompts
/// and even load, and the service loses capacity.
const WINDOW_COST: f64 = 2.0;
/// A request waits for another server only if it is expected to end sooner by this factor: the time
/// until a slot frees up is an estimate.
const MIN_WAIT_GAIN: f64 = 1.2;
/// Least load believed of a server, as a share of this dispatcher's requests on it, so that one that
/// reports too little does not attract all requests.
const MIN_BELIEVED_LOAD: f64 = 0.5;

/// A request to be placed on a server now.
#[derive(Debug, Clone, Copy)]
pub(super) struct Query<'a> {
    pub(super) now: Instant,
    pub(super) permit: Permit,
    pub(super) request: &'a Request,
    pub(super) band: Band,
    /// Server that ran the previous turn of its session.
    pub(super) session_server: Option<&'a Arc<str>>,
}

#[derive(Debug)]
pub(super) struct Server {
    pub(super) info: Description,
    pub(super) in_flight: usize,
    /// Prompt parts that it is expected to have cached.
    pub(super) prefix_cache: Cache,
    /// Time of the last completed request of each VM, which left a connection open.
    last_used_by_vm: HashMap<u64, Instant>,
    /// Estimated requests of other senders on the server; negative if requests of this dispatcher
    /// ended there unnoticed.
    pub(super) external_load: f64,
    /// Its latency relative to the mean of the service; above 1 it is slower.
    pub(super) slowdown: f64,
    pub(super) consecutive_failures: u32,
    /// Moving average of the share of responses that are server errors.
    error_rate: f64,
    pub(super) ejected_until: Option<Instant>,
    pub(super) pace: Pace,
    pub(super) memory: Memory,
}

/// Result of [`choose_by_time`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Choice {
    /// Index of a server with room.
    Server(usize),
    /// Servers have room, but one without is expected to end the request sooner.
    Wait,
    /// No server has room.
    Full,
    /// The request does not fit into the memory of any server with room.
    NoMemory,
}

impl Server {
    pub(super) fn new(info: Description) -> Self {
        Self {
            info,
            in_flight: 0,
            prefix_cache: Cache::default(),
            external_load: 0.0,
            last_used_by_vm: HashMap::new(),
            slowdown: 1.0,
            consecutive_failures: 0,
            error_rate: 0.0,
            ejected_until: None,
            pace: Pace::default(),
            memory: Memory::default(),
        }
    }

    /// Records that a request of the VM has ended and left its connection open.
    pub(super) fn record_connection(&mut self, now: Instant, vm: u64) {
        self.last_used_by_vm
            .retain(|_, at| *at + CONNECTION_IDLE_TIME > now);
        self.last_used_by_vm.insert(vm, now);
    }

    /// Whether the VM probably has an open connection to the server.
    pub(super) fn has_open_connection(&self, now: Instant, vm: u64) -> bool {
        self.last_used_by_vm
            .get(&vm)
            .is_some_and(|at| *at + CONNECTION_IDLE_TIME > now)
    }

    pub(super) fn is_usable(&self, now: Instant) -> bool {
        !self.info.draining && self.ejected_until.is_none_or(|until| until <= now)
    }

    /// Whether this request may be sent here. A server that failed gets few requests, one at a time, until it has
    /// answered one: a request that must not be repeated fails its program, but a server that gets none would never
    /// recover.
    pub(super) fn accepts(&self, now: Instant, permit: Permit) -> bool {
        let is_probe = self.in_flight == 0 && permit.0.is_multiple_of(PROBE_INTERVAL);
        self.is_usable(now) && (self.consecutive_failures == 0 || is_probe)
    }

    /// Whether it can take one more request of this band.
    pub(super) fn has_room(&self, now: Instant, band: Band) -> bool {
        self.is_usable(now) && self.load() + 0.5 <= self.max_in_flight(band) as f64
    }

    /// Maximum concurrent requests when granting one of this band.
    ///
    /// Only requests of admitted programs may exceed the slots: the server would run late requests
    /// queued there before admitted ones that arrive later.
    fn max_in_flight(&self, band: Band) -> usize {
        let slots = self.info.slots;
        match band {
            Band::OnTime => slots + MAX_REQUESTS_BEYOND_SLOTS.min(slots / 2),
            Band::Late | Band::Backfill => slots,
        }
    }

    /// Utilization after one more request, weighted by the slowdown.
    pub(super) fn cost(&self) -> f64 {
        (self.load() + 0.5) / self.info.slots as f64 * self.slowdown
    }

    /// Estimated requests on the server, including those of other senders.
    pub(super) fn load(&self) -> f64 {
        (self.in_flight as f64 + self.external_load).max(0.0)
    }

    /// Load that is believed where the time of a request is estimated.
    fn believed_load(&self) -> f64 {
        self.load().max(self.in_flight as f64 * MIN_BELIEVED_LOAD)
    }

    /// What a request with this many uncached prompt tokens would cost this server.
    pub(super) fn work(&self, uncached: u64, need: &Need, profile: &Profile) -> Work {
        Work {
            prompt_tokens: uncached as f64 + need.beyond_parts,
            output_tokens: need.output.unwrap_or(profile.mean_output_tokens()),
            others: self.concurrent_requests(),
        }
    }

    /// Whether the request fits into the memory of the engine until it ends; true if its demand or
    /// the memory is unknown.
    pub(super) fn fits(&self, request: &Request, need: &Need) -> bool {
        // A run that does not fit with its margin is not kept from an engine that has no other.
        if !need.is_known || !self.has_memory() || self.in_flight == 0 {
            return true;
        }
        let free = self.info.cache_tokens as f64 - self.expected_memory();
        // The parts that it shares with other runs are looked up only if they matter.
        need.prompt + need.likely_most <= free
            || self.memory.needed(&request.prompt, need.own()) <= free
    }

    pub(super) const fn has_memory(&self) -> bool {
        self.info.cache_tokens > 0
    }

    /// Tokens that the runs on the engine hold at their end, including those of other senders.
    pub(super) fn expected_memory(&self) -> f64 {
        let others = self.external_load.max(0.0) * self.memory.mean().unwrap_or_default();
        self.memory.tokens() + others
    }

    /// Requests that would run beside a new one.
    pub(super) fn concurrent_requests(&self) -> f64 {
        let slots = self.info.slots as f64;
        self.believed_load().min((slots - 1.0).max(0.0))
    }

    /// Expected time of a request from its arrival at the server to its end, in milliseconds.
    fn expected_ms(&self, now: Instant, work: Work, profile: &Profile) -> f64 {
        let run_ms = self.pace.expected_ms(now, profile, work);
        let slots = self.info.slots.max(1) as f64;
        let ahead = (self.believed_load() + 1.0 - slots).max(0.0);
        run_ms * (1.0 + ahead / slots)
    }

    /// Records a load report of the server. `in_flight` is the number of this dispatcher's requests
    /// that ran there at that time.
    pub(super) fn record_load(&mut self, load: Load, in_flight: usize) {
        let external_load = (load.running + load.waiting) as f64 - in_flight as f64;
        self.external_load += LOAD_EWMA_WEIGHT * (external_load - self.external_load);
    }

    pub(super) fn record_success(&mut self) {
        self.error_rate -= ERROR_EWMA_WEIGHT * self.error_rate;
        if self.error_rate < EJECTION_ERROR_RATE {
            self.consecutive_failures = 0;
        }
    }

    /// Records a server error; `mean_error_rate` is that of the service.
    pub(super) fn record_error(&mut self, now: Instant, mean_error_rate: f64) {
        self.error_rate += ERROR_EWMA_WEIGHT * (1.0 - self.error_rate);
        if self.error_rate > EJECTION_ERROR_RATE.max(mean_error_rate * EJECTION_MEAN_RATIO) {
            self.eject(now);
        }
    }

    pub(super) fn eject(&mut self, now: Instant) {
        let duration = EJECTION_TIME * 2_u32.saturating_pow(self.consecutive_failures.min(6));
        self.consecutive_failures += 1;
        self.ejected_until = Some(now + duration.min(MAX_EJECTION_TIME));
    }
}

/// Mean error rate of the servers.
pub(super) fn mean_error_rate(servers: &[Server]) -> f64 {
    let error_sum: f64 = servers.iter().map(|server| server.error_rate).sum();
    error_sum / servers.len().max(1) as f64
}

pub(super) fn record_latency(
    server: &mut Server,
    mean_ms_per_work: &mut Option<f64>,
    took: Duration,
    work: f64,
) {
    let ms_per_work = took.as_secs_f64() * 1000.0 / work.max(0.001);
    let mean = mean_ms_per_work.get_or_insert(ms_per_work);
    let sample_slowdown =
        (ms_per_work / mean.max(0.001)).clamp(SLOWDOWN_BOUNDS.0, SLOWDOWN_BOUNDS.1);
    server.slowdown += LATENCY_EWMA_WEIGHT * (sample_slowdown - server.slowdown);
    // Divided by the slowdown, so that a slow server does not raise the mean.
    *mean +=
        LATENCY_EWMA_WEIGHT / 8.0 * (ms_per_work / server.slowdown.max(SLOWDOWN_BOUNDS.0) - *mean);
}

/// Cost of a server with this cost of its load, as a fraction of its window.
fn total_cost(load_cost: f64, uncached: u64, server: &Server, query: &Query<'_>) -> f64 {
    let request = query.request;
    let cross_zone_cost = if server.info.zone == request.zone {
        0.0
    } else {
        CROSS_ZONE_COST
    };
    let session_bonus =
        if request.prompt.is_empty() && query.session_server == Some(&server.info.id) {
            SESSION_AFFINITY_BONUS
        } else {
            0.0
        };
    let avoid_cost = if request.avoid.contains(&server.info.id) {
        100.0
    } else {
        0.0
    };
    let connection_bonus = if server.has_open_connection(query.now, request.vm) {
        OPEN_CONNECTION_BONUS
    } else {
        0.0
    };
    let uncached_cost = uncached as f64 / UNCACHED_TOKENS_PER_WINDOW;
    let error_cost = server.error_rate * ERROR_RATE_COST;
    load_cost + cross_zone_cost + avoid_cost + uncached_cost + error_cost
        - session_bonus
        - connection_bonus
}

/// Index of the candidate with room that has the lowest cost.
pub(super) fn choose(
    servers: &[Server],
    candidates: impl IntoIterator<Item = usize>,
    query: &Query<'_>,
) -> Option<usize> {
    let cost = |server: &Server| {
        let uncached = server.prefix_cache.uncached_tokens(&query.request.prompt);
        total_cost(server.cost(), uncached, server, query)
    };
    let with_room = candidates
        .into_iter()
        .map(|index| (index, &servers[index]))
        .filter(|(_, server)| server.has_room(query.now, query.band));
    with_room
        .map(|(index, server)| (index, cost(server)))
        .min_by(|(_, a), (_, b)| a.total_cmp(b))
        .map(|(index, _)| index)
}

/// The candidate with room that has the lowest cost in expected time. `ahead` requests already wait
/// for a server that has no room now.
pub(super) fn choose_by_time(
    servers: &[Server],
    candidates: &[usize],
    query: &Query<'_>,
    profile: &Profile,
    need: &Need,
    ahead: usize,
) -> Choice {
    let Query {
        now, request, band, ..
    } = *query;
    let mean_ms = profile.mean_ms();
    let cost = |server: &Server, uncached: u64, expected_ms: f64| {
        let slots = server.info.slots.max(1) as f64;
        let load = server.believed_load();
        let mean_speed_ms = server.pace.expected_ms(now, profile, profile.mean_work());
        // As in `choose`, with the momentary pace in place of the slowdown.
        let load_cost = (load + 0.5) / slots * mean_speed_ms / mean_ms.max(0.001);
        let shares = total_cost(load_cost, uncached, server, query);
        expected_ms + WINDOW_COST * shares * mean_ms
    };
    let with_room = candidates.iter().map(|index| (*index, &servers[*index]));
    let chosen = with_room
        .filter(|(_, server)| server.has_room(now, band) && server.fits(request, need))
        .map(|(index, server)| {
            let uncached = server.prefix_cache.uncached_tokens(&request.prompt);
            let work = server.work(uncached, need, profile);
            let expected_ms = server.expected_ms(now, work, profile);
            (index, expected_ms, cost(server, uncached, expected_ms))
        })
        .min_by(|(.., a), (.., b)| a.total_cmp(b));
    let Some((chosen, chosen_ms, _)) = chosen else {
        let has_room = |index: &usize| servers[*index].has_room(now, band);
        return if candidates.iter().any(has_room) {
            Choice::NoMemory
        } else {
            Choice::Full
        };
    };
    if band != Band::OnTime || !profile.is_slow(now, &servers[chosen].pace) {
        return Choice::Server(chosen);
    }
    // Of the servers without room that would take less time: the rate at which their slots free up,
    // and the least time that the request takes there.
    let (mut freed_per_ms, mut least_ms) = (0.0, f64::INFINITY);
    for index in candidates {
        let server = &servers[*index];
        if !server.is_usable(now)
            || server.has_room(now, band)
            || request.avoid.contains(&server.info.id)
        {
            continue;
        }
        let uncached = server.prefix_cache.uncached_tokens(&request.prompt);
        let work = server.work(uncached, need, profile);
        let run_ms = server.pace.expected_ms(now, profile, work);
        if run_ms * MIN_WAIT_GAIN < chosen_ms {
            let residence_ms = server.pace.expected_ms(now, profile, profile.mean_work());
            freed_per_ms += server.in_flight as f64 / residence_ms.max(0.01);
            least_ms = least_ms.min(run_ms);
        }
    }
    let wait_ms = (ahead + 1) as f64 / freed_per_ms;
    if (wait_ms + least_ms) * MIN_WAIT_GAIN < chosen_ms {
        Choice::Wait
    } else {
        Choice::Server(chosen)
    }
}
