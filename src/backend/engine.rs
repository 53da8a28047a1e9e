//! Model engines in the published chat-completions shape, with event-stream chunks.

use crate::id::{Epoch, Model, Tokens};
use crate::order;
use crate::program::{Message, Usage};
use eventsource_stream::Eventsource;
use futures::StreamExt;
use serde::Deserialize;
use serde_json::json;
use std::fmt;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::timeout;

/// How long a connection may take to stand.
const CONNECT: Duration = Duration::from_secs(1);
/// Silence of a stream past which the engine counts as stuck.
const SILENCE: Duration = Duration::from_secs(15);
/// How long an order, or a reading of the state, may take.
const ORDER: Duration = Duration::from_millis(1500);
/// How long an eviction may take.
const EVICT: Duration = Duration::from_secs(2);

/// Why an engine gave no whole answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct EngineError(pub(crate) String);

impl fmt::Display for EngineError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl From<reqwest::Error> for EngineError {
    fn from(error: reqwest::Error) -> Self {
        Self(error.to_string())
    }
}

/// A model call, whole.
#[derive(Debug, Clone)]
pub(crate) struct Chat {
    pub(crate) model: Model,
    pub(crate) messages: Vec<Message>,
    pub(crate) max_tokens: Tokens,
    /// Names the cache that the engine keeps for the program.
    pub(crate) cache_key: String,
}

/// One chunk of the stream, as far as it is read.
#[derive(Debug, Deserialize)]
struct Chunk {
    #[serde(default)]
    choices: Vec<Choice>,
    #[serde(default)]
    usage: Option<WireUsage>,
}

#[derive(Debug, Deserialize)]
struct Choice {
    #[serde(default)]
    delta: Delta,
}

#[derive(Debug, Default, Deserialize)]
struct Delta {
    #[serde(default)]
    content: Option<String>,
}

#[derive(Debug, Deserialize)]
struct WireUsage {
    prompt_tokens: u64,
    completion_tokens: u64,
    #[serde(default)]
    prompt_tokens_details: Details,
}

#[derive(Debug, Default, Deserialize)]
struct Details {
    #[serde(default)]
    cached_tokens: u64,
}

/// A client of every engine.
#[derive(Debug, Clone)]
pub(crate) struct Engines {
    client: reqwest::Client,
}

impl Engines {
    pub(crate) fn new() -> Self {
        let client = reqwest::Client::builder()
            .connect_timeout(CONNECT)
            .tcp_nodelay(true)
            .retry(reqwest::retry::never())
            .build()
            .expect("a client without TLS can be built");
        Self { client }
    }

    /// Streams an answer; `take` gets each part. Dropping the future cancels the stream.
    pub(crate) async fn complete(
        &self,
        address: SocketAddr,
        chat: &Chat,
        mut take: impl FnMut(Arc<str>),
    ) -> Result<Usage, EngineError> {
        let body = json!({
            "model": chat.model,
            "messages": chat.messages,
            "max_tokens": chat.max_tokens,
            "stream": true,
            "stream_options": { "include_usage": true },
            "prompt_cache_key": chat.cache_key,
        });
        let url = format!("http://{address}/v1/chat/completions");
        let sending = self.client.post(url).json(&body).send();
        let reply = timeout(SILENCE, sending).await.map_err(|_| silent())??;
        let reply = reply.error_for_status()?;
        let mut events = pin!(reply.bytes_stream().eventsource());
        let mut parts = 0;
        loop {
            let event = timeout(SILENCE, events.next())
                .await
                .map_err(|_| silent())?;
            let Some(event) = event else {
                return Err(EngineError("the stream was cut before its end".to_owned()));
            };
            let event = event.map_err(|error| EngineError(error.to_string()))?;
            let chunk: Chunk = serde_json::from_str(&event.data)
                .map_err(|error| EngineError(format!("malformed chunk: {error}")))?;
            if let Some(usage) = chunk.usage {
                return Ok(Usage {
                    prompt: Tokens(usage.prompt_tokens),
                    cached: Tokens(usage.prompt_tokens_details.cached_tokens),
                    completion: Tokens(usage.completion_tokens),
                });
            }
            let text = chunk
                .choices
                .into_iter()
                .find_map(|choice| choice.delta.content);
            let Some(text) = text.filter(|text| !text.is_empty()) else {
                continue;
            };
            // An engine that goes on past the bound is cut off here: its caller has a budget.
            if parts >= chat.max_tokens.0 {
                return Ok(counted(chat, parts));
            }
            parts += 1;
            take(text.into());
        }
    }

    /// What an engine says it is.
    pub(crate) async fn state(&self, address: SocketAddr) -> Result<order::State, EngineError> {
        let request = self
            .client
            .get(format!("http://{address}/v1/state"))
            .timeout(ORDER);
        Ok(request.send().await?.error_for_status()?.json().await?)
    }

    /// Orders an engine to become `goal`, under the fencing number `fence`.
    pub(crate) async fn order(
        &self,
        address: SocketAddr,
        fence: Epoch,
        goal: &order::State,
    ) -> Result<(), EngineError> {
        let body = json!({ "fence": fence, "goal": goal });
        let url = format!("http://{address}/v1/orders");
        let request = self.client.post(url).json(&body).timeout(ORDER);
        request.send().await?.error_for_status()?;
        Ok(())
    }

    /// Asks an engine to drop the cache of a program.
    pub(crate) async fn evict(&self, address: SocketAddr, key: &str) -> Result<(), EngineError> {
        let url = format!("http://{address}/v1/cache/evict");
        let request = self
            .client
            .post(url)
            .json(&json!({ "key": key }))
            .timeout(EVICT);
        request.send().await?.error_for_status()?;
        Ok(())
    }
}

fn silent() -> EngineError {
    EngineError(format!("no token for {SILENCE:?}"))
}

/// The usage of a stream that was cut at its bound, when the engine has not told it.
fn counted(chat: &Chat, parts: u64) -> Usage {
    let bytes: usize = chat
        .messages
        .iter()
        .map(|message| message.content.len())
        .sum();
    Usage {
        prompt: Tokens(bytes as u64 / 4),
        cached: Tokens(0),
        completion: Tokens(parts),
    }
}
