//! Generates the programs of a trial: classes, steps and start times.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde::Serialize;
use std::fmt;
use std::time::Duration;

/// Kind of a program; each kind has its own class in the configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum Kind {
    /// A clerk asks which levy applies.
    Explainer,
    /// An agent assesses the cars of a fleet one by one and files a receipt.
    Assessment,
    /// A batch job writes an audit export; no caller waits for it.
    Export,
    /// A customer and an agent agree on a delivery slot.
    Negotiation,
    /// Sub-agents book new slots for the stops of a cancelled van.
    Rework,
}

impl Kind {
    pub(super) const ALL: [Self; 5] = [
        Self::Explainer,
        Self::Assessment,
        Self::Export,
        Self::Negotiation,
        Self::Rework,
    ];

    pub(super) const fn class(self) -> &'static str {
        match self {
            Self::Explainer => "explainer",
            Self::Assessment => "assessment",
            Self::Export => "export",
            Self::Negotiation => "negotiation",
            Self::Rework => "rework",
        }
    }

    /// Target duration of a program of the class.
    pub(super) const fn target(self) -> Duration {
        match self {
            Self::Explainer => Duration::from_millis(1500),
            Self::Negotiation => Duration::from_secs(4),
            Self::Rework => Duration::from_secs(6),
            Self::Assessment => Duration::from_secs(8),
            Self::Export => Duration::from_mins(1),
        }
    }

    /// Whether a caller waits for the result.
    pub(super) const fn has_waiting_caller(self) -> bool {
        !matches!(self, Self::Export)
    }

    /// Share of the mix, in percent.
    const fn share_percent(self) -> u32 {
        match self {
            Self::Explainer => 40,
            Self::Negotiation => 28,
            Self::Assessment => 16,
            Self::Rework => 10,
            Self::Export => 6,
        }
    }

    fn draw(rng: &mut StdRng) -> Self {
        let mut remaining = rng.random_range(0..100);
        for kind in Self::ALL {
            if remaining < kind.share_percent() {
                return kind;
            }
            remaining -= kind.share_percent();
        }
        Self::Explainer
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.class())
    }
}

#[derive(Debug, Clone)]
pub(super) enum Step {
    /// Time between two calls, spent by the agent or a person.
    Pause(Duration),
    Model {
        text: String,
        max_tokens: u64,
    },
    Service {
        operation: &'static str,
        work: Duration,
    },
    /// Sub-agents that run concurrently; the next step waits for all of them.
    Spawn(Vec<Vec<Step>>),
}

/// Everything that one program will do.
#[derive(Debug, Clone)]
pub(super) struct Plan {
    pub(super) kind: Kind,
    /// Idempotency key of the request that opens the program.
    pub(super) key: String,
    /// Delay of the opening from the start of the load.
    pub(super) start_delay: Duration,
    pub(super) steps: Vec<Step>,
}

/// Upper bound of the tokens that the steps use, including sub-agents.
pub(super) fn token_budget(steps: &[Step]) -> u64 {
    let max_tokens_of = |step: &Step| match step {
        Step::Pause(_) | Step::Service { .. } => 0,
        Step::Model { text, max_tokens } => text.len() as u64 + 16 + max_tokens,
        Step::Spawn(children) => children.iter().map(|child| token_budget(child)).sum(),
    };
    steps.iter().map(max_tokens_of).sum()
}

/// Draws `count` programs that start within `arrival_window`; deterministic for a seed.
pub(super) fn draw_programs(seed: u64, count: usize, arrival_window: Duration) -> Vec<Plan> {
    let mut rng = StdRng::seed_from_u64(seed);
    let arrival_window = u64::try_from(arrival_window.as_millis()).unwrap_or(u64::MAX);
    let plans = (0..count).map(|index| {
        let kind = Kind::draw(&mut rng);
        Plan {
            kind,
            key: format!("{kind}-{seed}-{index}"),
            start_delay: Duration::from_millis(rng.random_range(0..arrival_window.max(1))),
            steps: steps(kind, index, &mut rng),
        }
    });
    plans.collect()
}

fn steps(kind: Kind, index: usize, rng: &mut StdRng) -> Vec<Step> {
    match kind {
        Kind::Explainer => explainer_steps(index, rng),
        Kind::Assessment => assessment_steps(index, rng),
        Kind::Export => export_steps(rng),
        Kind::Negotiation => negotiation_steps(index, rng),
        Kind::Rework => rework_steps(index, rng),
    }
}

fn explainer_steps(index: usize, rng: &mut StdRng) -> Vec<Step> {
    let question = format!("{TAX_PROMPT}\nClerk {index} asks: which levy applies to this car?");
    let mut steps = vec![
        model_call(question, rng, 20..50),
        service_call("rates", 40, rng),
    ];
    steps.push(model_call(
        "The rate table is above; explain it.".to_owned(),
        rng,
        30..70,
    ));
    if rng.random_bool(0.3) {
        steps.push(pause(rng, 100..400));
        steps.push(model_call("And for a van?".to_owned(), rng, 20..50));
    }
    steps
}

fn assessment_steps(index: usize, rng: &mut StdRng) -> Vec<Step> {
    let opening = format!("{TAX_PROMPT}\nAssess the fleet of employer {index}.");
    let mut steps = vec![model_call(opening, rng, 60..120)];
    for car in 0..rng.random_range(3..7) {
        steps.push(service_call("rates", 60, rng));
        steps.push(pause(rng, 50..200));
        let text = format!("Car {car}: list price, fuel and private use are as in the file.");
        steps.push(model_call(text, rng, 40..100));
    }
    steps.push(service_call("receipt", 120, rng));
    steps.push(model_call(
        "The receipt is filed; sum up.".to_owned(),
        rng,
        40..80,
    ));
    steps
}

fn export_steps(rng: &mut StdRng) -> Vec<Step> {
    let mut steps = Vec::new();
    for page in 0..rng.random_range(4..9) {
        steps.push(service_call("rates", 150, rng));
        let text = format!("{TAX_PROMPT}\nWrite page {page} of the audit export.");
        steps.push(model_call(text, rng, 120..240));
    }
    steps
}

fn negotiation_steps(index: usize, rng: &mut StdRng) -> Vec<Step> {
    let opening = format!("{DELIVERY_PROMPT}\nCustomer {index} wants a slot for a sofa.");
    let mut steps = vec![model_call(opening, rng, 20..50)];
    for _ in 0..rng.random_range(1..4) {
        steps.push(pause(rng, 100..500));
        let text = "That is too late for the customer; offer another slot.".to_owned();
        steps.push(model_call(text, rng, 20..50));
    }
    steps.push(service_call("confirm", 80, rng));
    steps.push(model_call(
        "The slot is confirmed; tell the customer.".to_owned(),
        rng,
        15..30,
    ));
    steps
}

fn rework_steps(index: usize, rng: &mut StdRng) -> Vec<Step> {
    let opening = format!("{DELIVERY_PROMPT}\nVan {index} dropped out; split its stops.");
    let children = (0..rng.random_range(2..4)).map(|stop| {
        let text = format!("{DELIVERY_PROMPT}\nFind a new slot for stop {stop} of van {index}.");
        vec![
            model_call(text, rng, 30..60),
            service_call("book", 80, rng),
            model_call("The booking is held; note it.".to_owned(), rng, 15..30),
        ]
    });
    let children = children.collect();
    vec![
        model_call(opening, rng, 40..80),
        Step::Spawn(children),
        model_call(
            "All stops have a slot; write the new route.".to_owned(),
            rng,
            40..80,
        ),
        service_call("confirm", 80, rng),
    ]
}

fn model_call(text: String, rng: &mut StdRng, max_tokens_range: std::ops::Range<u64>) -> Step {
    let max_tokens = rng.random_range(max_tokens_range);
    Step::Model { text, max_tokens }
}

fn service_call(operation: &'static str, typical_ms: u64, rng: &mut StdRng) -> Step {
    let work = Duration::from_millis(rng.random_range(typical_ms / 2..typical_ms * 2));
    Step::Service { operation, work }
}

fn pause(rng: &mut StdRng, range_ms: std::ops::Range<u64>) -> Step {
    Step::Pause(Duration::from_millis(rng.random_range(range_ms)))
}

/// System prompt of the tax programs.
const TAX_PROMPT: &str = "You help payroll clerks and tax agents with the benefit in kind of \
    company cars. Name the rate, the rule that it comes from and the month from which it \
    applies. Work from the rate table that the tool gives, never from memory. Round down to \
    whole pesewas. Where private use is not stated, ask for it. Where a car is shared, split the \
    benefit by days.";
/// System prompt of the delivery programs.
const DELIVERY_PROMPT: &str = "You agree delivery slots for furniture and appliances. Offer two \
    slots at most at a time. A slot holds for one address and one crew. Stairs without a lift \
    add half an hour. Never promise a slot that the booking tool has not confirmed. Keep answers \
    short: the customer is on the phone.";
