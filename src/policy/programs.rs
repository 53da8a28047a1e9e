//! Programs with requests for one service, and admission control for them.
//!
//! If all programs of a burst started at once, their later turns and sub-agents would exceed the
//! capacity, all of them would be late and engines would evict prompts that are needed again. A new
//! program is therefore admitted only while the expected slot use of the admitted programs fits the
//! servers.

use super::dispatch::Request;
use super::fairness::{Fairness, Flow, Position};
use super::needs::{Need, Needs, Sample};
use super::priority::Priority;
use crate::id::Permit;
use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;
use tokio::time::Instant;

/// Expected slots in use by one program before any has ended.
const INITIAL_SLOTS_PER_PROGRAM: f64 = 0.8;
/// Limit of one sample, so that a program stuck in a loop does not distort the average.
const MAX_SLOTS_PER_PROGRAM: f64 = 4.0;
/// Assumed ratio of a program's target time to its time on idle servers. Operators set targets of
/// 1.3 to 1.6 times that time.
const TARGET_TO_IDLE_TIME_RATIO: f64 = 1.5;
/// Fraction of the capacity that may be reserved. Leaves headroom for turns that coincide, as full
/// engines are slower.
const MAX_RESERVED_SHARE: f64 = 0.65;
/// Weight of the newest program in the average slot use.
const EWMA_WEIGHT: f64 = 0.05;
/// Flows of waiting programs whose first program is tried when slots are released.
const MAX_FLOWS_TRIED: usize = 6;
/// A program without requests for this long counts as ended. Longer than a tool call with a pause
/// of the caller.
const IDLE_TIMEOUT: Duration = Duration::from_millis(2500);
/// How long an ended program is remembered.
const RETENTION: Duration = Duration::from_secs(30);
/// Longest time on idle servers that a flow is charged for a program that is admitted. Callers declare
/// the target, and a huge one must not put all programs of the class behind the others.
const MAX_CHARGED_MS: f64 = 60_000.0;
/// Cleared when full.
const MAX_PROGRAMS: usize = 50_000;

#[derive(Debug)]
struct Program {
    /// Start, in milliseconds of the dispatcher's clock.
    start_ms: i64,
    /// Deadline, on the same clock.
    deadline_ms: i64,
    rank: u8,
    /// Whether a request of it was granted.
    has_started: bool,
    /// Slots reserved for it; none if it is not admitted.
    reserved_slots: Option<f64>,
    /// Whether it has made no request for [`IDLE_TIMEOUT`] and its slot use was recorded.
    ended: bool,
    /// Whether its first request was seen here, so that its slot use is complete.
    seen_from_start: bool,
    /// Time that its requests spent at servers, in milliseconds.
    server_ms: f64,
    /// Queued and running requests.
    open_requests: u32,
    last_activity: Instant,
    /// Team and class; none if its requests carry no demand.
    flow: Option<Flow>,
    requests: u32,
    /// Time at servers that its flow was charged.
    charged_ms: Option<f64>,
    first_seen: Instant,
    last_ended: Option<Instant>,
}

/// The programs of one service.
#[derive(Debug, Default)]
pub(super) struct Programs {
    by_key: HashMap<u64, Program>,
    /// Sum of the slots reserved for admitted programs.
    reserved_slots: f64,
    /// Average slots in use by one program, by rank.
    slots_per_program: BTreeMap<u8, f64>,
    needs: Needs,
    pub(super) fairness: Fairness,
}

impl Programs {
    /// Records the arrival of a request at `now_ms`, and admits its program if it fits into
    /// `capacity` slots.
    pub(super) fn request_arrived(
        &mut self,
        now: Instant,
        now_ms: i64,
        request: &Request,
        capacity: f64,
    ) -> Priority {
        let deadline_ms = now_ms.saturating_add(request.left_ms);
        let Some(key) = request.program else {
            return Priority {
                start_ms: now_ms,
                deadline_ms,
                arrival_ms: now_ms,
                has_started: true,
                admitted: true,
                rank: request.rank,
                latest_start_ms: None,
            };
        };
        if self.by_key.len() >= MAX_PROGRAMS {
            self.by_key.clear();
            self.reserved_slots = 0.0;
        }
        // A program that is first seen after its first turn must not count as new. Half of its
        // remaining time is assumed to have passed before.
        let already_started = request.turns > 1;
        let assumed_elapsed_ms = if already_started {
            request.left_ms.max(0) / 2
        } else {
            0
        };
        let program = self.by_key.entry(key).or_insert_with(|| Program {
            start_ms: now_ms - assumed_elapsed_ms,
            deadline_ms,
            rank: request.rank,
            has_started: already_started,
            reserved_slots: None,
            ended: false,
            seen_from_start: !already_started,
            server_ms: 0.0,
            open_requests: 0,
            last_activity: now,
            flow: request.demand.as_ref().map(|demand| Flow {
                team: demand.team,
                class: demand.class,
            }),
            requests: 0,
            charged_ms: None,
            first_seen: now,
            last_ended: None,
        });
        program.requests += 1;
        if let (0, Some(flow), Some(at)) = (program.open_requests, program.flow, program.last_ended)
        {
            let pause = now.saturating_duration_since(at);
            self.needs.of(flow.class).record_pause(pause);
        }
        program.open_requests += 1;
        program.last_activity = now;
        program.ended = false;
        // The order of the flows only matters to programs that are not admitted yet.
        if program.reserved_slots.is_none()
            && program
                .flow
                .is_none_or(|flow| self.fairness.goes_first(flow))
        {
            self.try_admit(now_ms, key, capacity);
        }
        self.priority(now_ms, key, request)
    }

    /// Priority of a request that arrived at `arrival_ms`.
    pub(super) fn priority(&self, arrival_ms: i64, key: u64, request: &Request) -> Priority {
        let program = self.by_key.get(&key);
        Priority {
            start_ms: program.map_or(arrival_ms, |program| program.start_ms),
            deadline_ms: program.map_or(arrival_ms, |program| program.deadline_ms),
            arrival_ms,
            has_started: program.is_none_or(|program| program.has_started),
            admitted: program.is_none_or(|program| program.reserved_slots.is_some()),
            rank: request.rank,
            latest_start_ms: program.and_then(|program| {
                let need = self.needs.get(program.flow?.class)?;
                program.latest_start_ms(need)
            }),
        }
    }

    /// Admits a program if its expected slot use fits. Returns whether it is admitted.
    pub(super) fn try_admit(&mut self, now_ms: i64, key: u64, capacity: f64) -> bool {
        let Some(program) = self.by_key.get_mut(&key) else {
            return false;
        };
        if program.reserved_slots.is_some() {
            return true;
        }
        let need = program.flow.and_then(|flow| self.needs.get(flow.class));
        let learned = need.and_then(Need::slots);
        let of_rank = || self.slots_per_program.get(&program.rank).copied();
        let slots = learned
            .or_else(of_rank)
            .unwrap_or(INITIAL_SLOTS_PER_PROGRAM);
        let latest_start_ms = need.and_then(|need| program.latest_start_ms(need));
        if latest_start_ms.unwrap_or(program.deadline_ms) <= now_ms
            || self.reserved_slots + slots > capacity * MAX_RESERVED_SHARE
        {
            return false;
        }
        program.reserved_slots = Some(slots);
        self.reserved_slots += slots;
        if let (Some(flow), None) = (program.flow, program.charged_ms) {
            let ms = slots * program.idle_ms().min(MAX_CHARGED_MS);
            program.charged_ms = Some(ms);
            self.fairness.charge(flow, ms);
        }
        true
    }

    /// Whether slots are reserved for the program.
    pub(super) fn is_admitted(&self, key: u64) -> bool {
        let program = self.by_key.get(&key);
        program.is_some_and(|program| program.reserved_slots.is_some())
    }

    /// Whether the program has a flow, is not admitted, and none of its requests was granted.
    pub(super) fn awaits_admission(&self, key: u64) -> bool {
        self.by_key.get(&key).is_some_and(|program| {
            program.flow.is_some() && program.reserved_slots.is_none() && !program.has_started
        })
    }

    /// Notes that a request of the program was granted.
    pub(super) fn request_granted(&mut self, key: u64) {
        if let Some(program) = self.by_key.get_mut(&key) {
            program.has_started = true;
        }
    }

    /// Admits waiting programs that fit and can end in time, in the order of their shares. Returns their requests.
    pub(super) fn admit_waiting(
        &mut self,
        now_ms: i64,
        capacity: f64,
        program_of: impl Fn(Permit) -> Option<u64>,
    ) -> Vec<Permit> {
        // Sorting the flows is only worth its time if a program may fit.
        let fewest_slots = self.needs.fewest_slots().unwrap_or_default();
        if self.reserved_slots + fewest_slots > capacity * MAX_RESERVED_SHARE {
            return Vec::new();
        }
        let heads = self.fairness.heads().into_iter().take(MAX_FLOWS_TRIED);
        let programs = heads.filter_map(|(_, permit)| Some((permit, program_of(permit)?)));
        let programs: Vec<_> = programs.collect();
        programs
            .into_iter()
            .filter(|(_, program)| self.try_admit(now_ms, *program, capacity))
            .map(|(permit, _)| permit)
            .collect()
    }

    /// Flow and position of a request whose program has to wait until it is admitted.
    pub(super) fn place(&self, arrival_ms: i64, key: u64) -> Option<(Flow, Position)> {
        let program = self.by_key.get(&key)?;
        let waits = program.reserved_slots.is_none() && program.deadline_ms > arrival_ms;
        let position = Position {
            is_unstarted: !program.has_started,
            arrival_ms: Reverse(arrival_ms),
        };
        Some((program.flow.filter(|_| waits)?, position))
    }

    /// Ends a request that spent `took` at a server.
    pub(super) fn request_ended(&mut self, now: Instant, key: u64, took: Duration) {
        let Some(program) = self.by_key.get_mut(&key) else {
            return;
        };
        program.open_requests = program.open_requests.saturating_sub(1);
        program.last_activity = now;
        program.last_ended = Some(now);
        program.server_ms += took.as_secs_f64() * 1000.0;
    }

    /// Releases the slots reserved by ended or late programs without a demand, and forgets old programs.
    pub(super) fn sweep(&mut self, now: Instant, now_ms: i64) {
        self.release(now, now_ms, false);
        self.fairness.sweep();
        self.by_key.retain(|_, program| {
            // After a stall, reserved slots may not have been released yet.
            program.open_requests > 0
                || program.reserved_slots.is_some()
                || program.last_activity + RETENTION > now
        });
    }

    /// Releases the slots reserved by ended or late programs with a demand, or by those without one.
    pub(super) fn release(&mut self, now: Instant, now_ms: i64, with_demand: bool) {
        let programs = self.by_key.values_mut();
        for program in programs.filter(|program| program.flow.is_some() == with_demand) {
            let need = program.flow.map(|flow| self.needs.of(flow.class));
            let timeout = need.as_ref().and_then(|need| need.longest_pause());
            let timeout = timeout.map_or(IDLE_TIMEOUT, |pause| pause.min(IDLE_TIMEOUT));
            let idle = program.open_requests == 0 && program.last_activity + timeout <= now;
            if idle && !program.ended {
                program.ended = true;
                if let (Some(flow), Some(charged)) = (program.flow, program.charged_ms) {
                    self.fairness.correct(flow, program.server_ms - charged);
                    program.charged_ms = Some(program.server_ms);
                }
                if let (Some(need), Some(slots)) = (need, program.slots_used()) {
                    let took = program.last_activity.duration_since(program.first_seen);
                    need.record(Sample {
                        slots,
                        duration_ms: took.as_secs_f64() * 1000.0,
                        target_ms: (program.deadline_ms - program.start_ms) as f64,
                        requests: program.requests,
                    });
                } else if let Some(sample) = program.slots_used() {
                    let slots = self
                        .slots_per_program
                        .entry(program.rank)
                        .or_insert(INITIAL_SLOTS_PER_PROGRAM);
                    *slots += EWMA_WEIGHT * (sample - *slots);
                }
            }
            if idle || program.deadline_ms <= now_ms {
                self.reserved_slots -= program.reserved_slots.take().unwrap_or_default();
            }
        }
    }

    /// Average slots in use by one program, by rank.
    pub(super) const fn slots_per_program(&self) -> &BTreeMap<u8, f64> {
        &self.slots_per_program
    }

    /// Slots reserved for admitted programs.
    pub(super) const fn reserved_slots(&self) -> f64 {
        self.reserved_slots
    }

    /// Number of programs that wait to be admitted in the order of shares, and of their classes and teams.
    pub(super) fn waiting(&self) -> (usize, usize) {
        self.fairness.waiting()
    }

    /// Slots of one program by class, of the classes that are known.
    pub(super) fn slots_by_class(&self) -> impl Iterator<Item = (u64, f64)> {
        self.needs.slots()
    }

    /// Number of known programs, and of admitted ones.
    pub(super) fn counts(&self) -> (usize, usize) {
        let admitted = self
            .by_key
            .values()
            .filter(|program| program.reserved_slots.is_some());
        (self.by_key.len(), admitted.count())
    }
}

impl Program {
    /// Assumed time on idle servers.
    fn idle_ms(&self) -> f64 {
        (self.deadline_ms - self.start_ms).max(1) as f64 / TARGET_TO_IDLE_TIME_RATIO
    }

    /// When the request at hand has to start so that the program can end by its deadline.
    fn latest_start_ms(&self, need: &Need) -> Option<i64> {
        let target_ms = (self.deadline_ms - self.start_ms).max(1) as f64;
        let remaining = need.remaining(target_ms, self.requests)?;
        Some(self.deadline_ms - i64::try_from(remaining.as_millis()).ok()?)
    }

    /// Average slots that it used; none if only a part of it was seen.
    fn slots_used(&self) -> Option<f64> {
        let idle_time_ms = self.idle_ms();
        let is_complete = self.seen_from_start && self.server_ms > 0.0;
        is_complete.then(|| (self.server_ms / idle_time_ms).min(MAX_SLOTS_PER_PROGRAM))
    }
}
