//! Command-line arguments. No other module depends on the argument parser.

use crate::code::{Code, Failure};
use crate::command::config::Apply;
use crate::command::program::Action;
use crate::command::{self, Exit};
use crate::explain::Field;
use crate::id::{Call, Class, Offset, Program, Tokens};
use crate::{standin, trial};
use clap::{Args, CommandFactory, Parser, Subcommand, ValueEnum};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

const EXIT_CODES: &str = "Exit codes: 0 success; 1 failure; 2 invalid input; 3 invariant violated \
    (trial); 4 address unreachable; 5 request refused, nothing was run; 6 request sent, outcome \
    unknown";

/// A scheduler for latency-sensitive agent programs.
#[derive(Debug, Parser)]
#[command(version, max_term_width = 100, after_help = EXIT_CODES)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Run a load test in this process: three VMs, callers and simulated backend servers.
    #[command(after_help = "Example: vanillatrail trial --seed 7 --programs 500 --json")]
    Trial(Trial),
    /// Run the scheduler of one VM.
    #[command(after_help = "Example: vanillatrail serve --settings vm-a.json")]
    Serve {
        /// Settings file of the VM.
        #[arg(long)]
        settings: PathBuf,
    },
    /// Run the gateway of one VM, which forwards callers' requests to backend servers.
    #[command(after_help = "Example: vanillatrail gateway --settings gateway-a.json")]
    Gateway {
        /// Settings file of the gateway.
        #[arg(long)]
        settings: PathBuf,
    },
    /// Run a simulated platform service or backend server for tests.
    #[command(after_help = "Example: vanillatrail standin engine --listen 127.0.0.1:7011")]
    Standin {
        /// What to simulate.
        #[arg(value_enum)]
        kind: Standin,
        /// Address to listen on.
        #[arg(long)]
        listen: SocketAddr,
    },
    /// Validate a settings file or a configuration file.
    #[command(after_help = "Example: vanillatrail check --config config.json")]
    Check {
        /// File to validate.
        file: PathBuf,
        /// The file contains configuration values by key.
        #[arg(long)]
        config: bool,
        /// The file contains the settings of a gateway.
        #[arg(long, conflicts_with = "config")]
        gateway: bool,
        /// Print JSON.
        #[arg(long)]
        json: bool,
    },
    /// Show or change the configuration on the log.
    #[command(subcommand)]
    Config(Config),
    /// Show the in-memory state of VMs.
    #[command(after_help = "Example: vanillatrail state 127.0.0.1:7301 127.0.0.1:7302")]
    State {
        /// Operator addresses of the VMs.
        #[arg(required = true)]
        vms: Vec<SocketAddr>,
        /// Print the complete state as JSON.
        #[arg(long)]
        json: bool,
    },
    /// Summarize gateway logs, or print the log lines of one request or program.
    #[command(after_help = "Example: vanillatrail explain --id 9c41d07be2a35f68 vm-a.log vm-b.log")]
    Explain(Explain),
    /// Generate an API key for a team and the fingerprint to put into the configuration.
    #[command(after_help = "Example: vanillatrail key --json")]
    Key {
        /// Print JSON.
        #[arg(long)]
        json: bool,
    },
    /// Control or inspect one program.
    Program(ProgramArguments),
    /// Print the table of result codes, or what one code means.
    #[command(after_help = "Example: vanillatrail codes VT4003")]
    Codes {
        /// Code to describe; the whole table without it.
        code: Option<Code>,
    },
    /// Print the JSON schema of a settings file or a configuration file.
    #[command(after_help = "Example: vanillatrail schema config > config.schema.json")]
    Schema {
        /// Which schema to print.
        #[arg(value_enum)]
        of: Schema,
    },
    /// Print a completion script for a shell.
    #[command(after_help = "Example: vanillatrail completions bash > vanillatrail.bash")]
    Completions {
        /// Shell to complete for.
        shell: clap_complete::Shell,
    },
    /// Write the manual pages.
    #[command(after_help = "Example: vanillatrail man --out /usr/local/share/man/man1")]
    Man {
        /// Output folder; without it, the main page is printed to standard output.
        #[arg(long)]
        out: Option<PathBuf>,
    },
}

#[derive(Debug, Args)]
struct Explain {
    /// Log files; standard input without any. Text before `ts=` in a line is ignored.
    files: Vec<PathBuf>,
    /// Length of a time slice in seconds.
    #[arg(long, default_value = "2", value_parser = seconds)]
    slice: Duration,
    /// Print the lines of this request from all VMs.
    #[arg(long)]
    id: Option<String>,
    /// Print the lines of this program from all VMs.
    #[arg(long)]
    program: Option<String>,
    /// Group requests by team, route, kind, service or program instead of time; most failures first.
    #[arg(long, value_name = "FIELD", conflicts_with_all = ["id", "program"])]
    by: Option<Field>,
    /// Print JSON.
    #[arg(long)]
    json: bool,
}

#[derive(Debug, Args)]
struct Trial {
    /// Random seed of the generated programs.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of programs to open.
    #[arg(long, default_value_t = 600)]
    programs: usize,
    /// Period over which the programs are opened, in seconds.
    #[arg(long, default_value_t = 20.0)]
    seconds: f64,
    /// Pairs of calls, direct and through the scheduler, to measure the added latency.
    #[arg(long, default_value_t = 60)]
    pairs: usize,
    /// Print JSON.
    #[arg(long)]
    json: bool,
    /// Inject a fault that the invariant checks have to detect.
    #[arg(long, value_enum)]
    plant: Vec<Plant>,
    /// Write the logs of the VMs to standard error.
    #[arg(long)]
    verbose: bool,
}

#[derive(Debug, Clone, Copy, ValueEnum)]
enum Schema {
    /// Settings of one VM.
    Settings,
    /// Settings of one gateway.
    Gateway,
    /// Configuration values by key.
    Config,
}

#[derive(Debug, Clone, Copy, ValueEnum)]
enum Plant {
    /// A confirmed effect is executed a second time.
    DoubledEffect,
    /// An engine keeps the cache of a program that has ended.
    HeldMemory,
}

#[derive(Debug, Clone, Copy, ValueEnum)]
enum Standin {
    /// Append-only log service.
    Log,
    /// Model engine.
    Engine,
    /// Service other than a model engine.
    Service,
    /// VM list of the platform.
    Vms,
}

#[derive(Debug, Subcommand)]
enum Config {
    /// Print the current values and the offset to use as `--base` of a change.
    #[command(after_help = "Example: vanillatrail config show --log http://127.0.0.1:7000")]
    Show(LogArguments),
    /// Print recent changes and whether each was accepted.
    #[command(after_help = "Example: vanillatrail config history --log http://127.0.0.1:7000")]
    History(LogArguments),
    /// Publish the values of a file that differ from the current ones.
    #[command(
        after_help = "Example: vanillatrail config apply config.json --base 4 --log \
            http://127.0.0.1:7000 --wait 127.0.0.1:7301 --wait 127.0.0.1:7302"
    )]
    Apply(ApplyArguments),
}

#[derive(Debug, Args)]
struct LogArguments {
    /// Base URL of the log service.
    #[arg(long, env = "VANILLATRAIL_LOG")]
    log: String,
    /// Print JSON.
    #[arg(long)]
    json: bool,
}

#[derive(Debug, Args)]
struct ApplyArguments {
    /// JSON object of values by key; null removes a key.
    file: PathBuf,
    /// Base URL of the log service.
    #[arg(long, env = "VANILLATRAIL_LOG")]
    log: String,
    /// Offset printed by `config show`: keys that changed since then are not overwritten.
    #[arg(long)]
    base: Option<Offset>,
    /// Author recorded with the change.
    #[arg(long, env = "USER", default_value = "operator")]
    by: String,
    /// Operator address of a VM on which to wait until the change takes effect.
    #[arg(long)]
    wait: Vec<SocketAddr>,
    /// Timeout of `--wait`, in milliseconds.
    #[arg(long, default_value_t = 9000)]
    wait_ms: u64,
    /// Print JSON.
    #[arg(long)]
    json: bool,
}

#[derive(Debug, Args)]
#[command(after_help = "Example: vanillatrail program why p5-0c36249f16b20510098b55b06f20c3ba")]
struct ProgramArguments {
    /// Caller address of any VM.
    #[arg(
        long,
        global = true,
        env = "VANILLATRAIL_VM",
        default_value = "127.0.0.1:7101"
    )]
    vm: SocketAddr,
    /// Print JSON.
    #[arg(long, global = true)]
    json: bool,
    #[command(subcommand)]
    action: ProgramCommand,
}

#[derive(Debug, Subcommand)]
enum ProgramCommand {
    /// Open a program; opening again with the same key returns the same program.
    Open {
        /// Class of the program.
        #[arg(long)]
        class: Class,
        /// Idempotency key of the opening.
        #[arg(long)]
        key: String,
        /// Token budget.
        #[arg(long)]
        tokens: Tokens,
        /// Maximum number of calls.
        #[arg(long)]
        calls: Option<u64>,
    },
    /// Make a call.
    Call {
        /// Program id.
        program: Program,
        /// Number of the call within the program, from 1.
        call: Call,
        /// JSON object with `model`, `service` or `spawn`.
        body: String,
    },
    /// Stream the answer of a call.
    Watch {
        /// Program id.
        program: Program,
        /// Number of the call within the program, from 1.
        call: Call,
    },
    /// Show the state of a program.
    Show {
        /// Program id.
        program: Program,
    },
    /// Explain what a program is waiting for.
    Why {
        /// Program id.
        program: Program,
        /// Operator addresses of VMs whose queue lengths to include.
        #[arg(long)]
        operators: Vec<SocketAddr>,
    },
    /// End a program.
    End {
        /// Program id.
        program: Program,
    },
}

/// Runs the command given by the arguments of the process.
#[must_use]
pub fn main() -> ExitCode {
    match run(Arguments::parse().command) {
        Ok(exit) => exit.into(),
        Err(failure) => {
            eprintln!("vanillatrail: {failure}");
            Exit::from(&failure).into()
        }
    }
}

fn run(command: Command) -> Result<Exit, Failure> {
    match command {
        Command::Trial(trial) => {
            let arrival_window = Duration::try_from_secs_f64(trial.seconds)
                .map_err(|error| Failure::refused(Code::BadBody, format!("--seconds: {error}")))?;
            let options = trial::Options {
                seed: trial.seed,
                programs: trial.programs,
                arrival_window,
                latency_pairs: trial.pairs,
                faults: trial.plant.into_iter().map(Into::into).collect(),
            };
            command::trial::run(&options, trial.verbose, trial.json)
        }
        Command::Serve { settings } => command::serve::run(&settings),
        Command::Gateway { settings } => command::gateway::run(&settings),
        Command::Standin { kind, listen } => command::standin::run(kind.into(), listen),
        Command::Check {
            file,
            config,
            gateway,
            json,
        } => {
            let kind = match (config, gateway) {
                (true, _) => command::check::Kind::Config,
                (_, true) => command::check::Kind::Gateway,
                _ => command::check::Kind::Settings,
            };
            command::check::run(&file, kind, json)
        }
        Command::Config(Config::Show(options)) => command::config::show(&options.log, options.json),
        Command::Config(Config::History(options)) => {
            command::config::history(&options.log, options.json)
        }
        Command::Config(Config::Apply(apply)) => command::config::apply(&apply.into()),
        Command::State { vms, json } => command::state::run(&vms, json),
        Command::Explain(options) => command::explain::run(&options.into()),
        Command::Key { json } => command::key::run(json),
        Command::Program(options) => {
            command::program::run(options.vm, options.action.into(), options.json)
        }
        Command::Codes { code } => Ok(command::describe::codes(code)),
        Command::Schema { of } => command::describe::schema(of.into()),
        Command::Completions { shell } => {
            let mut command = Arguments::command();
            clap_complete::generate(shell, &mut command, "vanillatrail", &mut std::io::stdout());
            Ok(Exit::Success)
        }
        Command::Man { out } => {
            write_manual(out).map_err(|error| Failure::refused(Code::Internal, error.to_string()))
        }
    }
}

fn write_manual(out: Option<PathBuf>) -> std::io::Result<Exit> {
    let command = Arguments::command();
    match out {
        Some(folder) => clap_mangen::generate_to(command, folder)?,
        None => clap_mangen::Man::new(command).render(&mut std::io::stdout())?,
    }
    Ok(Exit::Success)
}

impl From<Schema> for command::describe::Schema {
    fn from(schema: Schema) -> Self {
        match schema {
            Schema::Settings => Self::Settings,
            Schema::Gateway => Self::Gateway,
            Schema::Config => Self::Config,
        }
    }
}

impl From<Plant> for trial::Fault {
    fn from(plant: Plant) -> Self {
        match plant {
            Plant::DoubledEffect => Self::DuplicateEffect,
            Plant::HeldMemory => Self::HeldMemory,
        }
    }
}

impl From<Standin> for standin::Kind {
    fn from(kind: Standin) -> Self {
        match kind {
            Standin::Log => Self::Log,
            Standin::Engine => Self::Engine,
            Standin::Service => Self::Service,
            Standin::Vms => Self::Vms,
        }
    }
}

impl From<ApplyArguments> for Apply {
    fn from(options: ApplyArguments) -> Self {
        Self {
            log: options.log,
            file: options.file,
            base: options.base,
            by: options.by,
            wait: options.wait,
            wait_timeout: Duration::from_millis(options.wait_ms),
            json: options.json,
        }
    }
}

impl From<ProgramCommand> for Action {
    fn from(command: ProgramCommand) -> Self {
        match command {
            ProgramCommand::Open {
                class,
                key,
                tokens,
                calls,
            } => Self::Open {
                class,
                key,
                tokens,
                calls,
            },
            ProgramCommand::Call {
                program,
                call,
                body,
            } => Self::Call {
                program,
                call,
                body,
            },
            ProgramCommand::Watch { program, call } => Self::Watch { program, call },
            ProgramCommand::Show { program } => Self::Show { program },
            ProgramCommand::Why { program, operators } => Self::Why { program, operators },
            ProgramCommand::End { program } => Self::End { program },
        }
    }
}

impl From<Explain> for command::explain::Options {
    fn from(options: Explain) -> Self {
        Self {
            files: options.files,
            slice: options.slice,
            id: options.id,
            program: options.program,
            by: options.by,
            json: options.json,
        }
    }
}

/// Parses a duration in seconds, between 1 ms and one day.
fn seconds(text: &str) -> Result<Duration, String> {
    let duration = text.parse().map(Duration::try_from_secs_f64);
    let bounds = Duration::from_millis(1)..=Duration::from_hours(24);
    match duration {
        Ok(Ok(duration)) if bounds.contains(&duration) => Ok(duration),
        _ => Err("not a number of seconds from 0.001 to 86400".to_owned()),
    }
}
