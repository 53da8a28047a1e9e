//! The policy under load and faults against baselines, on the same arrivals.
//!
//! `cargo bench --bench policy -- [--seed N] [--seeds N] [--load X] [--check] [--json]`

mod arrival;
mod assume;
mod change;
mod engine;
mod fault;
mod goal;
mod ours;
mod report;
mod run;
mod scheduler;
mod world;

use clap::Parser;
use goal::Lines;
use run::Plan;
use std::process::ExitCode;

/// What to measure.
#[derive(Debug, Clone, Parser)]
#[expect(clippy::struct_excessive_bools, reason = "switches of a command line")]
struct Options {
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// How many seeds to run.
    #[arg(long)]
    seeds: Option<u64>,
    /// Only this share of the capacity.
    #[arg(long)]
    load: Option<f64>,
    /// Only the scenario of this name.
    #[arg(long)]
    scenario: Option<String>,
    /// Leave out the runs with faults.
    #[arg(long)]
    no_faults: bool,
    /// Only ours, whole and with each part switched off in turn.
    #[arg(long)]
    ablate: bool,
    /// Seconds over which programs arrive.
    #[arg(long)]
    horizon: Option<f64>,
    /// A shorter run that fails past the bounds in `benches/bounds.json`.
    #[arg(long)]
    check: bool,
    /// Print JSON.
    #[arg(long)]
    json: bool,
    /// Threads; the figures do not depend on it.
    #[arg(long, default_value_t = 4)]
    jobs: usize,
    /// Given by cargo.
    #[arg(long, hide = true)]
    bench: bool,
}

fn main() -> ExitCode {
    let options = Options::parse();
    let plan = Plan {
        first_seed: options.seed,
        seeds: options.seeds.unwrap_or(if options.check { 3 } else { 10 }),
        horizon: options
            .horizon
            .unwrap_or(if options.check { 300.0 } else { 600.0 }),
        jobs: options.jobs,
        tables: !options.check,
    };
    let cases = if options.ablate {
        run::ablation()
    } else {
        run::cases(
            options.load,
            options.scenario.as_deref(),
            !options.no_faults,
        )
    };
    let results = run::all(&plan, &cases);
    let mut lines = goal::lines(&results);
    if !options.ablate && options.load.is_none() && options.scenario.is_none() {
        lines.extend(change::lines(&plan));
    }
    if options.json {
        let rows: Vec<_> = results
            .iter()
            .map(|(case, rows)| serde_json::json!({ "case": case.to_string(), "rows": rows }))
            .collect();
        println!("{}", serde_json::json!({ "runs": rows, "lines": lines }));
    } else {
        print(&plan, &results, &lines);
    }
    if options.check {
        check(&lines)
    } else {
        ExitCode::SUCCESS
    }
}

fn print(plan: &Plan, results: &run::Results, lines: &Lines) {
    println!(
        "medians over seeds {}..{}, programs arrive over {} s",
        plan.first_seed,
        plan.first_seed + plan.seeds,
        plan.horizon
    );
    let mut title = String::new();
    let tables = if plan.tables { results.as_slice() } else { &[] };
    for (case, rows) in tables {
        if case.title() != title {
            title = case.title();
            report::head(&title);
        }
        report::print(&case.kind.to_string(), rows);
    }
    println!();
    for (name, value) in lines {
        println!("{name:<60} {value:>10.4}");
    }
}

/// Compares the lines with the bounds.
fn check(lines: &Lines) -> ExitCode {
    let faults = goal::past_bounds(lines);
    for fault in &faults {
        eprintln!("past its bound: {fault}");
    }
    if faults.is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
