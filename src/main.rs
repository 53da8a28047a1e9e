//! The `vanillatrail` binary.

use std::process::ExitCode;
use vanillatrail::cli;

fn main() -> ExitCode {
    cli::main()
}
