//! Calls, outcomes and actions: the interface of a pool.

use crate::code::Failure;
use crate::id::{self, Permit, Server, Tokens, Zone};
use serde::{Deserialize, Serialize};

/// A call that needs a server.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Request {
    /// Program that makes the call.
    pub program: id::Program,
    /// Class of the program.
    pub class: Option<id::Class>,
    /// Time until the program's deadline minus its estimated remaining time, in milliseconds;
    /// negative if it is expected to be late.
    pub slack_ms: i64,
    /// Estimated remaining time of the whole program, in milliseconds; 0 if unknown.
    #[serde(default)]
    pub remaining_ms: u64,
    /// Estimated tokens of the whole prompt.
    pub prompt: Tokens,
    /// Maximum number of tokens to generate.
    pub max_tokens: Tokens,
    /// Servers that may have cached the program.
    pub resident: Vec<Server>,
    /// Servers on which this call has failed.
    pub avoid: Vec<Server>,
    /// Availability zone of the VM that makes the call.
    pub zone: Option<Zone>,
}

/// Result of a granted call.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Outcome {
    /// Whether the server refused the call or failed during it.
    pub failed: bool,
    /// Milliseconds from sending the call to the first token.
    pub first_ms: f64,
    /// Milliseconds from the first token to the last.
    pub rest_ms: f64,
    /// Tokens of the prompt.
    pub prompt: Tokens,
    /// Prompt tokens that were cached.
    pub cached: Tokens,
    /// Generated tokens.
    pub completion: Tokens,
}

/// A decision of the pool.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send the call to this server now.
    Grant(Permit, Server),
    /// Refuse the call.
    Refuse(Permit, Failure),
    /// Export the cache of an idle program from this server, for a later import.
    Export(Server, id::Program),
}
