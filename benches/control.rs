//! The cost and the speed of membership at several sizes, full heartbeats against gossip.
//!
//! A number measures that size only, `--gossip` and `--heartbeats` one way only. `--json` prints
//! every figure, `--check` compares the deterministic ones with the bounds in
//! `control_bounds.json`. Figures of the exchange depend on its seeds only; processor time and
//! memory are those of this machine, and are never checked.

#[path = "control/exchange.rs"]
#[allow(dead_code, reason = "the tests use the rest")]
mod exchange;
#[path = "control/heartbeats.rs"]
mod heartbeats;
#[path = "control/measure.rs"]
mod measure;

use serde_json::{Value, json};
use std::process::ExitCode;

const SIZES: [usize; 5] = [12, 50, 100, 200, 430];
const BOUNDS: &str = include_str!("control_bounds.json");

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let asked = |name: &str| arguments.iter().any(|argument| argument == name);
    if asked("--check") {
        return check();
    }
    let only: Option<usize> = arguments.iter().find_map(|argument| argument.parse().ok());
    for size in SIZES
        .into_iter()
        .filter(|size| only.is_none_or(|only| only == *size))
    {
        if !asked("--gossip") {
            print(&measure::heartbeats(size), asked("--json"));
        }
        if !asked("--heartbeats") {
            print(&measure::gossip(size, measure::TABLE), asked("--json"));
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

/// Compares the figures at the sizes of the bounds with them; prints each that is over.
fn check() -> ExitCode {
    let bounds: Value = serde_json::from_str(BOUNDS).expect("the bounds are JSON");
    let mut over = 0;
    for bound in bounds["gossip"].as_array().into_iter().flatten() {
        let size = bound["vms"]
            .as_u64()
            .and_then(|size| usize::try_from(size).ok());
        let size = size.expect("each bound has a size");
        let row = measure::gossip(size, measure::CHECK);
        for (name, most) in bound["most"].as_object().into_iter().flatten() {
            let figure = row[name].as_f64().unwrap_or(f64::INFINITY);
            if figure > most.as_f64().unwrap_or(0.0) {
                over += 1;
                println!("{} VMs: {name} is {figure}, over {most}", row["vms"]);
            }
        }
    }
    println!("{}", json!({ "over": over }));
    if over == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
