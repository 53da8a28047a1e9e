//! Records of a shard and their encoding: a version byte, then `MessagePack`.

use crate::code::Code;
use crate::id::{Boot, Call, Digest, Epoch, Program, Sequence, Server, Shard, Tokens, Vm};
use crate::program::{Answer, Budget, Message, Program as State};
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::fmt;

/// Encoding version that this build writes and reads.
const VERSION: u8 = 1;

/// Unique id of a record, by which readers recognize duplicates.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Id {
    /// VM that wrote the record.
    pub vm: Vm,
    /// Run of the process that wrote the record.
    pub boot: Boot,
    /// Increases by one with each record that the run writes to the stream.
    pub sequence: Sequence,
}

/// One record of one shard.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Record {
    /// Equal in two entries if a record was appended twice.
    pub id: Id,
    /// Shard that the record belongs to.
    pub shard: Shard,
    /// Fencing token: epoch of the claim under which the record was written. The record is ignored
    /// if a newer claim precedes it in the stream.
    pub epoch: Epoch,
    /// Change of the shard's state.
    pub body: Body,
}

/// Content of a record: one change of a shard's state.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub enum Body {
    /// The writer claims the shard; the record's position in the stream is the epoch.
    Claim,
    /// The writer releases the shard.
    Release {
        /// VM that should claim the shard next; `None` leaves it to rendezvous order.
        successor: Option<Vm>,
    },
    /// A program was opened.
    Opened {
        /// Id of the new program.
        program: Program,
        /// Idempotency key of the request that opened the program.
        key: String,
        /// Class that the caller chose for the program.
        class: crate::id::Class,
        /// Tokens and calls that the program may use.
        budget: Budget,
        /// Milliseconds since the Unix epoch; used only for reports and time limits.
        at_ms: u64,
    },
    /// A model call is about to be sent and may spend up to `reserve`.
    Begun {
        /// Id of the program.
        program: Program,
        /// Id of the call, unique within the program.
        call: Call,
        /// Most tokens that the call can use, reserved in the program's budget.
        reserve: Tokens,
        /// Engine that the call is sent to, which then caches the program's prompt.
        server: Server,
    },
    /// An attempt at a call ended without an answer after spending `tokens`.
    Settled {
        /// Id of the program.
        program: Program,
        /// Id of the call, unique within the program.
        call: Call,
        /// Tokens used by the attempt.
        tokens: Tokens,
    },
    /// A call that must not be repeated is about to be sent; it is sent at most once.
    Intent {
        /// Id of the program.
        program: Program,
        /// Id of the call, unique within the program.
        call: Call,
        /// Digest of the request body, to recognize a repeated request.
        digest: Digest,
        /// Service and operation, for looking up the outcome after a failure.
        target: String,
    },
    /// An intent was withdrawn before anything was sent.
    Dropped {
        /// Id of the program.
        program: Program,
        /// Id of the call, unique within the program.
        call: Call,
    },
    /// A call has its final answer.
    Done {
        /// Id of the program.
        program: Program,
        /// Id of the call, unique within the program.
        call: Call,
        /// Digest of the request body, to recognize a repeated request.
        digest: Digest,
        /// Messages of the caller that are added to the history before the answer.
        messages: Vec<Message>,
        /// Answer that is returned, also to a repeated request.
        answer: Answer,
    },
    /// The program ended.
    Ended {
        /// Id of the program.
        program: Program,
        /// Result code; `None` if the caller ended the program.
        reason: Option<Code>,
        /// Milliseconds since the Unix epoch, from which the retention of answers counts.
        at_ms: u64,
    },
    /// A backend server has evicted the program's prefix cache.
    Evicted {
        /// Id of the program.
        program: Program,
        /// Backend server that had the cache.
        server: Server,
    },
    /// The program was removed: it has ended, its caches are evicted and the retention of its
    /// answers is over.
    Forgotten {
        /// Id of the program.
        program: Program,
    },
    /// A call opened a child program; the record also answers the call.
    Spawned {
        /// Id of the parent program.
        program: Program,
        /// Call of the parent that opened the child.
        call: Call,
        /// Digest of the request body, to recognize a repeated request.
        digest: Digest,
        /// Id of the child program.
        child: Program,
        /// Class of the child program.
        class: crate::id::Class,
        /// Budget of the child, taken from the parent's budget.
        budget: Budget,
        /// Milliseconds since the Unix epoch when the child was opened.
        at_ms: u64,
    },
    /// The full state of a program, so that its older records can be trimmed.
    Checkpoint {
        /// State of the program after all earlier records.
        program: Box<State>,
    },
    /// Checkpoints of all programs of the shard have been written since the newest claim.
    Checkpointed,
}

impl Body {
    /// The program that the record changes; `None` if it is about the shard itself.
    ///
    /// ```
    /// assert_eq!(vanillatrail::journal::Body::Claim.program(), None);
    /// ```
    #[must_use]
    pub fn program(&self) -> Option<Program> {
        match self {
            Self::Claim | Self::Release { .. } | Self::Checkpointed => None,
            Self::Opened { program, .. }
            | Self::Begun { program, .. }
            | Self::Settled { program, .. }
            | Self::Intent { program, .. }
            | Self::Dropped { program, .. }
            | Self::Done { program, .. }
            | Self::Ended { program, .. }
            | Self::Evicted { program, .. }
            | Self::Forgotten { program }
            | Self::Spawned { program, .. } => Some(*program),
            Self::Checkpoint { program } => Some(program.id),
        }
    }
}

/// The bytes are not a batch of records that this build can read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DecodeError(String);

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "undecodable batch: {}", self.0)
    }
}

impl std::error::Error for DecodeError {}

/// Encodes a batch of records as one log entry.
///
/// ```
/// use vanillatrail::journal::{decode, encode};
/// assert_eq!(decode(&encode(&[])).unwrap(), vec![]);
/// ```
///
/// # Panics
/// Never: every record type can be encoded.
#[must_use]
pub fn encode(batch: &[Record]) -> Bytes {
    let mut bytes = vec![VERSION];
    rmp_serde::encode::write_named(&mut bytes, batch).expect("records can be encoded");
    bytes.into()
}

/// Decodes one log entry into its batch of records.
///
/// ```
/// assert!(vanillatrail::journal::decode(b"\x09").is_err());
/// ```
///
/// # Errors
/// If the version is unknown or the bytes are malformed.
pub fn decode(bytes: &[u8]) -> Result<Vec<Record>, DecodeError> {
    match bytes.split_first() {
        Some((&VERSION, rest)) => {
            rmp_serde::from_slice(rest).map_err(|error| DecodeError(error.to_string()))
        }
        Some((version, _)) => Err(DecodeError(format!("version {version}"))),
        None => Err(DecodeError("empty".to_owned())),
    }
}
