//! `serve`: runs the scheduler of one VM.

use super::{Exit, stop_on_signal};
use crate::code::Failure;
use crate::serve::{self, Sockets};
use crate::settings::Settings;
use crate::telemetry::log_to_stderr;
use spdlog::{Level, LevelFilter};
use std::path::Path;

/// Runs until SIGTERM or SIGINT.
pub(crate) fn run(settings: &Path) -> Result<Exit, Failure> {
    let settings = Settings::load(settings)?;
    log_to_stderr(LevelFilter::MoreSevereEqual(Level::Info));
    let sockets = Sockets::bind(&settings.listen)?;
    serve::run(&settings, sockets, &stop_on_signal()?);
    Ok(Exit::Success)
}
