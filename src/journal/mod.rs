//! Records of programs and shards: their encoding, and writing them to and reading them from the
//! log.

mod duty;
mod record;
mod stream;

pub use record::{Body, DecodeError, Id, Record, decode, encode};

pub(crate) use duty::{Command, Event, MemberCount, Rate, Sequences, run};
pub(crate) use stream::{CONFIG_STREAM, stream_of};
