//! A stand-in for a model engine, in the published chat-completions shape.
//!
//! Tokens come more slowly the more calls are in flight, prompts of a known program are served
//! from a limited cache, and what the published shape lacks (evict, load, orders) is small JSON.

use super::faults::{self, Switches};
use futures::StreamExt;
use poem::http::StatusCode;
use poem::web::sse::{Event, SSE};
use poem::web::{Data, Json};
use poem::{EndpointExt, IntoEndpoint, IntoResponse, Response, Route, get, handler, post};
use serde::{Deserialize, Serialize};
use serde_json::json;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Time per token of a lone call.
const TOKEN_TIME: Duration = Duration::from_millis(2);
/// What each further call in flight adds to the time per token.
const TOKEN_TIME_STEP: Duration = Duration::from_micros(150);
/// Time to work through a thousand prompt tokens that are not cached.
const PREFILL_TIME: Duration = Duration::from_millis(40);
/// Tokens that the cache holds.
const CACHE_TOKENS: u64 = 200_000;

/// A request in the published shape, as far as it is read here.
#[derive(Debug, Deserialize)]
struct Completion {
    messages: Vec<crate::program::Message>,
    max_tokens: u64,
    #[serde(default)]
    prompt_cache_key: Option<String>,
}

#[derive(Debug, Default)]
struct Cached {
    text: String,
    used: u64,
}

/// What really happened, for tests.
#[derive(Debug, Clone, Default, Serialize)]
struct Counters {
    requests: u64,
    finished: u64,
    in_flight: u64,
    prompt_tokens: u64,
    cached_tokens: u64,
    completion_tokens: u64,
    evictions: u64,
    /// Tokens held by program.
    held: BTreeMap<String, u64>,
    /// Answers begun, by program.
    begun: BTreeMap<String, u64>,
    stale_orders: u64,
    loads: u64,
}

#[derive(Debug, Default)]
struct Inner {
    counters: Counters,
    cache: BTreeMap<String, Cached>,
    clock: u64,
    order: u64,
    state: crate::order::State,
}

#[derive(Debug, Clone, Default)]
struct State(Arc<Mutex<Inner>>);

impl State {
    fn with<R>(&self, change: impl FnOnce(&mut Inner) -> R) -> R {
        change(&mut self.0.lock().expect("no holder panics"))
    }
}

/// Leaves the count of calls in flight when the stream ends or is dropped.
struct Flight(State);

impl Drop for Flight {
    fn drop(&mut self) {
        self.0.with(|inner| inner.counters.in_flight -= 1);
    }
}

impl Inner {
    /// Puts the prompt into the cache and gives the tokens that were there already.
    fn admit(&mut self, key: &str, prompt: &str) -> u64 {
        self.clock += 1;
        let cached = self.cache.entry(key.to_owned()).or_default();
        let same = cached
            .text
            .bytes()
            .zip(prompt.bytes())
            .take_while(|(a, b)| a == b)
            .count();
        prompt.clone_into(&mut cached.text);
        cached.used = self.clock;
        self.shrink();
        tokens(same)
    }

    fn shrink(&mut self) {
        let size = |cache: &BTreeMap<String, Cached>| {
            cache
                .values()
                .map(|cached| tokens(cached.text.len()))
                .sum::<u64>()
        };
        while size(&self.cache) > CACHE_TOKENS && self.cache.len() > 1 {
            let oldest = self.cache.iter().min_by_key(|(_, cached)| cached.used);
            let Some(key) = oldest.map(|(key, _)| key.clone()) else {
                return;
            };
            self.cache.remove(&key);
        }
        let held = self
            .cache
            .iter()
            .map(|(key, cached)| (key.clone(), tokens(cached.text.len())));
        self.counters.held = held.collect();
    }
}

const fn tokens(bytes: usize) -> u64 {
    bytes as u64 / 4
}

pub(super) fn routes() -> impl IntoEndpoint<Endpoint: 'static> {
    Route::new()
        .at("/v1/chat/completions", post(complete))
        .at("/v1/cache/evict", post(evict))
        .at("/v1/orders", post(order))
        .at("/v1/state", get(get_state))
        .at("/load", get(load))
        .at("/faults", post(faults::set))
        .at("/counters", get(get_counters))
        .data(State::default())
        .data(Switches::default())
}

#[handler]
async fn complete(
    state: Data<&State>,
    switches: Data<&Switches>,
    body: Json<Completion>,
) -> poem::Result<Response> {
    switches.enter().await?;
    let (state, switches) = (state.0.clone(), switches.0.clone());
    let prompt = prompt_of(&body.messages);
    let key = body.prompt_cache_key.clone().unwrap_or_default();
    let prompt_tokens = tokens(prompt.len());
    let (cached, salt) = state.with(|inner| {
        inner.counters.requests += 1;
        let salt = if switches.get().vary {
            inner.counters.requests
        } else {
            0
        };
        inner.counters.in_flight += 1;
        *inner.counters.begun.entry(key.clone()).or_default() += 1;
        let cached = inner.admit(&key, &prompt).min(prompt_tokens);
        inner.counters.prompt_tokens += prompt_tokens;
        inner.counters.cached_tokens += cached;
        (cached, salt)
    });
    let flight = Flight(state.clone());
    let wanted = body.max_tokens + switches.get().extra_tokens;
    let slower = u32::try_from(switches.get().slower.max(1)).unwrap_or(1);
    let fresh = u32::try_from(prompt_tokens - cached).unwrap_or(u32::MAX);
    let stream = async_stream(move |out| async move {
        let _flight = flight;
        tokio::time::sleep(PREFILL_TIME * fresh / 1000 * slower).await;
        let mut text = String::new();
        for index in 0..wanted {
            let others = state.with(|inner| inner.counters.in_flight.saturating_sub(1));
            let step = TOKEN_TIME_STEP * u32::try_from(others).unwrap_or(u32::MAX);
            tokio::time::sleep((TOKEN_TIME + step) * slower).await;
            while switches.get().frozen {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
            if switches.get().cut_after.is_some_and(|most| index >= most) {
                return;
            }
            let word = word(&prompt, index, salt);
            text.push_str(&word);
            state.with(|inner| inner.counters.completion_tokens += 1);
            let chunk = json!({
                "object": "chat.completion.chunk",
                "choices": [{ "index": 0, "delta": { "content": word }, "finish_reason": null }],
            });
            if out.send(chunk.to_string()).await.is_err() {
                return;
            }
        }
        state.with(|inner| {
            inner.counters.finished += 1;
            if let Some(cached) = inner.cache.get_mut(&key) {
                cached.text = format!("{prompt}assistant:{text}\n");
            }
            inner.shrink();
        });
        let usage = json!({
            "object": "chat.completion.chunk",
            "choices": [{ "index": 0, "delta": {}, "finish_reason": "stop" }],
            "usage": {
                "prompt_tokens": prompt_tokens,
                "completion_tokens": wanted,
                "total_tokens": prompt_tokens + wanted,
                "prompt_tokens_details": { "cached_tokens": cached },
            },
        });
        let _ = out.send(usage.to_string()).await;
        let _ = out.send("[DONE]".to_owned()).await;
    });
    Ok(SSE::new(stream).into_response())
}

/// A stream of what `produce` sends; dropping it ends the producer at its next send.
fn async_stream<F, P>(produce: P) -> impl futures::Stream<Item = Event> + Send + 'static
where
    F: Future<Output = ()> + Send + 'static,
    P: FnOnce(tokio::sync::mpsc::Sender<String>) -> F,
{
    let (out, chunks) = tokio::sync::mpsc::channel(1);
    tokio::spawn(produce(out));
    futures::stream::unfold(chunks, |mut chunks| async move {
        chunks.recv().await.map(|chunk| (chunk, chunks))
    })
    .map(Event::message)
}

/// The text of a prompt.
fn prompt_of(messages: &[crate::program::Message]) -> String {
    messages
        .iter()
        .flat_map(|message| [message.role.as_str(), ":", &message.content, "\n"])
        .collect()
}

/// The whole answer to `messages`: a caller that knows its history can tell that the engine was
/// given exactly this history.
pub(crate) fn answer(messages: &[crate::program::Message], max_tokens: u64) -> String {
    let prompt = prompt_of(messages);
    (0..max_tokens)
        .map(|index| word(&prompt, index, 0))
        .collect()
}

/// A word that depends on the prompt, so that answers to different prompts differ.
fn word(prompt: &str, index: u64, salt: u64) -> String {
    let seed = xxhash_rust::xxh3::xxh3_64_with_seed(prompt.as_bytes(), index + (salt << 32));
    format!("{:03x} ", seed % 4096)
}

#[derive(Debug, Deserialize)]
struct Evict {
    key: String,
}

#[handler]
async fn evict(
    state: Data<&State>,
    switches: Data<&Switches>,
    body: Json<Evict>,
) -> poem::Result<Json<serde_json::Value>> {
    switches.enter().await?;
    state.with(|inner| {
        inner.cache.remove(&body.key);
        inner.counters.evictions += 1;
        inner.shrink();
    });
    if switches.loses_reply() {
        return Err(poem::Error::from_status(StatusCode::BAD_GATEWAY));
    }
    Ok(Json(json!({ "evicted": body.key })))
}

#[derive(Debug, Deserialize)]
struct Order {
    fence: u64,
    #[serde(default)]
    goal: crate::order::State,
}

#[handler]
async fn get_state(
    state: Data<&State>,
    switches: Data<&Switches>,
) -> poem::Result<Json<crate::order::State>> {
    switches.enter().await?;
    Ok(Json(state.with(|inner| inner.state.clone())))
}

#[handler]
async fn order(
    state: Data<&State>,
    switches: Data<&Switches>,
    body: Json<Order>,
) -> poem::Result<Json<serde_json::Value>> {
    switches.enter().await?;
    let ignores = switches.get().ignore_fence;
    let refused = state.with(|inner| {
        let older = body.fence < inner.order;
        inner.order = inner.order.max(body.fence);
        inner.counters.stale_orders += u64::from(older);
        let refused = older && !ignores;
        if !refused {
            inner.counters.loads += u64::from(inner.state.weights != body.goal.weights);
            inner.state = body.goal.clone();
        }
        refused
    });
    if refused {
        return Err(poem::Error::from_status(StatusCode::CONFLICT));
    }
    Ok(Json(json!({ "fence": body.fence })))
}

#[handler]
async fn load(
    state: Data<&State>,
    switches: Data<&Switches>,
) -> poem::Result<Json<serde_json::Value>> {
    switches.enter().await?;
    let in_flight = state.with(|inner| inner.counters.in_flight);
    let leaving = switches.get().leaving;
    Ok(Json(json!({ "in_flight": in_flight, "leaving": leaving })))
}

#[handler]
fn get_counters(state: Data<&State>) -> Json<Counters> {
    Json(state.with(|inner| inner.counters.clone()))
}
