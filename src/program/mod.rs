//! Programs: order of calls, history, budget and kept answers, folded from records.

mod state;
mod table;
mod types;

pub use state::{Admission, Intent, Kept, Program, Reserve};
pub use table::Table;
pub use types::{Answer, Budget, Invocation, Message, Prompt, Request, Spawn, Usage};
