//! `trial`: runs a load test in one process.

use super::{Exit, print_json};
use crate::code::Failure;
use crate::telemetry::log_to_stderr;
use crate::trial::{self, Options};
use spdlog::{Level, LevelFilter};

/// Runs a trial and prints its report; violated invariants have their own exit code.
pub(crate) fn run(options: &Options, verbose: bool, json: bool) -> Result<Exit, Failure> {
    let level = if verbose {
        Level::Info
    } else {
        Level::Critical
    };
    log_to_stderr(LevelFilter::MoreSevereEqual(level));
    let report = trial::run(options)?;
    if json {
        print_json(&report)?;
    } else {
        print!("{report}");
    }
    Ok(if report.invariants_hold() {
        Exit::Success
    } else {
        Exit::InvariantViolated
    })
}
