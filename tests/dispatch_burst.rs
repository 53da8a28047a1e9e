//! A burst of programs before the engines of one pool, replayed in virtual time.

mod fleet;

use fleet::{ask, done, server};
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;
use vanillatrail::id::Permit;
use vanillatrail::policy::dispatch::{Dispatcher, Placement, Request};

/// Engines, and the turns that each runs at a time.
const ENGINES: usize = 8;
const SLOTS: usize = 6;
/// The pause between two turns, in milliseconds.
const PAUSE_MS: i64 = 150;
/// Turns of a program. Full engines finish 48 programs a second.
const TURNS: u32 = 4;
/// When a caller that was refused asks again, and how often it does.
const AGAIN_MS: i64 = 900;
const TRIES: u32 = 4;
/// Milliseconds of one step.
const STEP_MS: i64 = 5;

/// What a turn takes, in milliseconds.
#[derive(Debug, Default, Clone, Copy)]
struct Pace {
    alone: i64,
    /// What each further turn that runs on the same engine adds.
    each: i64,
}

/// Engines whose turns take the same time however many run.
const STEADY: Pace = Pace {
    alone: 250,
    each: 0,
};
/// Engines that are slower the more turns they run.
const SHARED: Pace = Pace {
    alone: 125,
    each: 25,
};

impl Pace {
    fn turn(self, running: usize) -> i64 {
        let others = running.clamp(1, SLOTS) - 1;
        self.alone + self.each * i64::try_from(others).expect("few")
    }

    /// Time to the target: 1.5 times the time on idle engines, and a quarter of a second.
    fn target(self) -> i64 {
        let turns = i64::from(TURNS);
        (self.alone * turns + PAUSE_MS * (turns - 1)) * 3 / 2 + 250
    }
}

#[derive(Debug)]
struct Program {
    begun: i64,
    turns: u32,
    tries: u32,
    ended: Option<i64>,
}

#[derive(Debug)]
struct Turn {
    permit: Permit,
    program: usize,
    ends: Option<i64>,
}

#[derive(Debug, Default)]
struct Pool {
    dispatcher: Dispatcher,
    pace: Pace,
    /// What engines have got, in the order of arrival; the first ones run.
    engines: Vec<VecDeque<Turn>>,
    programs: Vec<Program>,
    /// Turns that are asked for at a time: when, and of which program.
    due: Vec<(i64, usize)>,
    waiting: Vec<(Permit, usize)>,
    permits: u64,
}

impl Pool {
    fn start(begin: Instant, pace: Pace) -> Self {
        let mut pool = Self {
            pace,
            ..Self::default()
        };
        let description = |engine: usize| server(&engine.to_string(), "z", SLOTS);
        pool.dispatcher.set_servers((0..ENGINES).map(description));
        pool.engines.resize_with(ENGINES, VecDeque::new);
        pool.dispatcher.tick(begin);
        pool
    }

    fn ask(&mut self, now: Instant, clock: i64, index: usize) {
        self.permits += 1;
        let permit = Permit(self.permits);
        let program = &self.programs[index];
        let ask = Request {
            zone: "z".into(),
            program: Some(index as u64),
            turns: program.turns + 1,
            left_ms: program.begun + self.pace.target() - clock,
            session: Some(index as u64),
            ..ask(0)
        };
        match self.dispatcher.request(now, permit, ask) {
            Placement::Granted(engine) => self.send(permit, index, &engine),
            Placement::Waiting => self.waiting.push((permit, index)),
            Placement::Refused(_) => self.refused(clock, index),
            Placement::NoServer => panic!("there are engines"),
        }
    }

    fn send(&mut self, permit: Permit, program: usize, engine: &Arc<str>) {
        let engine: usize = engine.parse().expect("a number");
        self.engines[engine].push_back(Turn {
            permit,
            program,
            ends: None,
        });
    }

    fn refused(&mut self, clock: i64, index: usize) {
        self.programs[index].tries += 1;
        if self.programs[index].tries < TRIES {
            self.due.push((clock + AGAIN_MS, index));
        }
    }

    fn step(&mut self, now: Instant, clock: i64) {
        let due: Vec<_> = self.due.extract_if(.., |(at, _)| *at <= clock).collect();
        for (_, index) in due {
            self.ask(now, clock, index);
        }
        for engine in 0..ENGINES {
            let took = self.pace.turn(self.engines[engine].len());
            for turn in self.engines[engine].iter_mut().take(SLOTS) {
                turn.ends.get_or_insert(clock + took);
            }
            let over = |turn: &Turn| turn.ends.is_some_and(|ends| ends <= clock);
            while let Some(at) = self.engines[engine].iter().position(over) {
                let turn = self.engines[engine].remove(at).expect("it was found");
                self.end(now, clock, &turn);
            }
        }
        let ticked = self.dispatcher.tick(now);
        for (permit, engine) in ticked.granted {
            let at = self.waiting.iter().position(|(of, _)| *of == permit);
            let (_, index) = self.waiting.remove(at.expect("it waits"));
            self.send(permit, index, &engine);
        }
        for permit in ticked.timed_out {
            let at = self.waiting.iter().position(|(of, _)| *of == permit);
            let (_, index) = self.waiting.remove(at.expect("it waits"));
            self.refused(clock, index);
        }
    }

    fn end(&mut self, now: Instant, clock: i64, turn: &Turn) {
        let took = Duration::from_millis(self.pace.alone.unsigned_abs());
        self.dispatcher.finish(now, turn.permit, done(took));
        let program = &mut self.programs[turn.program];
        program.turns += 1;
        if program.turns == TURNS {
            program.ended = Some(clock);
        } else {
            self.due.push((clock + PAUSE_MS, turn.program));
        }
    }

    /// The share of the programs begun between these seconds that made their target.
    fn in_time(&self, from: i64, to: i64) -> f64 {
        let begun = |program: &&Program| (from * 1000..to * 1000).contains(&program.begun);
        let all: Vec<_> = self.programs.iter().filter(begun).collect();
        let made = all.iter().filter(|program| {
            let by = program.begun + self.pace.target();
            program.ended.is_some_and(|ended| ended <= by)
        });
        made.count() as f64 / all.len() as f64
    }
}

/// Programs that come every `usual` ms, and every `busy` ms during a burst.
fn play(pace: Pace, (usual, busy): (i64, i64), burst: std::ops::Range<i64>, end: i64) -> Pool {
    let begin = Instant::now();
    let mut pool = Pool::start(begin, pace);
    let mut due = 0;
    for step in 0..(end / STEP_MS) {
        let clock = step * STEP_MS;
        let now = begin + Duration::from_millis(clock.unsigned_abs());
        while due <= clock && clock < end - 4000 {
            due += if burst.contains(&clock) { busy } else { usual };
            pool.programs.push(Program {
                begun: clock,
                turns: 0,
                tries: 0,
                ended: None,
            });
            let index = pool.programs.len() - 1;
            pool.ask(now, clock, index);
        }
        pool.step(now, clock);
    }
    pool
}

/// Programs come at three quarters of what the engines can do, and at 2.1 times as much for four
/// seconds. Served in the order of their deadlines, all of them are late from the burst on, for as
/// long as the load stays as it is. Here a part of the burst is turned away or late, and those that
/// come some seconds after it are not touched by it.
#[test]
fn a_burst_does_not_make_later_programs_late() {
    let pool = play(STEADY, (27, 10), 6000..10_000, 26_000);
    let (before, burst, after) = (
        pool.in_time(0, 6),
        pool.in_time(6, 10),
        pool.in_time(13, 22),
    );
    assert!(before > 0.95, "{before:.2} before the burst");
    assert!(burst > 0.3, "{burst:.2} in the burst");
    assert!(after > 0.9, "{after:.2} after the burst");
}

/// Programs come at half of what the engines can do, and at 1.3 times as much for six seconds. An engine is slower
/// the more it runs, and runs what it got first. If requests of programs that were not admitted are sent beyond an
/// engine's places, those that were admitted wait behind them there, and all are late; so is what comes after the burst.
#[test]
fn a_long_burst_just_over_capacity_leaves_admitted_programs_in_time() {
    let pool = play(SHARED, (40, 16), 6000..12_000, 26_000);
    let (before, burst, after) = (
        pool.in_time(0, 6),
        pool.in_time(6, 12),
        pool.in_time(12, 22),
    );
    assert!(before > 0.95, "{before:.2} before the burst");
    assert!(burst > 0.6, "{burst:.2} in the burst");
    assert!(after > 0.9, "{after:.2} after the burst");
}
