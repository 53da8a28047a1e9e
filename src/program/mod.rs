//! Programs: call order, history, budget and stored answers, built by replaying the log.

mod state;
mod table;
mod types;

pub use state::{Admission, AnsweredCall, Intent, Program, Reservation};
pub use table::Table;
pub use types::{Answer, Budget, Invocation, Message, Prompt, Request, Spawn, Usage};
