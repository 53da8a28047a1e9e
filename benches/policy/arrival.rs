//! The programs of one run: who calls when, and what each program turns out to need.

use crate::assume::{
    BATCH, CHUNK, HANG, HANG_SHARE, LOOP_SHARE, STEP, STEP_PER_CALL, STEP_PER_CHUNK, Scenario,
};
use crate::fault::Fault;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

/// What a program does after an answer.
#[derive(Debug, Clone)]
pub enum Next {
    /// It calls a tool that takes so many seconds.
    Tool(f64),
    /// It starts sub-agents and waits for all of them.
    Spawn(Vec<usize>),
    End,
}

/// One model call and what follows it.
#[derive(Debug, Clone)]
pub struct Turn {
    pub prompt: u64,
    pub generated: u64,
    /// What the caller declares as the most tokens.
    pub max_tokens: u64,
    pub next: Next,
}

/// What one program will do.
#[derive(Debug, Clone)]
pub struct Plan {
    pub class: usize,
    pub caller: usize,
    /// Seconds from the start; a sub-agent starts when its parent spawns it.
    pub at: f64,
    pub parent: Option<usize>,
    pub turns: Vec<Turn>,
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
fn tokens(rng: &mut SmallRng, median: f64) -> u64 {
    lognormal(rng, median, 0.5).max(8.0) as u64
}

/// Engine seconds that a program needs when every cached prefix is found and batches are full.
pub fn work(plan: &Plan) -> f64 {
    let step = STEP + STEP_PER_CALL * BATCH as f64;
    let mut known = 0;
    let mut total = 0.0;
    for turn in &plan.turns {
        total += (turn.prompt - known) as f64 / CHUNK * STEP_PER_CHUNK;
        total += turn.generated as f64 * step / BATCH as f64;
        known = turn.prompt + turn.generated;
    }
    total
}

struct Maker<'a> {
    scenario: &'a Scenario,
    fault: Option<Fault>,
    horizon: f64,
    rng: SmallRng,
    plans: Vec<Plan>,
}

impl Maker<'_> {
    fn program(&mut self, class: usize, caller: usize, at: f64, parent: Option<usize>) -> usize {
        let shape = self.scenario.classes[class];
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
            10 * shape.turn_limit
        } else {
            self.rng.random_range(shape.turns.0..=shape.turns.1)
        };
        let mut size = 0;
        let mut turns = Vec::new();
        for number in 0..count.min(shape.turn_limit) {
            let added = if number == 0 {
                shape.opening
            } else {
                shape.added
            };
            size += tokens(&mut self.rng, added);
            let generated = tokens(&mut self.rng, shape.generated);
            let next = self.next(index, class, caller, number, count);
            turns.push(Turn {
                prompt: size,
                generated,
                max_tokens: (generated * 3 / 2).next_multiple_of(256),
                next,
            });
            size += generated;
        }
        self.plans[index].turns = turns;
        index
    }

    fn next(&mut self, parent: usize, class: usize, caller: usize, at: usize, of: usize) -> Next {
        let shape = self.scenario.classes[class];
        if at + 1 == of {
            return Next::End;
        }
        if at == of / 2 && shape.children.1 > 0 {
            let count = self.rng.random_range(shape.children.0..=shape.children.1);
            let children = (0..count).map(|_| self.program(shape.child, caller, 0.0, Some(parent)));
            return Next::Spawn(children.collect());
        }
        let hangs = self.fault == Some(Fault::Hangs) && self.rng.random_bool(HANG_SHARE);
        let usual = lognormal(&mut self.rng, shape.tool, 0.6);
        Next::Tool(if hangs { HANG.max(usual) } else { usual })
    }

    /// The rate of a class now, against its mean: one wave whose crest is at 60% of the run.
    fn wave(&self, class: usize, at: f64) -> f64 {
        let peak = self.scenario.classes[class].peak;
        let distance = ((at / self.horizon - 0.6) / 0.15).abs();
        let height = (1.0 - distance).max(0.0);
        // The area under the crest is taken from the rest, so that the mean stays.
        let floor = 1.0 - (peak - 1.0) * 0.15;
        let floor = floor.max(0.2);
        floor + (peak - floor) * height
    }
}

/// Programs that arrive over `horizon` seconds at `load` of what the engines can do.
pub fn plans(
    scenario: &Scenario,
    load: f64,
    horizon: f64,
    seed: u64,
    fault: Option<Fault>,
) -> Vec<Plan> {
    let mut maker = Maker {
        scenario,
        fault: None,
        horizon,
        rng: SmallRng::seed_from_u64(seed),
        plans: Vec::new(),
    };
    let mean = mean_work(&mut maker);
    maker.plans.clear();
    maker.fault = fault;
    let rate = load * scenario.engines as f64 / mean;
    for (class, shape) in scenario.classes.iter().enumerate() {
        let most = rate * shape.share * shape.peak.max(1.0);
        if most > 0.0 {
            maker.arrivals(class, most);
        }
    }
    maker.plans
}

impl Maker<'_> {
    /// Programs of one class that arrive at a rate of at most `most`.
    fn arrivals(&mut self, class: usize, most: f64) {
        let peak = self.scenario.classes[class].peak.max(1.0);
        let mut at = 0.0;
        loop {
            at += -self.rng.random_range(1e-9..1.0_f64).ln() / most;
            if at >= self.horizon {
                return;
            }
            let keep = self.wave(class, at) / peak;
            if self.rng.random_bool(keep.clamp(0.0, 1.0)) {
                let caller = self.caller();
                self.program(class, caller, at, None);
            }
        }
    }

    /// A few callers make most of the calls.
    fn caller(&mut self) -> usize {
        let (a, b) = (
            self.rng.random_range(0..self.scenario.callers),
            self.rng.random_range(0..self.scenario.callers),
        );
        a.min(b)
    }
}

fn mean_work(maker: &mut Maker) -> f64 {
    const SAMPLE: usize = 400;
    let mut mean = 0.0;
    for class in 0..maker.scenario.classes.len() {
        let share = maker.scenario.classes[class].share;
        if share > 0.0 {
            let from = maker.plans.len();
            for _ in 0..SAMPLE {
                maker.program(class, 0, 0.0, None);
            }
            let sum: f64 = maker.plans[from..].iter().map(work).sum();
            mean += share * sum / SAMPLE as f64;
        }
    }
    mean
}

/// Seconds that a program takes alone on an idle pool.
pub fn alone(plans: &[Plan], index: usize) -> f64 {
    let mut known = 0;
    let mut total = 0.0;
    for turn in &plans[index].turns {
        let chunks = ((turn.prompt - known) as f64 / CHUNK).ceil();
        total += chunks * (STEP + STEP_PER_CHUNK);
        total += turn.generated as f64 * (STEP + STEP_PER_CALL);
        known = turn.prompt + turn.generated;
        total += match &turn.next {
            Next::Tool(seconds) => *seconds,
            Next::Spawn(children) => children
                .iter()
                .map(|child| alone(plans, *child))
                .fold(0.0, f64::max),
            Next::End => 0.0,
        };
    }
    total
}
