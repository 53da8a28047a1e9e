//! What a changed target does, with the same programs run without the change beside it.

use crate::arrival;
use crate::assume::ASSOCIATION;
use crate::goal::Lines;
use crate::report::median;
use crate::run::{self, Case, Kind, Plan};
use crate::world::{Outcome, Retarget};

/// A class whose target falls, and to what, from half of the run on.
const CHANGES: [(usize, f64); 2] = [(1, 70.0), (2, 300.0)];
/// A class beside it: the explainer.
const OTHER: usize = 0;
/// The load at which this is measured.
const LOAD: f64 = 0.8;

/// The latency of the class in the first target's length after the change, and what it costs the
/// class beside it, both against runs without the change.
pub fn lines(plan: &Plan) -> Lines {
    let mut lines = Lines::new();
    for (class, target) in CHANGES {
        change(plan, class, target, &mut lines);
    }
    lines
}

fn change(plan: &Plan, class: usize, target: f64, lines: &mut Lines) {
    let case = Case {
        scenario: &ASSOCIATION,
        load: LOAD,
        fault: None,
        kind: Kind::Ours,
    };
    let at = plan.horizon / 2.0;
    let change = Retarget { class, at, target };
    let name = case.scenario.classes[class].name;
    let (mut faster, mut lost, mut starved) = (Vec::new(), Vec::new(), Vec::new());
    for seed in plan.first_seed..plan.first_seed + plan.seeds {
        let plans = arrival::plans(case.scenario, LOAD, plan.horizon, seed, None);
        let usual = run::outcome(&case, &plans, plan.horizon, None);
        let changed = run::outcome(&case, &plans, plan.horizon, Some(change));
        let mean = |outcome: &Outcome| latency(&plans, outcome, &change);
        faster.push(mean(&changed) / mean(&usual));
        lost.push(100.0 * (in_target(&plans, &usual) - in_target(&plans, &changed)));
        let waits = changed.fates.iter().zip(&plans);
        let waits = waits.filter(|(_, plan)| plan.class == OTHER);
        starved.push(waits.map(|(fate, _)| fate.waited).fold(0.0, f64::max));
    }
    let mut set =
        |what: &str, value| lines.insert(format!("changed target, {name}: {what}"), value);
    set("mean latency of its class against before", median(faster));
    set("points lost by the class beside it", median(lost));
    set("longest wait of the class beside it, s", median(starved));
}

fn latency(plans: &[arrival::Plan], outcome: &Outcome, change: &Retarget) -> f64 {
    let started = |index: &usize| {
        let (plan, fate) = (&plans[*index], &outcome.fates[*index]);
        let window = change.at..change.at + change.target;
        plan.class == change.class && window.contains(&fate.started)
    };
    let latencies: Vec<f64> = (0..plans.len())
        .filter(started)
        .filter_map(|index| {
            let fate = &outcome.fates[index];
            Some(fate.ended? - fate.started)
        })
        .collect();
    latencies.iter().sum::<f64>() / (latencies.len() as f64).max(1.0)
}

fn in_target(plans: &[arrival::Plan], outcome: &Outcome) -> f64 {
    let target = ASSOCIATION.classes[OTHER].target;
    let others = (0..plans.len()).filter(|index| plans[*index].class == OTHER);
    let (mut met, mut all) = (0.0, 0.0);
    for index in others {
        let fate = &outcome.fates[index];
        all += 1.0;
        if fate
            .ended
            .is_some_and(|ended| ended - fate.started <= target)
        {
            met += 1.0;
        }
    }
    met / all
}
