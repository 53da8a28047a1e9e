//! `gateway`: runs the gateway of one VM.

use super::Exit;
use crate::code::Failure;
use crate::gateway;
use crate::settings::Gateway;
use crate::telemetry::log_to_stdout;
use spdlog::{Level, LevelFilter};
use std::path::Path;

/// Runs until SIGTERM or SIGINT.
pub(crate) fn run(path: &Path) -> Result<Exit, Failure> {
    let settings = Gateway::load(path)?;
    log_to_stdout(LevelFilter::MoreSevereEqual(Level::Info));
    gateway::run(path, settings)?;
    Ok(Exit::Success)
}
