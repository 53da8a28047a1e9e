//! Owner of shards: runs the calls of programs in order and records them in the log.

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

/// A position in the stream of an answer.
///
/// Each attempt has a stream of its own: engines answer the same prompt differently, so parts of two attempts
/// must not be mixed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Position {
    /// Random id of the attempt.
    pub(crate) stream: u32,
    /// Index of the next part.
    pub(crate) at: u64,
}

/// A request of a caller, sent by the VM that received it to the owner of the shard.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub(crate) enum Request {
    /// Opens a program, once per key.
    Open {
        key: String,
        class: Class,
        budget: Budget,
    },
    /// Runs a call, or returns its stored answer; streams from position `from` on.
    Call {
        program: Program,
        call: Call,
        request: program::Request,
        from: Position,
    },
    /// Returns the stored answer of a call, or streams it from position `from` on if it is running.
    Read {
        program: Program,
        call: Call,
        from: Position,
    },
    /// Ends a program.
    End { program: Program },
    /// Returns the state of a program.
    Look { program: Program },
}

impl Request {
    /// The shard whose owner handles the request.
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

/// One message of the response to a [`Request`].
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub(crate) enum Frame {
    /// Text of the answer, and its position.
    Delta { at: Position, text: String },
    /// The text so far is to be discarded: the call runs again and the answer starts over.
    Restart,
    /// The final answer.
    Final(serde_json::Value),
    /// The request failed.
    Failed(Failure),
}

/// A request in the queue of the owner thread, with its response channel.
#[derive(Debug)]
pub(crate) struct Envelope {
    pub(crate) request: Request,
    pub(crate) frames: mpsc::Sender<Frame>,
    /// Until when the caller waits.
    pub(crate) deadline: Instant,
}
