//! Settings files of VMs and gateways.

use crate::code::{Code, Failure};
use crate::id;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::path::Path;

/// Least memory of a VM, in megabytes: an answer of the largest size has to fit into what may be held for callers.
const MIN_MEMORY_MB: usize = 64;
const MIN_DESCRIPTORS: usize = 64;

/// Listen addresses of a VM.
#[derive(Debug, Clone, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// Caller API, behind the load balancer.
    pub callers: SocketAddr,
    /// Other VMs: TCP for requests, UDP for gossip.
    pub peers: SocketAddr,
    /// Operators: health checks, metrics and state.
    pub operators: SocketAddr,
}

/// Settings of one VM.
#[derive(Debug, Clone, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of this VM, unique among all VMs.
    #[schemars(with = "String")]
    pub vm: id::Vm,
    /// Availability zone of this VM.
    #[schemars(with = "String")]
    pub zone: id::Zone,
    /// Listen addresses.
    pub listen: Listen,
    /// Peer addresses of some other VMs, to join the cluster.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Shared secret with which VMs authenticate each other; at least 16 characters.
    pub peer_key: String,
    /// Base URL of the log service, `http://IP:PORT`.
    pub log: String,
    /// Base URL of the platform's VM list, `http://IP:PORT`.
    #[serde(default)]
    pub vms: Option<String>,
    /// Number of shards of programs. Must be the same on every VM and must never change.
    #[serde(default = "Settings::default_shards")]
    pub shards: u64,
    /// Number of journal streams that the shards share. Must be the same on every VM.
    #[serde(default = "Settings::default_streams")]
    pub journal_streams: u64,
    /// Maximum rate of log appends of all VMs together.
    #[serde(default = "Settings::default_appends")]
    pub appends_per_second: u64,
    /// Retention time of the log, in milliseconds.
    #[serde(default = "Settings::default_retention")]
    pub log_retention_ms: u64,
    /// Timeout of a graceful shutdown, in milliseconds.
    #[serde(default = "Settings::default_stop")]
    pub stop_ms: u64,
    /// Maximum number of open programs on this VM; children count with their parent.
    #[serde(default = "Settings::default_programs")]
    pub max_programs: usize,
    /// Number of journal entries after which a checkpoint of a shard is written, so that the log
    /// can trim older entries; well below the number that the log retains.
    #[serde(default = "Settings::default_checkpoint")]
    pub checkpoint_entries: u64,
    /// Maximum size of a request body, in bytes.
    #[serde(default = "Settings::default_body")]
    pub max_body_bytes: usize,
    /// Memory of this VM, in megabytes. Two fifths of it may be held for callers.
    #[serde(default = "Settings::default_memory")]
    pub memory_mb: usize,
    /// Descriptors that the process may open; by default as the operating system says.
    #[serde(default)]
    pub max_descriptors: Option<usize>,
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

    const fn default_memory() -> usize {
        120
    }

    /// Parses and validates settings; an error message contains the JSON path.
    ///
    /// ```
    /// let failure = vanillatrail::settings::Settings::parse(r#"{"vm": 1}"#).unwrap_err();
    /// assert!(failure.message.contains("vm"));
    /// ```
    ///
    /// # Errors
    /// [`Code::BadSettings`] with the JSON path and the reason.
    pub fn parse(text: &str) -> Result<Self, Failure> {
        let settings: Self = parse(text)?;
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
            (is_base_url(&settings.log), "log", "not `http://IP:PORT`"),
            (settings.memory_mb >= MIN_MEMORY_MB, "memory_mb", "under 64"),
            (
                settings
                    .max_descriptors
                    .is_none_or(|max| max >= MIN_DESCRIPTORS),
                "max_descriptors",
                "under 64",
            ),
            (
                settings.vms.as_deref().is_none_or(is_base_url),
                "vms",
                "not `http://IP:PORT`",
            ),
        ];
        validate(settings, &checks)
    }

    /// Reads and validates the settings file at `path`.
    ///
    /// ```
    /// use std::path::Path;
    /// assert!(vanillatrail::settings::Settings::load(Path::new("absent.json")).is_err());
    /// ```
    ///
    /// # Errors
    /// [`Code::BadSettings`] if the file can't be read or is invalid.
    pub fn load(path: &Path) -> Result<Self, Failure> {
        Self::parse(&read_file(path)?)
    }
}

fn is_base_url(text: &str) -> bool {
    text.strip_prefix("http://")
        .is_some_and(|rest| rest.parse::<SocketAddr>().is_ok())
}

/// Listen addresses of a gateway.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Doors {
    /// Caller API, behind the load balancer.
    pub callers: SocketAddr,
    /// Readiness check of the load balancer.
    pub ready: SocketAddr,
    /// Operators: metrics and state.
    pub operators: SocketAddr,
    /// Additional address for metrics, if the collector does not use the operator address.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
    /// Other VMs. Three consecutive UDP ports: gossip at this port, requests at the next and
    /// server directory changes at the one after that.
    pub peers: SocketAddr,
}

/// Address, rate limits and partitions of the platform's store.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Store {
    /// Address of the store.
    pub address: SocketAddr,
    /// Maximum rate of write calls of all VMs together.
    pub writes_per_second: u64,
    /// Maximum rate of read calls of all VMs together.
    pub reads_per_second: u64,
    /// Number of partitions of each topic.
    pub partitions: u64,
}

/// Upper bounds on the propagation time of changes. They determine the polling interval; longer
/// bounds reduce the read load on the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Bounds {
    /// Time until a draining backend server gets no new requests, in milliseconds.
    pub drain_ms: u64,
    /// Time until an accepted configuration is in effect, in milliseconds.
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

/// Accuracy of the team limits, which hold over all VMs together.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    /// Length of the sliding time window over which requests are counted, in seconds.
    pub window_s: f64,
    /// Fraction by which a limit may be exceeded within a window.
    pub excess: f64,
    /// Requests by which a limit may be exceeded within a window in addition to `excess`.
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

/// Settings of one gateway.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Gateway {
    /// Name of this VM, unique among all VMs.
    #[schemars(with = "String")]
    pub vm: id::Vm,
    /// Availability zone of this VM.
    #[schemars(with = "String")]
    pub zone: id::Zone,
    /// Listen addresses.
    pub listen: Doors,
    /// Addresses of some other VMs, to join the cluster. Only the IP addresses are used; the
    /// ports are the same on all VMs.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Shared secret with which VMs authenticate each other; at least 16 characters.
    pub peer_key: String,
    /// Platform store.
    pub store: Store,
    /// Upper bounds on the propagation time of changes.
    #[serde(default)]
    pub bounds: Bounds,
    /// Accuracy of the team limits.
    #[serde(default)]
    pub limits: Limits,
    /// CPU cores available to this VM; may be a fraction.
    pub cores: f64,
    /// Memory of this VM, in megabytes. Two fifths of it may be held for callers.
    #[serde(default = "Settings::default_memory")]
    pub memory_mb: usize,
    /// Descriptors that the process may open; by default as the operating system says.
    #[serde(default)]
    pub max_descriptors: Option<usize>,
    /// Timeout of a graceful shutdown, in milliseconds.
    #[serde(default = "Settings::default_stop")]
    pub stop_ms: u64,
    /// Whether runs that would be costly to lose are copied to a second engine while they run, where
    /// the engines offer it. A copy transfers all memory of a run.
    #[serde(default)]
    pub run_copies: bool,
}

impl Gateway {
    /// CPU time available to this VM.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "checked to be above 0 and at most 1024 cores"
    )]
    pub(crate) fn millicores(&self) -> id::Millicores {
        id::Millicores((self.cores * 1000.0) as u64)
    }

    /// Parses and validates settings; an error message contains the JSON path.
    ///
    /// ```
    /// let failure = vanillatrail::settings::Gateway::parse(r#"{"vm": 1}"#).unwrap_err();
    /// assert!(failure.message.contains("vm"));
    /// ```
    ///
    /// # Errors
    /// [`Code::BadSettings`] with the JSON path and the reason.
    pub fn parse(text: &str) -> Result<Self, Failure> {
        let settings: Self = parse(text)?;
        let checks = [
            (
                settings.peer_key.len() >= 16,
                "peer_key",
                "shorter than 16 characters",
            ),
            (
                settings.listen.peers.port() < u16::MAX - 1,
                "listen.peers",
                "no room for the two ports after it",
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
                "not above 0 and at most 1024",
            ),
            (settings.memory_mb >= MIN_MEMORY_MB, "memory_mb", "under 64"),
            (
                settings
                    .max_descriptors
                    .is_none_or(|max| max >= MIN_DESCRIPTORS),
                "max_descriptors",
                "under 64",
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
        validate(settings, &checks)
    }

    /// Reads and validates the settings file at `path`.
    ///
    /// ```
    /// use std::path::Path;
    /// assert!(vanillatrail::settings::Gateway::load(Path::new("absent.json")).is_err());
    /// ```
    ///
    /// # Errors
    /// [`Code::BadSettings`] if the file can't be read or is invalid.
    pub fn load(path: &Path) -> Result<Self, Failure> {
        Self::parse(&read_file(path)?)
    }
}

fn invalid(path: &str, reason: &str) -> Failure {
    Failure::refused(Code::BadSettings, format!("at `{path}`: {reason}"))
}

fn parse<T: serde::de::DeserializeOwned>(text: &str) -> Result<T, Failure> {
    let mut reader = serde_json::Deserializer::from_str(text);
    let settings = serde_path_to_error::deserialize(&mut reader)
        .map_err(|error| invalid(&error.path().to_string(), &error.inner().to_string()))?;
    reader
        .end()
        .map_err(|error| invalid(".", &error.to_string()))?;
    Ok(settings)
}

/// Returns the settings if all checks pass. A check is the result, the JSON path and the error.
fn validate<T>(settings: T, checks: &[(bool, &str, &str)]) -> Result<T, Failure> {
    match checks.iter().find(|(passed, _, _)| !passed) {
        Some((_, path, reason)) => Err(invalid(path, reason)),
        None => Ok(settings),
    }
}

fn read_file(path: &Path) -> Result<String, Failure> {
    std::fs::read_to_string(path).map_err(|error| {
        Failure::refused(Code::BadSettings, format!("{}: {error}", path.display()))
    })
}
