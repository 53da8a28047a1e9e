//! The interface to operators: health, metrics and the state of the process.

use crate::config::Snapshot;
use crate::dispatch;
use crate::member::{Announcement, View};
use crate::telemetry::Metrics;
use poem::http::StatusCode;
use poem::web::{Data, Json};
use poem::{EndpointExt, IntoEndpoint, Route, get, handler};
use serde_json::{Value, json};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{oneshot, watch};

/// How long a duty may take to tell its state.
const DUMP: Duration = Duration::from_secs(2);

/// What the handlers work with.
#[derive(Debug, Clone)]
pub(crate) struct Operator {
    pub(crate) local: watch::Receiver<Announcement>,
    pub(crate) view: watch::Receiver<Arc<View>>,
    pub(crate) config: watch::Receiver<Arc<Snapshot>>,
    pub(crate) dispatch: flume::Sender<dispatch::Command>,
    pub(crate) owner: flume::Sender<oneshot::Sender<Value>>,
    pub(crate) metrics: Metrics,
}

pub(crate) fn routes(operator: Operator) -> impl IntoEndpoint<Endpoint: 'static> {
    Route::new()
        .at("/healthz", get(healthz))
        .at("/readyz", get(readyz))
        .at("/metrics", get(metrics))
        .at("/state", get(state))
        .data(operator)
}

#[handler]
fn healthz() -> &'static str {
    "ok\n"
}

#[handler]
fn readyz(operator: Data<&Operator>) -> (StatusCode, &'static str) {
    if operator.local.borrow().ready {
        (StatusCode::OK, "ready\n")
    } else {
        (StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
    }
}

#[handler]
fn metrics(operator: Data<&Operator>) -> String {
    operator.metrics.text()
}

#[handler]
async fn state(operator: Data<&Operator>) -> Json<Value> {
    let (reply, dispatch) = oneshot::channel();
    let _ = operator
        .dispatch
        .send_async(dispatch::Command::Dump(reply))
        .await;
    let (reply, owner) = oneshot::channel();
    let _ = operator.owner.send_async(reply).await;
    let told = |wait: oneshot::Receiver<Value>| async move {
        tokio::time::timeout(DUMP, wait)
            .await
            .ok()
            .and_then(Result::ok)
    };
    let (dispatch, owner) = tokio::join!(told(dispatch), told(owner));
    Json(json!({
        "local": &*operator.local.borrow(),
        "view": &**operator.view.borrow(),
        "config": &**operator.config.borrow(),
        "dispatch": dispatch,
        "owner": owner,
    }))
}
