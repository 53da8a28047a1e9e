//! What a pool is asked, what it decides and what it is told.

use crate::code::Failure;
use crate::id::{self, Permit, Server, Tokens, Zone};
use serde::{Deserialize, Serialize};

/// A call that asks for a server.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Ask {
    /// The program.
    pub program: id::Program,
    /// Its class.
    pub class: Option<id::Class>,
    /// Time left of the class target, less the estimate of what the program still has to do, in
    /// milliseconds; below zero when it is late.
    pub slack_ms: i64,
    /// The estimate of what the whole program still has to do, in milliseconds.
    #[serde(default)]
    pub remaining_ms: u64,
    /// Tokens of the whole prompt, estimated.
    pub prompt: Tokens,
    /// The most tokens to generate.
    pub max_tokens: Tokens,
    /// Servers that may hold cache for the program.
    pub resident: Vec<Server>,
    /// Servers not to be given: they have failed this call.
    pub avoid: Vec<Server>,
    /// The availability zone of the VM that asks.
    pub zone: Option<Zone>,
}

/// How a granted call ended.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Outcome {
    /// Whether the server refused or broke the call.
    pub failed: bool,
    /// Milliseconds from sending to the first token.
    pub first_ms: f64,
    /// Milliseconds from the first token to the last.
    pub rest_ms: f64,
    /// Tokens of the prompt.
    pub prompt: Tokens,
    /// Tokens of the prompt that were cached.
    pub cached: Tokens,
    /// Tokens generated.
    pub completion: Tokens,
}

/// What the pool decides.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// The call goes to this server now.
    Grant(Permit, Server),
    /// The call is given up.
    Refuse(Permit, Failure),
    /// The cache of a paused program is moved out of this server, to be imported later.
    Export(Server, id::Program),
}
