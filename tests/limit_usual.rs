//! Teams that send as much as they usually do, whose limit is small beside one program.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::Instant;
use vanillatrail::policy::limit::{Limit, Share, Tolerance};
use vanillatrail::policy::quota::{Demand, Quota, Request, Verdict};

const TEAMS: u32 = 40;
const LENGTH: Duration = Duration::from_secs(40);
/// How many times its usual a limit is.
const ROOM: f64 = 1.6;
/// Time between the end of a step of a program and its next step.
const PAUSE: Duration = Duration::from_millis(90);
/// For how long a program of four turns and one of nine may wait in all: 0.4 and 0.3 of its time, and 250 ms.
const SLACK: [Duration; 2] = [Duration::from_millis(500), Duration::from_secs(1)];
/// Time that a request takes at its server.
const TOOK: Duration = Duration::from_millis(60);

fn bound() -> Tolerance {
    Tolerance {
        window: Duration::from_secs(5),
        excess: 0.1,
        slack: 20.0,
    }
}

/// Requests of one step of a program, all at once, and those of its later steps.
#[derive(Debug, Clone)]
struct Program {
    class: u64,
    steps: Vec<u32>,
    /// Requests of the current step that have not been granted.
    open: u32,
    /// Refusals of them.
    refused: u32,
    /// Time for which its requests waited for the limit.
    waited: Duration,
}

impl Program {
    /// One of four turns, or of nine; some have helpers of two turns each. Each turn is followed by tool calls.
    fn draw(rng: &mut StdRng) -> Self {
        let long = rng.random_bool(0.36);
        let (turns, helpers) = if long { (9, 0.15) } else { (4, 0.05) };
        let mut steps = Vec::new();
        for _ in 0..turns {
            steps.push(1);
            steps.push(rng.random_range(0..=4));
            if rng.random_bool(helpers) {
                steps.extend([4, 4]);
            }
        }
        steps.retain(|requests| *requests > 0);
        steps.reverse();
        Self {
            class: u64::from(long),
            open: steps.pop().unwrap_or_default(),
            steps,
            refused: 0,
            waited: Duration::ZERO,
        }
    }

    fn requests(&self) -> u32 {
        self.open + self.steps.iter().sum::<u32>()
    }
}

/// What became of the programs.
#[derive(Debug, Default, Clone, Copy)]
struct Tally {
    begun: u32,
    /// Those of which no request was refused so often that it failed.
    ended: u32,
    /// Those of them that could wait as long as they did and be within their target.
    soon: u32,
}

/// Plays one team that may send so many requests a second; the counter begins at `began`, which may be before.
fn play(per_second: f64, seed: u64, tally: &mut Tally) {
    let mut rng = StdRng::seed_from_u64(seed);
    let limit = Limit {
        per_second,
        burst: per_second,
    };
    let begun = Instant::now();
    let (mut quota, mut needs) = (Quota::new(begun), Demand::default());
    let mut due: BTreeMap<(Instant, u64), Program> = BTreeMap::new();
    let sizes: f64 = (0..500)
        .map(|_| f64::from(Program::draw(&mut rng).requests()))
        .sum();
    let gap = sizes / 500.0 / (per_second / ROOM);
    let (mut at, mut number) = (begun, 0);
    while at < begun + LENGTH {
        at += Duration::from_secs_f64(-rng.random::<f64>().max(1e-9).ln() * gap);
        number += 1;
        due.insert((at, number), Program::draw(&mut rng));
    }
    tally.begun += u32::try_from(number).expect("few");
    while let Some(((now, number), mut program)) = due.pop_first() {
        quota.configure(now, &bound(), limit, Share::Whole);
        let (mut wait, mut back) = (Duration::ZERO, None);
        while program.open > 0 {
            let request = Request {
                program: Some(number),
                class: Some(program.class),
                max_wait: Duration::from_millis(700),
            };
            match quota.decide(now, &mut needs, request) {
                Verdict::Granted(granted) => {
                    program.open -= 1;
                    wait = wait.max(granted);
                }
                Verdict::Refused(after) => {
                    program.refused += 1;
                    back = Some(after);
                    break;
                }
            }
        }
        program.waited += wait;
        if let Some(back) = back {
            // A turn is tried three times, a call of a tool twice.
            let tries = if program.open == 1 { 3 } else { 2 };
            if program.refused < tries {
                program.waited += back;
                due.insert((now + back, number), program);
            }
            continue;
        }
        program.refused = 0;
        let Some(open) = program.steps.pop() else {
            tally.ended += 1;
            tally.soon += u32::from(program.waited < SLACK[usize::from(program.class == 1)]);
            continue;
        };
        program.open = open;
        due.insert((now + wait + TOOK + PAUSE, number), program);
    }
}

/// Forty teams send what they usually do. Their limits are small: two programs at once need all that a limit carries,
/// and the calls of a program come four at a time. Nearly all programs end, and soon.
#[test]
fn a_team_at_its_usual_is_seldom_refused() {
    let mut tally = Tally::default();
    for team in 0..TEAMS {
        let per_second = 12.0 + f64::from(team % 20);
        play(per_second, u64::from(team), &mut tally);
    }
    println!("{tally:?}");
    let share = |part: u32| f64::from(part) / f64::from(tally.begun);
    assert!(share(tally.ended) >= 0.95, "{tally:?}");
    assert!(share(tally.soon) >= 0.80, "{tally:?}");
}
