//! The owner of shards: runs the calls of programs in order and journals them.

mod checkpoint;
mod claim;
mod dump;
mod duty;
mod maintenance;
mod model;
mod run;
mod serve;
mod service;
mod spawn;
mod urgency;

pub(crate) use duty::{Context, run};

use crate::code::Failure;
use crate::id::{Call, Class, Program, Shard, shard_of};
use crate::program::{self, Budget};
use serde::{Deserialize, Serialize};
use tokio::sync::mpsc;
use tokio::time::Instant;

/// A place in the stream of an answer.
///
/// Each attempt at an answer has a stream of its own: an engine gives other words to the same
/// prompt, and the rest of one attempt behind the start of another would be nobody's answer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Position {
    /// Tells the attempts at an answer apart.
    pub(crate) stream: u32,
    /// How many parts of it the reader has.
    pub(crate) at: u64,
}

/// What a caller asks, as the entry hands it to the owner.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub(crate) enum Request {
    /// Open a program, once per key.
    Open {
        key: String,
        class: Class,
        budget: Budget,
    },
    /// Run a call, or give its kept answer; frames from position `from` on.
    Call {
        program: Program,
        call: Call,
        request: program::Request,
        from: Position,
    },
    /// Give a call's answer, or the rest of its stream from position `from` on.
    Read {
        program: Program,
        call: Call,
        from: Position,
    },
    /// End a program.
    End { program: Program },
    /// Tell the state of a program.
    Look { program: Program },
}

impl Request {
    /// The shard whose owner answers.
    pub(crate) fn shard(&self, shards: u64) -> Shard {
        match self {
            Self::Open { key, .. } => shard_of(key, shards),
            Self::Call { program, .. }
            | Self::Read { program, .. }
            | Self::End { program }
            | Self::Look { program } => program.shard(),
        }
    }
}

/// A part of the answer.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub(crate) enum Frame {
    /// Text, and its place among the parts of the answer.
    Delta { at: Position, text: String },
    /// The text so far is void: the call runs again and the answer starts anew.
    Restart,
    /// The final answer.
    Final(serde_json::Value),
    /// The final refusal or fault.
    Failed(Failure),
}

/// A request on its way to the owner.
#[derive(Debug)]
pub(crate) struct Envelope {
    pub(crate) request: Request,
    pub(crate) frames: mpsc::Sender<Frame>,
    pub(crate) deadline: Instant,
}
