//! Which call goes to which backend server, and when.
//!
//! Everything here is pure: events and the time come in, actions go out.

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
pub mod latency;
pub mod limit;
pub mod outage;
pub mod pool;
pub mod prefix;
mod programs;
mod queue;
pub mod quota;
pub mod relay;
mod server;
pub mod share;
mod slack;
mod standing;
mod window;

pub use ask::{Action, Ask, Outcome};
pub use pool::Pool;
