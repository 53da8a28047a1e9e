//! What operators see of a running process: its metrics and its state.

use crate::gateway::front::listen;
use crate::gateway::request::body::Body;
use crate::gateway::world::snapshot;
use crate::gateway::world::snapshot::Snapshot;
use crate::gateway::world::team::Teams;
use crate::gateway::{Gateway, conversation};
use crate::telemetry;
use bytes::Bytes;
use http::{Response, StatusCode};
use serde_json::{Value, json};
use std::rc::Rc;
use tokio::net::TcpListener;

/// Answers operators, and VMs that need turns or a copy of the configuration.
pub(crate) async fn run(gateway: Rc<Gateway>, listener: TcpListener) {
    listen::serve(listener, async move |request| {
        if request.uri().path() == conversation::PATH {
            return conversation::serve(Rc::clone(&gateway), request).await;
        }
        gateway.operator(request.uri().path())
    })
    .await;
}

impl Gateway {
    fn operator(&self, path: &str) -> Response<Body> {
        let bytes = match path {
            "/metrics" => Bytes::from(self.metrics.text()),
            "/state" => Bytes::from(self.state().to_string()),
            snapshot::PATH => {
                let snapshot = Snapshot::of(&self.world.borrow());
                snapshot.map_or_else(Bytes::new, |snapshot| Bytes::from(snapshot.encode()))
            }
            _ => Bytes::new(),
        };
        let known = !bytes.is_empty();
        let mut response = Response::new(Body::whole(bytes));
        if !known {
            *response.status_mut() = StatusCode::NOT_FOUND;
        }
        response
    }

    /// The state of the process, for a person.
    fn state(&self) -> Value {
        let world = self.world.borrow();
        let view = self.view.borrow();
        let (partitions, programs) = self.keeper.size();
        let (waiting, places) = self.leases.len();
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
            "store_heard_ms": world.heard.map(|heard| heard.elapsed().as_millis()),
            "servers": servers.collect::<Vec<_>>(),
            "services": self.desk.state(),
            "leases": json!({ "waiting": waiting, "places": places }),
            "counted": json!({ "partitions": partitions, "programs": programs }),
            "teams": world.table.as_ref().and_then(|table| table.teams.as_ref()).map(Teams::len),
            "limits": self.counted_teams(),
            "conversations": self.conversations.size(),
            "idle_connections": self.links.len(),
            "members": view.members.values().map(|member| &member.vm).collect::<Vec<_>>(),
            "dropped_log_lines": telemetry::dropped_lines(),
        })
    }
}
