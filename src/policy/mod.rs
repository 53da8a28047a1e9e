//! Scheduling policy: which call runs on which backend server, and when.
//!
//! The code here does no I/O and reads no clock: it takes events with the current time and returns
//! actions.

pub mod admit;
pub mod affinity;
pub mod allowance;
pub mod backup;
pub mod cache;
pub mod candidates;
pub mod cells;
pub mod copies;
pub mod dispatch;
pub mod estimate;
mod fairness;
pub mod fallback;
pub mod forecast;
mod grant_rate;
pub mod latency;
pub mod limit;
pub mod load_share;
mod memory;
pub mod moves;
mod needs;
pub mod outage;
mod pace;
pub mod pins;
pub mod pool;
pub mod prefix;
mod priority;
mod programs;
mod queue;
pub mod quota;
pub mod relay;
pub mod request;
pub mod room;
mod server;
pub mod server_ends;
mod service_pool;
pub mod share;
mod slack;
pub mod stop;
pub mod store_health;
pub mod stream_versions;
pub mod unrecorded;
mod window;

pub use pool::Pool;
pub use request::{Action, Outcome, Request};
