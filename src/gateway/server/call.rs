//! New connections to backend servers, and calls to engines other than the requests of callers.

use crate::gateway::Gateway;
use crate::gateway::server::connection::{Connection, Unreachable};
use crate::gateway::world::directory::Entry;
use crate::platform::headers;
use crate::segments::Segments;
use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Limited};
use std::time::Duration;

/// Size limit of an answer.
const MAX_ANSWER_BYTES: usize = 4096;

impl Gateway {
    /// Opens a connection to a server.
    pub(crate) async fn connect(&self, server: &Entry) -> Result<Connection, Unreachable> {
        let connection = Connection::open(server, self.connections.hosts()).await?;
        self.metrics.connections.add(1, &[]);
        Ok(connection)
    }

    /// Sends a call to an engine and reads the whole answer; `None` if the engine is unreachable or the answer is
    /// incomplete or too large. Reuses a connection that was idle for less than `max_idle`.
    pub(crate) async fn call_engine(
        &self,
        server: &Entry,
        request: Request<Bytes>,
        max_idle: Duration,
    ) -> Option<(StatusCode, Bytes)> {
        let mut connection = match self.connections.get(&server.id, max_idle) {
            Some(connection) => connection,
            None => self.connect(server).await.ok()?,
        };
        let response = connection.send(request.map(Segments::from)).await.ok()?;
        let headers = headers::Response::of(response.headers());
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES);
        let body = body.collect().await.ok()?.to_bytes();
        if !headers.closes {
            self.connections.put(connection, headers.keep_alive);
        }
        Some((status, body))
    }
}
