//! The store's topics, and the format of records that operators and backend servers write.

use super::store::Record;
use crate::gateway::directory::{Change, Entry, instance_id};
use crate::gateway::table::{Engine, Route, Service, Sizes, Table, Target};
use crate::gateway::team::{Fingerprint, Team, Teams};
use crate::policy::limit::Limit;
use bytes::Bytes;
use http::HeaderValue;
use serde::Deserialize;
use serde_json::Value;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::num::NonZeroUsize;
use std::sync::Arc;
use std::time::Duration;

/// The operators' topic that holds the configuration under [`CONFIG_KEY`].
pub(crate) const CONFIG_TOPIC: &str = "keyed.op";
pub(crate) const CONFIG_KEY: &str = "config";
/// The topic in which backend servers register, each under its name.
pub(crate) const DIRECTORY_TOPIC: &str = "keyed.servers";
/// Token allowances of programs.
pub(crate) const ALLOWANCE_TOPIC: &str = "keyed.allowance";
/// Allowances whose partition of [`ALLOWANCE_TOPIC`] is unavailable.
pub(crate) const FALLBACK_ALLOWANCE_TOPIC: &str = "keyed.detour";
/// Number of topics for conversation turns. A bucket is read as a whole while callers wait, so
/// buckets have to be small.
pub(crate) const TURN_TOPICS: u64 = 16;
/// Conversation turns whose own partition is unavailable.
pub(crate) const FALLBACK_TURN_TOPIC: &str = "keyed.turndetour";
/// Snapshots of the configuration and the directory.
pub(crate) const SNAPSHOT_TOPIC: &str = "keyed.snapshot";
/// Software versions at which streams of a service may have begun.
pub(crate) const MARK_TOPIC: &str = "keyed.streamversions";
/// Software versions of single streams. Not compacted: the records are of use for seconds.
pub(crate) const STREAM_TOPIC: &str = "streams";
/// Attempts without a whole answer, and servers that ended under them.
pub(crate) const END_TOPIC: &str = "keyed.serverends";
/// Introductions, from which starting VMs learn each other's addresses.
pub(crate) const CONTACT_TOPIC: &str = "keyed.contact";

/// The name of one of the [`TURN_TOPICS`] topics for conversation turns.
pub(crate) fn turn_topic(number: u64) -> String {
    format!("keyed.turns{number}")
}

const DEFAULT_ATTEMPTS: u32 = 2;
/// Most slots of one server, so that sums over all servers stay in range.
const MAX_SERVER_SLOTS: usize = 1 << 20;
const DEFAULT_TOKENS_PER_EVENT: u64 = 1;

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct ConfigBody {
    version: u64,
    routes: Vec<RouteBody>,
    #[serde(default)]
    services: Vec<ServiceBody>,
    #[serde(default)]
    limits: LimitsBody,
    /// Absent if requests need no API key.
    tenants: Option<Vec<TeamBody>>,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is a flag of the configuration"
)]
struct RouteBody {
    name: String,
    host: String,
    path_prefix: String,
    kind: String,
    timeout_ms: f64,
    #[serde(default)]
    slo_ms: f64,
    attempts: Option<u32>,
    #[serde(default)]
    priority: u8,
    /// The only target; ignored if `split` is given.
    service: Option<String>,
    #[serde(default)]
    split: Vec<SplitBody>,
    #[serde(default)]
    can_resume: bool,
    /// Whether the gateway stores conversation turns, so that callers send only the new one.
    #[serde(default)]
    retain: bool,
    /// Seconds for which turns and idle programs are kept; may be given without `retain`.
    retain_s: Option<f64>,
    /// Whether requests need no API key.
    #[serde(default)]
    public: bool,
    #[serde(default)]
    sticky: bool,
}

#[derive(Debug, Deserialize)]
struct SplitBody {
    service: String,
    weight: f64,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct ServiceBody {
    name: String,
    max_conns: Option<usize>,
    engine: Option<EngineBody>,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct EngineBody {
    #[serde(default)]
    slots: usize,
    #[serde(default)]
    kv_cap_tokens: u64,
    /// Tokens per event of a response stream; unrelated to the chunks of a prompt.
    chunk_tokens: Option<u64>,
    #[serde(default)]
    moves: bool,
    #[serde(default)]
    backups: bool,
    #[serde(default)]
    pin_ms: f64,
}

/// A team. Does not derive `Debug`, since it contains API keys.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct TeamBody {
    name: String,
    #[serde(default)]
    api_keys: Vec<String>,
    /// Replace `api_keys` in copies that VMs make of a configuration.
    #[serde(default)]
    key_fingerprints: Vec<String>,
    priority: Option<u8>,
    /// Requests per second; zero for no limit.
    #[serde(default)]
    rate_per_s: f64,
    /// Number of requests that may exceed the rate in a burst.
    #[serde(default)]
    burst: f64,
}

#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
struct LimitsBody {
    max_header_bytes: Option<usize>,
    max_body_bytes: Option<usize>,
    header_timeout_ms: Option<f64>,
    idle_timeout_ms: Option<f64>,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct ServerBody {
    service: String,
    addr: SocketAddr,
    zone: String,
    slots: NonZeroUsize,
    state: StateBody,
    /// Start time in milliseconds since the Unix epoch; zero if the server does not send it.
    #[serde(default)]
    born: u64,
    /// Version of the server's software, not of the weights that it serves.
    version: String,
    // Unused, but required: a record without these fields does not come from a server.
    #[serde(rename = "coldLeftMs")]
    _cold_left_ms: f64,
    #[serde(rename = "seq")]
    _seq: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "camelCase")]
enum StateBody {
    Ready,
    Draining,
}

fn duration_from_millis(millis: f64) -> Duration {
    Duration::try_from_secs_f64(millis / 1000.0).unwrap_or_default()
}

impl RouteBody {
    fn decode(self) -> Result<Route, String> {
        let mut targets: Vec<Target> = self
            .split
            .into_iter()
            .map(|SplitBody { service, weight }| Target { service, weight })
            .collect();
        if let (true, Some(service)) = (targets.is_empty(), self.service) {
            let weight = 1.0;
            targets.push(Target { service, weight });
        }
        Ok(Route {
            kind: self.kind.parse()?,
            name: self.name,
            host: self.host,
            prefix: self.path_prefix,
            timeout: duration_from_millis(self.timeout_ms),
            latency_target: duration_from_millis(self.slo_ms),
            attempts: self.attempts.unwrap_or(DEFAULT_ATTEMPTS).max(1),
            rank: self.priority,
            targets,
            resumable: self.can_resume,
            stores_history: self.retain,
            program_idle_timeout: self
                .retain_s
                .map(|seconds| duration_from_millis(seconds * 1000.0)),
            public: self.public,
            sticky: self.sticky,
        })
    }
}

impl ServiceBody {
    fn decode(self) -> (String, Service) {
        let engine = self.engine.map(|engine| Engine {
            slots: engine.slots,
            cache_tokens: engine.kv_cap_tokens,
            tokens_per_event: engine
                .chunk_tokens
                .unwrap_or(DEFAULT_TOKENS_PER_EVENT)
                .max(1),
            moves: engine.moves,
            backups: engine.backups,
            pin_limit: duration_from_millis(engine.pin_ms),
        });
        let service = Service {
            max_connections: self.max_conns,
            engine,
        };
        (self.name, service)
    }
}

impl TeamBody {
    fn decode(self) -> Result<(Team, Vec<Fingerprint>), String> {
        // The name is sent to backend servers in a header.
        HeaderValue::from_str(&self.name).map_err(|error| error.to_string())?;
        let mut fingerprints = self
            .key_fingerprints
            .iter()
            .map(|text| text.parse())
            .collect::<Result<Vec<_>, _>>()?;
        let keys = self.api_keys.iter();
        fingerprints.extend(keys.map(|key| Fingerprint::of(key.as_bytes())));
        let limit = (self.rate_per_s > 0.0).then_some(Limit {
            per_second: self.rate_per_s,
            burst: self.burst.max(0.0),
        });
        let team = Team {
            name: self.name.into(),
            rank: self.priority,
            limit,
        };
        Ok((team, fingerprints))
    }
}

impl LimitsBody {
    fn decode(self) -> Sizes {
        let default = Sizes::default();
        Sizes {
            max_head_bytes: self.max_header_bytes.unwrap_or(default.max_head_bytes),
            max_body_bytes: self.max_body_bytes.unwrap_or(default.max_body_bytes),
            head_timeout: self
                .header_timeout_ms
                .map_or(default.head_timeout, duration_from_millis),
            idle_timeout: self
                .idle_timeout_ms
                .map_or(default.idle_timeout, duration_from_millis),
        }
    }
}

/// Decodes the configuration record.
pub(crate) fn decode_config(value: &[u8]) -> Result<Table, String> {
    let body: ConfigBody = serde_json::from_slice(value).map_err(|error| error.to_string())?;
    let routes = body.routes.into_iter().map(RouteBody::decode);
    let routes = routes.collect::<Result<Vec<_>, _>>()?;
    let services: HashMap<_, _> = body.services.into_iter().map(ServiceBody::decode).collect();
    let mut table = Table::new(body.version, routes, services, body.limits.decode());
    if let Some(teams) = body.tenants {
        let teams = teams.into_iter().map(TeamBody::decode);
        table.teams = Some(Teams::new(teams.collect::<Result<Vec<_>, _>>()?));
    }
    Ok(table)
}

/// Replaces API keys in an encoded configuration by their fingerprints.
///
/// VMs copy the configuration to each other over unencrypted connections and to the store, where
/// keys must not appear. The result decodes to the same [`Table`].
pub(crate) fn redact_keys(value: &Bytes) -> serde_json::Result<Bytes> {
    let mut body: Value = serde_json::from_slice(value)?;
    let Some(teams) = body.get_mut("tenants").and_then(Value::as_array_mut) else {
        return Ok(value.clone());
    };
    for team in teams.iter_mut().filter_map(Value::as_object_mut) {
        let keys = team.remove("apiKeys").unwrap_or_default();
        let keys = keys.as_array().into_iter().flatten();
        let fingerprints = keys.filter_map(Value::as_str).map(|key| {
            let fingerprint = Fingerprint::of(key.as_bytes());
            Value::String(fingerprint.to_string())
        });
        let fingerprints: Vec<Value> = fingerprints.collect();
        let existing = team
            .entry("keyFingerprints")
            .or_insert_with(|| Value::Array(Vec::new()));
        if let Some(existing) = existing.as_array_mut() {
            existing.extend(fingerprints);
        }
    }
    Ok(Bytes::from(body.to_string()))
}

/// Decodes a directory record; a tombstone removes the server.
pub(crate) fn decode_server(record: &Record) -> Result<Change, String> {
    let name = record.key.as_str().into();
    let Some(value) = &record.value else {
        return Ok(Change::Removed(name));
    };
    let body: ServerBody = serde_json::from_slice(value).map_err(|error| error.to_string())?;
    if body.slots.get() > MAX_SERVER_SLOTS {
        return Err(format!("slots: {} are too many", body.slots));
    }
    if body.addr.port() == 0 {
        return Err("addr: the port is missing".to_owned());
    }
    Ok(Change::Set(Arc::new(Entry {
        id: instance_id(&record.key, body.born),
        name,
        born_ms: body.born,
        service: body.service,
        address: body.addr,
        zone: body.zone,
        slots: body.slots.get(),
        draining: body.state == StateBody::Draining,
        version: body.version.into(),
    })))
}
