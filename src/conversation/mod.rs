//! Conversation histories that the system stores for callers.
//!
//! A caller sends only the new input and the id of the previous turn; the backend server gets the
//! whole history. Each finished turn is one immutable record with its own id, so any VM can write
//! it, repeatedly and without coordination. A record links to the previous turn instead of
//! repeating it, so stored bytes grow linearly with the conversation.
//!
//! Nothing in this module does I/O.

mod bucket;
mod cache;
mod locations;
mod outbox;
mod transcript;
mod turn;

pub use bucket::{Bucket, Layout};
pub use cache::{Cache, History};
pub use locations::Locations;
pub use outbox::Outbox;
pub use transcript::Transcript;
pub use turn::{Id, Turn, build_prompt, copied_bytes};
