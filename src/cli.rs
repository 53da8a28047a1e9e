//! The command line; nothing else knows of its library.

use crate::code::{Code, Failure};
use crate::serve::{self, Sockets};
use crate::settings::Settings;
use crate::standin;
use crate::telemetry::log_to_stderr;
use clap::{Parser, Subcommand};
use spdlog::LevelFilter;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use tokio::signal::unix::{SignalKind, signal};
use tokio_util::sync::CancellationToken;

/// A scheduler for agent programs whose callers are impatient.
#[derive(Debug, Parser)]
#[command(version, max_term_width = 100)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Serve as one VM.
    Serve {
        /// The settings file.
        #[arg(long)]
        settings: PathBuf,
    },
    /// Run a small stand-in for the platform or a backend server.
    Standin {
        /// Which.
        #[arg(value_enum)]
        kind: standin::Kind,
        /// Where it listens.
        #[arg(long)]
        listen: SocketAddr,
    },
    /// Check a settings file.
    Check {
        /// The settings file.
        settings: PathBuf,
    },
}

/// How the process ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Exit {
    Success,
    Failed,
    BadInput,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        match exit {
            Exit::Success => Self::SUCCESS,
            Exit::Failed => Self::FAILURE,
            Exit::BadInput => Self::from(2),
        }
    }
}

/// Runs the command line of this process.
#[must_use]
pub fn main() -> ExitCode {
    match run(Arguments::parse().command) {
        Ok(()) => Exit::Success.into(),
        Err(failure) => {
            eprintln!("vanillatrail: {failure}");
            exit_of(&failure).into()
        }
    }
}

fn exit_of(failure: &Failure) -> Exit {
    match failure.code {
        Code::BadSettings | Code::BadConfig | Code::BadBody => Exit::BadInput,
        _ => Exit::Failed,
    }
}

fn run(command: Command) -> Result<(), Failure> {
    match command {
        Command::Serve { settings } => {
            let settings = Settings::load(&settings)?;
            log_to_stderr(LevelFilter::MoreSevereEqual(spdlog::Level::Info));
            let sockets = Sockets::bind(&settings.listen)?;
            serve::run(&settings, sockets, &stop_on_signal()?);
            Ok(())
        }
        Command::Standin { kind, listen } => {
            let listener = standin::bind(listen).map_err(|error| internal(&error))?;
            let stop = stop_on_signal()?;
            runtime()?
                .block_on(standin::serve(kind, listener, stop))
                .map_err(|error| internal(&error))
        }
        Command::Check { settings } => {
            Settings::load(&settings)?;
            println!("{}: ok", settings.display());
            Ok(())
        }
    }
}

fn internal(error: &std::io::Error) -> Failure {
    Failure::refused(Code::Internal, error.to_string())
}

fn runtime() -> Result<tokio::runtime::Runtime, Failure> {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| internal(&error))
}

/// A token that is cancelled at the first SIGTERM or SIGINT.
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
