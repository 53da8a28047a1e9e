//! Keeps the weights, adapters and role of engines at the configured state.

mod duty;
mod reconciler;

pub use reconciler::{Reconciler, State, Step};

pub(crate) use duty::{Context, run};
