//! Configuration that operators publish on the log.

mod duty;
mod state;
mod value;

pub use state::{Change, Checkpoint, Decision, Outcome, Setting, State};
pub use value::{Class, Engine, Fencing, Mode, Operation, Pool, Service, Snapshot, Store, Value};

pub(crate) use duty::{Context, run};
pub(crate) use state::SUPPORTED_SCHEMA;
