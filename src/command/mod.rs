//! Implementation of the commands; `cli` only parses their options.

pub(crate) mod check;
mod client;
pub(crate) mod config;
pub(crate) mod describe;
pub(crate) mod explain;
pub(crate) mod gateway;
pub(crate) mod key;
mod paint;
pub(crate) mod program;
pub(crate) mod serve;
pub(crate) mod standin;
pub(crate) mod state;
pub(crate) mod trial;

use crate::code::{Code, Failure, Ran};
use std::process::ExitCode;
use tokio::runtime::Runtime;
use tokio::signal::unix::{SignalKind, signal};
use tokio_util::sync::CancellationToken;

/// Exit code of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Exit {
    Success = 0,
    Failed = 1,
    /// Arguments, a file or a request body are invalid.
    BadInput = 2,
    /// A trial found a violated invariant.
    InvariantViolated = 3,
    /// A server can't be reached.
    Unreachable = 4,
    /// The request was refused and did not run.
    Refused = 5,
    /// The request was sent and its outcome is unknown.
    Unknown = 6,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}

impl From<&Failure> for Exit {
    fn from(failure: &Failure) -> Self {
        match (failure.code, failure.ran) {
            (Code::BadSettings | Code::BadConfig | Code::BadBody | Code::NewerSchema, _) => {
                Self::BadInput
            }
            (Code::Unreachable, _) => Self::Unreachable,
            (Code::OutcomeUnknown, _) | (_, Ran::Unknown) => Self::Unknown,
            (Code::Internal, _) | (_, Ran::Yes) => Self::Failed,
            (_, Ran::No) => Self::Refused,
        }
    }
}

fn runtime() -> Result<Runtime, Failure> {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| internal(&error))
}

fn internal(error: &std::io::Error) -> Failure {
    Failure::refused(Code::Internal, error.to_string())
}

/// Returns a token that is cancelled on SIGTERM or SIGINT.
fn stop_on_signal() -> Result<CancellationToken, Failure> {
    let stop = CancellationToken::new();
    let token = stop.clone();
    let runtime = runtime()?;
    std::thread::spawn(move || {
        runtime.block_on(async {
            let (Ok(mut terminate), Ok(mut interrupt)) = (
                signal(SignalKind::terminate()),
                signal(SignalKind::interrupt()),
            ) else {
                return;
            };
            tokio::select! { _ = terminate.recv() => {}, _ = interrupt.recv() => {} }
            token.cancel();
        });
    });
    Ok(stop)
}

fn print_json(value: &impl serde::Serialize) -> Result<(), Failure> {
    let text = serde_json::to_string_pretty(value)
        .map_err(|error| Failure::refused(Code::Internal, error.to_string()))?;
    println!("{text}");
    Ok(())
}
