//! Bursts of programs on the servers of one service, simulated in virtual time.

mod fleet;

use fleet::{completed, request, server};
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;
use vanillatrail::id::Permit;
use vanillatrail::policy::dispatch::{Dispatcher, Placement, Request};

const SERVERS: usize = 8;
/// Turns that a server runs at a time.
const SLOTS: usize = 6;
/// Pause between two turns of a program.
const PAUSE_MS: i64 = 150;
/// Turns of a program. With all slots busy the servers finish 48 programs a second.
const TURNS_PER_PROGRAM: u32 = 4;
/// Delay after which a refused caller retries.
const RETRY_DELAY_MS: i64 = 900;
const MAX_ATTEMPTS: u32 = 4;
const STEP_MS: i64 = 5;

/// How long a turn takes.
#[derive(Debug, Default, Clone, Copy)]
struct TurnCost {
    alone_ms: i64,
    /// Time that each other turn running on the same server adds.
    per_other_turn_ms: i64,
}

/// Servers whose turns take the same time however many run.
const CONSTANT_COST: TurnCost = TurnCost {
    alone_ms: 250,
    per_other_turn_ms: 0,
};
/// Servers that are slower the more turns they run.
const SHARED_COST: TurnCost = TurnCost {
    alone_ms: 125,
    per_other_turn_ms: 25,
};

impl TurnCost {
    fn turn_ms(self, running: usize) -> i64 {
        let others = running.clamp(1, SLOTS) - 1;
        self.alone_ms + self.per_other_turn_ms * i64::try_from(others).expect("the number fits")
    }

    /// Target duration of a program: 1.5 times its duration on idle servers, plus 250 ms.
    fn target_ms(self) -> i64 {
        let turns = i64::from(TURNS_PER_PROGRAM);
        (self.alone_ms * turns + PAUSE_MS * (turns - 1)) * 3 / 2 + 250
    }
}

#[derive(Debug)]
struct Program {
    started_ms: i64,
    turns: u32,
    attempts: u32,
    ended_ms: Option<i64>,
}

#[derive(Debug)]
struct Turn {
    permit: Permit,
    program: usize,
    ends_ms: Option<i64>,
}

#[derive(Debug, Default)]
struct Simulation {
    dispatcher: Dispatcher,
    turn_cost: TurnCost,
    /// Turns sent to each server in the order of arrival; the first `SLOTS` run.
    servers: Vec<VecDeque<Turn>>,
    programs: Vec<Program>,
    /// Turns to request later: time and index of the program.
    due: Vec<(i64, usize)>,
    waiting: Vec<(Permit, usize)>,
    permits: u64,
}

impl Simulation {
    fn start(start: Instant, turn_cost: TurnCost) -> Self {
        let mut simulation = Self {
            turn_cost,
            ..Self::default()
        };
        let description = |index: usize| server(&index.to_string(), "z", SLOTS);
        simulation
            .dispatcher
            .set_servers((0..SERVERS).map(description));
        simulation.servers.resize_with(SERVERS, VecDeque::new);
        simulation.dispatcher.tick(start);
        simulation
    }

    fn request_turn(&mut self, now: Instant, clock_ms: i64, index: usize) {
        self.permits += 1;
        let permit = Permit(self.permits);
        let program = &self.programs[index];
        let turn = Request {
            zone: "z".into(),
            program: Some(index as u64),
            turns: program.turns + 1,
            left_ms: program.started_ms + self.turn_cost.target_ms() - clock_ms,
            session: Some(index as u64),
            ..request(0)
        };
        match self.dispatcher.request(now, permit, turn) {
            Placement::Granted(server) => self.send(permit, index, &server),
            Placement::Waiting => self.waiting.push((permit, index)),
            Placement::Refused(_) => self.retry_later(clock_ms, index),
            Placement::NoServer => panic!("the service has no server"),
        }
    }

    fn send(&mut self, permit: Permit, program: usize, server: &Arc<str>) {
        let server: usize = server.parse().expect("a number");
        self.servers[server].push_back(Turn {
            permit,
            program,
            ends_ms: None,
        });
    }

    fn retry_later(&mut self, clock_ms: i64, index: usize) {
        self.programs[index].attempts += 1;
        if self.programs[index].attempts < MAX_ATTEMPTS {
            self.due.push((clock_ms + RETRY_DELAY_MS, index));
        }
    }

    fn step(&mut self, now: Instant, clock_ms: i64) {
        let due: Vec<_> = self.due.extract_if(.., |(at, _)| *at <= clock_ms).collect();
        for (_, index) in due {
            self.request_turn(now, clock_ms, index);
        }
        for server in 0..SERVERS {
            let took_ms = self.turn_cost.turn_ms(self.servers[server].len());
            for turn in self.servers[server].iter_mut().take(SLOTS) {
                turn.ends_ms.get_or_insert(clock_ms + took_ms);
            }
            let has_ended = |turn: &Turn| turn.ends_ms.is_some_and(|ends_ms| ends_ms <= clock_ms);
            while let Some(at) = self.servers[server].iter().position(has_ended) {
                let turn = self.servers[server].remove(at).expect("the index is valid");
                self.finish_turn(now, clock_ms, &turn);
            }
        }
        let ticked = self.dispatcher.tick(now);
        for (permit, server) in ticked.granted {
            let at = self
                .waiting
                .iter()
                .position(|(waiting, _)| *waiting == permit);
            let (_, index) = self.waiting.remove(at.expect("the permit is waiting"));
            self.send(permit, index, &server);
        }
        for permit in ticked.timed_out {
            let at = self
                .waiting
                .iter()
                .position(|(waiting, _)| *waiting == permit);
            let (_, index) = self.waiting.remove(at.expect("the permit is waiting"));
            self.retry_later(clock_ms, index);
        }
    }

    fn finish_turn(&mut self, now: Instant, clock_ms: i64, turn: &Turn) {
        let took = Duration::from_millis(self.turn_cost.alone_ms.unsigned_abs());
        self.dispatcher.finish(now, turn.permit, completed(took));
        let program = &mut self.programs[turn.program];
        program.turns += 1;
        if program.turns == TURNS_PER_PROGRAM {
            program.ended_ms = Some(clock_ms);
        } else {
            self.due.push((clock_ms + PAUSE_MS, turn.program));
        }
    }

    /// Share of the programs started between these seconds that met their target.
    fn on_time_share(&self, from_s: i64, to_s: i64) -> f64 {
        let in_range =
            |program: &&Program| (from_s * 1000..to_s * 1000).contains(&program.started_ms);
        let started: Vec<_> = self.programs.iter().filter(in_range).collect();
        let on_time = started.iter().filter(|program| {
            let deadline_ms = program.started_ms + self.turn_cost.target_ms();
            program
                .ended_ms
                .is_some_and(|ended_ms| ended_ms <= deadline_ms)
        });
        on_time.count() as f64 / started.len() as f64
    }
}

/// Simulates programs that arrive every `usual_ms`, and every `burst_ms` during the burst, until `end_ms`.
fn simulate(
    turn_cost: TurnCost,
    (usual_ms, burst_ms): (i64, i64),
    burst: std::ops::Range<i64>,
    end_ms: i64,
) -> Simulation {
    let start = Instant::now();
    let mut simulation = Simulation::start(start, turn_cost);
    let mut next_arrival_ms = 0;
    for step in 0..(end_ms / STEP_MS) {
        let clock_ms = step * STEP_MS;
        let now = start + Duration::from_millis(clock_ms.unsigned_abs());
        while next_arrival_ms <= clock_ms && clock_ms < end_ms - 4000 {
            next_arrival_ms += if burst.contains(&clock_ms) {
                burst_ms
            } else {
                usual_ms
            };
            simulation.programs.push(Program {
                started_ms: clock_ms,
                turns: 0,
                attempts: 0,
                ended_ms: None,
            });
            let index = simulation.programs.len() - 1;
            simulation.request_turn(now, clock_ms, index);
        }
        simulation.step(now, clock_ms);
    }
    simulation
}

/// Guards against a burst at 2.1 times the capacity after which all later programs are late, as they would be if served
/// by deadline alone.
#[test]
fn burst_does_not_make_later_programs_late() {
    let simulation = simulate(CONSTANT_COST, (27, 10), 6000..10_000, 26_000);
    let (before, burst, after) = (
        simulation.on_time_share(0, 6),
        simulation.on_time_share(6, 10),
        simulation.on_time_share(13, 22),
    );
    assert!(before > 0.95, "{before:.2} on time before the burst");
    assert!(burst > 0.3, "{burst:.2} on time in the burst");
    assert!(after > 0.9, "{after:.2} on time after the burst");
}

/// Guards against admitted programs made late, during and after a burst at 1.3 times the capacity, by requests of other
/// programs sent to servers without a free slot.
#[test]
fn long_burst_just_over_capacity_keeps_admitted_programs_on_time() {
    let simulation = simulate(SHARED_COST, (40, 16), 6000..12_000, 26_000);
    let (before, burst, after) = (
        simulation.on_time_share(0, 6),
        simulation.on_time_share(6, 12),
        simulation.on_time_share(12, 22),
    );
    assert!(before > 0.95, "{before:.2} on time before the burst");
    assert!(burst > 0.6, "{burst:.2} on time in the burst");
    assert!(after > 0.9, "{after:.2} on time after the burst");
}
