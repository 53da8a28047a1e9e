//! The settings file of one VM.

use crate::code::{Code, Failure};
use crate::id;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::path::Path;

/// The addresses that a VM listens on.
#[derive(Debug, Clone, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// For callers, behind the balancer.
    pub callers: SocketAddr,
    /// For the other VMs: TCP for requests, UDP for membership.
    pub peers: SocketAddr,
    /// For operators.
    pub operators: SocketAddr,
}

/// The settings of one VM.
#[derive(Debug, Clone, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The name of this VM, unique among the VMs.
    #[schemars(with = "String")]
    pub vm: id::Vm,
    /// The availability zone of this VM.
    #[schemars(with = "String")]
    pub zone: id::Zone,
    /// Where this VM listens.
    pub listen: Listen,
    /// Peer addresses of some other VMs.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// The key by which VMs prove themselves to each other; at least 16 characters.
    pub peer_key: String,
    /// Base address of the log service, `http://IP:PORT`.
    pub log: String,
    /// Base address of the VM list, `http://IP:PORT`.
    #[serde(default)]
    pub vms: Option<String>,
    /// How many shards programs are spread over; the same on every VM, never changed.
    #[serde(default = "Settings::default_shards")]
    pub shards: u64,
    /// How many journal streams the shards are spread over; the same on every VM.
    #[serde(default = "Settings::default_streams")]
    pub journal_streams: u64,
    /// Appends a second that all VMs together may make.
    #[serde(default = "Settings::default_appends")]
    pub appends_per_second: u64,
    /// How long the log keeps entries, in milliseconds.
    #[serde(default = "Settings::default_retention")]
    pub log_retention_ms: u64,
    /// How long a planned stop may take, in milliseconds.
    #[serde(default = "Settings::default_stop")]
    pub stop_ms: u64,
    /// Program trees that this VM may hold open.
    #[serde(default = "Settings::default_programs")]
    pub max_programs: usize,
    /// Entries of a journal stream after which a shard is written again whole, so that the log may
    /// trim what is older; well under what the log keeps.
    #[serde(default = "Settings::default_checkpoint")]
    pub checkpoint_entries: u64,
    /// Bytes that a request body may have.
    #[serde(default = "Settings::default_body")]
    pub max_body_bytes: usize,
}

impl Settings {
    const fn default_shards() -> u64 {
        16
    }

    const fn default_streams() -> u64 {
        2
    }

    const fn default_appends() -> u64 {
        300
    }

    const fn default_retention() -> u64 {
        24 * 3_600_000
    }

    const fn default_stop() -> u64 {
        10_000
    }

    const fn default_programs() -> usize {
        20_000
    }

    const fn default_checkpoint() -> u64 {
        20_000
    }

    const fn default_body() -> usize {
        1 << 20
    }

    /// Reads and checks settings; a fault names its JSON path.
    ///
    /// ```
    /// let failure = vanillatrail::settings::Settings::parse(r#"{"vm": 1}"#).unwrap_err();
    /// assert!(failure.message.contains("vm"));
    /// ```
    ///
    /// # Errors
    /// [`Code::BadSettings`] with the path and the reason.
    pub fn parse(text: &str) -> Result<Self, Failure> {
        let settings: Self = read(text)?;
        let checks = [
            (
                settings.shards >= 1 && settings.shards <= 65_536,
                "shards",
                "not in 1..=65536",
            ),
            (
                settings.journal_streams >= 1 && settings.journal_streams <= settings.shards,
                "journal_streams",
                "not in 1..=shards",
            ),
            (
                settings.appends_per_second >= 1,
                "appends_per_second",
                "zero",
            ),
            (
                settings.log_retention_ms >= 1000,
                "log_retention_ms",
                "under 1000",
            ),
            (settings.max_programs >= 1, "max_programs", "zero"),
            (
                settings.checkpoint_entries >= 64,
                "checkpoint_entries",
                "under 64",
            ),
            (
                settings.max_body_bytes >= 1024,
                "max_body_bytes",
                "under 1024",
            ),
            (
                settings.peer_key.len() >= 16,
                "peer_key",
                "shorter than 16 characters",
            ),
            (is_base(&settings.log), "log", "not `http://IP:PORT`"),
            (
                settings.vms.as_deref().is_none_or(is_base),
                "vms",
                "not `http://IP:PORT`",
            ),
        ];
        verdict(settings, &checks)
    }

    /// Reads and checks the settings file at `path`.
    ///
    /// ```
    /// use std::path::Path;
    /// assert!(vanillatrail::settings::Settings::load(Path::new("absent.json")).is_err());
    /// ```
    ///
    /// # Errors
    /// [`Code::BadSettings`] when the file can't be read or is malformed.
    pub fn load(path: &Path) -> Result<Self, Failure> {
        Self::parse(&text(path)?)
    }
}

fn is_base(text: &str) -> bool {
    text.strip_prefix("http://")
        .is_some_and(|rest| rest.parse::<SocketAddr>().is_ok())
}

/// The addresses that a gateway listens on.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Doors {
    /// For callers, behind the balancer.
    pub callers: SocketAddr,
    /// For the balancer, which asks whether this VM is ready.
    pub ready: SocketAddr,
    /// For operators: metrics and the state of the process.
    pub operators: SocketAddr,
    /// For the collector of metrics, where it does not come to the address for operators.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
    /// For the other VMs: UDP for membership at this port, for requests at the next one, and for changes to the
    /// directory at the one after that.
    pub peers: SocketAddr,
}

/// The platform's store.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Store {
    /// Where it listens.
    pub address: SocketAddr,
    /// Calls that write, a second, that all VMs together may make.
    pub writes_per_second: u64,
    /// Calls that read, a second, that all VMs together may make.
    pub reads_per_second: u64,
    /// Partitions of a topic.
    pub partitions: u64,
}

/// How soon a change has to act. What follows changes reads as seldom as these allow: reads are what
/// hundreds of VMs cost the store most.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Bounds {
    /// Milliseconds after which a backend server that says that it leaves gets nothing new.
    pub drain_ms: u64,
    /// Milliseconds after which an accepted configuration is in force.
    pub config_ms: u64,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            drain_ms: 2000,
            config_ms: 2000,
        }
    }
}

/// How closely the limits of teams are held, over all VMs together.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    /// Seconds over which the requests of a team are counted.
    pub window_s: f64,
    /// The share by which a limit may be passed within that time.
    pub excess: f64,
    /// Requests by which it may be passed beside that.
    pub slack: f64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            window_s: 5.0,
            excess: 0.1,
            slack: 20.0,
        }
    }
}

/// The settings of one VM that forwards requests of callers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Gateway {
    /// The name of this VM, unique among the VMs.
    #[schemars(with = "String")]
    pub vm: id::Vm,
    /// The availability zone of this VM.
    #[schemars(with = "String")]
    pub zone: id::Zone,
    /// Where this VM listens.
    pub listen: Doors,
    /// Addresses of some other VMs; only the IP numbers are used, since ports are the same on all.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// The key by which VMs prove themselves to each other; at least 16 characters.
    pub peer_key: String,
    /// The platform's store.
    pub store: Store,
    /// How soon a change has to act.
    #[serde(default)]
    pub bounds: Bounds,
    /// How closely the limits of teams are held.
    #[serde(default)]
    pub limits: Limits,
    /// The share of a core that this VM has.
    pub cores: f64,
    /// How long a planned stop may take, in milliseconds.
    #[serde(default = "Settings::default_stop")]
    pub stop_ms: u64,
}

impl Gateway {
    /// The processor time that this VM may use.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "checked to be above 0 and at most 1024 cores"
    )]
    pub(crate) fn millicores(&self) -> id::Millicores {
        id::Millicores((self.cores * 1000.0) as u64)
    }

    /// Reads and checks settings; a fault names its JSON path.
    ///
    /// ```
    /// let failure = vanillatrail::settings::Gateway::parse(r#"{"vm": 1}"#).unwrap_err();
    /// assert!(failure.message.contains("vm"));
    /// ```
    ///
    /// # Errors
    /// [`Code::BadSettings`] with the path and the reason.
    pub fn parse(text: &str) -> Result<Self, Failure> {
        let settings: Self = read(text)?;
        let checks = [
            (
                settings.peer_key.len() >= 16,
                "peer_key",
                "shorter than 16 characters",
            ),
            (
                settings.listen.peers.port() < u16::MAX - 1,
                "listen.peers",
                "has no two ports after it",
            ),
            (
                settings.store.writes_per_second >= 1,
                "store.writes_per_second",
                "zero",
            ),
            (
                settings.store.reads_per_second >= 1,
                "store.reads_per_second",
                "zero",
            ),
            (
                (1..=4096).contains(&settings.store.partitions),
                "store.partitions",
                "not in 1..=4096",
            ),
            (
                settings.cores > 0.0 && settings.cores <= 1024.0,
                "cores",
                "not in 0..=1024",
            ),
            (settings.stop_ms >= 1000, "stop_ms", "under 1000"),
            (
                settings.bounds.drain_ms >= 1000,
                "bounds.drain_ms",
                "under 1000",
            ),
            (
                (0.5..=3600.0).contains(&settings.limits.window_s),
                "limits.window_s",
                "not in 0.5..=3600",
            ),
            (
                (0.0..=1.0).contains(&settings.limits.excess),
                "limits.excess",
                "not in 0..=1",
            ),
            (
                (0.0..=1e6).contains(&settings.limits.slack),
                "limits.slack",
                "not in 0..=1000000",
            ),
            (
                settings.bounds.config_ms >= 1500,
                "bounds.config_ms",
                "under 1500",
            ),
        ];
        verdict(settings, &checks)
    }

    /// Reads and checks the settings file at `path`.
    ///
    /// ```
    /// use std::path::Path;
    /// assert!(vanillatrail::settings::Gateway::load(Path::new("absent.json")).is_err());
    /// ```
    ///
    /// # Errors
    /// [`Code::BadSettings`] when the file can't be read or is malformed.
    pub fn load(path: &Path) -> Result<Self, Failure> {
        Self::parse(&text(path)?)
    }
}

fn bad(path: &str, reason: &str) -> Failure {
    Failure::refused(Code::BadSettings, format!("at `{path}`: {reason}"))
}

fn read<T: serde::de::DeserializeOwned>(text: &str) -> Result<T, Failure> {
    let mut reader = serde_json::Deserializer::from_str(text);
    let settings = serde_path_to_error::deserialize(&mut reader)
        .map_err(|error| bad(&error.path().to_string(), &error.inner().to_string()))?;
    reader.end().map_err(|error| bad(".", &error.to_string()))?;
    Ok(settings)
}

/// The settings, if every check is good; a check has its verdict, its path and what is wrong.
fn verdict<T>(settings: T, checks: &[(bool, &str, &str)]) -> Result<T, Failure> {
    match checks.iter().find(|(good, _, _)| !good) {
        Some((_, path, reason)) => Err(bad(path, reason)),
        None => Ok(settings),
    }
}

fn text(path: &Path) -> Result<String, Failure> {
    std::fs::read_to_string(path).map_err(|error| {
        Failure::refused(Code::BadSettings, format!("{}: {error}", path.display()))
    })
}
