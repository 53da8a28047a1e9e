//! The turns of conversations that the system keeps for their callers.
//!
//! A caller sends the new input of a turn and names the turn that it goes on from; the backend server
//! is to get all that was said before. Each finished turn is one immutable record under the turn's own
//! identity, so that any VM may write it, and write it again, without agreeing with another one.
//! Records name the turn before, which keeps the bytes of a conversation linear in its length.
//!
//! All parts here decide and do no I/O.

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
pub use turn::{Id, Turn, build_prompt};
