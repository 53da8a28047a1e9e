//! Client of model engines that speak the streaming chat-completions protocol.

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

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest wait for the response head or the next event of a stream.
const STREAM_IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Timeout of sending an order or reading the state.
const ORDER_TIMEOUT: Duration = Duration::from_millis(1500);
/// Timeout of a cache eviction.
const EVICTION_TIMEOUT: Duration = Duration::from_secs(2);

/// Failure of a request to an engine.
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

/// A chat-completions request with the full history.
#[derive(Debug, Clone)]
pub(crate) struct Chat {
    pub(crate) model: Model,
    pub(crate) messages: Vec<Message>,
    pub(crate) max_tokens: Tokens,
    /// Identifies the program's prefix cache on the engine.
    pub(crate) cache_key: String,
}

/// Fields of a stream chunk that are used here.
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
    prompt_tokens_details: PromptDetails,
}

#[derive(Debug, Default, Deserialize)]
struct PromptDetails {
    #[serde(default)]
    cached_tokens: u64,
}

/// HTTP client for all engines.
#[derive(Debug, Clone)]
pub(crate) struct Engines {
    client: reqwest::Client,
}

impl Engines {
    pub(crate) fn new() -> Self {
        let client = reqwest::Client::builder()
            .connect_timeout(CONNECT_TIMEOUT)
            .tcp_nodelay(true)
            .retry(reqwest::retry::never())
            .build()
            .expect("a client without TLS can be built");
        Self { client }
    }

    /// Streams a completion and passes each text chunk to `on_chunk`. Dropping the future cancels
    /// the stream.
    pub(crate) async fn complete(
        &self,
        address: SocketAddr,
        chat: &Chat,
        mut on_chunk: impl FnMut(Arc<str>),
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
        let response = timeout(STREAM_IDLE_TIMEOUT, sending)
            .await
            .map_err(|_| stream_idle())??;
        let response = response.error_for_status()?;
        let mut events = pin!(response.bytes_stream().eventsource());
        let mut chunks = 0;
        loop {
            let event = timeout(STREAM_IDLE_TIMEOUT, events.next())
                .await
                .map_err(|_| stream_idle())?;
            let Some(event) = event else {
                return Err(EngineError(
                    "the stream ended without a usage report".to_owned(),
                ));
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
            // Stop an engine that exceeds `max_tokens`, to protect the program's budget.
            if chunks >= chat.max_tokens.0 {
                return Ok(estimated_usage(chat, chunks));
            }
            chunks += 1;
            on_chunk(text.into());
        }
    }

    /// Reads the state that an engine reports.
    pub(crate) async fn read_state(
        &self,
        address: SocketAddr,
    ) -> Result<order::State, EngineError> {
        let request = self
            .client
            .get(format!("http://{address}/v1/state"))
            .timeout(ORDER_TIMEOUT);
        Ok(request.send().await?.error_for_status()?.json().await?)
    }

    /// Orders an engine to change to the `desired` state, with `epoch` as the fencing token.
    pub(crate) async fn send_order(
        &self,
        address: SocketAddr,
        epoch: Epoch,
        desired: &order::State,
    ) -> Result<(), EngineError> {
        let body = json!({ "fence": epoch, "goal": desired });
        let url = format!("http://{address}/v1/orders");
        let request = self.client.post(url).json(&body).timeout(ORDER_TIMEOUT);
        request.send().await?.error_for_status()?;
        Ok(())
    }

    /// Asks an engine to evict a program's prefix cache.
    pub(crate) async fn evict(
        &self,
        address: SocketAddr,
        cache_key: &str,
    ) -> Result<(), EngineError> {
        let url = format!("http://{address}/v1/cache/evict");
        let request = self
            .client
            .post(url)
            .json(&json!({ "key": cache_key }))
            .timeout(EVICTION_TIMEOUT);
        request.send().await?.error_for_status()?;
        Ok(())
    }
}

fn stream_idle() -> EngineError {
    EngineError(format!("no token for {STREAM_IDLE_TIMEOUT:?}"))
}

/// Estimates the usage of a stream that was stopped before the engine reported it.
fn estimated_usage(chat: &Chat, chunks: u64) -> Usage {
    let bytes: usize = chat
        .messages
        .iter()
        .map(|message| message.content.len())
        .sum();
    Usage {
        prompt: Tokens(bytes as u64 / 4),
        cached: Tokens(0),
        completion: Tokens(chunks),
    }
}
