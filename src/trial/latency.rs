//! What the path adds to a model call: each call is made directly and through a VM, in turn.

use super::site::Site;
use crate::code::{Code, Failure};
use eventsource_stream::Eventsource;
use futures::StreamExt;
use serde::Serialize;
use serde_json::{Value, json};
use std::time::Duration;
use tokio::time::Instant;

/// Tokens that each measured call generates.
const TOKENS: u64 = 20;
/// Pairs before the first that counts: connections are made and buffers grown.
const WARM_UP: usize = 5;

/// Percentiles in milliseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub(super) struct Percentiles {
    pub(super) p50: f64,
    pub(super) p95: f64,
}

/// The measured path.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub(super) struct Paths {
    pub(super) pairs: usize,
    pub(super) direct_first_ms: Percentiles,
    pub(super) direct_end_ms: Percentiles,
    /// Through the path less directly, pair by pair.
    pub(super) added_first_ms: Percentiles,
    pub(super) added_end_ms: Percentiles,
}

/// When a call's first token and its end came.
#[derive(Debug, Clone, Copy)]
struct Times {
    first: Duration,
    end: Duration,
}

/// Measures `pairs` pairs on an idle site.
pub(super) async fn measure(site: &Site, pairs: usize, seed: u64) -> Result<Paths, Failure> {
    let http = reqwest::Client::new();
    let mut timed = Vec::with_capacity(pairs);
    for index in 0..pairs + WARM_UP {
        let text = format!("{seed}/{index}: what does this call take?");
        let direct = direct(&http, site, index, &text).await?;
        let through = through(&http, site, index, seed, &text).await?;
        if index >= WARM_UP {
            timed.push((direct, through));
        }
    }
    let of = |take: &dyn Fn(&(Times, Times)) -> f64| percentiles(timed.iter().map(take).collect());
    Ok(Paths {
        pairs,
        direct_first_ms: of(&|(direct, _)| ms(direct.first)),
        direct_end_ms: of(&|(direct, _)| ms(direct.end)),
        added_first_ms: of(&|(direct, through)| ms(through.first) - ms(direct.first)),
        added_end_ms: of(&|(direct, through)| ms(through.end) - ms(direct.end)),
    })
}

fn ms(time: Duration) -> f64 {
    time.as_secs_f64() * 1000.0
}

/// The median and the 95th percentile; differences may be below zero.
fn percentiles(mut values: Vec<f64>) -> Percentiles {
    values.sort_by(f64::total_cmp);
    let at = |percent: usize| {
        let last = values.len().saturating_sub(1);
        values.get(last * percent / 100).copied().unwrap_or(0.0)
    };
    Percentiles {
        p50: at(50),
        p95: at(95),
    }
}

async fn direct(
    http: &reqwest::Client,
    site: &Site,
    index: usize,
    text: &str,
) -> Result<Times, Failure> {
    let engine = site.engines[index % site.engines.len()];
    let key = format!("direct-{index}");
    let body = json!({
        "model": "small",
        "messages": [{ "role": "user", "content": text }],
        "max_tokens": TOKENS,
        "stream": true,
        "prompt_cache_key": key,
    });
    let request = http.post(format!("http://{engine}/v1/chat/completions"));
    let times = time(request.json(&body), |event, data| match data {
        _ if event != "message" => Mark::Other,
        "[DONE]" => Mark::End,
        _ => Mark::Token,
    });
    let times = times.await?;
    let evict = http.post(format!("http://{engine}/v1/cache/evict"));
    let evicted = evict.json(&json!({ "key": key })).send().await;
    evicted.map_err(|error| silent(&error.to_string()))?;
    Ok(times)
}

async fn through(
    http: &reqwest::Client,
    site: &Site,
    index: usize,
    seed: u64,
    text: &str,
) -> Result<Times, Failure> {
    let entries = site.entries();
    let entry = entries[index % entries.len()];
    let open = json!({
        "class": "explainer", "key": format!("path-{seed}-{index}"), "budget": { "tokens": 500 },
    });
    let opened = post(http, &format!("http://{entry}/v1/programs"), &open).await?;
    let program = opened["program"].as_str().unwrap_or_default();
    let messages = json!([{ "role": "user", "content": text }]);
    let call = json!({ "call": 1, "model": { "messages": messages, "max_tokens": TOKENS } });
    let request = http
        .post(format!("http://{entry}/v1/programs/{program}/calls"))
        .header("accept", "text/event-stream")
        .json(&call);
    let times = time(request, |event, _| match event {
        "delta" => Mark::Token,
        "answer" => Mark::End,
        _ => Mark::Other,
    });
    let times = times.await?;
    post(
        http,
        &format!("http://{entry}/v1/programs/{program}/end"),
        &json!({}),
    )
    .await?;
    Ok(times)
}

async fn post(http: &reqwest::Client, url: &str, body: &Value) -> Result<Value, Failure> {
    let reply = http.post(url).json(body).send().await;
    let reply = reply.and_then(reqwest::Response::error_for_status);
    let reply = reply.map_err(|error| silent(&error.to_string()))?;
    reply
        .json()
        .await
        .map_err(|error| silent(&error.to_string()))
}

/// What an event of a stream stands for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Mark {
    Token,
    End,
    Other,
}

async fn time(
    request: reqwest::RequestBuilder,
    mark: impl Fn(&str, &str) -> Mark,
) -> Result<Times, Failure> {
    let started = Instant::now();
    let reply = request
        .send()
        .await
        .and_then(reqwest::Response::error_for_status);
    let reply = reply.map_err(|error| silent(&error.to_string()))?;
    let mut events = std::pin::pin!(reply.bytes_stream().eventsource());
    let mut first = None;
    while let Some(event) = events.next().await {
        let event = event.map_err(|error| silent(&error.to_string()))?;
        match mark(&event.event, &event.data) {
            Mark::Token => first = first.or_else(|| Some(started.elapsed())),
            Mark::End => {
                let end = started.elapsed();
                let first = first.unwrap_or(end);
                return Ok(Times { first, end });
            }
            Mark::Other => {}
        }
    }
    Err(silent("the stream ended early"))
}

fn silent(reason: &str) -> Failure {
    Failure::refused(Code::Internal, reason)
}
