//! Configuration that operators publish on the log, and the verdict on each change.

mod book;
mod duty;
mod value;

pub use book::{Book, Change, Checkpoint, Ruling, Setting, Verdict};
pub use value::{Class, Engine, Fencing, Mode, Operation, Pool, Service, Snapshot, Store, Value};

pub(crate) use book::SCHEMA;
pub(crate) use duty::{Context, run};
