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
        let bad = |path: &str, reason: &str| {
            Failure::refused(Code::BadSettings, format!("at `{path}`: {reason}"))
        };
        let mut reader = serde_json::Deserializer::from_str(text);
        let settings: Self = serde_path_to_error::deserialize(&mut reader)
            .map_err(|error| bad(&error.path().to_string(), &error.inner().to_string()))?;
        reader.end().map_err(|error| bad(".", &error.to_string()))?;
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
        match checks.iter().find(|(good, _, _)| !good) {
            Some((_, path, reason)) => Err(bad(path, reason)),
            None => Ok(settings),
        }
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
        let text = std::fs::read_to_string(path).map_err(|error| {
            Failure::refused(Code::BadSettings, format!("{}: {error}", path.display()))
        })?;
        Self::parse(&text)
    }
}

fn is_base(text: &str) -> bool {
    text.strip_prefix("http://")
        .is_some_and(|rest| rest.parse::<SocketAddr>().is_ok())
}
