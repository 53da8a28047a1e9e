//! Which runs are made, and their figures.

use crate::arrival::{self, Plan as Program};
use crate::assume::{SCENARIOS, Scenario};
use crate::fault::Fault;
use crate::ours::{Ours, Part};
use crate::report::{self, Rows};
use crate::scheduler::{Affinity, RoundRobin, Scheduler, Shortest};
use crate::world::{Fate, Outcome, Retarget, World};
use std::fmt;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};

/// The loads that are measured.
const LOADS: [f64; 4] = [0.5, 0.8, 1.0, 1.3];
/// The load at which faults are measured.
const FAULT_LOAD: f64 = 0.8;

/// A scheduler.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    RoundRobin,
    Affinity,
    Shortest,
    Ours,
    /// Ours with one part switched off.
    Without(Part),
    /// Each program alone on an idle pool.
    Alone,
}

impl Kind {
    pub const ALL: [Self; 5] = [
        Self::RoundRobin,
        Self::Affinity,
        Self::Shortest,
        Self::Ours,
        Self::Alone,
    ];
    pub const BASELINES: [Self; 3] = [Self::RoundRobin, Self::Affinity, Self::Shortest];
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Without(Part::Gate) => "no gate",
            Self::Without(Part::Estimates) => "no estimate",
            Self::Without(Part::Fill) => "no fill",
            Self::Without(Part::Exports) => "no export",
            Self::Without(Part::Evictions) => "no evict",
            Self::RoundRobin => "round-robin",
            Self::Affinity => "affinity",
            Self::Shortest => "shortest",
            Self::Ours => "ours",
            Self::Alone => "alone",
        })
    }
}

/// One setting that is run with every seed.
#[derive(Debug, Clone, Copy)]
pub struct Case {
    pub scenario: &'static Scenario,
    pub load: f64,
    pub fault: Option<Fault>,
    pub kind: Kind,
}

impl Case {
    pub fn title(&self) -> String {
        let fault = self
            .fault
            .map_or_else(String::new, |fault| format!(", {fault}"));
        format!("{} at load {:.1}{fault}", self.scenario.name, self.load)
    }
}

impl fmt::Display for Case {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.title(), self.kind)
    }
}

/// How often and how long each case is run.
#[derive(Debug, Clone, Copy)]
pub struct Plan {
    pub first_seed: u64,
    pub seeds: u64,
    pub horizon: f64,
    pub jobs: usize,
    /// Whether the tables are printed beside the lines.
    pub tables: bool,
}

/// Medians over the seeds by case.
pub type Results = Vec<(Case, Rows)>;

/// Whether this load is asked for.
fn is(only: Option<f64>, load: f64) -> bool {
    only.is_none_or(|only| (only - load).abs() < 1e-9)
}

/// The cases to run.
pub fn cases(load: Option<f64>, name: Option<&str>, faults: bool) -> Vec<Case> {
    let mut cases = Vec::new();
    for scenario in &SCENARIOS {
        if name.is_some_and(|name| name != scenario.name) {
            continue;
        }
        for load in LOADS.iter().copied().filter(|one| is(load, *one)) {
            cases.extend(Kind::ALL.map(|kind| Case {
                scenario,
                load,
                fault: None,
                kind,
            }));
        }
        if faults && is(load, FAULT_LOAD) {
            cases.extend(Fault::ALL.map(|fault| Case {
                scenario,
                load: FAULT_LOAD,
                fault: Some(fault),
                kind: Kind::Ours,
            }));
        }
    }
    cases
}

/// Ours as it is and with each part switched off in turn.
pub fn ablation() -> Vec<Case> {
    let kinds = Part::ALL.map(Kind::Without);
    let mut cases = Vec::new();
    for scenario in &SCENARIOS {
        for load in LOADS.iter().copied().filter(|load| *load > 0.6) {
            let case = |kind| Case {
                scenario,
                load,
                fault: None,
                kind,
            };
            cases.push(case(Kind::Ours));
            cases.extend(kinds.map(case));
        }
    }
    cases
}

/// Runs every case with every seed.
pub fn all(plan: &Plan, cases: &[Case]) -> Results {
    let seeds: Vec<u64> = (plan.first_seed..plan.first_seed + plan.seeds).collect();
    let next = AtomicUsize::new(0);
    let total = cases.len() * seeds.len();
    let rows = Mutex::new(vec![Rows::new(); total]);
    std::thread::scope(|scope| {
        for _ in 0..plan.jobs {
            scope.spawn(|| {
                loop {
                    let index = next.fetch_add(1, Ordering::Relaxed);
                    if index >= total {
                        return;
                    }
                    let case = &cases[index / seeds.len()];
                    let one = one(case, plan.horizon, seeds[index % seeds.len()]);
                    rows.lock().expect("no thread panics")[index] = one;
                }
            });
        }
    });
    let rows = rows.into_inner().expect("no thread panics");
    let medians = rows.chunks(seeds.len()).map(report::medians);
    cases.iter().copied().zip(medians).collect()
}

fn one(case: &Case, horizon: f64, seed: u64) -> Rows {
    let plans = arrival::plans(case.scenario, case.load, horizon, seed, case.fault);
    let outcome = outcome(case, &plans, horizon, None);
    report::rows(case.scenario, &plans, &outcome)
}

/// Runs one case on these programs.
pub fn outcome(
    case: &Case,
    plans: &[Program],
    horizon: f64,
    retarget: Option<Retarget>,
) -> Outcome {
    let engines = case.scenario.engines;
    match case.kind {
        Kind::RoundRobin => simulate(case, RoundRobin::new(engines), plans, horizon, retarget),
        Kind::Affinity => simulate(case, Affinity::new(engines), plans, horizon, retarget),
        Kind::Shortest => simulate(case, Shortest::new(engines), plans, horizon, retarget),
        Kind::Ours => simulate(
            case,
            Ours::new(case.scenario, None),
            plans,
            horizon,
            retarget,
        ),
        Kind::Without(part) => {
            let ours = Ours::new(case.scenario, Some(part));
            simulate(case, ours, plans, horizon, retarget)
        }
        Kind::Alone => alone(plans),
    }
}

fn simulate(
    case: &Case,
    scheduler: impl Scheduler,
    plans: &[Program],
    horizon: f64,
    retarget: Option<Retarget>,
) -> Outcome {
    World::new(scheduler, case.scenario, plans, horizon)
        .with_fault(case.fault)
        .with_retarget(retarget)
        .run()
}

fn alone(plans: &[Program]) -> Outcome {
    let fate = |index| Fate {
        ended: Some(arrival::alone(plans, index)),
        ..Fate::default()
    };
    Outcome {
        fates: (0..plans.len()).map(fate).collect(),
        ..Outcome::default()
    }
}
