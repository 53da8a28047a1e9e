//! The programs whose requests ask for the servers of one service, and which of them count on
//! ending in time.
//!
//! Load it answers: a burst of programs of many turns. The first turns of all of them find room,
//! and then their later turns and sub-agents need more than there is: every program is late, and
//! engines read prompts again that they dropped meanwhile. So a new program is admitted only while
//! the places that programs need at a time fit into the servers; the rest wait behind those that
//! were admitted, and cost nothing meanwhile.

use super::dispatch::Ask;
use super::standing::Standing;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;
use tokio::time::Instant;

/// Places that a program needs at a time, before any has been seen to end.
const NEED: f64 = 0.8;
/// The most that one program is taken to need, so that one that loops does not decide.
const MOST_NEED: f64 = 4.0;
/// How many times as long as on idle servers a program may take to its target, as the users' targets
/// are set: 1.3 to 1.6 times.
const STRETCH: f64 = 1.5;
/// The part of the places that programs may need. Their turns come when they come, and engines slow
/// down when they are full.
const FIT: f64 = 0.65;
/// Weight of the newest program in what is learned.
const NEWEST: f64 = 0.05;
/// How long a program makes no request before it counts as ended: tools take up to 1.5 s and
/// callers pause for up to 0.6 s between two turns.
const IDLE: Duration = Duration::from_millis(2500);
/// How long a program is remembered.
const REMEMBERED: Duration = Duration::from_secs(30);
/// Programs that are remembered.
const PROGRAMS: usize = 50_000;

/// One program.
#[derive(Debug)]
struct Program {
    /// When it began, in milliseconds of the queue's clock.
    begun: i64,
    /// When it should be finished.
    finish: i64,
    rank: u8,
    /// Whether a request of it was granted.
    started: bool,
    /// The places that are set aside for it, if it was admitted.
    admitted: Option<f64>,
    /// Whether it made no request for [`IDLE`], and was learned from.
    ended: bool,
    /// Whether it was seen from its first request on.
    whole: bool,
    /// Time that its requests spent at servers, in milliseconds.
    used_ms: f64,
    /// Requests that wait or run.
    open: u32,
    seen: Instant,
}

/// All programs of one service.
#[derive(Debug, Default)]
pub(super) struct Programs {
    known: HashMap<u64, Program>,
    /// Places that are set aside.
    admitted: f64,
    /// Places that a program needs at a time, by rank.
    needs: BTreeMap<u8, f64>,
}

impl Programs {
    /// A request came at `clock`, in milliseconds; `capacity` is the number of places.
    pub(super) fn arrive(
        &mut self,
        now: Instant,
        clock: i64,
        ask: &Ask,
        capacity: f64,
    ) -> Standing {
        let finish = clock.saturating_add(ask.left_ms);
        let Some(key) = ask.program else {
            return Standing {
                begun: clock,
                finish,
                asked: clock,
                started: true,
                admitted: true,
                rank: ask.rank,
            };
        };
        if self.known.len() >= PROGRAMS {
            self.known.clear();
            self.admitted = 0.0;
        }
        // One that began before it was known here has used a part of its time that can only be
        // guessed; it must not count as new.
        let met = ask.turns > 1;
        let before = if met { ask.left_ms.max(0) / 2 } else { 0 };
        let program = self.known.entry(key).or_insert_with(|| Program {
            begun: clock - before,
            finish,
            rank: ask.rank,
            started: met,
            admitted: None,
            ended: false,
            whole: !met,
            used_ms: 0.0,
            open: 0,
            seen: now,
        });
        program.open += 1;
        program.seen = now;
        program.ended = false;
        self.admit(clock, key, capacity);
        self.standing(clock, key, ask)
    }

    /// Where a request stands now.
    pub(super) fn standing(&self, asked: i64, key: u64, ask: &Ask) -> Standing {
        let program = self.known.get(&key);
        Standing {
            begun: program.map_or(asked, |program| program.begun),
            finish: program.map_or(asked, |program| program.finish),
            asked,
            started: program.is_none_or(|program| program.started),
            admitted: program.is_none_or(|program| program.admitted.is_some()),
            rank: ask.rank,
        }
    }

    /// Admits a program if it fits beside the others. Tells whether it is.
    pub(super) fn admit(&mut self, clock: i64, key: u64, capacity: f64) -> bool {
        let Some(program) = self.known.get_mut(&key) else {
            return false;
        };
        if program.admitted.is_some() {
            return true;
        }
        let need = self.needs.get(&program.rank).copied().unwrap_or(NEED);
        if program.finish <= clock || self.admitted + need > capacity * FIT {
            return false;
        }
        program.admitted = Some(need);
        self.admitted += need;
        true
    }

    /// A request of a program goes to a server.
    pub(super) fn granted(&mut self, key: u64) {
        if let Some(program) = self.known.get_mut(&key) {
            program.started = true;
        }
    }

    /// A request of a program is over, after this time at a server.
    pub(super) fn done(&mut self, now: Instant, key: u64, took: Duration) {
        let Some(program) = self.known.get_mut(&key) else {
            return;
        };
        program.open = program.open.saturating_sub(1);
        program.seen = now;
        program.used_ms += took.as_secs_f64() * 1000.0;
    }

    /// Frees what is set aside for programs that have ended or are late.
    pub(super) fn sweep(&mut self, now: Instant, clock: i64) {
        for program in self.known.values_mut() {
            let idle = program.open == 0 && program.seen + IDLE <= now;
            if idle && !program.ended {
                program.ended = true;
                if let Some(sample) = program.need() {
                    let need = self.needs.entry(program.rank).or_insert(NEED);
                    *need += NEWEST * (sample - *need);
                }
            }
            if idle || program.finish <= clock {
                self.admitted -= program.admitted.take().unwrap_or_default();
            }
        }
        self.known
            .retain(|_, program| program.open > 0 || program.seen + REMEMBERED > now);
    }

    /// Places that a program needs at a time, by rank.
    pub(super) const fn needs(&self) -> &BTreeMap<u8, f64> {
        &self.needs
    }

    /// How many programs are known, and how many of them count on ending in time.
    pub(super) fn len(&self) -> (usize, usize) {
        let admitted = self
            .known
            .values()
            .filter(|program| program.admitted.is_some());
        (self.known.len(), admitted.count())
    }
}

impl Program {
    /// The places that it needed at a time, where all of it was seen.
    fn need(&self) -> Option<f64> {
        let alone_ms = (self.finish - self.begun).max(1) as f64 / STRETCH;
        let seen = self.whole && self.used_ms > 0.0;
        seen.then(|| (self.used_ms / alone_ms).min(MOST_NEED))
    }
}
