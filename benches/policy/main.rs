//! Simulates the scheduling policy and baseline schedulers on the same programs, under load and
//! with faults.
//!
//! `cargo bench --bench policy -- [--seed N] [--seeds N] [--load X] [--check] [--json]`

mod adapter;
mod arrival;
mod assume;
mod change;
mod engine;
mod fault;
mod metrics;
mod report;
mod run;
mod scheduler;
mod simulation;

use clap::Parser;
use metrics::Metrics;
use run::Plan;
use std::process::ExitCode;

/// Command line of the benchmark.
#[derive(Debug, Clone, Parser)]
#[expect(clippy::struct_excessive_bools, reason = "switches of a command line")]
struct Options {
    /// First seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of seeds.
    #[arg(long)]
    seeds: Option<u64>,
    /// Run only this load, as a share of the capacity.
    #[arg(long)]
    load: Option<f64>,
    /// Run only the scenario of this name.
    #[arg(long)]
    scenario: Option<String>,
    /// Skip the runs with faults.
    #[arg(long)]
    no_faults: bool,
    /// Run only this project's scheduler: complete, and with each feature disabled in turn.
    #[arg(long)]
    ablate: bool,
    /// Time over which programs arrive, in seconds.
    #[arg(long)]
    horizon: Option<f64>,
    /// Do a shorter run that fails if a metric is out of the bounds in `benches/bounds.json`.
    #[arg(long)]
    check: bool,
    /// Print JSON instead of tables.
    #[arg(long)]
    json: bool,
    /// Number of threads; does not affect the results.
    #[arg(long, default_value_t = 4)]
    jobs: usize,
    /// Passed by cargo; ignored.
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
        print_tables: !options.check,
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
    let results = run::run_all(&plan, &cases);
    let mut values = metrics::collect(&results);
    if !options.ablate && options.load.is_none() && options.scenario.is_none() {
        values.extend(change::metrics(&plan));
    }
    if options.json {
        let rows: Vec<_> = results
            .iter()
            .map(|(case, rows)| serde_json::json!({ "case": case.to_string(), "rows": rows }))
            .collect();
        println!("{}", serde_json::json!({ "runs": rows, "lines": values }));
    } else {
        print(&plan, &results, &values);
    }
    if options.check {
        check(&values)
    } else {
        ExitCode::SUCCESS
    }
}

fn print(plan: &Plan, results: &run::Results, values: &Metrics) {
    println!(
        "medians over seeds {}..{}, programs arrive over {} s",
        plan.first_seed,
        plan.first_seed + plan.seeds,
        plan.horizon
    );
    let mut title = String::new();
    let tables = if plan.print_tables {
        results.as_slice()
    } else {
        &[]
    };
    for (case, rows) in tables {
        if case.title() != title {
            title = case.title();
            report::print_header(&title);
        }
        report::print(&case.kind.to_string(), rows);
    }
    println!();
    for (name, value) in values {
        println!("{name:<60} {value:>10.4}");
    }
}

/// Fails if a metric is out of its bounds.
fn check(values: &Metrics) -> ExitCode {
    let violations = metrics::out_of_bounds(values);
    for violation in &violations {
        eprintln!("out of bounds: {violation}");
    }
    if violations.is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
