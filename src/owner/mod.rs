//! The owner of shards: runs the calls of programs in order and journals them.

mod care;
mod duty;
mod model;
mod run;
mod serve;
mod service;
mod spawn;

pub(crate) use duty::{Context, run};

use crate::code::Failure;
use crate::id::{Call, Class, Program, Shard, shard_of};
use crate::program::{self, Budget};
use serde::{Deserialize, Serialize};
use tokio::sync::mpsc;
use tokio::time::Instant;

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
        from: u64,
    },
    /// Give a call's answer, or the rest of its stream from position `from` on.
    Read {
        program: Program,
        call: Call,
        from: u64,
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
    /// Text, and its position among the parts of the answer.
    Delta { at: u64, text: String },
    /// The text so far is void: the call runs again and the answer starts anew.
    Restart,
    /// The final answer.
    Final(serde_json::Value),
    /// The final refusal or fault.
    Failed(Failure),
}

/// A request on its way to the owner.
#[derive(Debug)]
pub(crate) struct Ask {
    pub(crate) request: Request,
    pub(crate) frames: mpsc::Sender<Frame>,
    pub(crate) until: Instant,
}
