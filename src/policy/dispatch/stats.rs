//! State of the dispatcher, for logs and operators.

use super::Dispatcher;
use crate::policy::load_share::LoadShare;
use std::collections::BTreeMap;
use tokio::time::Instant;

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

impl Dispatcher {
    /// Load of the services that have queued requests.
    pub fn queue_stats(&self, now: Instant) -> impl Iterator<Item = Stats<'_>> {
        let pools = self.pools.iter();
        let with_queue = pools.filter(|(_, pool)| !pool.queue.is_empty());
        with_queue.map(move |(service, pool)| pool.queue_stats(now, service))
    }

    /// Pace of the hosts of the services whose servers report it.
    pub fn pace_stats(&self, now: Instant) -> impl Iterator<Item = PaceStats<'_>> {
        let pools = self.pools.iter();
        let reporting = pools.filter(move |(_, pool)| pool.profile.is_on(now));
        reporting.map(move |(service, pool)| pool.pace_stats(now, service))
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
