//! Figures per class and in total, medians over the seeds, and table output.

use crate::arrival::Plan;
use crate::assume::Scenario;
use crate::simulation::Outcome;
use serde::Serialize;
use std::collections::BTreeMap;

/// Figures of a class or of a group of classes, of one run or as medians over runs.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Figures {
    pub programs: f64,
    /// Share of all programs that finished within their target.
    pub in_target: f64,
    /// Share of the admitted programs that finished within their target.
    pub admitted_in_target: f64,
    /// Share of the programs that were refused admission.
    pub refused: f64,
    /// Percentiles of the duration of admitted programs, in seconds.
    pub p50: f64,
    pub p95: f64,
    pub p99: f64,
    /// Prefill tokens computed again because the cache was lost.
    pub wasted: f64,
    /// Token-seconds of cache held for programs that have ended.
    pub held_ended: f64,
    /// Jain's fairness index of the callers' shares of programs within target.
    pub jain: f64,
    /// Longest time that a call waited for an engine, in seconds.
    pub starved: f64,
}

/// Figures by class; `all` covers every class, `waiting` those with a waiting caller.
pub type Rows = BTreeMap<String, Figures>;

fn quantile(sorted: &[f64], share: f64) -> f64 {
    if sorted.is_empty() {
        return 0.0;
    }
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "an index"
    )]
    let index = ((sorted.len() - 1) as f64 * share).round() as usize;
    sorted[index]
}

fn jain(shares: impl Iterator<Item = f64> + Clone) -> f64 {
    let count = shares.clone().count() as f64;
    let sum: f64 = shares.clone().sum();
    let squares: f64 = shares.map(|share| share * share).sum();
    if squares == 0.0 {
        0.0
    } else {
        sum * sum / (count * squares)
    }
}

/// Figures of one run, without looping programs and sub-agents.
pub fn rows(scenario: &Scenario, plans: &[Plan], outcome: &Outcome) -> Rows {
    let mut groups: BTreeMap<String, Vec<usize>> = BTreeMap::new();
    for (index, plan) in plans.iter().enumerate() {
        if plan.parent.is_some() || plan.loops {
            continue;
        }
        let class = &scenario.classes[plan.class];
        groups.entry(class.name.to_owned()).or_default().push(index);
        groups.entry("all".into()).or_default().push(index);
        if class.waiting {
            groups.entry("waiting".into()).or_default().push(index);
        }
    }
    let mut rows: Rows = groups
        .into_iter()
        .map(|(name, group)| (name, figures(scenario, plans, outcome, &group)))
        .collect();
    if let Some(all) = rows.get_mut("all") {
        all.held_ended = outcome.held_after_end;
        all.wasted = outcome
            .programs
            .iter()
            .map(|state| state.wasted as f64)
            .sum();
    }
    rows
}

fn figures(scenario: &Scenario, plans: &[Plan], outcome: &Outcome, group: &[usize]) -> Figures {
    let mut latencies = Vec::new();
    let (mut in_time, mut refused, mut wasted, mut starved) = (0.0, 0.0, 0.0, 0.0_f64);
    let mut callers: BTreeMap<usize, (f64, f64)> = BTreeMap::new();
    for index in group {
        let (plan, state) = (&plans[*index], &outcome.programs[*index]);
        let caller = callers.entry(plan.caller).or_default();
        caller.1 += 1.0;
        wasted += state.wasted as f64;
        starved = starved.max(state.longest_wait);
        if state.refused {
            refused += 1.0;
            continue;
        }
        let latency = state
            .ended_at
            .map_or(f64::MAX, |ended_at| ended_at - state.started_at);
        latencies.push(latency);
        if latency <= scenario.classes[plan.class].target {
            in_time += 1.0;
            caller.0 += 1.0;
        }
    }
    latencies.sort_by(f64::total_cmp);
    let programs = group.len() as f64;
    Figures {
        programs,
        in_target: in_time / programs,
        admitted_in_target: in_time / (latencies.len() as f64).max(1.0),
        refused: refused / programs,
        p50: quantile(&latencies, 0.50),
        p95: quantile(&latencies, 0.95),
        p99: quantile(&latencies, 0.99),
        wasted,
        held_ended: 0.0,
        jain: jain(callers.values().map(|(in_time, all)| in_time / all)),
        starved,
    }
}

pub fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    let middle = values.len() / 2;
    if values.len() % 2 == 1 {
        values[middle]
    } else {
        f64::midpoint(values[middle - 1], values[middle])
    }
}

/// Median of each figure over the runs.
pub fn medians(runs: &[Rows]) -> Rows {
    let names = runs.first().into_iter().flat_map(BTreeMap::keys);
    let medians_of = |name: &String| {
        let median_of = |figure: fn(&Figures) -> f64| {
            median(
                runs.iter()
                    .filter_map(|run| run.get(name))
                    .map(figure)
                    .collect(),
            )
        };
        Figures {
            programs: median_of(|row| row.programs),
            in_target: median_of(|row| row.in_target),
            admitted_in_target: median_of(|row| row.admitted_in_target),
            refused: median_of(|row| row.refused),
            p50: median_of(|row| row.p50),
            p95: median_of(|row| row.p95),
            p99: median_of(|row| row.p99),
            wasted: median_of(|row| row.wasted),
            held_ended: median_of(|row| row.held_ended),
            jain: median_of(|row| row.jain),
            starved: median_of(|row| row.starved),
        }
    };
    names.map(|name| (name.clone(), medians_of(name))).collect()
}

pub fn print(scheduler: &str, rows: &Rows) {
    for (class, row) in rows {
        println!(
            "{scheduler:<12} {class:<12} {:>6.0} {:>7.3} {:>7.3} {:>7.3} {:>8.1} {:>8.1} {:>8.1} \
             {:>10.0} {:>9.0} {:>6.3} {:>7.1}",
            row.programs,
            row.in_target,
            row.admitted_in_target,
            row.refused,
            row.p50,
            row.p95,
            row.p99,
            row.wasted,
            row.held_ended,
            row.jain,
            row.starved,
        );
    }
}

pub fn print_header(title: &str) {
    println!("\n{title}");
    println!(
        "{:<12} {:<12} {:>6} {:>7} {:>7} {:>7} {:>8} {:>8} {:>8} {:>10} {:>9} {:>6} {:>7}",
        "scheduler",
        "class",
        "progs",
        "in tgt",
        "adm tgt",
        "refused",
        "p50 s",
        "p95 s",
        "p99 s",
        "wasted",
        "held",
        "jain",
        "starved"
    );
}
