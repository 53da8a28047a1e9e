//! Scheduling policy: which call runs on which backend server, and when.
//!
//! The code here does no I/O and reads no clock: it takes events with the current time and returns
//! actions.

pub mod admit;
pub mod allowance;
pub mod ask;
mod backlog;
pub mod cache;
pub mod candidates;
pub mod cells;
pub mod copies;
pub mod dispatch;
pub mod estimate;
mod flow;
pub mod forecast;
pub mod limit;
pub mod outage;
pub mod pace;
pub mod pool;
pub mod prefix;
mod programs;
mod queue;
pub mod quota;
pub mod relay;
mod server;
mod slack;
mod standing;
pub mod trust;
mod window;

pub use ask::{Action, Ask, Outcome};
pub use pool::Pool;
