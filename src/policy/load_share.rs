//! Choice between the servers of a service without an engine, by load reports of all VMs.
//!
//! The servers share hosts with other work: at any time some are 2.5 times slower, and which ones
//! changes every 0.6 s. One VM sends too few requests to a server to notice that in time, so the VMs
//! exchange the loads that servers report with their answers. A choice compares two servers drawn at
//! random, so that VMs with the same reports do not all choose the same server (power of two
//! choices), with those that the VM has a connection to, as new connections are expensive.

use super::affinity;
use super::dispatch::{HostPace, Load};
use super::pace::REPORT_LIFETIME;
use super::service_pool::ServicePool;
use super::window::{CROSS_ZONE_COST, OPEN_CONNECTION_BONUS, Query, Server};
use crate::id::Permit;
use serde::{Deserialize, Serialize};
use std::collections::{HashMap, HashSet, VecDeque};
use std::time::Duration;
use tokio::time::Instant;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Age from which a report is not used.
pub const MAX_REPORT_AGE: Duration = REPORT_LIFETIME;
/// Shortest interval between two exchanges.
const MIN_INTERVAL: Duration = Duration::from_millis(100);
/// Most datagrams a second that the VM which collects the reports of a service receives, and most
/// that it sends.
const MAX_DATAGRAMS_PER_SECOND: usize = 600;
/// Reports in one datagram, at about 17 bytes each and at most 19.
pub const MAX_REPORTS_PER_DATAGRAM: usize = 55;
/// Weight of a fresh reported load against the average that this dispatcher learns. With full weight,
/// all VMs would choose the server that was idle at the last report: on the replay more calls queued
/// at servers than without reports.
const REPORTED_LOAD_WEIGHT: f64 = 0.3;
/// Learned slowdown from which a report of a usual pace is not believed. Below it, the slowdown
/// mostly shows what kinds of requests the server happened to get.
const TRUSTED_SLOWDOWN: f64 = 1.8;
/// Weight of the newest report in the mean pace of the service.
const MEAN_WEIGHT: f64 = 0.02;
/// A server is not drawn while its pace is expected to be above this multiple of the mean, unless few
/// others are left. Reports of pace, other than those of load, do not make all VMs choose the same
/// servers, so they may exclude servers.
const SLOW_RATIO: f64 = 1.4;
/// Bounds of the usual time of a request, which is the time in which a reported load changes.
const USUAL_MS_BOUNDS: (f64, f64) = (5.0, 600.0);
/// Bounds of a reported pace, against servers that report wrong figures. Hosts are hardly faster than
/// usual, so a low pace is not to attract requests.
const PACE_BOUNDS: (u32, u32) = (80, 1000);
/// Pace that stands for a server at which a request has failed. A server that resets its connections
/// reports nothing, and each VM would have to fail there once before it avoids the server; the next
/// answer to any VM replaces the report.
const FAILED_PACE: HostPace = HostPace(PACE_BOUNDS.1);
/// Bound of a reported load, so that reports fit into their datagram.
const MAX_REPORTED_LOAD: u32 = 65_535;
/// Sends remembered for each server.
const MAX_REMEMBERED_SENDS: usize = 64;

/// What a server reported to some VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Hash of the server's identity.
    pub server: u64,
    /// Requests that it ran and queued.
    pub load: u32,
    /// Momentary pace of its host.
    pub pace: HostPace,
    /// Age of the report, in milliseconds.
    pub age_ms: u32,
}

fn server_hash(id: &str) -> u64 {
    xxh3_64(id.as_bytes())
}

/// Interval of the exchange with this many VMs and servers, which bounds the datagrams at the VM
/// that collects the reports; `None` if reports would be too old to be of use.
///
/// ```
/// use std::time::Duration;
/// use vanillatrail::policy::load_share::exchange_interval;
/// assert_eq!(exchange_interval(12, 18), Some(Duration::from_millis(100)));
/// assert_eq!(exchange_interval(90, 28), Some(Duration::from_millis(150)));
/// assert_eq!(exchange_interval(400, 28), None);
/// ```
#[must_use]
pub fn exchange_interval(vms: usize, servers: usize) -> Option<Duration> {
    // Each VM sends its reports and gets a digest in each interval.
    let datagrams = vms * servers.div_ceil(MAX_REPORTS_PER_DATAGRAM);
    let seconds = datagrams as f64 / MAX_DATAGRAMS_PER_SECOND as f64;
    let interval = MIN_INTERVAL.max(Duration::from_secs_f64(seconds));
    (interval <= MAX_REPORT_AGE).then_some(interval)
}

/// The newest report of one server, and what this VM did there.
#[derive(Debug, Default)]
struct Known {
    /// Time and content of the newest report.
    report: Option<(Instant, u32, HostPace)>,
    /// Whether the report came from an answer to this VM and has not been sent to others.
    unsent: bool,
    /// When this VM sent requests there, the newest at the back.
    sends: VecDeque<Instant>,
}

/// Requests placed by load reports, since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Sent to a server to which this VM probably had an open connection.
    pub open: u64,
    /// Sent to another one, since those were slow or loaded.
    pub new: u64,
}

/// Load reports of the servers of one service.
#[derive(Debug, Default)]
pub(super) struct LoadShare {
    known: HashMap<u64, Known>,
    /// Moving average of the reported paces, as a factor.
    mean_pace: f64,
    /// Time of the newest report.
    newest: Option<Instant>,
    /// Whether this VM has placed requests since [`LoadShare::take_reports`].
    used: bool,
    pub(super) by_load: Counts,
    pub(super) by_object: affinity::Counts,
}

impl LoadShare {
    /// Forgets servers that are not among these.
    pub(super) fn retain_servers(&mut self, pool: &ServicePool) {
        let servers = pool.servers.iter();
        let servers: HashSet<u64> = servers.map(|server| server_hash(&server.info.id)).collect();
        self.known.retain(|server, _| servers.contains(server));
    }

    /// Forgets a server.
    pub(super) fn forget_server(&mut self, id: &str) {
        self.known.remove(&server_hash(id));
    }

    /// Records that a request of this VM failed at a server.
    pub(super) fn record_failure(&mut self, now: Instant, server: &str) {
        if !self.is_active(now) {
            return;
        }
        let known = self.known.entry(server_hash(server)).or_default();
        known.report = Some((now, 0, FAILED_PACE));
        known.unsent = true;
    }

    /// Records a load that came with an answer to this VM.
    pub(super) fn record_answer(&mut self, now: Instant, server: &str, load: Load) {
        let Some(pace) = load.host_pace else {
            return;
        };
        let requests = load.running.saturating_add(load.waiting);
        let requests = u32::try_from(requests).map_or(MAX_REPORTED_LOAD, |requests| {
            requests.min(MAX_REPORTED_LOAD)
        });
        let known = self.known.entry(server_hash(server)).or_default();
        known.report = Some((now, requests, clamped(pace)));
        known.unsent = true;
        self.add_to_mean(clamped(pace));
        self.newest = Some(now);
    }

    /// Records that this VM sends a request to the server.
    pub(super) fn record_send(&mut self, now: Instant, server: &str) {
        self.used = true;
        let sends = &mut self.known.entry(server_hash(server)).or_default().sends;
        while sends.len() >= MAX_REMEMBERED_SENDS
            || sends.front().is_some_and(|at| *at + MAX_REPORT_AGE <= now)
        {
            sends.pop_front();
        }
        sends.push_back(now);
    }

    /// Merges reports of other VMs, of which the newest counts for each server. Servers that are not
    /// in the pool are ignored.
    pub(super) fn merge(&mut self, now: Instant, reports: &[Report], pool: &ServicePool) {
        let servers = pool.servers.iter();
        let servers: HashSet<u64> = servers.map(|server| server_hash(&server.info.id)).collect();
        for report in reports {
            let age = Duration::from_millis(report.age_ms.into());
            let Some(at) = now.checked_sub(age).filter(|_| age < MAX_REPORT_AGE) else {
                continue;
            };
            if !servers.contains(&report.server) {
                continue;
            }
            let known = self.known.entry(report.server).or_default();
            if known.report.is_none_or(|(known_at, ..)| known_at < at) {
                known.report = Some((at, report.load, clamped(report.pace)));
                known.unsent = false;
                if report.pace < FAILED_PACE {
                    self.add_to_mean(clamped(report.pace));
                }
                self.newest = self.newest.max(Some(at));
            }
        }
    }

    /// Reports that came with answers to this VM since the previous call; `None` if this VM did not
    /// use the service since, or its servers do not report the pace of their hosts.
    pub(super) fn take_reports(&mut self, now: Instant) -> Option<Vec<Report>> {
        let reports: Vec<Report> = self
            .known
            .iter_mut()
            .filter_map(|(server, known)| {
                let unsent = std::mem::take(&mut known.unsent);
                unsent.then(|| known.fresh_report(now, *server))?
            })
            .collect();
        let used = std::mem::take(&mut self.used) && self.newest.is_some();
        (used || !reports.is_empty()).then_some(reports)
    }

    /// The newest report of each server, without those that are too old.
    pub(super) fn digest(&self, now: Instant) -> Vec<Report> {
        let reports = self.known.iter();
        reports
            .filter_map(|(server, known)| known.fresh_report(now, *server))
            .collect()
    }

    /// Whether any report is fresh enough to choose by.
    fn is_active(&self, now: Instant) -> bool {
        self.newest.is_some_and(|at| at + MAX_REPORT_AGE > now)
    }

    fn add_to_mean(&mut self, pace: HostPace) {
        let pace = pace.factor();
        if self.newest.is_none() {
            self.mean_pace = pace;
        }
        self.mean_pace += MEAN_WEIGHT * (pace - self.mean_pace);
    }

    /// What is expected of a server now. A report of the pace loses its weight with its age, in favour
    /// of the mean; one of the load within about the time of a request, in which the load changes.
    fn estimate(&self, now: Instant, server: &Server, usual_ms: f64) -> Estimate {
        let known = self.known.get(&server_hash(&server.info.id));
        let report = known.and_then(|known| Some((known, known.report?)));
        let (pace, load) = report.map_or(
            (self.mean_pace, server.load()),
            |(known, (at, load, pace))| {
                let age = now.saturating_duration_since(at).as_secs_f64();
                let pace_weight = (1.0 - age / MAX_REPORT_AGE.as_secs_f64()).max(0.0);
                let load_weight = REPORTED_LOAD_WEIGHT * (-age * 1000.0 / usual_ms).exp();
                let sent_since = known.sends.iter().rev().take_while(|sent| **sent > at);
                let load = f64::from(load) + sent_since.count() as f64;
                let load = load.max(server.in_flight as f64);
                (
                    self.mean_pace + pace_weight * (pace.factor() - self.mean_pace),
                    server.load() + load_weight * (load - server.load()),
                )
            },
        );
        // Not part of the pace: a server that is left out for it could not show that it recovered.
        let is_doubtful = server.slowdown > TRUSTED_SLOWDOWN;
        let factor = if is_doubtful {
            pace.max(server.slowdown)
        } else {
            pace
        };
        let utilization = (load + 0.5) / server.info.slots.max(1) as f64;
        Estimate {
            pace,
            cost: factor * utilization,
        }
    }

    /// Whether a server is expected to be slow, or reports a pace that its answers contradict.
    fn is_slow(&self, server: &Server, estimate: &Estimate) -> bool {
        estimate.pace > self.mean_pace * SLOW_RATIO || server.pace.is_distrusted()
    }

    /// Whether the server answered some VM a moment ago, which shows that it has recovered from an earlier failure.
    fn has_fresh_report(&self, now: Instant, server: &Server) -> bool {
        let hash = server_hash(&server.info.id);
        let known = self.known.get(&hash);
        let report = known.and_then(|known| known.fresh_report(now, hash));
        server.is_usable(now) && report.is_some_and(|report| report.pace < FAILED_PACE)
    }

    /// Index of the server for a request, by its object if it has one, otherwise by load reports; `None` without
    /// fresh reports, or if no server has room.
    ///
    /// Objects too are followed only with fresh reports: without them, VMs do not learn of each other's failures at a
    /// server, and a request that must not be repeated would fail there from each VM.
    pub(super) fn choose(&mut self, query: &Query<'_>, pool: &ServicePool) -> Option<usize> {
        if !self.is_active(query.now) {
            return None;
        }
        let usual_ms = pool.mean_ms_per_work.unwrap_or(USUAL_MS_BOUNDS.0);
        let usual_ms = usual_ms.clamp(USUAL_MS_BOUNDS.0, USUAL_MS_BOUNDS.1);
        if let Some(object) = query.request.object
            && let Some(choice) = self.choose_by_object(query, object, pool, usual_ms)
        {
            self.by_object.record(choice);
            return Some(choice.index);
        }
        self.choose_by_load(query, pool, usual_ms)
    }

    /// The server for an object; `None` if no server accepts the request. Slow servers are passed over: at 2.5 times
    /// the usual time, knowing the object does not make up for it.
    fn choose_by_object(
        &self,
        query: &Query<'_>,
        object: u64,
        pool: &ServicePool,
        usual_ms: f64,
    ) -> Option<affinity::Choice> {
        let usable = pool.servers.iter().enumerate();
        let usable = usable.filter(|(_, server)| {
            server.accepts(query.now, query.permit) && query.request.accepts_server(&server.info)
        });
        let (indices, candidates): (Vec<usize>, Vec<affinity::Candidate<'_>>) = usable
            .map(|(index, server)| {
                let candidate = affinity::Candidate {
                    id: &server.info.id,
                    load: server.load(),
                    has_room: server.has_room(query.now, query.band)
                        && !query.request.avoid.contains(&server.info.id)
                        && !self.is_slow(server, &self.estimate(query.now, server, usual_ms)),
                };
                (index, candidate)
            })
            .unzip();
        let choice = affinity::choose(object, &candidates)?;
        Some(affinity::Choice {
            index: indices[choice.index],
            ..choice
        })
    }

    fn choose_by_load(
        &mut self,
        query: &Query<'_>,
        pool: &ServicePool,
        usual_ms: f64,
    ) -> Option<usize> {
        let Query {
            now,
            permit,
            request,
            band,
            ..
        } = *query;
        let servers = &pool.servers;
        let usable = pool.candidates.select(permit, request, None).into_iter();
        let usable = usable.filter(|index| {
            let server = &servers[*index];
            server.has_room(now, band)
                && (server.accepts(now, permit) || self.has_fresh_report(now, server))
                && !request.avoid.contains(&server.info.id)
                && request.accepts_server(&server.info)
        });
        let usable = usable.map(|index| {
            let server = &servers[index];
            let estimate = self.estimate(now, server, usual_ms);
            let is_open = server.has_open_connection(now, request.vm);
            let is_near = server.info.zone == request.zone;
            let zone_cost = if is_near { 0.0 } else { CROSS_ZONE_COST };
            // The bonus of the window, as a cost of the others: costs of candidates are only compared.
            let connection_cost = if is_open { 0.0 } else { OPEN_CONNECTION_BONUS };
            Candidate {
                index,
                is_open,
                is_slow: self.is_slow(server, &estimate),
                cost: estimate.cost + zone_cost + connection_cost,
            }
        });
        let mut usable: Vec<Candidate> = usable.collect();
        if usable.iter().filter(|server| !server.is_slow).count() >= 2 {
            usable.retain(|server| !server.is_slow);
        }
        let drawn = draw_two(permit, request.vm, usable.len())?;
        let drawn = drawn.map(|index| usable[index]);
        let open = usable.iter().filter(|server| server.is_open);
        let best = drawn.iter().chain(open);
        let best = best.min_by(|a, b| a.cost.total_cmp(&b.cost))?;
        if best.is_open {
            self.by_load.open += 1;
        } else {
            self.by_load.new += 1;
        }
        Some(best.index)
    }

    /// Known servers and state of the exchange, for operators.
    pub(super) fn state(&self) -> serde_json::Value {
        let reports = self.known.values().filter(|known| known.report.is_some());
        serde_json::json!({
            "reported_servers": reports.count(),
            "newest_report_ms": self.newest.map(|at| at.elapsed().as_millis()),
            "mean_pace": self.mean_pace,
            "by_load": self.by_load,
            "by_object": self.by_object,
        })
    }
}

impl Known {
    fn fresh_report(&self, now: Instant, server: u64) -> Option<Report> {
        let (at, load, pace) = self.report?;
        let age = now.saturating_duration_since(at);
        (age < MAX_REPORT_AGE).then(|| Report {
            server,
            load,
            pace,
            age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
        })
    }
}

fn clamped(pace: HostPace) -> HostPace {
    HostPace(pace.0.clamp(PACE_BOUNDS.0, PACE_BOUNDS.1))
}

/// Two of `count` servers at random, different if there are two; `None` without a server. Seeded by
/// the request, so that a replay repeats.
fn draw_two(permit: Permit, vm: u64, count: usize) -> Option<[usize; 2]> {
    let draw = |seed: u64, below: usize| {
        let draw = xxh3_64_with_seed(&vm.to_le_bytes(), seed) % below.max(1) as u64;
        usize::try_from(draw).unwrap_or(0)
    };
    let seed = permit.0.wrapping_mul(2);
    let first = draw(seed, count);
    let second = first + 1 + draw(seed.wrapping_add(1), count.saturating_sub(1));
    (count > 0).then(|| [first, second % count])
}

/// What is expected of a server now.
struct Estimate {
    /// Factor on the usual time, by the pace of its host.
    pace: f64,
    /// Utilization after one more request, multiplied by the pace: the unit in which the window
    /// compares servers.
    cost: f64,
}

/// A server that may be chosen.
#[derive(Debug, Clone, Copy)]
struct Candidate {
    index: usize,
    /// Whether this VM probably has an open connection to it.
    is_open: bool,
    /// Whether its host is known to be slow.
    is_slow: bool,
    /// Cost of the server with the prices of zone and connection.
    cost: f64,
}
