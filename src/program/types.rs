//! What callers send and what they get.

use crate::code::{Code, Failure, Ran};
use crate::id::{Call, Class, Digest, Operation, Program, Server, Service, Tokens};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use std::sync::Arc;

/// What a program may spend. A token counts once: when it enters the history.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Budget {
    /// Tokens of the caller's messages and of the model's answers.
    #[schemars(with = "u64")]
    pub tokens: Tokens,
    /// Calls of any kind.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub calls: Option<u64>,
}

/// One message of a history, in the published chat-completions shape.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Message {
    /// `system`, `user`, `assistant` or `tool`.
    pub role: String,
    /// The text.
    pub content: Arc<str>,
}

/// Tokens of one model call, as the engine counted them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt: Tokens,
    /// Tokens of the prompt that the engine had cached.
    pub cached: Tokens,
    /// Tokens generated.
    pub completion: Tokens,
}

/// A model call: only the messages that are new.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Prompt {
    /// Which model; may be left out where the configuration has only one.
    #[serde(default)]
    pub model: Option<crate::id::Model>,
    /// The messages that are new in this call.
    pub messages: Vec<Message>,
    /// The most tokens to generate.
    #[serde(default = "Prompt::default_max_tokens")]
    pub max_tokens: Tokens,
}

impl Prompt {
    const fn default_max_tokens() -> Tokens {
        Tokens(256)
    }
}

/// A call of a plain service.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Invocation {
    /// The service.
    pub service: Service,
    /// The operation.
    pub operation: Operation,
    /// The JSON body to send.
    #[serde(default = "Invocation::default_body")]
    pub body: Box<RawValue>,
}

impl Invocation {
    fn default_body() -> Box<RawValue> {
        RawValue::NULL.to_owned()
    }
}

/// A sub-agent to open as a program of its own, with a part of this program's budget.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Spawn {
    /// The class of the child.
    pub class: Class,
    /// What is carved out of the parent's budget.
    pub budget: Budget,
}

/// What a call asks for.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub enum Request {
    /// Ask a model.
    Model(Prompt),
    /// Ask a service.
    Service(Invocation),
    /// Open a child program.
    Spawn(Spawn),
}

impl Request {
    /// The digest by which a repeated call is recognised.
    ///
    /// ```
    /// use vanillatrail::program::Request;
    /// let request = |text: &str| serde_json::from_str::<Request>(text).unwrap();
    /// let one = request(r#"{"spawn": {"class": "rework", "budget": {"tokens": 10}}}"#);
    /// let two = request(r#"{"spawn": {"class": "rework", "budget": {"tokens": 11}}}"#);
    /// assert_ne!(one.digest(), two.digest());
    /// ```
    ///
    /// # Panics
    /// Never: a request can always be written as JSON.
    #[must_use]
    pub fn digest(&self) -> Digest {
        Digest::of(&serde_json::to_vec(self).expect("a request can be written as JSON"))
    }
}

/// The final answer of a call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub enum Answer {
    /// A model's text.
    Model {
        /// The whole text.
        text: Arc<str>,
        /// What it took.
        usage: Usage,
        /// The engine that wrote it, and that holds its cache.
        server: Server,
    },
    /// A service's reply.
    Service {
        /// The HTTP status it gave.
        status: u16,
        /// The body it gave.
        body: String,
    },
    /// A child program was opened.
    Spawned {
        /// The child.
        child: Program,
    },
    /// The call was sent once; whether it took effect is not known and it is never sent again.
    Unknown {
        /// What is known.
        message: String,
    },
}

impl Answer {
    /// The body for the caller, or the failure that this answer is.
    ///
    /// ```
    /// use vanillatrail::code::Ran;
    /// use vanillatrail::id::Call;
    /// use vanillatrail::program::Answer;
    /// let answer = Answer::Unknown { message: "connection reset".to_owned() };
    /// assert_eq!(answer.body(Call(1)).unwrap_err().ran, Ran::Unknown);
    /// ```
    ///
    /// # Errors
    /// [`Code::OutcomeUnknown`] for a call whose outcome is not known.
    pub fn body(&self, call: Call) -> Result<serde_json::Value, Failure> {
        match self {
            Self::Model {
                text,
                usage,
                server,
            } => Ok(serde_json::json!({
                "call": call, "text": text, "usage": usage, "server": server
            })),
            Self::Service { status, body } => {
                let body = serde_json::from_str(body)
                    .unwrap_or_else(|_| serde_json::Value::String(body.clone()));
                Ok(serde_json::json!({ "call": call, "status": status, "body": body }))
            }
            Self::Spawned { child } => Ok(serde_json::json!({ "call": call, "program": child })),
            Self::Unknown { message } => {
                Err(Failure::refused(Code::OutcomeUnknown, message.clone()).ran(Ran::Unknown))
            }
        }
    }
}
