//! HTTP endpoints for operators (metrics, state) and for other VMs (turns, introductions, copies).

use crate::gateway::front::listen;
use crate::gateway::request::body::Body;
use crate::gateway::world::team::Teams;
use crate::gateway::world::{contact, copy};
use crate::gateway::{Gateway, conversation};
use crate::telemetry;
use bytes::Bytes;
use http::{Response, StatusCode, Uri};
use serde_json::{Value, json};
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::time::Instant;

/// Serves operators, and other VMs that need turns, introductions, or copies of configuration or directory.
pub(crate) async fn run(gateway: Rc<Gateway>, listener: TcpListener) {
    listen::serve(listener, async move |request| {
        if request.uri().path() == conversation::TURNS_PATH {
            return conversation::serve(Rc::clone(&gateway), request).await;
        }
        if request.uri().path() == contact::INTRODUCTIONS_PATH {
            return respond(
                gateway
                    .discovery
                    .encoded_introductions()
                    .await
                    .unwrap_or_default(),
            );
        }
        gateway.handle_operator(request.uri())
    })
    .await;
}

/// Empty bytes are answered with 404.
fn respond(bytes: Bytes) -> Response<Body> {
    let found = !bytes.is_empty();
    let mut response = Response::new(Body::full(bytes));
    if !found {
        *response.status_mut() = StatusCode::NOT_FOUND;
    }
    response
}

impl Gateway {
    fn handle_operator(&self, uri: &Uri) -> Response<Body> {
        let bytes = match uri.path() {
            "/metrics" => Bytes::from(self.metrics.text()),
            "/state" => Bytes::from(self.state().to_string()),
            copy::DIRECTORY_PATH => {
                let encoded = self.copier.directory(&self.routing.borrow(), uri.query());
                encoded.unwrap_or_default()
            }
            copy::CONFIG_PATH => {
                let encoded = self.copier.config(&self.routing.borrow(), uri.query());
                encoded.unwrap_or_default()
            }
            _ => Bytes::new(),
        };
        respond(bytes)
    }

    /// State of the process as shown to operators.
    fn state(&self) -> Value {
        let routing = self.routing.borrow();
        let view = self.view.borrow();
        let (partitions, programs) = self.partitions.owned_counts();
        let store = self.partitions.store.observer().health();
        let (waiting, leased) = self.leases.counts();
        let servers = routing.directory.iter().map(|entry| {
            json!({
                "id": &*entry.id,
                "service": entry.service,
                "address": entry.address,
                "zone": entry.zone,
                "version": &*entry.version,
                "draining": entry.draining,
            })
        });
        json!({
            "vm": self.settings.vm,
            "stopping": self.stopping.get(),
            "config": routing.table.as_ref().map(|table| table.version),
            "routes": routing.table.as_ref().map(|table| table.len()),
            "directory": json!({
                "as_of": routing.directory_offset,
                "age_ms": routing.directory_confirmed_at.map(|at| at.elapsed().as_millis()),
                "from": routing.directory_source,
            }),
            "store_heard_ms": routing.last_store_read.map(|at| at.elapsed().as_millis()),
            "store": json!({
                "state": store.state(Instant::now()).to_string(),
                "usual_ms": store.usual_answer().as_millis(),
                "silent_ms": store.silent_for(Instant::now()).map(|silent| silent.as_millis()),
            }),
            "servers": servers.collect::<Vec<_>>(),
            "services": self.queue.state(),
            "load_exchange": self.queue.exchange.state(),
            "run_copies": self.copies.state(),
            "pins": self.pins.state(),
            "moves": self.moves.state(),
            "server_ends": self.ends.state(),
            "streams_known": self.stream_versions.count(),
            "leases": json!({ "waiting": waiting, "places": leased }),
            "counted": json!({ "partitions": partitions, "programs": programs }),
            "teams": routing.table.as_ref().and_then(|table| table.teams.as_ref()).map(Teams::len),
            "limits": self.busiest_teams(),
            "conversations": self.conversations.usage(),
            "idle_connections": self.connections.idle_count(),
            "members": view.members.values().map(|member| &member.vm).collect::<Vec<_>>(),
            "dropped_log_lines": telemetry::dropped_log_lines(),
        })
    }
}
