//! Configuration values and their validation.

use crate::code::{Code, Failure};
use crate::id;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

/// Limit on weight loads if the configuration has no `store/weights`.
const DEFAULT_LOADS_PER_MINUTE: u32 = 10;

/// A class of programs with its latency target and limits.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Latency target of a whole program, in milliseconds.
    pub target_ms: u64,
    /// Whether a caller waits for the result; false for background work, which may be deferred.
    #[serde(default = "Class::default_waiting")]
    pub waiting: bool,
    /// Maximum number of calls of one program.
    #[serde(default = "Class::default_turns")]
    pub turns: u64,
    /// Maximum nesting depth of child programs.
    #[serde(default = "Class::default_depth")]
    pub depth: u32,
    /// Maximum number of children that one program may spawn.
    #[serde(default = "Class::default_children")]
    pub children: usize,
    /// Maximum size of the conversation history of a program, in bytes.
    #[serde(default = "Class::default_history")]
    pub history_bytes: usize,
    /// Maximum time that a program may stay open, in milliseconds.
    #[serde(default = "Class::default_limit")]
    pub limit_ms: u64,
    /// Timeout of one call, in milliseconds.
    #[serde(default = "Class::default_call")]
    pub call_ms: u64,
    /// How long answers are kept after the program ends, in milliseconds.
    #[serde(default = "Class::default_keep")]
    pub keep_ms: u64,
}

impl Class {
    const fn default_waiting() -> bool {
        true
    }

    const fn default_turns() -> u64 {
        410
    }

    const fn default_depth() -> u32 {
        3
    }

    const fn default_children() -> usize {
        32
    }

    const fn default_history() -> usize {
        1 << 20
    }

    const fn default_limit() -> u64 {
        24 * 3_600_000
    }

    const fn default_call() -> u64 {
        60_000
    }

    const fn default_keep() -> u64 {
        600_000
    }
}

/// A backend server: a model engine of a pool or a server of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Engine {
    /// Name, unique among all backend servers.
    #[schemars(with = "String")]
    pub name: id::Server,
    /// IP address and port on which the server listens.
    pub address: SocketAddr,
    /// Availability zone of the server.
    #[serde(default)]
    #[schemars(with = "Option<String>")]
    pub zone: Option<id::Zone>,
}

/// Whether the engines of a pool reject orders with a stale fencing token.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Fencing {
    /// Engines reject stale fencing tokens.
    #[default]
    Checked,
    /// Engines accept any order.
    Ignored,
}

/// A pool of engines that serve one model.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// Model that the pool serves.
    #[schemars(with = "String")]
    pub model: id::Model,
    /// Engines of the pool.
    pub engines: Vec<Engine>,
    /// Whether the engines check fencing tokens.
    #[serde(default)]
    pub fencing: Fencing,
    /// Desired version of the model weights.
    #[serde(default)]
    pub weights: Option<String>,
    /// Desired set of adapters.
    #[serde(default)]
    pub adapters: BTreeSet<String>,
    /// Desired role of the engines.
    #[serde(default)]
    pub role: Option<String>,
}

/// The store from which engines load model weights (`store/weights`).
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Store {
    /// Maximum number of loads that all pools together start per minute.
    pub loads_per_minute: u32,
}

/// Whether a call of an operation may be retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Mode {
    /// Idempotent: the call may be sent again.
    Repeatable,
    /// The service deduplicates calls by their idempotency key.
    Keyed,
    /// The call is sent at most once.
    Once,
}

/// An operation of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Operation {
    /// Whether a call may be retried.
    pub mode: Mode,
    /// For `once` operations: path at which the service reports whether a call took effect.
    #[serde(default)]
    pub status: Option<String>,
    /// Timeout of one attempt, in milliseconds.
    #[serde(default = "Operation::default_timeout")]
    pub timeout_ms: u64,
}

impl Operation {
    const fn default_timeout() -> u64 {
        10_000
    }

    /// Timeout of one attempt.
    #[must_use]
    pub const fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms)
    }
}

/// A service other than a model engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Equivalent servers of the service; each can answer any call.
    pub servers: Vec<Engine>,
    /// Operations by name.
    #[schemars(with = "BTreeMap<String, Operation>")]
    pub operations: BTreeMap<id::Operation, Operation>,
}

/// The value of one configuration key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub enum Value {
    /// A class, under `class/NAME`.
    Class(Class),
    /// A pool, under `pool/NAME`.
    Pool(Pool),
    /// A service, under `service/NAME`.
    Service(Service),
    /// The weight store, under `store/weights`.
    Store(Store),
}

impl Value {
    /// Parses and validates the value of `key`; an error message contains the JSON path.
    ///
    /// ```
    /// use vanillatrail::config::Value;
    /// let value = serde_json::json!({"target_ms": 0});
    /// let failure = Value::check("class/quick", &value).unwrap_err();
    /// assert!(failure.message.contains("target_ms"));
    /// ```
    ///
    /// # Errors
    /// [`Code::BadConfig`] with the JSON path and the reason.
    pub fn check(key: &str, value: &serde_json::Value) -> Result<Self, Failure> {
        let (kind, name) = key.split_once('/').unwrap_or((key, ""));
        if name.parse::<id::Class>().is_err() {
            return Err(invalid(key, ".", "the key is not of the form KIND/NAME"));
        }
        match kind {
            "class" => {
                let class: Class = parse(key, value)?;
                let must_be_positive = [
                    (class.target_ms, "target_ms"),
                    (class.turns, "turns"),
                    (class.limit_ms, "limit_ms"),
                    (class.call_ms, "call_ms"),
                ];
                if let Some((_, path)) = must_be_positive.iter().find(|(number, _)| *number == 0) {
                    return Err(invalid(key, path, "zero"));
                }
                Ok(Self::Class(class))
            }
            "pool" => {
                let pool: Pool = parse(key, value)?;
                check_unique_names(key, "engines", &pool.engines)?;
                Ok(Self::Pool(pool))
            }
            "service" => {
                let service: Service = parse(key, value)?;
                check_unique_names(key, "servers", &service.servers)?;
                Ok(Self::Service(service))
            }
            "store" if name == "weights" => {
                let store: Store = parse(key, value)?;
                if store.loads_per_minute == 0 {
                    return Err(invalid(key, "loads_per_minute", "zero"));
                }
                Ok(Self::Store(store))
            }
            _ => Err(invalid(
                key,
                ".",
                "the key is not class/…, pool/…, service/… or store/weights",
            )),
        }
    }
}

fn invalid(key: &str, path: &str, reason: &str) -> Failure {
    Failure::refused(Code::BadConfig, format!("{key} at `{path}`: {reason}"))
}

fn parse<T: serde::de::DeserializeOwned>(
    key: &str,
    value: &serde_json::Value,
) -> Result<T, Failure> {
    serde_path_to_error::deserialize(value)
        .map_err(|error| invalid(key, &error.path().to_string(), &error.inner().to_string()))
}

fn check_unique_names(key: &str, path: &str, engines: &[Engine]) -> Result<(), Failure> {
    let mut names = std::collections::BTreeSet::new();
    match engines
        .iter()
        .position(|engine| !names.insert(&engine.name))
    {
        Some(index) => Err(invalid(
            key,
            &format!("{path}[{index}].name"),
            "duplicate name",
        )),
        None => Ok(()),
    }
}

/// The effective configuration at one offset.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Snapshot {
    /// The snapshot includes every entry before this offset.
    pub applied: id::Offset,
    /// Classes by name.
    pub classes: BTreeMap<id::Class, Class>,
    /// Pools by model.
    pub pools: BTreeMap<id::Model, Pool>,
    /// Services by name.
    pub services: BTreeMap<id::Service, Service>,
    /// Limits of the weight store; `None` applies the defaults.
    pub store: Option<Store>,
    /// Whether the stream has been read to its end since the process started.
    pub caught_up: bool,
    /// Whether the stream has an entry with a schema newer than this build supports.
    pub newer_schema: bool,
    /// Whether neither the log nor any peer was reachable for some seconds.
    pub cut_off: bool,
}

impl Snapshot {
    /// Whether this VM may admit programs: its configuration is complete and current.
    ///
    /// ```
    /// assert!(!vanillatrail::config::Snapshot::default().allows_admission());
    /// ```
    #[must_use]
    pub const fn allows_admission(&self) -> bool {
        self.caught_up && !self.newer_schema && !self.cut_off
    }

    /// Minimum time between two weight loads of one pool.
    ///
    /// The limit of the store is split evenly over the pools, so that their controllers on
    /// different VMs need no coordination.
    ///
    /// ```
    /// use std::time::Duration;
    /// let snapshot = vanillatrail::config::Snapshot::default();
    /// assert_eq!(snapshot.load_interval(), Duration::from_secs(6));
    /// ```
    #[must_use]
    pub fn load_interval(&self) -> Duration {
        let loads = self
            .store
            .as_ref()
            .map_or(DEFAULT_LOADS_PER_MINUTE, |store| store.loads_per_minute);
        let pools = u32::try_from(self.pools.len().max(1)).unwrap_or(u32::MAX);
        Duration::from_mins(1) * pools / loads.max(1)
    }

    /// Looks up a class by name.
    ///
    /// # Errors
    /// [`Code::UnknownClass`] if it does not exist.
    pub fn class(&self, name: &id::Class) -> Result<&Class, Failure> {
        self.classes.get(name).ok_or_else(|| {
            Failure::refused(Code::UnknownClass, format!("class {name} does not exist"))
        })
    }

    /// Looks up the pool that serves `model`; with `None`, the only configured pool.
    ///
    /// # Errors
    /// [`Code::UnknownModel`] if no pool matches.
    pub fn pool(&self, model: Option<&id::Model>) -> Result<&Pool, Failure> {
        let found = match model {
            Some(model) => self.pools.get(model),
            None if self.pools.len() == 1 => self.pools.values().next(),
            None => None,
        };
        found.ok_or_else(|| {
            let name = model.map_or("(not specified)", id::Model::as_str);
            Failure::refused(Code::UnknownModel, format!("no pool serves model {name}"))
        })
    }

    /// Looks up a service and one of its operations by name.
    ///
    /// # Errors
    /// [`Code::UnknownService`] if either does not exist.
    pub fn operation(
        &self,
        service: &id::Service,
        operation: &id::Operation,
    ) -> Result<(&Service, &Operation), Failure> {
        self.services
            .get(service)
            .and_then(|found| Some((found, found.operations.get(operation)?)))
            .ok_or_else(|| {
                let message = format!("operation {service}/{operation} does not exist");
                Failure::refused(Code::UnknownService, message)
            })
    }
}
