//! Stand-in for a model engine with a chat-completions API.
//!
//! The time per token grows with the number of calls in flight. Prompts are cached by
//! `prompt_cache_key` in a prefix cache of limited size. Endpoints outside the published API (cache
//! eviction, load, orders) exchange small JSON objects.

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

/// Time per token with one call in flight.
const TOKEN_TIME: Duration = Duration::from_millis(2);
/// Added time per token for each further call in flight.
const TOKEN_TIME_STEP: Duration = Duration::from_micros(150);
/// Prefill time of a thousand prompt tokens that are not cached.
const PREFILL_TIME_PER_1000_TOKENS: Duration = Duration::from_millis(40);
/// Capacity of the prefix cache.
const MAX_CACHE_TOKENS: u64 = 200_000;

/// The fields of a chat-completions request that the stand-in reads.
#[derive(Debug, Deserialize)]
struct Completion {
    messages: Vec<crate::program::Message>,
    max_tokens: u64,
    #[serde(default)]
    prompt_cache_key: Option<String>,
}

#[derive(Debug, Default)]
struct CacheEntry {
    text: String,
    last_used: u64,
}

/// Counters that tests compare with what callers saw.
#[derive(Debug, Clone, Default, Serialize)]
struct Counters {
    requests: u64,
    finished: u64,
    in_flight: u64,
    prompt_tokens: u64,
    cached_tokens: u64,
    completion_tokens: u64,
    evictions: u64,
    /// Cached tokens by program.
    held: BTreeMap<String, u64>,
    /// Number of answers started, by program.
    begun: BTreeMap<String, u64>,
    /// Orders with an outdated fencing token.
    stale_orders: u64,
    /// Orders that changed the model weights.
    loads: u64,
}

#[derive(Debug, Default)]
struct EngineState {
    counters: Counters,
    cache: BTreeMap<String, CacheEntry>,
    /// Logical clock for the LRU order of the cache.
    use_counter: u64,
    /// Highest fencing token of an order so far.
    max_fence: u64,
    goal: crate::order::State,
}

#[derive(Debug, Clone, Default)]
struct State(Arc<Mutex<EngineState>>);

impl State {
    fn with<R>(&self, update: impl FnOnce(&mut EngineState) -> R) -> R {
        update(&mut self.0.lock().expect("the lock is not poisoned"))
    }
}

/// Decrements the number of calls in flight when the stream ends or is dropped.
struct InFlightGuard(State);

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.with(|engine| engine.counters.in_flight -= 1);
    }
}

impl EngineState {
    /// Caches the prompt and returns the length of the prefix that was cached already, in tokens.
    fn cache_prompt(&mut self, key: &str, prompt: &str) -> u64 {
        self.use_counter += 1;
        let cached = self.cache.entry(key.to_owned()).or_default();
        let shared_bytes = cached
            .text
            .bytes()
            .zip(prompt.bytes())
            .take_while(|(a, b)| a == b)
            .count();
        prompt.clone_into(&mut cached.text);
        cached.last_used = self.use_counter;
        self.evict_over_capacity();
        tokens_in(shared_bytes)
    }

    fn evict_over_capacity(&mut self) {
        let size = |cache: &BTreeMap<String, CacheEntry>| {
            cache
                .values()
                .map(|cached| tokens_in(cached.text.len()))
                .sum::<u64>()
        };
        while size(&self.cache) > MAX_CACHE_TOKENS && self.cache.len() > 1 {
            let least_recent = self.cache.iter().min_by_key(|(_, cached)| cached.last_used);
            let Some(key) = least_recent.map(|(key, _)| key.clone()) else {
                return;
            };
            self.cache.remove(&key);
        }
        let held = self
            .cache
            .iter()
            .map(|(key, cached)| (key.clone(), tokens_in(cached.text.len())));
        self.counters.held = held.collect();
    }
}

const fn tokens_in(bytes: usize) -> u64 {
    bytes as u64 / 4
}

pub(super) fn routes() -> impl IntoEndpoint<Endpoint: 'static> {
    Route::new()
        .at("/v1/chat/completions", post(complete))
        .at("/v1/cache/evict", post(evict))
        .at("/v1/orders", post(order))
        .at("/v1/state", get(get_goal))
        .at("/load", get(load))
        .at("/faults", post(faults::set_faults))
        .at("/counters", get(get_counters))
        .data(State::default())
        .data(Switches::default())
}

#[handler]
async fn complete(
    state: Data<&State>,
    faults: Data<&Switches>,
    body: Json<Completion>,
) -> poem::Result<Response> {
    faults.delay_or_fail().await?;
    let (state, faults) = (state.0.clone(), faults.0.clone());
    let prompt = prompt_text(&body.messages);
    let key = body.prompt_cache_key.clone().unwrap_or_default();
    let prompt_tokens = tokens_in(prompt.len());
    let (cached, salt) = state.with(|engine| {
        engine.counters.requests += 1;
        let salt = if faults.get().vary {
            engine.counters.requests
        } else {
            0
        };
        engine.counters.in_flight += 1;
        *engine.counters.begun.entry(key.clone()).or_default() += 1;
        let cached = engine.cache_prompt(&key, &prompt).min(prompt_tokens);
        engine.counters.prompt_tokens += prompt_tokens;
        engine.counters.cached_tokens += cached;
        (cached, salt)
    });
    let in_flight_guard = InFlightGuard(state.clone());
    let output_tokens = body.max_tokens + faults.get().extra_tokens;
    let slowdown = u32::try_from(faults.get().slower.max(1)).unwrap_or(1);
    let uncached_tokens = u32::try_from(prompt_tokens - cached).unwrap_or(u32::MAX);
    let stream = event_stream(move |sender| async move {
        let _in_flight_guard = in_flight_guard;
        tokio::time::sleep(PREFILL_TIME_PER_1000_TOKENS * uncached_tokens / 1000 * slowdown).await;
        let mut text = String::new();
        for index in 0..output_tokens {
            let others = state.with(|engine| engine.counters.in_flight.saturating_sub(1));
            let added_time = TOKEN_TIME_STEP * u32::try_from(others).unwrap_or(u32::MAX);
            tokio::time::sleep((TOKEN_TIME + added_time) * slowdown).await;
            while faults.get().frozen {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
            if faults
                .get()
                .cut_after
                .is_some_and(|max_tokens| index >= max_tokens)
            {
                return;
            }
            let word = word(&prompt, index, salt);
            text.push_str(&word);
            state.with(|engine| engine.counters.completion_tokens += 1);
            let chunk = json!({
                "object": "chat.completion.chunk",
                "choices": [{ "index": 0, "delta": { "content": word }, "finish_reason": null }],
            });
            if sender.send(chunk.to_string()).await.is_err() {
                return;
            }
        }
        state.with(|engine| {
            engine.counters.finished += 1;
            if let Some(cached) = engine.cache.get_mut(&key) {
                cached.text = format!("{prompt}assistant:{text}\n");
            }
            engine.evict_over_capacity();
        });
        let usage = json!({
            "object": "chat.completion.chunk",
            "choices": [{ "index": 0, "delta": {}, "finish_reason": "stop" }],
            "usage": {
                "prompt_tokens": prompt_tokens,
                "completion_tokens": output_tokens,
                "total_tokens": prompt_tokens + output_tokens,
                "prompt_tokens_details": { "cached_tokens": cached },
            },
        });
        let _ = sender.send(usage.to_string()).await;
        let _ = sender.send("[DONE]".to_owned()).await;
    });
    Ok(SSE::new(stream).into_response())
}

/// Stream of the events that `produce` sends; after it is dropped, the next send fails.
fn event_stream<F, P>(produce: P) -> impl futures::Stream<Item = Event> + Send + 'static
where
    F: Future<Output = ()> + Send + 'static,
    P: FnOnce(tokio::sync::mpsc::Sender<String>) -> F,
{
    let (sender, receiver) = tokio::sync::mpsc::channel(1);
    tokio::spawn(produce(sender));
    futures::stream::unfold(receiver, |mut receiver| async move {
        receiver.recv().await.map(|chunk| (chunk, receiver))
    })
    .map(Event::message)
}

/// Text that the engine reads for these messages.
fn prompt_text(messages: &[crate::program::Message]) -> String {
    messages
        .iter()
        .flat_map(|message| [message.role.as_str(), ":", &message.content, "\n"])
        .collect()
}

/// The full answer to `messages`. It is a hash of the prompt, so a caller can verify that the
/// engine received exactly its history.
pub(crate) fn answer(messages: &[crate::program::Message], max_tokens: u64) -> String {
    let prompt = prompt_text(messages);
    (0..max_tokens)
        .map(|index| word(&prompt, index, 0))
        .collect()
}

/// One word of the answer; depends on the whole prompt.
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
    faults: Data<&Switches>,
    body: Json<Evict>,
) -> poem::Result<Json<serde_json::Value>> {
    faults.delay_or_fail().await?;
    state.with(|engine| {
        engine.cache.remove(&body.key);
        engine.counters.evictions += 1;
        engine.evict_over_capacity();
    });
    if faults.take_lost_reply() {
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
async fn get_goal(
    state: Data<&State>,
    faults: Data<&Switches>,
) -> poem::Result<Json<crate::order::State>> {
    faults.delay_or_fail().await?;
    Ok(Json(state.with(|engine| engine.goal.clone())))
}

#[handler]
async fn order(
    state: Data<&State>,
    faults: Data<&Switches>,
    body: Json<Order>,
) -> poem::Result<Json<serde_json::Value>> {
    faults.delay_or_fail().await?;
    let ignores_fence = faults.get().ignore_fence;
    let refused = state.with(|engine| {
        let outdated = body.fence < engine.max_fence;
        engine.max_fence = engine.max_fence.max(body.fence);
        engine.counters.stale_orders += u64::from(outdated);
        let refused = outdated && !ignores_fence;
        if !refused {
            engine.counters.loads += u64::from(engine.goal.weights != body.goal.weights);
            engine.goal = body.goal.clone();
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
    faults: Data<&Switches>,
) -> poem::Result<Json<serde_json::Value>> {
    faults.delay_or_fail().await?;
    let in_flight = state.with(|engine| engine.counters.in_flight);
    let leaving = faults.get().leaving;
    Ok(Json(json!({ "in_flight": in_flight, "leaving": leaving })))
}

#[handler]
fn get_counters(state: Data<&State>) -> Json<Counters> {
    Json(state.with(|engine| engine.counters.clone()))
}
