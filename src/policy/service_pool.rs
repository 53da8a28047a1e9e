//! The servers and the queue of one service.

use super::candidates::Candidates;
use super::dispatch::{Description, PaceStats, Request, Stats};
use super::fairness::{Flow, Position};
use super::grant_rate::GrantRate;
use super::memory::Need;
use super::pace::Profile;
use super::priority::Priority;
use super::programs::Programs;
use super::queue::{Band, Prioritized, Queue};
use super::window::{Choice, Query, Server, choose, choose_by_time};
use crate::id::Permit;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Queued requests considered per attempt to grant.
pub(super) const MAX_SCANNED: usize = 32;
/// Bounds of the Retry-After of a refused request.
const RETRY_AFTER_BOUNDS: (Duration, Duration) =
    (Duration::from_millis(300), Duration::from_secs(2));

#[derive(Debug)]
pub(super) struct QueuedRequest {
    pub(super) request: Request,
    pub(super) priority: Priority,
    /// Its place among the waiting programs; none if its program does not wait to be admitted.
    pub(super) place: Option<(Flow, Position)>,
}

impl QueuedRequest {
    pub(super) fn late_wait_expired(&self, now_ms: i64) -> bool {
        let max_wait_ms =
            i64::try_from(self.request.max_late_wait().as_millis()).unwrap_or(i64::MAX);
        self.priority.arrival_ms + max_wait_ms < now_ms
    }
}

impl Prioritized for QueuedRequest {
    const LATE_GRANT_INTERVAL: u64 = Priority::LATE_GRANT_INTERVAL;

    fn band(&self, now_ms: i64) -> (Band, i64) {
        self.priority.band(now_ms)
    }

    fn sort_key(&self, band: Band) -> i64 {
        self.priority.sort_key(band)
    }
}

/// The servers and the queue of one service.
#[derive(Debug, Default)]
pub(super) struct ServicePool {
    pub(super) servers: Vec<Server>,
    pub(super) candidates: Candidates,
    pub(super) queue: Queue<QueuedRequest>,
    pub(super) grant_rate: GrantRate,
    /// Grants to requests of late or not admitted programs.
    pub(super) late_grant_rate: GrantRate,
    pub(super) programs: Programs,
    /// Moving average of the latency per unit of work, in milliseconds; none before the first
    /// response.
    pub(super) mean_ms_per_work: Option<f64>,
    /// Expected time of requests; used only if servers report the pace of their hosts.
    pub(super) profile: Profile,
    /// Requests that were left waiting for another server although one had room.
    pub(super) waits_for_pace: u64,
    /// Requests that were queued since they fit into the memory of no engine with room.
    pub(super) waits_for_memory: u64,
}

impl ServicePool {
    /// Replaces the set of servers. In-flight requests of removed servers continue.
    pub(super) fn set_servers(&mut self, mut infos: HashMap<Arc<str>, Description>) {
        self.servers.retain_mut(|server| {
            let Some(info) = infos.remove(&server.info.id) else {
                return false;
            };
            server.info = info;
            true
        });
        self.servers.extend(infos.into_values().map(Server::new));
        let servers = self.servers.iter().map(|server| &server.info);
        self.candidates
            .configure(servers.map(|info| (&info.id, &info.zone)));
    }

    /// Adds or updates a server. One whose zone has changed is added as a new one.
    pub(super) fn update_server(&mut self, info: Description) {
        let known = self.candidates.index_of(&info.id);
        if let Some(index) = known.filter(|index| self.servers[*index].info.zone == info.zone) {
            self.servers[index].info = info;
            return;
        }
        self.remove_server(&info.id);
        self.candidates.add(&info.id, &info.zone);
        self.servers.push(Server::new(info));
    }

    /// Removes a server. Its in-flight requests continue.
    pub(super) fn remove_server(&mut self, id: &str) {
        let Some(index) = self.candidates.index_of(id) else {
            return;
        };
        let (removed, last) = (&self.servers[index].info, self.servers.last());
        if let Some(Server { info, .. }) = last {
            let removed_key = (&*removed.id, &*removed.zone);
            self.candidates.remove(removed_key, (&info.id, &info.zone));
        }
        self.servers.swap_remove(index);
    }

    /// Whether any server that the request may be sent to takes new ones.
    pub(super) fn has_server_for(&self, request: &Request) -> bool {
        let mut servers = self.servers.iter();
        servers.any(|server| !server.info.draining && request.accepts_server(&server.info))
    }

    /// Queued requests that wait for certain servers of which none is left.
    pub(super) fn stranded(&self) -> Vec<Permit> {
        self.queue.matching(|queued| {
            let request = &queued.request;
            let is_bound = request.version.is_some() || !request.only.is_empty();
            is_bound && !self.has_server_for(request)
        })
    }

    /// The best server with room for a request. Falls back to all servers if no candidate has room.
    ///
    /// `ahead` requests wait for a server without room although others have some.
    pub(super) fn choose(&self, query: &Query<'_>, ahead: usize) -> Choice {
        let (now, request) = (query.now, query.request);
        let mut candidates = self
            .candidates
            .select(query.permit, request, query.session_server);
        let accepts = |index: &usize| request.accepts_server(&self.servers[*index].info);
        let is_subset = candidates.len() < self.servers.len();
        let servers = &self.servers;
        let need = Need::of(request, &self.profile.outputs);
        let choose = |candidates: Vec<usize>| {
            if self.profile.is_on(now) {
                return choose_by_time(servers, &candidates, query, &self.profile, &need, ahead);
            }
            let is_checked = self.profile.has_reports(now);
            let fits = |index: &usize| !is_checked || servers[*index].fits(request, &need);
            let chosen = choose(servers, candidates.iter().copied().filter(fits), query);
            let has_room = |index: &usize| servers[*index].has_room(now, query.band);
            match chosen {
                Some(index) => Choice::Server(index),
                None if is_checked && candidates.iter().any(has_room) => Choice::NoMemory,
                None => Choice::Full,
            }
        };
        candidates.retain(accepts);
        match choose(candidates) {
            Choice::Full | Choice::NoMemory if is_subset => {
                choose((0..servers.len()).filter(accepts).collect())
            }
            chosen => chosen,
        }
    }

    /// Whether a request needs more memory than any server of the service has, even if it generates a single token.
    /// The expected output does not count: it is an estimate, and the refusal is final.
    pub(super) fn is_too_large(&self, now: Instant, request: &Request) -> bool {
        if request.demand.is_none() {
            return false;
        }
        let need = Need::of(request, &self.profile.outputs);
        let largest = self.servers.iter().map(|server| server.info.cache_tokens);
        self.profile.has_reports(now)
            && self.servers.iter().all(Server::has_memory)
            && need.prompt + 1.0 > largest.max().unwrap_or_default() as f64
    }

    /// Slots of usable servers, without those taken by other senders.
    pub(super) fn capacity(&self, now: Instant) -> f64 {
        let usable = self.servers.iter().filter(|server| server.is_usable(now));
        let slots = usable.map(|server| server.info.slots as f64 - server.external_load.max(0.0));
        slots.map(|slots| slots.max(0.0)).sum()
    }

    pub(super) fn queue_stats<'a>(&'a self, now: Instant, service: &'a str) -> Stats<'a> {
        let [on_time, late, overdue] = self.queue.band_lens();
        Stats {
            service,
            on_time,
            late,
            overdue,
            running: self.servers.iter().map(|server| server.in_flight).sum(),
            usable_slots: self.capacity(now),
            grants_per_second: self.grant_rate.per_second(now).unwrap_or_default(),
            admitted_programs: self.programs.counts().1,
            reserved_slots: self.programs.reserved_slots(),
            waiting_programs: self.programs.waiting().0,
            waiting_flows: self.programs.waiting().1,
            slots_per_program: self.programs.slots_per_program(),
        }
    }

    pub(super) fn pace_stats<'a>(&self, now: Instant, service: &'a str) -> PaceStats<'a> {
        let servers = self.servers.iter();
        let slow = servers
            .clone()
            .filter(|server| self.profile.is_slow(now, &server.pace));
        let engines = servers.clone().filter(|server| server.has_memory());
        let fullest =
            engines.map(|server| server.expected_memory() / server.info.cache_tokens as f64);
        let distrusted = servers.filter(|server| server.pace.is_distrusted());
        PaceStats {
            service,
            servers: self.servers.len(),
            slow: slow.count(),
            distrusted: distrusted.count(),
            mean_pace: self.profile.mean_pace(),
            waits: self.waits_for_pace,
            fullest_memory: fullest.fold(0.0, f64::max),
            memory_waits: self.waits_for_memory,
        }
    }

    /// Retry-After of a request whose expected queue time exceeds its maximum wait; none if it may
    /// wait.
    pub(super) fn overload_retry_after(
        &self,
        now: Instant,
        band: Band,
        request: &Request,
    ) -> Option<Duration> {
        let (rate, queued_ahead, max_wait) = match band {
            Band::OnTime => (
                &self.grant_rate,
                self.queue.queued_ahead(band),
                request.max_wait(),
            ),
            Band::Late | Band::Backfill => {
                let queued_ahead =
                    self.queue.queued_ahead(band) - self.queue.queued_ahead(Band::OnTime);
                (&self.late_grant_rate, queued_ahead, request.max_late_wait())
            }
        };
        let wait = Duration::from_secs_f64(rate.wait_ms(now, queued_ahead) / 1000.0);
        let (min, max) = RETRY_AFTER_BOUNDS;
        (wait > max_wait).then(|| wait.clamp(min, max))
    }

    /// Ends a request that spent `took` at a server.
    pub(super) fn request_ended(&mut self, now: Instant, program: Option<u64>, took: Duration) {
        if let Some(program) = program {
            self.programs.request_ended(now, program, took);
        }
    }

    /// Releases the slots reserved by ended or late programs, and admits queued programs that fit.
    pub(super) fn sweep(&mut self, now: Instant, now_ms: i64) {
        self.programs.sweep(now, now_ms);
        let capacity = self.capacity(now);
        for permit in self.queue.most_urgent(now_ms, MAX_SCANNED) {
            let Some((
                QueuedRequest {
                    request,
                    priority,
                    place,
                },
                Band::Late,
            )) = self.queue.get(permit)
            else {
                continue;
            };
            let Some(program) = request.program else {
                continue;
            };
            // Admitted in the order of the shares, see `admit_waiting`. That moves one request of the
            // program; the others follow here.
            if place.is_some() && !self.programs.is_admitted(program) {
                continue;
            }
            if priority.admitted || !self.programs.try_admit(now_ms, program, capacity) {
                continue;
            }
            self.reprioritize(now_ms, permit);
        }
    }

    /// Moves a queued request to its place after its program was admitted.
    fn reprioritize(&mut self, now_ms: i64, permit: Permit) {
        if let Some(mut queued) = self.dequeue(permit)
            && let Some(program) = queued.request.program
        {
            let arrival_ms = queued.priority.arrival_ms;
            queued.priority = self.programs.priority(arrival_ms, program, &queued.request);
            self.enqueue(now_ms, permit, queued);
        }
    }

    /// Whether a request has to wait until its program is admitted: the program has not begun, and starting it would
    /// take slots that admitted programs use up.
    pub(super) fn must_hold(&self, now: Instant, request: &Request) -> bool {
        // The program may have begun, or been admitted, since the request was queued.
        let is_held = |program| self.programs.awaits_admission(program);
        if request.demand.is_none() || !request.program.is_some_and(is_held) {
            return false;
        }
        // Runs on draining or ejected servers take no slots of the capacity.
        let usable = self.servers.iter().filter(|server| server.is_usable(now));
        let in_flight: usize = usable.map(|server| server.in_flight).sum();
        in_flight as f64 >= self.capacity(now)
    }

    /// Queues a request.
    pub(super) fn enqueue(&mut self, now_ms: i64, permit: Permit, mut queued: QueuedRequest) {
        let program = queued.request.program;
        queued.place = program.and_then(|key| self.programs.place(queued.priority.arrival_ms, key));
        if let Some((flow, position)) = queued.place {
            self.programs.fairness.push(flow, position, permit);
        }
        self.queue.push(now_ms, permit, queued);
    }

    /// Takes a request out of the queue.
    pub(super) fn dequeue(&mut self, permit: Permit) -> Option<QueuedRequest> {
        let queued = self.queue.remove(permit)?;
        if let Some((flow, position)) = queued.place {
            self.programs.fairness.remove(flow, position, permit);
        }
        Some(queued)
    }

    /// Admits waiting programs that fit, in the order of their shares.
    pub(super) fn admit_waiting(&mut self, now: Instant, now_ms: i64) {
        if self.programs.fairness.is_empty() {
            return;
        }
        let capacity = self.capacity(now);
        let queue = &self.queue;
        let admitted = self.programs.admit_waiting(now_ms, capacity, |permit| {
            queue
                .get(permit)
                .and_then(|(queued, _)| queued.request.program)
        });
        for permit in admitted {
            self.reprioritize(now_ms, permit);
        }
    }
}
