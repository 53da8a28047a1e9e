//! Records of programs and shards: their encoding, and writing them to and reading them from the
//! log.

mod duty;
mod record;
mod stream;

pub use record::{Body, Id, Record, Undecodable, decode, encode};

pub(crate) use duty::{Command, Event, Numbers, Pace, Share, run};
pub(crate) use stream::{CONFIG, stream_of};
