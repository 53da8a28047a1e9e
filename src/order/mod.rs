//! Orders to engines: which weights, adapters and role each should have.

mod duty;
mod reconciler;

pub use reconciler::{Reconciler, State, Step};

pub(crate) use duty::{Context, run};
