//! Requests under which servers end.
//!
//! Load that it answers: one request among many that ends each server which runs it. Its VM, its caller and its program
//! repeat it, and each repeat also ends the other requests of that server. Whether a server has ended may show later than
//! the failure of the request, at another VM, or not before the next repeat is due. So a server counts as exposed to a
//! request from the start of an attempt until it has given a whole answer or has outlived the failure, and a request is
//! not sent to one more server while those that ended under it and those exposed to it are too many.

mod ledger;
mod pace;
mod record;

pub use ledger::Ledger;
pub use pace::WritePace;

use crate::id::ContentHash;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Servers that may end under one request. Two are likely to end under an innocent request that was repeated beside a
/// harmful one; more are not.
pub const MAX_ENDED_SERVERS: usize = 3;
/// The same at a VM that reaches few other VMs. Its callers find VMs that know more.
const MAX_ENDED_SERVERS_CUT_OFF: usize = 1;
/// How long a server is exposed after an attempt failed. Longer than the registration of a server that ended takes to
/// lapse, so that a new process at its address is known for one by then.
pub const EXPOSURE: Duration = Duration::from_secs(5);
/// How long an attempt without a whole answer is kept: the end of its server counts for the request until then.
pub const ATTEMPT_LIFETIME: Duration = Duration::from_mins(1);
/// How long ends count after the last one. Longer than a caller and its program go on to repeat a request.
pub const END_LIFETIME: Duration = Duration::from_mins(10);
/// Most news in one message between VMs, at up to 32 bytes each: a datagram has 1,200 bytes.
pub const MAX_NEWS_PER_MESSAGE: usize = 34;
/// Most news that go with a question about one request.
pub const MAX_KNOWN: usize = 8;

/// Hash of the identity of one instance of a server.
pub type ServerHash = u64;

/// Number of one try of a caller at one VM, which runs at one server at a time.
pub type Run = u32;

/// A request, and the try of its caller that an attempt belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Try {
    /// The request.
    pub content: ContentHash,
    /// The try.
    pub run: Run,
}

/// What a VM knows of the ends that other VMs noticed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Knowledge {
    /// All of them.
    Complete,
    /// None from before its start, as neither another VM nor the store has told it yet.
    Unread,
    /// Perhaps none, since it reaches few other VMs.
    CutOff,
}

impl Knowledge {
    const fn max_ended(self) -> usize {
        match self {
            Self::Complete | Self::Unread => MAX_ENDED_SERVERS,
            Self::CutOff => MAX_ENDED_SERVERS_CUT_OFF,
        }
    }
}

/// What happened to a request at a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum What {
    /// It is being sent to the server.
    #[serde(rename = "b")]
    Began,
    /// The server did not run it.
    #[serde(rename = "n")]
    NotRun,
    /// The attempt ended without a whole answer.
    #[serde(rename = "f")]
    Failed,
    /// The server ended after that.
    #[serde(rename = "e")]
    Ended,
    /// The server gave a whole answer that is no success.
    #[serde(rename = "a")]
    Answered,
    /// The request succeeded there.
    #[serde(rename = "s")]
    Succeeded,
    /// An attempt, at whatever server, may have been lost with all VMs that knew of it.
    #[serde(rename = "l")]
    Lost,
}

/// What happened to a request at a server, as VMs tell it to each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct News {
    /// The request.
    pub content: ContentHash,
    /// The server.
    pub server: ServerHash,
    /// The run; 0 for what concerns none, and for failures that are told again.
    pub run: Run,
    /// What happened.
    pub what: What,
    /// Whether a success excuses the attempt that failed, or under which the server ended. All ends under such attempts of
    /// a request count as one.
    pub excused: bool,
    /// How long ago.
    pub age_ms: u32,
}

/// Whether a request may be sent to one more server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// It may.
    Send,
    /// It depends on these servers, which may have ended or may yet end.
    Pending {
        /// The servers to look at.
        servers: Vec<ServerHash>,
        /// Time until fewer of them are exposed.
        wait: Duration,
    },
    /// It may not be for this time.
    Refuse(Duration),
}
