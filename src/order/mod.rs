//! Orders to engines: which weights, adapters and role each should have.

mod control;
mod duty;

pub use control::{Control, Goal, Step};

pub(crate) use duty::{Context, run};
