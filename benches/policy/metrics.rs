//! Named metrics of all runs, and the bounds that the check enforces.

use crate::fault::Fault;
use crate::report::Figures;
use crate::run::{Case, Kind, Results};
use serde::Deserialize;
use std::collections::BTreeMap;

/// Metric values by name.
pub type Metrics = BTreeMap<String, f64>;

/// Allowed range of a metric.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
struct Bound {
    min: Option<f64>,
    max: Option<f64>,
}

struct Table<'a>(&'a Results);

impl Table<'_> {
    fn row(&self, case: &Case, kind: Kind, fault: Option<Fault>, class: &str) -> Option<&Figures> {
        let is_same = |other: &Case| {
            other.scenario.name == case.scenario.name
                && (other.load - case.load).abs() < 1e-9
                && other.kind == kind
                && other.fault == fault
        };
        let (_, rows) = self.0.iter().find(|(other, _)| is_same(other))?;
        rows.get(class)
    }

    /// Best value among the baselines, for a figure of a class.
    fn best(&self, case: &Case, class: &str, value: fn(&Figures) -> f64, highest: bool) -> f64 {
        let values = Kind::BASELINES
            .iter()
            .filter_map(|kind| self.row(case, *kind, None, class))
            .map(value);
        if highest {
            values.fold(0.0, f64::max)
        } else {
            values.fold(f64::MAX, f64::min)
        }
    }
}

/// Computes the metrics from the results.
pub fn collect(results: &Results) -> Metrics {
    let table = Table(results);
    let mut metrics = Metrics::new();
    for (case, rows) in results.iter().filter(|(case, _)| case.kind == Kind::Policy) {
        let (Some(all), Some(waiting)) = (rows.get("all"), rows.get("waiting")) else {
            continue;
        };
        let mut set = |name: &str, value: f64| {
            metrics.insert(format!("{}: {name}", case.title()), value);
        };
        set("in target", all.in_target);
        set("token-seconds held for ended programs", all.held_ended);
        if case.fault.is_some() {
            let without_fault = table.row(case, Kind::Policy, None, "all");
            if let Some(without_fault) = without_fault {
                set(
                    "points lost to the fault",
                    100.0 * (without_fault.in_target - all.in_target),
                );
            }
            continue;
        }
        let worst_class = case.scenario.classes.iter().filter(|class| class.waiting);
        let worst_class = worst_class
            .filter_map(|class| rows.get(class.name))
            .map(|row| row.in_target)
            .fold(1.0, f64::min);
        set("least class with a caller in target", worst_class);
        set("admitted in target", all.admitted_in_target);
        set("refused", all.refused);
        set("p95 with a caller", waiting.p95);
        let best = table.best(case, "all", |row| row.in_target, true);
        set("in target against the best baseline", all.in_target / best);
        let best = table.best(case, "waiting", |row| row.p95, false);
        set(
            "p95 with a caller against the best baseline",
            waiting.p95 / best,
        );
        if let Some(affinity) = table.row(case, Kind::Affinity, None, "all") {
            set(
                "wasted prefill against affinity",
                all.wasted / affinity.wasted.max(1.0),
            );
        }
    }
    metrics
}

/// Metrics that are out of bounds, and bounds whose metric was not measured.
pub fn out_of_bounds(metrics: &Metrics) -> Vec<String> {
    let text = include_str!("../bounds.json");
    let bounds: BTreeMap<String, Bound> =
        serde_json::from_str(text).expect("the bounds are valid JSON");
    let mut violations = Vec::new();
    for (name, bound) in bounds {
        match metrics.get(&name) {
            None => violations.push(format!("{name}: not measured")),
            Some(value) => {
                let too_low = bound.min.is_some_and(|min| *value < min);
                let too_high = bound.max.is_some_and(|max| *value > max);
                if too_low || too_high {
                    violations.push(format!("{name}: {value:.4}, bound {bound:?}"));
                }
            }
        }
    }
    violations
}
