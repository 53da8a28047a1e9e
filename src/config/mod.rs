//! Configuration that operators publish on the log.

mod book;
mod duty;
mod value;

pub use book::{Book, Change, Checkpoint, Ruling, Setting, Verdict};
pub use value::{Class, Engine, Fencing, Mode, Operation, Pool, Service, Snapshot, Store, Value};

pub(crate) use book::SUPPORTED_SCHEMA;
pub(crate) use duty::{Context, run};
