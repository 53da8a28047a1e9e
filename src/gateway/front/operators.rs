//! HTTP endpoints for operators (metrics, state) and for other VMs (turns, introductions, copies).

use crate::gateway::front::listen;
use crate::gateway::request::body::Body;
use crate::gateway::world::team::Teams;
use crate::gateway::world::{contact, copy};
use crate::gateway::{Gateway, conversation};
use crate::intake::Kind;
use crate::policy::room::{Need, Port};
use crate::telemetry;
use bytes::Bytes;
use http::{Response, StatusCode, Uri};
use serde_json::{Value, json};
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::time::Instant;

/// Serves operators, and other VMs that need turns, introductions, or copies of configuration or directory.
pub(crate) async fn run(gateway: Rc<Gateway>, listener: TcpListener) {
    let intake = gateway.intake.clone();
    listen::serve(
        intake,
        Port::Operators,
        listener,
        async move |link, request| {
            if request.uri().path() == conversation::TURNS_PATH {
                return conversation::serve(Rc::clone(&gateway), &link, request).await;
            }
            if request.uri().path() == contact::INTRODUCTIONS_PATH {
                let encoded = gateway.discovery.encoded_introductions().await;
                return gateway.respond(encoded.unwrap_or_default());
            }
            gateway.handle_operator(request.uri())
        },
    )
    .await;
}

impl Gateway {
    /// Empty bytes are answered with 404. An answer for which there is no room is refused.
    fn respond(&self, bytes: Bytes) -> Response<Body> {
        let need = Need::of_answer(bytes.len());
        let status = if bytes.is_empty() {
            StatusCode::NOT_FOUND
        } else if self.intake.admits(need, bytes.len()) {
            let bytes = self.intake.hold(Kind::Answer, bytes);
            return Response::new(Body::full(bytes));
        } else {
            self.intake.make_room(need, bytes.len());
            StatusCode::SERVICE_UNAVAILABLE
        };
        let mut response = Response::new(Body::full(Bytes::new()));
        *response.status_mut() = status;
        response
    }

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
        self.respond(bytes)
    }

    /// What is held for callers, and the connections that hold it.
    fn held(&self) -> Value {
        let intake = &self.intake;
        let kinds = Kind::ALL.iter();
        let bytes: serde_json::Map<_, _> = kinds
            .map(|kind| (kind.name().to_owned(), json!(intake.held(*kind))))
            .collect();
        let phases = intake.registry().phases();
        let connections: serde_json::Map<_, _> = phases
            .into_iter()
            .map(|(port, phase, count)| (format!("{}/{}", port.name(), phase.name()), json!(count)))
            .collect();
        json!({ "bytes": bytes, "limit": intake.limit(), "connections": connections })
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
            "stopping": self.is_stopping(),
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
            "held": self.held(),
            "idle_connections": self.connections.idle_count(),
            "members": view.members.values().map(|member| &member.vm).collect::<Vec<_>>(),
            "dropped_log_lines": telemetry::dropped_log_lines(),
        })
    }
}
