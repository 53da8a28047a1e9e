//! Selects the cases and runs them in parallel.

use crate::adapter::{Adapter, Feature};
use crate::arrival::{self, Plan as Program};
use crate::assume::{SCENARIOS, Scenario};
use crate::fault::Fault;
use crate::report::{self, Rows};
use crate::scheduler::{Affinity, RoundRobin, Scheduler, Shortest};
use crate::simulation::{Outcome, ProgramState, Retarget, Simulation};
use std::fmt;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Loads, relative to the capacity of the engines.
const LOADS: [f64; 4] = [0.5, 0.8, 1.0, 1.3];
/// Load of the runs with faults.
const FAULT_LOAD: f64 = 0.8;

/// Scheduler under test.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    RoundRobin,
    Affinity,
    Shortest,
    Policy,
    /// The policy with one feature disabled.
    Ablated(Feature),
    /// Lower bound: each program runs alone on an idle pool.
    Alone,
}

impl Kind {
    pub const ALL: [Self; 5] = [
        Self::RoundRobin,
        Self::Affinity,
        Self::Shortest,
        Self::Policy,
        Self::Alone,
    ];
    pub const BASELINES: [Self; 3] = [Self::RoundRobin, Self::Affinity, Self::Shortest];
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Ablated(Feature::Admission) => "no gate",
            Self::Ablated(Feature::Estimates) => "no estimate",
            Self::Ablated(Feature::Backfill) => "no fill",
            Self::Ablated(Feature::Exports) => "no export",
            Self::Ablated(Feature::Evictions) => "no evict",
            Self::RoundRobin => "round-robin",
            Self::Affinity => "affinity",
            Self::Shortest => "shortest",
            Self::Policy => "ours",
            Self::Alone => "alone",
        })
    }
}

/// Setting that is run with every seed.
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

/// Number and length of the runs of each case.
#[derive(Debug, Clone, Copy)]
pub struct Plan {
    pub first_seed: u64,
    pub seeds: u64,
    /// Time over which programs arrive, in seconds.
    pub horizon: f64,
    pub jobs: usize,
    /// Whether to print the tables in addition to the metrics.
    pub print_tables: bool,
}

/// Medians over the seeds, for each case.
pub type Results = Vec<(Case, Rows)>;

/// Whether the command line selects this load.
fn matches_load(selected: Option<f64>, load: f64) -> bool {
    selected.is_none_or(|selected| (selected - load).abs() < 1e-9)
}

/// Cases of all schedulers, and of the policy with each fault.
pub fn cases(load: Option<f64>, name: Option<&str>, faults: bool) -> Vec<Case> {
    let mut cases = Vec::new();
    for scenario in &SCENARIOS {
        if name.is_some_and(|name| name != scenario.name) {
            continue;
        }
        for load in LOADS
            .iter()
            .copied()
            .filter(|candidate| matches_load(load, *candidate))
        {
            cases.extend(Kind::ALL.map(|kind| Case {
                scenario,
                load,
                fault: None,
                kind,
            }));
        }
        if faults && matches_load(load, FAULT_LOAD) {
            cases.extend(Fault::ALL.map(|fault| Case {
                scenario,
                load: FAULT_LOAD,
                fault: Some(fault),
                kind: Kind::Policy,
            }));
        }
    }
    cases
}

/// Cases of the complete policy and of the policy with each feature disabled in turn.
pub fn ablation() -> Vec<Case> {
    let kinds = Feature::ALL.map(Kind::Ablated);
    let mut cases = Vec::new();
    for scenario in &SCENARIOS {
        for load in LOADS.iter().copied().filter(|load| *load > 0.6) {
            let case = |kind| Case {
                scenario,
                load,
                fault: None,
                kind,
            };
            cases.push(case(Kind::Policy));
            cases.extend(kinds.map(case));
        }
    }
    cases
}

/// Runs every case with every seed and takes the medians.
pub fn run_all(plan: &Plan, cases: &[Case]) -> Results {
    let seeds: Vec<u64> = (plan.first_seed..plan.first_seed + plan.seeds).collect();
    let next_index = AtomicUsize::new(0);
    let run_count = cases.len() * seeds.len();
    let rows = Mutex::new(vec![Rows::new(); run_count]);
    std::thread::scope(|scope| {
        for _ in 0..plan.jobs {
            scope.spawn(|| {
                loop {
                    let index = next_index.fetch_add(1, Ordering::Relaxed);
                    if index >= run_count {
                        return;
                    }
                    let case = &cases[index / seeds.len()];
                    let rows_of_case = run_case(case, plan.horizon, seeds[index % seeds.len()]);
                    rows.lock().expect("no thread panics")[index] = rows_of_case;
                }
            });
        }
    });
    let rows = rows.into_inner().expect("no thread panics");
    let medians = rows.chunks(seeds.len()).map(report::medians);
    cases.iter().copied().zip(medians).collect()
}

fn run_case(case: &Case, horizon: f64, seed: u64) -> Rows {
    let plans = arrival::plans(case.scenario, case.load, horizon, seed, case.fault);
    let outcome = outcome(case, &plans, horizon, None);
    report::rows(case.scenario, &plans, &outcome)
}

/// Runs one case with the given programs.
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
        Kind::Policy => simulate(
            case,
            Adapter::new(case.scenario, None),
            plans,
            horizon,
            retarget,
        ),
        Kind::Ablated(feature) => {
            let adapter = Adapter::new(case.scenario, Some(feature));
            simulate(case, adapter, plans, horizon, retarget)
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
    Simulation::new(scheduler, case.scenario, plans, horizon)
        .with_fault(case.fault)
        .with_retarget(retarget)
        .run()
}

fn alone(plans: &[Program]) -> Outcome {
    let state = |index| ProgramState {
        ended_at: Some(arrival::time_alone(plans, index)),
        ..ProgramState::default()
    };
    Outcome {
        programs: (0..plans.len()).map(state).collect(),
        ..Outcome::default()
    }
}
