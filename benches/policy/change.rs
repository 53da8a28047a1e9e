//! Measures the effect of changing the target of a class during a run, compared with the same run
//! without the change.

use crate::arrival;
use crate::assume::ASSOCIATION;
use crate::metrics::Metrics;
use crate::report::median;
use crate::run::{self, Case, Kind, Plan};
use crate::simulation::{Outcome, Retarget};

/// Classes whose target is reduced in the middle of the run, and the new targets in seconds.
const NEW_TARGETS: [(usize, f64); 2] = [(1, 70.0), (2, 300.0)];
/// Class with an unchanged target (the explainer).
const OTHER_CLASS: usize = 0;
const LOAD: f64 = 0.8;

/// Latency of programs of the changed class that start within one target after the change, and the
/// losses of the other class, both relative to runs without the change.
pub fn metrics(plan: &Plan) -> Metrics {
    let mut values = Metrics::new();
    for (class, target) in NEW_TARGETS {
        measure(plan, class, target, &mut values);
    }
    values
}

fn measure(plan: &Plan, class: usize, target: f64, values: &mut Metrics) {
    let case = Case {
        scenario: &ASSOCIATION,
        load: LOAD,
        fault: None,
        kind: Kind::Policy,
    };
    let at = plan.horizon / 2.0;
    let retarget = Retarget { class, at, target };
    let name = case.scenario.classes[class].name;
    let (mut latency_ratios, mut points_lost, mut longest_waits) =
        (Vec::new(), Vec::new(), Vec::new());
    for seed in plan.first_seed..plan.first_seed + plan.seeds {
        let plans = arrival::plans(case.scenario, LOAD, plan.horizon, seed, None);
        let unchanged = run::outcome(&case, &plans, plan.horizon, None);
        let changed = run::outcome(&case, &plans, plan.horizon, Some(retarget));
        let latency_of = |outcome: &Outcome| mean_latency(&plans, outcome, &retarget);
        latency_ratios.push(latency_of(&changed) / latency_of(&unchanged));
        points_lost.push(100.0 * (in_target(&plans, &unchanged) - in_target(&plans, &changed)));
        let others = changed.programs.iter().zip(&plans);
        let others = others.filter(|(_, plan)| plan.class == OTHER_CLASS);
        longest_waits.push(
            others
                .map(|(state, _)| state.longest_wait)
                .fold(0.0, f64::max),
        );
    }
    let mut set =
        |what: &str, value| values.insert(format!("changed target, {name}: {what}"), value);
    set(
        "mean latency of its class against before",
        median(latency_ratios),
    );
    set("points lost by the class beside it", median(points_lost));
    set(
        "longest wait of the class beside it, s",
        median(longest_waits),
    );
}

fn mean_latency(plans: &[arrival::Plan], outcome: &Outcome, retarget: &Retarget) -> f64 {
    let started_in_window = |index: &usize| {
        let (plan, state) = (&plans[*index], &outcome.programs[*index]);
        let window = retarget.at..retarget.at + retarget.target;
        plan.class == retarget.class && window.contains(&state.started_at)
    };
    let latencies: Vec<f64> = (0..plans.len())
        .filter(started_in_window)
        .filter_map(|index| {
            let state = &outcome.programs[index];
            Some(state.ended_at? - state.started_at)
        })
        .collect();
    latencies.iter().sum::<f64>() / (latencies.len() as f64).max(1.0)
}

fn in_target(plans: &[arrival::Plan], outcome: &Outcome) -> f64 {
    let target = ASSOCIATION.classes[OTHER_CLASS].target;
    let others = (0..plans.len()).filter(|index| plans[*index].class == OTHER_CLASS);
    let (mut in_time, mut all) = (0.0, 0.0);
    for index in others {
        let state = &outcome.programs[index];
        all += 1.0;
        if state
            .ended_at
            .is_some_and(|ended_at| ended_at - state.started_at <= target)
        {
            in_time += 1.0;
        }
    }
    in_time / all
}
