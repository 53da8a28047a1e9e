//! `standin`: runs a simulated platform service or backend server.

use super::{Exit, internal, runtime, stop_on_signal};
use crate::code::Failure;
use crate::standin::{self, Kind};
use std::net::SocketAddr;

/// Runs until SIGTERM or SIGINT.
pub(crate) fn run(kind: Kind, listen: SocketAddr) -> Result<Exit, Failure> {
    let listener = standin::bind(listen).map_err(|error| internal(&error))?;
    let stop = stop_on_signal()?;
    runtime()?
        .block_on(standin::serve(kind, listener, stop))
        .map_err(|error| internal(&error))?;
    Ok(Exit::Success)
}
