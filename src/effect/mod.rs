//! State machine of a call that must not be repeated: sends it at most once.

mod state;

pub use state::{Action, Effect, Event};
