//! The programs of a trial: their classes, their steps and when they start.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde::Serialize;
use std::fmt;
use std::time::Duration;

/// A kind of program; each has a class of its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum Kind {
    /// A payroll clerk asks which levy applies.
    Explainer,
    /// An agent goes through a fleet and files receipts.
    Assessment,
    /// Member software draws an audit export; nobody waits.
    Export,
    /// Two sides agree on a delivery slot.
    Negotiation,
    /// Sub-agents find new slots for the stops of a van that dropped out.
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

    /// The name of its class.
    pub(super) const fn class(self) -> &'static str {
        match self {
            Self::Explainer => "explainer",
            Self::Assessment => "assessment",
            Self::Export => "export",
            Self::Negotiation => "negotiation",
            Self::Rework => "rework",
        }
    }

    /// The target of its class.
    pub(super) const fn target(self) -> Duration {
        match self {
            Self::Explainer => Duration::from_millis(1500),
            Self::Negotiation => Duration::from_secs(4),
            Self::Rework => Duration::from_secs(6),
            Self::Assessment => Duration::from_secs(8),
            Self::Export => Duration::from_mins(1),
        }
    }

    /// Whether a caller waits for it.
    pub(super) const fn waits(self) -> bool {
        !matches!(self, Self::Export)
    }

    /// Its share of the mix, in percent.
    const fn share(self) -> u32 {
        match self {
            Self::Explainer => 40,
            Self::Negotiation => 28,
            Self::Assessment => 16,
            Self::Rework => 10,
            Self::Export => 6,
        }
    }

    fn draw(random: &mut StdRng) -> Self {
        let mut left = random.random_range(0..100);
        for kind in Self::ALL {
            if left < kind.share() {
                return kind;
            }
            left -= kind.share();
        }
        Self::Explainer
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.class())
    }
}

/// One step of a program.
#[derive(Debug, Clone)]
pub(super) enum Step {
    /// The agent or the person takes a while.
    Pause(Duration),
    /// A model call.
    Model { text: String, max_tokens: u64 },
    /// A service call.
    Service {
        operation: &'static str,
        work: Duration,
    },
    /// Sub-agents that run at once; the next step waits for all of them.
    Spawn(Vec<Vec<Step>>),
}

/// One program.
#[derive(Debug, Clone)]
pub(super) struct Plan {
    pub(super) kind: Kind,
    /// The opening key.
    pub(super) key: String,
    /// When it is opened, from the start of the load.
    pub(super) after: Duration,
    pub(super) steps: Vec<Step>,
}

/// The tokens that steps can take at most, those of sub-agents among them.
pub(super) fn budget(steps: &[Step]) -> u64 {
    let most = |step: &Step| match step {
        Step::Pause(_) | Step::Service { .. } => 0,
        Step::Model { text, max_tokens } => text.len() as u64 + 16 + max_tokens,
        Step::Spawn(children) => children.iter().map(|child| budget(child)).sum(),
    };
    steps.iter().map(most).sum()
}

/// A mix of `count` programs that start within `spread`; the same for the same seed.
pub(super) fn mix(seed: u64, count: usize, spread: Duration) -> Vec<Plan> {
    let mut random = StdRng::seed_from_u64(seed);
    let spread = u64::try_from(spread.as_millis()).unwrap_or(u64::MAX);
    let plans = (0..count).map(|index| {
        let kind = Kind::draw(&mut random);
        Plan {
            kind,
            key: format!("{kind}-{seed}-{index}"),
            after: Duration::from_millis(random.random_range(0..spread.max(1))),
            steps: steps(kind, index, &mut random),
        }
    });
    plans.collect()
}

fn steps(kind: Kind, index: usize, random: &mut StdRng) -> Vec<Step> {
    match kind {
        Kind::Explainer => explainer(index, random),
        Kind::Assessment => assessment(index, random),
        Kind::Export => export(random),
        Kind::Negotiation => negotiation(index, random),
        Kind::Rework => rework(index, random),
    }
}

fn explainer(index: usize, random: &mut StdRng) -> Vec<Step> {
    let question = format!("{GUIDE}\nClerk {index} asks: which levy applies to this car?");
    let mut steps = vec![
        model(question, random, 20..50),
        service("rates", 40, random),
    ];
    steps.push(model(
        "The rate table is above; explain it.".to_owned(),
        random,
        30..70,
    ));
    if random.random_bool(0.3) {
        steps.push(pause(random, 100..400));
        steps.push(model("And for a van?".to_owned(), random, 20..50));
    }
    steps
}

fn assessment(index: usize, random: &mut StdRng) -> Vec<Step> {
    let opening = format!("{GUIDE}\nAssess the fleet of employer {index}.");
    let mut steps = vec![model(opening, random, 60..120)];
    for car in 0..random.random_range(3..7) {
        steps.push(service("rates", 60, random));
        steps.push(pause(random, 50..200));
        let text = format!("Car {car}: list price, fuel and private use are as in the file.");
        steps.push(model(text, random, 40..100));
    }
    steps.push(service("receipt", 120, random));
    steps.push(model(
        "The receipt is filed; sum up.".to_owned(),
        random,
        40..80,
    ));
    steps
}

fn export(random: &mut StdRng) -> Vec<Step> {
    let mut steps = Vec::new();
    for page in 0..random.random_range(4..9) {
        steps.push(service("rates", 150, random));
        let text = format!("{GUIDE}\nWrite page {page} of the audit export.");
        steps.push(model(text, random, 120..240));
    }
    steps
}

fn negotiation(index: usize, random: &mut StdRng) -> Vec<Step> {
    let opening = format!("{CARRIER}\nCustomer {index} wants a slot for a sofa.");
    let mut steps = vec![model(opening, random, 20..50)];
    for _ in 0..random.random_range(1..4) {
        steps.push(pause(random, 100..500));
        let text = "That is too late for the customer; offer another slot.".to_owned();
        steps.push(model(text, random, 20..50));
    }
    steps.push(service("confirm", 80, random));
    steps.push(model(
        "The slot is confirmed; tell the customer.".to_owned(),
        random,
        15..30,
    ));
    steps
}

fn rework(index: usize, random: &mut StdRng) -> Vec<Step> {
    let opening = format!("{CARRIER}\nVan {index} dropped out; split its stops.");
    let children = (0..random.random_range(2..4)).map(|stop| {
        let text = format!("{CARRIER}\nFind a new slot for stop {stop} of van {index}.");
        vec![
            model(text, random, 30..60),
            service("book", 80, random),
            model("The booking is held; note it.".to_owned(), random, 15..30),
        ]
    });
    let children = children.collect();
    vec![
        model(opening, random, 40..80),
        Step::Spawn(children),
        model(
            "All stops have a slot; write the new route.".to_owned(),
            random,
            40..80,
        ),
        service("confirm", 80, random),
    ]
}

fn model(text: String, random: &mut StdRng, tokens: std::ops::Range<u64>) -> Step {
    let max_tokens = random.random_range(tokens);
    Step::Model { text, max_tokens }
}

fn service(operation: &'static str, about_ms: u64, random: &mut StdRng) -> Step {
    let work = Duration::from_millis(random.random_range(about_ms / 2..about_ms * 2));
    Step::Service { operation, work }
}

fn pause(random: &mut StdRng, milliseconds: std::ops::Range<u64>) -> Step {
    Step::Pause(Duration::from_millis(random.random_range(milliseconds)))
}

/// What every program of the tax side starts with.
const GUIDE: &str = "You help payroll clerks and tax agents with the benefit in kind of company \
    cars. Name the rate, the rule that it comes from and the month from which it applies. Work \
    from the rate table that the tool gives, never from memory. Round down to whole pesewas. Where \
    private use is not stated, ask for it. Where a car is shared, split the benefit by days.";
/// What every program of the delivery side starts with.
const CARRIER: &str = "You agree delivery slots for furniture and appliances. Offer two slots at \
    most at a time. A slot holds for one address and one crew. Stairs without a lift add half an \
    hour. Never promise a slot that the booking tool has not confirmed. Keep answers short: the \
    customer is on the phone.";
