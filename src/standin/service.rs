//! Stand-in for a service that counts how often each call took effect.

use super::faults::{self, Switches};
use bytes::Bytes;
use poem::http::StatusCode;
use poem::web::{Data, Json, Path};
use poem::{EndpointExt, IntoEndpoint, IntoResponse, Request, Response, Route, get, handler, post};
use serde::Serialize;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Counters that tests compare with what callers saw.
#[derive(Debug, Clone, Default, Serialize)]
struct Counters {
    /// Number of effects by idempotency key.
    effects: BTreeMap<String, u64>,
    /// Idempotency keys in the order of the effects.
    order: Vec<String>,
    /// Number of executed requests by operation.
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
        .at("/faults", post(faults::set_faults))
        .at("/counters", get(get_counters))
        .data(State::default())
        .data(Switches::default())
}

#[handler]
async fn operate(
    state: Data<&State>,
    faults: Data<&Switches>,
    Path(operation): Path<String>,
    request: &Request,
    body: String,
) -> poem::Result<Response> {
    faults.delay_or_fail().await?;
    let key = request
        .header("idempotency-key")
        .unwrap_or("none")
        .to_owned();
    // Callers may set the duration of the work in the body.
    let work_ms = serde_json::from_str::<serde_json::Value>(&body)
        .ok()
        .and_then(|body| body.get("work_ms")?.as_u64());
    tokio::time::sleep(Duration::from_millis(work_ms.unwrap_or(0).min(60_000))).await;
    let number = {
        let mut counters = state.0.0.lock().expect("the lock is not poisoned");
        *counters.requests.entry(operation.clone()).or_default() += 1;
        *counters.effects.entry(key.clone()).or_default() += 1;
        counters.order.push(key.clone());
        counters.effects.len() as u64
    };
    let reply_delay_ms = faults.get().reply_after_ms;
    tokio::time::sleep(Duration::from_millis(reply_delay_ms)).await;
    if faults.take_lost_reply() {
        return Err(poem::Error::from_status(StatusCode::BAD_GATEWAY));
    }
    if faults.take_cut_reply() {
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
    let counters = state.0.0.lock().expect("the lock is not poisoned");
    // The slash of a key is sent as a tilde, to fit into a path segment.
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
fn load(faults: Data<&Switches>) -> Json<serde_json::Value> {
    Json(serde_json::json!({ "leaving": faults.get().leaving }))
}

#[handler]
fn get_counters(state: Data<&State>) -> Json<Counters> {
    Json(state.0.0.lock().expect("the lock is not poisoned").clone())
}
