//! A stand-in for a plain service: each operation counts how often its effect took place.

use super::faults::{self, Switches};
use bytes::Bytes;
use poem::http::StatusCode;
use poem::web::{Data, Json, Path};
use poem::{EndpointExt, IntoEndpoint, IntoResponse, Request, Response, Route, get, handler, post};
use serde::Serialize;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// What really happened, for tests.
#[derive(Debug, Clone, Default, Serialize)]
struct Counters {
    /// Effects by the key of the call.
    effects: BTreeMap<String, u64>,
    /// Keys in the order of their effects.
    order: Vec<String>,
    /// Requests that came in, by operation.
    requests: BTreeMap<String, u64>,
}

#[derive(Debug, Clone, Default)]
struct State(Arc<Mutex<Counters>>);

#[derive(Debug, Serialize)]
struct Receipt {
    operation: String,
    key: String,
    number: u64,
}

pub(super) fn routes() -> impl IntoEndpoint<Endpoint: 'static> {
    Route::new()
        .at("/operations/:operation", post(operate))
        .at("/status/:key", get(status))
        .at("/load", get(load))
        .at("/faults", post(faults::set))
        .at("/counters", get(get_counters))
        .data(State::default())
        .data(Switches::default())
}

#[handler]
async fn operate(
    state: Data<&State>,
    switches: Data<&Switches>,
    Path(operation): Path<String>,
    request: &Request,
    body: String,
) -> poem::Result<Response> {
    switches.enter().await?;
    let key = request
        .header("idempotency-key")
        .unwrap_or("none")
        .to_owned();
    // A body may say how long the work takes, so that callers can shape a program.
    let work = serde_json::from_str::<serde_json::Value>(&body)
        .ok()
        .and_then(|body| body.get("work_ms")?.as_u64());
    tokio::time::sleep(Duration::from_millis(work.unwrap_or(0).min(60_000))).await;
    let number = {
        let mut counters = state.0.0.lock().expect("no holder panics");
        *counters.requests.entry(operation.clone()).or_default() += 1;
        *counters.effects.entry(key.clone()).or_default() += 1;
        counters.order.push(key.clone());
        counters.effects.len() as u64
    };
    let wait = switches.get().reply_after_ms;
    tokio::time::sleep(Duration::from_millis(wait)).await;
    if switches.loses_reply() {
        return Err(poem::Error::from_status(StatusCode::BAD_GATEWAY));
    }
    if switches.cuts_reply() {
        let reset = std::io::Error::from(std::io::ErrorKind::ConnectionReset);
        let parts = futures::stream::iter([Ok(Bytes::from_static(b"{")), Err(reset)]);
        let body = poem::Body::from_bytes_stream(parts);
        return Ok(Response::builder()
            .header("content-length", "64")
            .body(body));
    }
    let receipt = Receipt {
        operation,
        key,
        number,
    };
    Ok(Json(receipt).into_response())
}

#[handler]
fn status(state: Data<&State>, Path(key): Path<String>) -> poem::Result<Json<Receipt>> {
    let counters = state.0.0.lock().expect("no holder panics");
    // The key of a call holds a slash, which a path segment carries as a tilde.
    let key = key.replace('~', "/");
    if counters.effects.contains_key(&key) {
        return Ok(Json(Receipt {
            operation: "status".to_owned(),
            key,
            number: 0,
        }));
    }
    Err(poem::Error::from_status(StatusCode::NOT_FOUND))
}

#[handler]
fn load(switches: Data<&Switches>) -> Json<serde_json::Value> {
    Json(serde_json::json!({ "leaving": switches.get().leaving }))
}

#[handler]
fn get_counters(state: Data<&State>) -> Json<Counters> {
    Json(state.0.0.lock().expect("no holder panics").clone())
}
