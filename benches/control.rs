//! Compares the gossip membership protocol with full heartbeats: traffic, processor time, memory
//! and detection times, for several cluster sizes.
//!
//! A number as argument selects one size, `--gossip` or `--heartbeats` one protocol. `--json`
//! prints JSON. `--check` compares the figures with the bounds in `control_bounds.json`. Only
//! processor time and memory depend on the machine, and these are not checked.

#[path = "control/exchange.rs"]
#[allow(dead_code, reason = "the tests use the rest")]
mod exchange;
#[path = "control/heartbeats.rs"]
mod heartbeats;
#[path = "control/measure.rs"]
mod measure;

use serde_json::{Value, json};
use std::process::ExitCode;

const CLUSTER_SIZES: [usize; 5] = [12, 50, 100, 200, 430];
const BOUNDS: &str = include_str!("control_bounds.json");

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let has_flag = |name: &str| arguments.iter().any(|argument| argument == name);
    if has_flag("--check") {
        return check();
    }
    let only_size: Option<usize> = arguments.iter().find_map(|argument| argument.parse().ok());
    for size in CLUSTER_SIZES
        .into_iter()
        .filter(|size| only_size.is_none_or(|wanted| wanted == *size))
    {
        if !has_flag("--gossip") {
            print(&measure::heartbeats(size), has_flag("--json"));
        }
        if !has_flag("--heartbeats") {
            print(
                &measure::gossip(size, measure::TABLE_SCENARIO),
                has_flag("--json"),
            );
        }
    }
    ExitCode::SUCCESS
}

fn print(row: &Value, json: bool) {
    if json {
        println!("{row}");
        return;
    }
    println!("{} VMs, {}", row["vms"], row["way"]);
    for (name, value) in row.as_object().into_iter().flatten() {
        println!("    {name:32} {value}");
    }
}

/// Measures each size that has bounds and prints the figures that exceed them.
fn check() -> ExitCode {
    let bounds: Value = serde_json::from_str(BOUNDS).expect("the bounds are JSON");
    let mut exceeded = 0;
    for bound in bounds["gossip"].as_array().into_iter().flatten() {
        let size = bound["vms"]
            .as_u64()
            .and_then(|size| usize::try_from(size).ok());
        let size = size.expect("each bound has a size");
        let row = measure::gossip(size, measure::CHECK_SCENARIO);
        for (name, max) in bound["most"].as_object().into_iter().flatten() {
            let figure = row[name].as_f64().unwrap_or(f64::INFINITY);
            if figure > max.as_f64().unwrap_or(0.0) {
                exceeded += 1;
                println!("{} VMs: {name} is {figure}, over {max}", row["vms"]);
            }
        }
    }
    println!("{}", json!({ "over": exceeded }));
    if exceeded == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
