//! The lines to reach, as figures with names, and the bounds past which a check fails.

use crate::fault::Fault;
use crate::report::Figures;
use crate::run::{Case, Kind, Results};
use serde::Deserialize;
use std::collections::BTreeMap;

/// Figures by name.
pub type Lines = BTreeMap<String, f64>;

/// What a figure must keep to.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
struct Bound {
    min: Option<f64>,
    max: Option<f64>,
}

struct Found<'a>(&'a Results);

impl Found<'_> {
    fn row(&self, case: &Case, kind: Kind, fault: Option<Fault>, class: &str) -> Option<&Figures> {
        let same = |other: &Case| {
            other.scenario.name == case.scenario.name
                && (other.load - case.load).abs() < 1e-9
                && other.kind == kind
                && other.fault == fault
        };
        let (_, rows) = self.0.iter().find(|(other, _)| same(other))?;
        rows.get(class)
    }

    /// The best of the baselines by a figure of a class.
    fn best(&self, case: &Case, class: &str, figure: fn(&Figures) -> f64, most: bool) -> f64 {
        let values = Kind::BASELINES
            .iter()
            .filter_map(|kind| self.row(case, *kind, None, class))
            .map(figure);
        if most {
            values.fold(0.0, f64::max)
        } else {
            values.fold(f64::MAX, f64::min)
        }
    }
}

/// The lines of these results.
pub fn lines(results: &Results) -> Lines {
    let found = Found(results);
    let mut lines = Lines::new();
    for (case, rows) in results.iter().filter(|(case, _)| case.kind == Kind::Ours) {
        let (Some(all), Some(waiting)) = (rows.get("all"), rows.get("waiting")) else {
            continue;
        };
        let mut set = |what: &str, value: f64| {
            lines.insert(format!("{}: {what}", case.title()), value);
        };
        set("in target", all.in_target);
        set("token-seconds held for ended programs", all.held_ended);
        if case.fault.is_some() {
            let usual = found.row(case, Kind::Ours, None, "all");
            if let Some(usual) = usual {
                set(
                    "points lost to the fault",
                    100.0 * (usual.in_target - all.in_target),
                );
            }
            continue;
        }
        let least = case.scenario.classes.iter().filter(|class| class.waiting);
        let least = least
            .filter_map(|class| rows.get(class.name))
            .map(|row| row.in_target)
            .fold(1.0, f64::min);
        set("least class with a caller in target", least);
        set("admitted in target", all.admitted_in_target);
        set("refused", all.refused);
        set("p95 with a caller", waiting.p95);
        let best = found.best(case, "all", |row| row.in_target, true);
        set("in target against the best baseline", all.in_target / best);
        let best = found.best(case, "waiting", |row| row.p95, false);
        set(
            "p95 with a caller against the best baseline",
            waiting.p95 / best,
        );
        if let Some(affinity) = found.row(case, Kind::Affinity, None, "all") {
            set(
                "wasted prefill against affinity",
                all.wasted / affinity.wasted.max(1.0),
            );
        }
    }
    lines
}

/// The lines that are past their bound, or have none where one is stated.
pub fn past_bounds(lines: &Lines) -> Vec<String> {
    let text = include_str!("../bounds.json");
    let bounds: BTreeMap<String, Bound> =
        serde_json::from_str(text).expect("the bounds are well formed");
    let mut faults = Vec::new();
    for (name, bound) in bounds {
        match lines.get(&name) {
            None => faults.push(format!("{name}: not measured")),
            Some(value) => {
                let low = bound.min.is_some_and(|min| *value < min);
                let high = bound.max.is_some_and(|max| *value > max);
                if low || high {
                    faults.push(format!("{name}: {value:.4}, bound {bound:?}"));
                }
            }
        }
    }
    faults
}
