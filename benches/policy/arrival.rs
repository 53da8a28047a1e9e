//! Generates the programs of one run: arrival times, callers, turns and token counts.

use crate::assume::{
    CHUNK_TOKENS, HANG_S, HANG_SHARE, LOOP_SHARE, MAX_BATCH_CALLS, STEP_PER_CALL_S,
    STEP_PER_CHUNK_S, STEP_S, Scenario,
};
use crate::fault::Fault;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

/// Step of a program after an answer.
#[derive(Debug, Clone)]
pub enum Next {
    /// Calls a tool, with its duration in seconds.
    Tool(f64),
    /// Starts sub-agents, given by index, and waits for all of them.
    Spawn(Vec<usize>),
    End,
}

/// Model call and the step after it.
#[derive(Debug, Clone)]
pub struct Turn {
    pub prompt: u64,
    pub generated: u64,
    /// Limit on the generated tokens that the caller declares.
    pub max_tokens: u64,
    pub next: Next,
}

/// Everything that one program will do.
#[derive(Debug, Clone)]
pub struct Plan {
    pub class: usize,
    pub caller: usize,
    /// Arrival time in seconds; unused for sub-agents, which start when their parent spawns them.
    pub at: f64,
    pub parent: Option<usize>,
    pub turns: Vec<Turn>,
    /// Whether the program repeats turns until its turn limit.
    pub loops: bool,
}

fn lognormal(rng: &mut SmallRng, median: f64, spread: f64) -> f64 {
    let (a, b): (f64, f64) = (rng.random_range(1e-9..1.0), rng.random());
    let normal = (-2.0 * a.ln()).sqrt() * (std::f64::consts::TAU * b).cos();
    median * (spread * normal).clamp(-2.5, 2.5).exp()
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "small and positive"
)]
fn draw_tokens(rng: &mut SmallRng, median: f64) -> u64 {
    lognormal(rng, median, 0.5).max(8.0) as u64
}

/// Engine time in seconds that a program needs with full batches and a perfect prefix cache.
pub fn engine_time(plan: &Plan) -> f64 {
    let step = STEP_S + STEP_PER_CALL_S * MAX_BATCH_CALLS as f64;
    let mut cached = 0;
    let mut total = 0.0;
    for turn in &plan.turns {
        total += (turn.prompt - cached) as f64 / CHUNK_TOKENS * STEP_PER_CHUNK_S;
        total += turn.generated as f64 * step / MAX_BATCH_CALLS as f64;
        cached = turn.prompt + turn.generated;
    }
    total
}

struct Generator<'a> {
    scenario: &'a Scenario,
    fault: Option<Fault>,
    horizon: f64,
    rng: SmallRng,
    plans: Vec<Plan>,
}

impl Generator<'_> {
    fn program(&mut self, class: usize, caller: usize, at: f64, parent: Option<usize>) -> usize {
        let params = self.scenario.classes[class];
        let index = self.plans.len();
        let loops = self.fault == Some(Fault::Loops) && self.rng.random_bool(LOOP_SHARE);
        self.plans.push(Plan {
            class,
            caller,
            at,
            parent,
            turns: Vec::new(),
            loops,
        });
        let count = if loops {
            10 * params.turn_limit
        } else {
            self.rng.random_range(params.turns.0..=params.turns.1)
        };
        let mut context_tokens = 0;
        let mut turns = Vec::new();
        for number in 0..count.min(params.turn_limit) {
            let added = if number == 0 {
                params.first_prompt
            } else {
                params.added_prompt
            };
            context_tokens += draw_tokens(&mut self.rng, added);
            let generated = draw_tokens(&mut self.rng, params.generated);
            let next = self.next(index, class, caller, number, count);
            turns.push(Turn {
                prompt: context_tokens,
                generated,
                max_tokens: (generated * 3 / 2).next_multiple_of(256),
                next,
            });
            context_tokens += generated;
        }
        self.plans[index].turns = turns;
        index
    }

    fn next(
        &mut self,
        parent: usize,
        class: usize,
        caller: usize,
        turn: usize,
        count: usize,
    ) -> Next {
        let params = self.scenario.classes[class];
        if turn + 1 == count {
            return Next::End;
        }
        if turn == count / 2 && params.children.1 > 0 {
            let children = self.rng.random_range(params.children.0..=params.children.1);
            let children =
                (0..children).map(|_| self.program(params.child, caller, 0.0, Some(parent)));
            return Next::Spawn(children.collect());
        }
        let hangs = self.fault == Some(Fault::Hangs) && self.rng.random_bool(HANG_SHARE);
        let duration = lognormal(&mut self.rng, params.tool_s, 0.6);
        Next::Tool(if hangs {
            HANG_S.max(duration)
        } else {
            duration
        })
    }

    /// Arrival rate of a class relative to its mean: a single peak at 60% of the run.
    fn relative_rate(&self, class: usize, at: f64) -> f64 {
        let peak = self.scenario.classes[class].peak;
        let distance = ((at / self.horizon - 0.6) / 0.15).abs();
        let peak_height = (1.0 - distance).max(0.0);
        // The floor is lowered by the area of the peak, so that the mean does not change.
        let floor = 1.0 - (peak - 1.0) * 0.15;
        let floor = floor.max(0.2);
        floor + (peak - floor) * peak_height
    }
}

/// Programs that arrive within `horizon` seconds; `load` is a share of the engines' capacity.
pub fn plans(
    scenario: &Scenario,
    load: f64,
    horizon: f64,
    seed: u64,
    fault: Option<Fault>,
) -> Vec<Plan> {
    let mut generator = Generator {
        scenario,
        fault: None,
        horizon,
        rng: SmallRng::seed_from_u64(seed),
        plans: Vec::new(),
    };
    let mean = mean_engine_time(&mut generator);
    generator.plans.clear();
    generator.fault = fault;
    let rate = load * scenario.engines as f64 / mean;
    for (class, params) in scenario.classes.iter().enumerate() {
        let max_rate = rate * params.share * params.peak.max(1.0);
        if max_rate > 0.0 {
            generator.arrivals(class, max_rate);
        }
    }
    generator.plans
}

impl Generator<'_> {
    /// Adds the programs of a class: a Poisson process thinned from `max_rate` to the current rate.
    fn arrivals(&mut self, class: usize, max_rate: f64) {
        let peak = self.scenario.classes[class].peak.max(1.0);
        let mut at = 0.0;
        loop {
            at += -self.rng.random_range(1e-9..1.0_f64).ln() / max_rate;
            if at >= self.horizon {
                return;
            }
            let acceptance = self.relative_rate(class, at) / peak;
            if self.rng.random_bool(acceptance.clamp(0.0, 1.0)) {
                let caller = self.caller();
                self.program(class, caller, at, None);
            }
        }
    }

    /// Draws a caller; low numbers are more likely.
    fn caller(&mut self) -> usize {
        let (a, b) = (
            self.rng.random_range(0..self.scenario.callers),
            self.rng.random_range(0..self.scenario.callers),
        );
        a.min(b)
    }
}

fn mean_engine_time(generator: &mut Generator) -> f64 {
    const SAMPLE_PROGRAMS: usize = 400;
    let mut mean = 0.0;
    for class in 0..generator.scenario.classes.len() {
        let share = generator.scenario.classes[class].share;
        if share > 0.0 {
            let from = generator.plans.len();
            for _ in 0..SAMPLE_PROGRAMS {
                generator.program(class, 0, 0.0, None);
            }
            let sum: f64 = generator.plans[from..].iter().map(engine_time).sum();
            mean += share * sum / SAMPLE_PROGRAMS as f64;
        }
    }
    mean
}

/// Duration in seconds of a program that runs alone on an idle pool.
pub fn time_alone(plans: &[Plan], index: usize) -> f64 {
    let mut cached = 0;
    let mut total = 0.0;
    for turn in &plans[index].turns {
        let chunks = ((turn.prompt - cached) as f64 / CHUNK_TOKENS).ceil();
        total += chunks * (STEP_S + STEP_PER_CHUNK_S);
        total += turn.generated as f64 * (STEP_S + STEP_PER_CALL_S);
        cached = turn.prompt + turn.generated;
        total += match &turn.next {
            Next::Tool(seconds) => *seconds,
            Next::Spawn(children) => children
                .iter()
                .map(|child| time_alone(plans, *child))
                .fold(0.0, f64::max),
            Next::End => 0.0,
        };
    }
    total
}
