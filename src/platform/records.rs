//! The records that operators and backend servers write to the store.

use super::store::Keyed;
use crate::gateway::directory::{Change, Entry, identity};
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

/// The topic whose record [`CONFIG_KEY`] is the configuration.
pub(crate) const CONFIG_TOPIC: &str = "keyed.op";
/// The key of the configuration.
pub(crate) const CONFIG_KEY: &str = "config";
/// The topic in which backend servers register themselves, each under its identity.
pub(crate) const DIRECTORY_TOPIC: &str = "keyed.servers";
/// Our own topic of the allowances of programs.
pub(crate) const ALLOWANCE_TOPIC: &str = "keyed.allowance";
/// Our own topic of allowances whose partition does not take them.
pub(crate) const DETOUR_TOPIC: &str = "keyed.detour";
/// How many topics hold turns of conversations. A bucket is read as a whole when no VM has a turn in
/// memory; callers wait for that, so that it has to be small.
pub(crate) const TURN_TOPICS: u64 = 16;
/// Our own topic of turns whose partition does not take them.
pub(crate) const DETOURED_TURN_TOPIC: &str = "keyed.turndetour";
/// Our own topic of copies of the configuration and the directory.
pub(crate) const SNAPSHOT_TOPIC: &str = "keyed.snapshot";
/// Our own topic of the addresses at which VMs first reach each other.
pub(crate) const CONTACT_TOPIC: &str = "keyed.contact";

/// One of our own topics of turns of conversations.
pub(crate) fn turn_topic(number: u64) -> String {
    format!("keyed.turns{number}")
}

/// Servers that a request may run on where a route does not say.
const ATTEMPTS: u32 = 2;
/// Tokens of one event where the engine does not say.
const TOKENS_PER_EVENT: u64 = 1;

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct ConfigBody {
    version: u64,
    routes: Vec<RouteBody>,
    #[serde(default)]
    services: Vec<ServiceBody>,
    #[serde(default)]
    limits: LimitsBody,
    /// Absent where requests need no key.
    tenants: Option<Vec<TeamBody>>,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
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
    /// The only service; absent where `split` names several.
    service: Option<String>,
    #[serde(default)]
    split: Vec<SplitBody>,
    #[serde(default)]
    can_resume: bool,
    /// Whether callers send only what is new in a turn, and the system keeps what was said before.
    #[serde(default)]
    retain: bool,
    /// Seconds for which a stopped program may still come back, and for which a turn is kept. It is
    /// given where no turns are kept, too.
    retain_s: Option<f64>,
    /// Whether its requests need no key.
    #[serde(default)]
    public: bool,
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
    /// Tokens that one event of a stream stands for; nothing to do with chunks of a prompt.
    chunk_tokens: Option<u64>,
}

/// A team. It derives no `Debug`, since it holds keys.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct TeamBody {
    name: String,
    #[serde(default)]
    api_keys: Vec<String>,
    /// In place of keys, in our own copies of a configuration.
    #[serde(default)]
    key_fingerprints: Vec<String>,
    priority: Option<u8>,
    /// Requests a second; zero where there is no limit.
    #[serde(default)]
    rate_per_s: f64,
    /// Requests beyond that, not a second.
    #[serde(default)]
    burst: f64,
}

#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
struct LimitsBody {
    max_header_bytes: Option<usize>,
    max_body_bytes: Option<usize>,
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
    /// The milliseconds since the Unix epoch of the server's start; some versions do not say.
    #[serde(default)]
    born: u64,
    // The rest is not used. An entry without it is not a server's.
    #[serde(rename = "coldLeftMs")]
    _cold_left_ms: f64,
    #[serde(rename = "version")]
    _version: String,
    #[serde(rename = "seq")]
    _seq: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "camelCase")]
enum StateBody {
    Ready,
    Draining,
}

fn millis(number: f64) -> Duration {
    Duration::try_from_secs_f64(number / 1000.0).unwrap_or_default()
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
            timeout: millis(self.timeout_ms),
            objective: millis(self.slo_ms),
            attempts: self.attempts.unwrap_or(ATTEMPTS).max(1),
            rank: self.priority,
            targets,
            resumable: self.can_resume,
            keeps_turns: self.retain,
            program_idle: self.retain_s.map(|seconds| millis(seconds * 1000.0)),
            public: self.public,
        })
    }
}

impl ServiceBody {
    fn decode(self) -> (String, Service) {
        let engine = self.engine.map(|engine| Engine {
            slots: engine.slots,
            memory_tokens: engine.kv_cap_tokens,
            tokens_per_event: engine.chunk_tokens.unwrap_or(TOKENS_PER_EVENT).max(1),
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
        // It goes to servers in a header.
        HeaderValue::from_str(&self.name).map_err(|error| error.to_string())?;
        let mut keys = self
            .key_fingerprints
            .iter()
            .map(|text| text.parse())
            .collect::<Result<Vec<_>, _>>()?;
        let plain = self.api_keys.iter();
        keys.extend(plain.map(|key| Fingerprint::of(key.as_bytes())));
        let limit = (self.rate_per_s > 0.0).then_some(Limit {
            per_second: self.rate_per_s,
            burst: self.burst.max(0.0),
        });
        let team = Team {
            name: self.name.into(),
            rank: self.priority,
            limit,
        };
        Ok((team, keys))
    }
}

impl LimitsBody {
    fn decode(self) -> Sizes {
        let given = Sizes::default();
        Sizes {
            head_bytes: self.max_header_bytes.unwrap_or(given.head_bytes),
            body_bytes: self.max_body_bytes.unwrap_or(given.body_bytes),
            idle: self.idle_timeout_ms.map_or(given.idle, millis),
        }
    }
}

/// Decodes the configuration.
pub(crate) fn table(value: &[u8]) -> Result<Table, String> {
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

/// The configuration with the fingerprints of keys in place of the keys.
///
/// VMs give each other copies over plain connections, and leave some at the store: a key that stood there could be
/// read by whoever reaches a VM. It decodes to the same [`Table`].
pub(crate) fn without_keys(value: &Bytes) -> serde_json::Result<Bytes> {
    let mut body: Value = serde_json::from_slice(value)?;
    let Some(teams) = body.get_mut("tenants").and_then(Value::as_array_mut) else {
        return Ok(value.clone());
    };
    for team in teams.iter_mut().filter_map(Value::as_object_mut) {
        let keys = team.remove("apiKeys").unwrap_or_default();
        let keys = keys.as_array().into_iter().flatten();
        let prints = keys.filter_map(Value::as_str).map(|key| {
            let print = Fingerprint::of(key.as_bytes());
            Value::String(print.to_string())
        });
        let prints: Vec<Value> = prints.collect();
        let known = team
            .entry("keyFingerprints")
            .or_insert_with(|| Value::Array(Vec::new()));
        if let Some(known) = known.as_array_mut() {
            known.extend(prints);
        }
    }
    Ok(Bytes::from(body.to_string()))
}

/// Decodes one record of the directory.
pub(crate) fn server(record: &Keyed) -> Result<Change, String> {
    let name = record.key.as_str().into();
    let Some(value) = &record.value else {
        return Ok(Change::Removed(name));
    };
    let body: ServerBody = serde_json::from_slice(value).map_err(|error| error.to_string())?;
    Ok(Change::Set(Arc::new(Entry {
        id: identity(&record.key, body.born),
        name,
        born_ms: body.born,
        service: body.service,
        address: body.addr,
        zone: body.zone,
        slots: body.slots.get(),
        draining: body.state == StateBody::Draining,
    })))
}
