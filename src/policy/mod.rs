//! Which call goes to which backend server, and when.

mod pool;

pub use pool::{Action, Ask, Outcome, Pool};
