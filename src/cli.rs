//! The command line; nothing else knows of its library.

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

const EXIT_CODES: &str = "Exit codes: 0 done; 1 failed; 2 malformed input; 3 an invariant was \
    broken (trial); 4 an address does not answer; 5 refused, it did not run; 6 sent, its outcome \
    is not known";

/// A scheduler for agent programs whose callers are impatient.
#[derive(Debug, Parser)]
#[command(version, max_term_width = 100, after_help = EXIT_CODES)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Run stand-ins, three VMs and their callers in this process, and count what happened.
    #[command(after_help = "Example: vanillatrail trial --seed 7 --programs 500 --json")]
    Trial(Trial),
    /// Serve as one VM.
    #[command(after_help = "Example: vanillatrail serve --settings vm-a.json")]
    Serve {
        /// The settings file.
        #[arg(long)]
        settings: PathBuf,
    },
    /// Forward requests of callers to backend servers as one VM.
    #[command(after_help = "Example: vanillatrail gateway --settings gateway-a.json")]
    Gateway {
        /// The settings file.
        #[arg(long)]
        settings: PathBuf,
    },
    /// Run a small stand-in for the platform or a backend server.
    #[command(after_help = "Example: vanillatrail standin engine --listen 127.0.0.1:7011")]
    Standin {
        /// Which.
        #[arg(value_enum)]
        kind: Standin,
        /// Where it listens.
        #[arg(long)]
        listen: SocketAddr,
    },
    /// Check a settings file, or a configuration file.
    #[command(after_help = "Example: vanillatrail check --config config.json")]
    Check {
        /// The file.
        file: PathBuf,
        /// The file holds configuration values by key.
        #[arg(long)]
        config: bool,
        /// The file holds the settings of a VM that forwards requests of callers.
        #[arg(long, conflicts_with = "config")]
        gateway: bool,
        /// Print JSON.
        #[arg(long)]
        json: bool,
    },
    /// Show or change the configuration on the log.
    #[command(subcommand)]
    Config(Config),
    /// Show what VMs hold in memory.
    #[command(after_help = "Example: vanillatrail state 127.0.0.1:7301 127.0.0.1:7302")]
    State {
        /// Addresses of VMs for operators.
        #[arg(required = true)]
        vms: Vec<SocketAddr>,
        /// Print JSON, complete.
        #[arg(long)]
        json: bool,
    },
    /// Tell from the logs of gateways where time went, or the story of one request or program.
    #[command(after_help = "Example: vanillatrail explain --id 9c41d07be2a35f68 vm-a.log vm-b.log")]
    Explain(Explain),
    /// Make a key for a team, and the fingerprint that the configuration takes in its place.
    #[command(after_help = "Example: vanillatrail key --json")]
    Key {
        /// Print JSON.
        #[arg(long)]
        json: bool,
    },
    /// Drive or look at one program.
    Program(ProgramArguments),
    /// Print the table of result codes, or what one code means.
    #[command(after_help = "Example: vanillatrail codes VT4003")]
    Codes {
        /// The code.
        code: Option<Code>,
    },
    /// Print the JSON schema of a settings file or a configuration file.
    #[command(after_help = "Example: vanillatrail schema config > config.schema.json")]
    Schema {
        /// Of which.
        #[arg(value_enum)]
        of: Schema,
    },
    /// Print a completion script for a shell.
    #[command(after_help = "Example: vanillatrail completions bash > vanillatrail.bash")]
    Completions {
        /// The shell.
        shell: clap_complete::Shell,
    },
    /// Write the manual pages.
    #[command(after_help = "Example: vanillatrail man --out /usr/local/share/man/man1")]
    Man {
        /// The folder; without it the main page goes to standard output.
        #[arg(long)]
        out: Option<PathBuf>,
    },
}

#[derive(Debug, Args)]
struct Explain {
    /// Log files; standard input without any. Text before `ts=` is left out of account.
    files: Vec<PathBuf>,
    /// Seconds of one slice of time.
    #[arg(long, default_value = "2", value_parser = seconds)]
    slice: Duration,
    /// Only the lines of this request, over all VMs.
    #[arg(long)]
    id: Option<String>,
    /// Only the lines of this program, over all VMs.
    #[arg(long)]
    program: Option<String>,
    /// Requests by team, route, kind, service or program, the worst first, in place of slices of time.
    #[arg(long, value_name = "FIELD", conflicts_with_all = ["id", "program"])]
    by: Option<Field>,
    /// Print JSON.
    #[arg(long)]
    json: bool,
}

#[derive(Debug, Args)]
struct Trial {
    /// The seed of the mix of programs.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// How many programs are opened.
    #[arg(long, default_value_t = 600)]
    programs: usize,
    /// Over how many seconds they are opened.
    #[arg(long, default_value_t = 20.0)]
    seconds: f64,
    /// Pairs of calls by which the path is measured.
    #[arg(long, default_value_t = 60)]
    pairs: usize,
    /// Print JSON.
    #[arg(long)]
    json: bool,
    /// Plant a fault, to see that the checks find it.
    #[arg(long, value_enum)]
    plant: Vec<Plant>,
    /// Write the events of the VMs to standard error.
    #[arg(long)]
    verbose: bool,
}

#[derive(Debug, Clone, Copy, ValueEnum)]
enum Schema {
    /// The settings of one VM.
    Settings,
    /// The settings of one VM that forwards requests of callers.
    Gateway,
    /// Configuration values by key.
    Config,
}

#[derive(Debug, Clone, Copy, ValueEnum)]
enum Plant {
    /// A confirmed effect takes place a second time.
    DoubledEffect,
    /// An engine holds memory for a program that has ended.
    HeldMemory,
}

#[derive(Debug, Clone, Copy, ValueEnum)]
enum Standin {
    /// The append-only log service.
    Log,
    /// A model engine.
    Engine,
    /// A plain service.
    Service,
    /// The VM list.
    Vms,
}

#[derive(Debug, Subcommand)]
enum Config {
    /// Print the values in force and the offset to base a change on.
    #[command(after_help = "Example: vanillatrail config show --log http://127.0.0.1:7000")]
    Show(LogArguments),
    /// Print the verdict on each change.
    #[command(after_help = "Example: vanillatrail config history --log http://127.0.0.1:7000")]
    History(LogArguments),
    /// Publish the values of a file that differ from those in force.
    #[command(
        after_help = "Example: vanillatrail config apply config.json --base 4 --log \
            http://127.0.0.1:7000 --wait 127.0.0.1:7301 --wait 127.0.0.1:7302"
    )]
    Apply(ApplyArguments),
}

#[derive(Debug, Args)]
struct LogArguments {
    /// Base address of the log service.
    #[arg(long, env = "VANILLATRAIL_LOG")]
    log: String,
    /// Print JSON.
    #[arg(long)]
    json: bool,
}

#[derive(Debug, Args)]
struct ApplyArguments {
    /// A JSON object of values by key; null removes a key.
    file: PathBuf,
    /// Base address of the log service.
    #[arg(long, env = "VANILLATRAIL_LOG")]
    log: String,
    /// The offset that `config show` printed: a key changed since is not overwritten.
    #[arg(long)]
    base: Option<Offset>,
    /// Who makes the change.
    #[arg(long, env = "USER", default_value = "operator")]
    by: String,
    /// A VM's address for operators; waits until the change is in force there.
    #[arg(long)]
    wait: Vec<SocketAddr>,
    /// How long to wait, in milliseconds.
    #[arg(long, default_value_t = 9000)]
    wait_ms: u64,
    /// Print JSON.
    #[arg(long)]
    json: bool,
}

#[derive(Debug, Args)]
#[command(after_help = "Example: vanillatrail program why p5-0c36249f16b20510098b55b06f20c3ba")]
struct ProgramArguments {
    /// A VM's address for callers; any will do.
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
    /// Open a program; the same key opens the same program.
    Open {
        /// Its class.
        #[arg(long)]
        class: Class,
        /// Its opening key.
        #[arg(long)]
        key: String,
        /// Tokens that it may spend.
        #[arg(long)]
        tokens: Tokens,
        /// Calls that it may make.
        #[arg(long)]
        calls: Option<u64>,
    },
    /// Make a call.
    Call {
        /// The program.
        program: Program,
        /// The number of the call.
        call: Call,
        /// JSON with `model`, `service` or `spawn`.
        body: String,
    },
    /// Follow the answer of a call.
    Watch {
        /// The program.
        program: Program,
        /// The number of the call.
        call: Call,
    },
    /// Tell the state of a program.
    Show {
        /// The program.
        program: Program,
    },
    /// Tell why a program waits.
    Why {
        /// The program.
        program: Program,
        /// Addresses of VMs for operators, to tell the queues as well.
        #[arg(long)]
        operators: Vec<SocketAddr>,
    },
    /// End a program.
    End {
        /// The program.
        program: Program,
    },
}

/// Runs the command line of this process.
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
        Command::Config(Config::Show(of)) => command::config::show(&of.log, of.json),
        Command::Config(Config::History(of)) => command::config::history(&of.log, of.json),
        Command::Config(Config::Apply(apply)) => command::config::apply(&apply.into()),
        Command::State { vms, json } => command::state::run(&vms, json),
        Command::Explain(of) => command::explain::run(&of.into()),
        Command::Key { json } => command::key::run(json),
        Command::Program(of) => command::program::run(of.vm, of.action.into(), of.json),
        Command::Codes { code } => Ok(command::describe::codes(code)),
        Command::Schema { of } => command::describe::schema(of.into()),
        Command::Completions { shell } => {
            let mut command = Arguments::command();
            clap_complete::generate(shell, &mut command, "vanillatrail", &mut std::io::stdout());
            Ok(Exit::Success)
        }
        Command::Man { out } => {
            manual(out).map_err(|error| Failure::refused(Code::Internal, error.to_string()))
        }
    }
}

fn manual(out: Option<PathBuf>) -> std::io::Result<Exit> {
    let command = Arguments::command();
    match out {
        Some(folder) => clap_mangen::generate_to(command, folder)?,
        None => clap_mangen::Man::new(command).render(&mut std::io::stdout())?,
    }
    Ok(Exit::Success)
}

impl From<Schema> for command::describe::Schema {
    fn from(of: Schema) -> Self {
        match of {
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
    fn from(of: ApplyArguments) -> Self {
        Self {
            log: of.log,
            file: of.file,
            base: of.base,
            by: of.by,
            wait: of.wait,
            limit: Duration::from_millis(of.wait_ms),
            json: of.json,
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

impl From<Explain> for command::explain::Question {
    fn from(of: Explain) -> Self {
        Self {
            files: of.files,
            slice: of.slice,
            id: of.id,
            program: of.program,
            by: of.by,
            json: of.json,
        }
    }
}

/// A time in seconds, from a millisecond to a day.
fn seconds(text: &str) -> Result<Duration, String> {
    let time = text.parse().map(Duration::try_from_secs_f64);
    let bounds = Duration::from_millis(1)..=Duration::from_hours(24);
    match time {
        Ok(Ok(time)) if bounds.contains(&time) => Ok(time),
        _ => Err("not a number of seconds from 0.001 to 86400".to_owned()),
    }
}
