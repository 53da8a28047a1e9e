//! Simulates teams at their usual rate, whose limits are small compared to one program.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::Instant;
use vanillatrail::policy::limit::{Limit, Share, Tolerance};
use vanillatrail::policy::quota::{Demand, Quota, Request, Verdict};

const TEAM_COUNT: u32 = 40;
/// Time in which programs start.
const ARRIVAL_PERIOD: Duration = Duration::from_secs(40);
/// Ratio of the limit to the usual rate.
const HEADROOM: f64 = 1.6;
/// Time between two steps of a program.
const STEP_PAUSE: Duration = Duration::from_millis(90);
/// Longest total wait of a short and of a long program within its target.
const MAX_WAIT: [Duration; 2] = [Duration::from_millis(500), Duration::from_secs(1)];
/// Time that a server takes for a request.
const SERVICE_TIME: Duration = Duration::from_millis(60);

fn tolerance() -> Tolerance {
    Tolerance {
        window: Duration::from_secs(5),
        excess: 0.1,
        slack: 20.0,
    }
}

/// A program whose steps each send their requests at once.
#[derive(Debug, Clone)]
struct Program {
    class: u64,
    /// Request counts of the later steps, the next one last.
    steps: Vec<u32>,
    /// Requests of the current step that are not granted yet.
    pending: u32,
    /// Refusals in the current step.
    refused: u32,
    /// Total time that requests waited for the limit.
    waited: Duration,
}

impl Program {
    /// A program of four or nine turns, each followed by tool calls. Some turns start helpers of two turns
    /// each.
    fn random(rng: &mut StdRng) -> Self {
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
            pending: steps.pop().unwrap_or_default(),
            steps,
            refused: 0,
            waited: Duration::ZERO,
        }
    }

    fn requests(&self) -> u32 {
        self.pending + self.steps.iter().sum::<u32>()
    }
}

/// Counts of programs.
#[derive(Debug, Default, Clone, Copy)]
struct Tally {
    started: u32,
    /// Completed without a request that ran out of attempts.
    completed: u32,
    /// Completed within [`MAX_WAIT`].
    on_time: u32,
}

/// Simulates a team with this limit and adds the results to `tally`.
fn simulate(per_second: f64, seed: u64, tally: &mut Tally) {
    let mut rng = StdRng::seed_from_u64(seed);
    let limit = Limit {
        per_second,
        burst: per_second,
    };
    let start = Instant::now();
    let (mut quota, mut demand) = (Quota::new(start), Demand::default());
    let mut due: BTreeMap<(Instant, u64), Program> = BTreeMap::new();
    let request_sum: f64 = (0..500)
        .map(|_| f64::from(Program::random(&mut rng).requests()))
        .sum();
    let mean_gap_secs = request_sum / 500.0 / (per_second / HEADROOM);
    let (mut at, mut number) = (start, 0);
    while at < start + ARRIVAL_PERIOD {
        at += Duration::from_secs_f64(-rng.random::<f64>().max(1e-9).ln() * mean_gap_secs);
        number += 1;
        due.insert((at, number), Program::random(&mut rng));
    }
    tally.started += u32::try_from(number).expect("few");
    while let Some(((now, number), mut program)) = due.pop_first() {
        quota.configure(now, &tolerance(), limit, Share::Whole);
        let (mut wait, mut refusal) = (Duration::ZERO, None);
        while program.pending > 0 {
            let request = Request {
                program: Some(number),
                class: Some(program.class),
                max_wait: Duration::from_millis(700),
            };
            match quota.decide(now, &mut demand, request) {
                Verdict::Granted(granted) => {
                    program.pending -= 1;
                    wait = wait.max(granted);
                }
                Verdict::Refused(retry_after) => {
                    program.refused += 1;
                    refusal = Some(retry_after);
                    break;
                }
            }
        }
        program.waited += wait;
        if let Some(retry_after) = refusal {
            // A turn gets three attempts, a tool call two.
            let attempts = if program.pending == 1 { 3 } else { 2 };
            if program.refused < attempts {
                program.waited += retry_after;
                due.insert((now + retry_after, number), program);
            }
            continue;
        }
        program.refused = 0;
        let Some(pending) = program.steps.pop() else {
            tally.completed += 1;
            tally.on_time += u32::from(program.waited < MAX_WAIT[usize::from(program.class == 1)]);
            continue;
        };
        program.pending = pending;
        due.insert((now + wait + SERVICE_TIME + STEP_PAUSE, number), program);
    }
}

/// Forty teams send at their usual rate. Their limits are small: two programs at once use up a limit, and tool
/// calls come in bursts of four. Nearly all programs complete, most within their target.
#[test]
fn a_team_at_its_usual_rate_is_rarely_refused() {
    let mut tally = Tally::default();
    for team in 0..TEAM_COUNT {
        let per_second = 12.0 + f64::from(team % 20);
        simulate(per_second, u64::from(team), &mut tally);
    }
    println!("{tally:?}");
    let share = |count: u32| f64::from(count) / f64::from(tally.started);
    assert!(share(tally.completed) >= 0.95, "{tally:?}");
    assert!(share(tally.on_time) >= 0.80, "{tally:?}");
}
