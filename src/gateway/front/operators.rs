//! What operators see of a running process: its metrics and its state.

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

/// Answers operators, and VMs that need turns or a copy of the configuration.
pub(crate) async fn run(gateway: Rc<Gateway>, listener: TcpListener) {
    listen::serve(listener, async move |request| {
        if request.uri().path() == conversation::TURNS_PATH {
            return conversation::serve(Rc::clone(&gateway), request).await;
        }
        if request.uri().path() == contact::INTRODUCTIONS_PATH {
            return answer(
                gateway
                    .contacts
                    .encoded_introductions()
                    .await
                    .unwrap_or_default(),
            );
        }
        gateway.operator(request.uri())
    })
    .await;
}

fn answer(bytes: Bytes) -> Response<Body> {
    let known = !bytes.is_empty();
    let mut response = Response::new(Body::full(bytes));
    if !known {
        *response.status_mut() = StatusCode::NOT_FOUND;
    }
    response
}

impl Gateway {
    fn operator(&self, uri: &Uri) -> Response<Body> {
        let bytes = match uri.path() {
            "/metrics" => Bytes::from(self.metrics.text()),
            "/state" => Bytes::from(self.state().to_string()),
            copy::DIRECTORY_PATH => {
                let copy = self.copier.directory(&self.world.borrow(), uri.query());
                copy.unwrap_or_default()
            }
            copy::CONFIG_PATH => {
                let copy = self.copier.config(&self.world.borrow(), uri.query());
                copy.unwrap_or_default()
            }
            _ => Bytes::new(),
        };
        answer(bytes)
    }

    /// The state of the process, for a person.
    fn state(&self) -> Value {
        let world = self.world.borrow();
        let view = self.view.borrow();
        let (partitions, programs) = self.keeper.owned_counts();
        let (waiting, places) = self.leases.counts();
        let servers = world.directory.iter().map(|entry| {
            json!({
                "id": &*entry.id,
                "service": entry.service,
                "address": entry.address,
                "zone": entry.zone,
                "draining": entry.draining,
            })
        });
        json!({
            "vm": self.settings.vm,
            "stopping": self.stopping.get(),
            "config": world.table.as_ref().map(|table| table.version),
            "routes": world.table.as_ref().map(|table| table.len()),
            "directory": json!({
                "as_of": world.directory_offset,
                "age_ms": world.directory_confirmed_at.map(|at| at.elapsed().as_millis()),
                "from": world.directory_source,
            }),
            "store_heard_ms": world.last_store_read.map(|heard| heard.elapsed().as_millis()),
            "servers": servers.collect::<Vec<_>>(),
            "services": self.queue.state(),
            "leases": json!({ "waiting": waiting, "places": places }),
            "counted": json!({ "partitions": partitions, "programs": programs }),
            "teams": world.table.as_ref().and_then(|table| table.teams.as_ref()).map(Teams::len),
            "limits": self.busiest_teams(),
            "conversations": self.conversations.usage(),
            "idle_connections": self.connections.idle_count(),
            "members": view.members.values().map(|member| &member.vm).collect::<Vec<_>>(),
            "dropped_log_lines": telemetry::dropped_log_lines(),
        })
    }
}
