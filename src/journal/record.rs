//! The records of a shard and their encoding: a version byte, then `MessagePack`.

use crate::code::Code;
use crate::id::{Boot, Call, Digest, Epoch, Program, Sequence, Server, Shard, Tokens, Vm};
use crate::program::{Answer, Budget, Message, Program as State};
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::fmt;

/// The encoding that this build writes.
const VERSION: u8 = 1;

/// Who wrote a record, and its place among the records of that process and stream.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Id {
    /// The VM that wrote it.
    pub vm: Vm,
    /// The run of the process that wrote it.
    pub boot: Boot,
    /// Grows by one with each record of that run.
    pub sequence: Sequence,
}

/// One record of one shard.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Record {
    /// Tells a record that was appended twice from two records.
    pub id: Id,
    /// The shard it is about.
    pub shard: Shard,
    /// The claim under which it was written; it counts only if no newer claim precedes it.
    pub epoch: Epoch,
    /// What it says.
    pub body: Body,
}

/// What a record says.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub enum Body {
    /// The writer takes the shard; its place in the stream is the epoch.
    Claim,
    /// The writer gives the shard up, to `successor` if named.
    Release {
        /// The VM that should claim next.
        successor: Option<Vm>,
    },
    /// A program was opened.
    Opened {
        /// Its id.
        program: Program,
        /// The key that opened it.
        key: String,
        /// Its class.
        class: crate::id::Class,
        /// What it may spend.
        budget: Budget,
        /// Milliseconds since the Unix epoch; for reports and time limits only.
        at_ms: u64,
    },
    /// A model call is about to be sent and may spend up to `reserve`.
    Begun {
        /// The program.
        program: Program,
        /// The call.
        call: Call,
        /// The most that it can add to what the program has spent.
        reserve: Tokens,
        /// The engine that will hold the cache of the program.
        server: Server,
    },
    /// An attempt at a call ended without an answer after spending `tokens`.
    Settled {
        /// The program.
        program: Program,
        /// The call.
        call: Call,
        /// What it spent.
        tokens: Tokens,
    },
    /// A call that must not be repeated is about to be sent, once.
    Intent {
        /// The program.
        program: Program,
        /// The call.
        call: Call,
        /// The digest of its body.
        digest: Digest,
        /// The service and operation, for a status lookup.
        target: String,
    },
    /// The intent was dropped before anything was sent.
    Dropped {
        /// The program.
        program: Program,
        /// The call.
        call: Call,
    },
    /// A call has its final answer.
    Done {
        /// The program.
        program: Program,
        /// The call.
        call: Call,
        /// The digest of its body.
        digest: Digest,
        /// Messages of the caller that join the history, before the answer.
        messages: Vec<Message>,
        /// The answer.
        answer: Answer,
    },
    /// The program ended, at its caller's wish or with a code.
    Ended {
        /// The program.
        program: Program,
        /// Why, when its caller did not ask for it.
        reason: Option<Code>,
        /// Milliseconds since the Unix epoch, for the time that answers are kept.
        at_ms: u64,
    },
    /// A backend server holds no cache for the program any more.
    Evicted {
        /// The program.
        program: Program,
        /// The backend server.
        server: Server,
    },
    /// The program is forgotten: ended, evicted and past the time its answers are kept.
    Forgotten {
        /// The program.
        program: Program,
    },
    /// A call opened a child program and is answered by it, in one record.
    Spawned {
        /// The parent.
        program: Program,
        /// The call of the parent.
        call: Call,
        /// The digest of its body.
        digest: Digest,
        /// The child.
        child: Program,
        /// The class of the child.
        class: crate::id::Class,
        /// What is carved out of the parent's budget.
        budget: Budget,
        /// Milliseconds since the Unix epoch.
        at_ms: u64,
    },
    /// The whole state of a program, so that its older records may be trimmed.
    Checkpoint {
        /// The state.
        program: Box<State>,
    },
    /// Every program of the shard has been written since the newest claim.
    Checkpointed,
}

impl Body {
    /// The program that the record is about; none for one about the shard.
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

/// The bytes are not a batch that this build can read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Undecodable(String);

impl fmt::Display for Undecodable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "undecodable batch: {}", self.0)
    }
}

impl std::error::Error for Undecodable {}

/// Encodes a batch of records as one entry of the log.
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

/// Decodes one entry of the log.
///
/// ```
/// assert!(vanillatrail::journal::decode(b"\x09").is_err());
/// ```
///
/// # Errors
/// When the version is unknown or the bytes are malformed.
pub fn decode(bytes: &[u8]) -> Result<Vec<Record>, Undecodable> {
    match bytes.split_first() {
        Some((&VERSION, rest)) => {
            rmp_serde::from_slice(rest).map_err(|error| Undecodable(error.to_string()))
        }
        Some((version, _)) => Err(Undecodable(format!("version {version}"))),
        None => Err(Undecodable("empty".to_owned())),
    }
}
