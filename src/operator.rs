//! HTTP API for operators: health checks, metrics and the state of the process.

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

/// A duty that takes longer to report its state is left out of the response.
const STATE_TIMEOUT: Duration = Duration::from_secs(2);

/// State shared by the handlers.
#[derive(Debug, Clone)]
pub(crate) struct HandlerContext {
    pub(crate) local: watch::Receiver<Announcement>,
    pub(crate) view: watch::Receiver<Arc<View>>,
    pub(crate) config: watch::Receiver<Arc<Snapshot>>,
    pub(crate) dispatch: flume::Sender<dispatch::Command>,
    pub(crate) owner: flume::Sender<oneshot::Sender<Value>>,
    pub(crate) metrics: Metrics,
}

pub(crate) fn routes(context: HandlerContext) -> impl IntoEndpoint<Endpoint: 'static> {
    Route::new()
        .at("/healthz", get(healthz))
        .at("/readyz", get(readyz))
        .at("/metrics", get(metrics))
        .at("/state", get(state))
        .data(context)
}

#[handler]
fn healthz() -> &'static str {
    "ok\n"
}

#[handler]
fn readyz(context: Data<&HandlerContext>) -> (StatusCode, &'static str) {
    if context.local.borrow().ready {
        (StatusCode::OK, "ready\n")
    } else {
        (StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
    }
}

#[handler]
fn metrics(context: Data<&HandlerContext>) -> String {
    context.metrics.text()
}

#[handler]
async fn state(context: Data<&HandlerContext>) -> Json<Value> {
    let (reply, dispatch) = oneshot::channel();
    let _ = context
        .dispatch
        .send_async(dispatch::Command::Dump(reply))
        .await;
    let (reply, owner) = oneshot::channel();
    let _ = context.owner.send_async(reply).await;
    let receive = |reply: oneshot::Receiver<Value>| async move {
        tokio::time::timeout(STATE_TIMEOUT, reply)
            .await
            .ok()
            .and_then(Result::ok)
    };
    let (dispatch, owner) = tokio::join!(receive(dispatch), receive(owner));
    Json(json!({
        "local": &*context.local.borrow(),
        "view": &**context.view.borrow(),
        "config": &**context.config.borrow(),
        "dispatch": dispatch,
        "owner": owner,
    }))
}
