//! The values that the configuration holds.

use crate::code::{Code, Failure};
use crate::id;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

/// Loads of weights a minute where the configuration says nothing of the store.
const DEFAULT_LOADS: u32 = 10;

/// A class of programs. Operators state the target; the limits have defaults.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// How long a whole program of this class should take at most, in milliseconds.
    pub target_ms: u64,
    /// Whether a caller waits for the end; work without one may run overnight.
    #[serde(default = "Class::default_waiting")]
    pub waiting: bool,
    /// Calls that one program may make.
    #[serde(default = "Class::default_turns")]
    pub turns: u64,
    /// How deep children may be nested.
    #[serde(default = "Class::default_depth")]
    pub depth: u32,
    /// Children that one program may spawn.
    #[serde(default = "Class::default_children")]
    pub children: usize,
    /// Bytes that the history may have.
    #[serde(default = "Class::default_history")]
    pub history_bytes: usize,
    /// How long a program may be open, in milliseconds.
    #[serde(default = "Class::default_limit")]
    pub limit_ms: u64,
    /// How long one call may take, in milliseconds.
    #[serde(default = "Class::default_call")]
    pub call_ms: u64,
    /// How long answers are kept after the end, in milliseconds.
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

/// A model engine of a pool.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Engine {
    /// Its name, unique among backend servers.
    #[schemars(with = "String")]
    pub name: id::Server,
    /// Where it listens.
    pub address: SocketAddr,
    /// The availability zone it stands in.
    #[serde(default)]
    #[schemars(with = "Option<String>")]
    pub zone: Option<id::Zone>,
}

/// Whether the engines of a pool refuse orders with an old fencing number.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Fencing {
    /// They refuse them.
    #[default]
    Checked,
    /// They take any order.
    Ignored,
}

/// A pool of engines that serve one model.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// The model.
    #[schemars(with = "String")]
    pub model: id::Model,
    /// The engines.
    pub engines: Vec<Engine>,
    /// Whether they check fencing numbers.
    #[serde(default)]
    pub fencing: Fencing,
    /// The version of the weights that they should have loaded.
    #[serde(default)]
    pub weights: Option<String>,
    /// The adapters that they should have loaded.
    #[serde(default)]
    pub adapters: BTreeSet<String>,
    /// The role that they should have.
    #[serde(default)]
    pub role: Option<String>,
}

/// The store that engines load weights from, under `store/weights`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Store {
    /// Loads that all pools together may start in a minute.
    pub loads_per_minute: u32,
}

/// How a call of an operation may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Mode {
    /// It may be sent again.
    Repeatable,
    /// The service deduplicates by the key that goes with it.
    Keyed,
    /// It is sent at most once.
    Once,
}

/// An operation of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Operation {
    /// How it may be repeated.
    pub mode: Mode,
    /// Path where the service tells whether a key took effect; for `once` operations.
    #[serde(default)]
    pub status: Option<String>,
    /// How long one attempt may take, in milliseconds.
    #[serde(default = "Operation::default_timeout")]
    pub timeout_ms: u64,
}

impl Operation {
    const fn default_timeout() -> u64 {
        10_000
    }

    /// How long one attempt may take.
    #[must_use]
    pub const fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms)
    }
}

/// A plain service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The servers, each able to answer any call.
    pub servers: Vec<Engine>,
    /// The operations by name.
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
    /// Reads and checks the value of `key`; a fault names its path.
    ///
    /// ```
    /// use vanillatrail::config::Value;
    /// let value = serde_json::json!({"target_ms": 0});
    /// let failure = Value::check("class/quick", &value).unwrap_err();
    /// assert!(failure.message.contains("target_ms"));
    /// ```
    ///
    /// # Errors
    /// [`Code::BadConfig`] with the path and the reason.
    pub fn check(key: &str, value: &serde_json::Value) -> Result<Self, Failure> {
        let (kind, name) = key.split_once('/').unwrap_or((key, ""));
        if name.parse::<id::Class>().is_err() {
            return Err(bad(key, ".", "the key is not KIND/NAME"));
        }
        match kind {
            "class" => {
                let class: Class = read(key, value)?;
                let whole = [
                    (class.target_ms, "target_ms"),
                    (class.turns, "turns"),
                    (class.limit_ms, "limit_ms"),
                    (class.call_ms, "call_ms"),
                ];
                if let Some((_, path)) = whole.iter().find(|(number, _)| *number == 0) {
                    return Err(bad(key, path, "zero"));
                }
                Ok(Self::Class(class))
            }
            "pool" => {
                let pool: Pool = read(key, value)?;
                distinct(key, "engines", &pool.engines)?;
                Ok(Self::Pool(pool))
            }
            "service" => {
                let service: Service = read(key, value)?;
                distinct(key, "servers", &service.servers)?;
                Ok(Self::Service(service))
            }
            "store" if name == "weights" => {
                let store: Store = read(key, value)?;
                if store.loads_per_minute == 0 {
                    return Err(bad(key, "loads_per_minute", "zero"));
                }
                Ok(Self::Store(store))
            }
            _ => Err(bad(
                key,
                ".",
                "the key is not class/…, pool/…, service/… or store/weights",
            )),
        }
    }
}

fn bad(key: &str, path: &str, reason: &str) -> Failure {
    Failure::refused(Code::BadConfig, format!("{key} at `{path}`: {reason}"))
}

fn read<T: serde::de::DeserializeOwned>(
    key: &str,
    value: &serde_json::Value,
) -> Result<T, Failure> {
    serde_path_to_error::deserialize(value)
        .map_err(|error| bad(key, &error.path().to_string(), &error.inner().to_string()))
}

fn distinct(key: &str, path: &str, engines: &[Engine]) -> Result<(), Failure> {
    let mut names = std::collections::BTreeSet::new();
    match engines
        .iter()
        .position(|engine| !names.insert(&engine.name))
    {
        Some(index) => Err(bad(key, &format!("{path}[{index}].name"), "stands twice")),
        None => Ok(()),
    }
}

/// The configuration in force at one offset.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Snapshot {
    /// Every record before this offset has been taken in.
    pub applied: id::Offset,
    /// Classes by name.
    pub classes: BTreeMap<id::Class, Class>,
    /// Pools by model.
    pub pools: BTreeMap<id::Model, Pool>,
    /// Services by name.
    pub services: BTreeMap<id::Service, Service>,
    /// The weight store.
    pub store: Option<Store>,
    /// Whether the log has been read to its end since the start.
    pub caught_up: bool,
    /// A record of a newer schema was met: this build must not judge what follows.
    pub newer_schema: bool,
    /// Neither the log nor any peer has been seen for a while.
    pub cut_off: bool,
}

impl Snapshot {
    /// Whether programs may be admitted under this configuration.
    ///
    /// ```
    /// assert!(!vanillatrail::config::Snapshot::default().admits());
    /// ```
    #[must_use]
    pub const fn admits(&self) -> bool {
        self.caught_up && !self.newer_schema && !self.cut_off
    }

    /// The least time between two loads that one pool starts.
    ///
    /// The store's limit is split evenly over the pools, so that their controllers, on whichever
    /// VMs, keep to it together without asking each other.
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
            .map_or(DEFAULT_LOADS, |store| store.loads_per_minute);
        let pools = u32::try_from(self.pools.len().max(1)).unwrap_or(u32::MAX);
        Duration::from_mins(1) * pools / loads.max(1)
    }

    /// The class of this name.
    ///
    /// # Errors
    /// [`Code::UnknownClass`] when there is none.
    pub fn class(&self, name: &id::Class) -> Result<&Class, Failure> {
        self.classes.get(name).ok_or_else(|| {
            Failure::refused(Code::UnknownClass, format!("there is no class {name}"))
        })
    }

    /// The pool that serves `model`, or the only pool when no model is named.
    ///
    /// # Errors
    /// [`Code::UnknownModel`] when there is none.
    pub fn pool(&self, model: Option<&id::Model>) -> Result<&Pool, Failure> {
        let found = match model {
            Some(model) => self.pools.get(model),
            None if self.pools.len() == 1 => self.pools.values().next(),
            None => None,
        };
        found.ok_or_else(|| {
            let name = model.map_or("(none named)", id::Model::as_str);
            Failure::refused(Code::UnknownModel, format!("no pool serves model {name}"))
        })
    }

    /// The service and operation of these names.
    ///
    /// # Errors
    /// [`Code::UnknownService`] when there is none.
    pub fn operation(
        &self,
        service: &id::Service,
        operation: &id::Operation,
    ) -> Result<(&Service, &Operation), Failure> {
        self.services
            .get(service)
            .and_then(|found| Some((found, found.operations.get(operation)?)))
            .ok_or_else(|| {
                let message = format!("there is no operation {service}/{operation}");
                Failure::refused(Code::UnknownService, message)
            })
    }
}
