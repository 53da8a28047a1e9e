//! Calls that must not be repeated: when to send, when to drop, and what to say of the outcome.

mod state;

pub use state::{Action, Effect, Event};
