//! Plain services: one JSON request per call.

use crate::program::Invocation;
use std::net::SocketAddr;
use std::time::Duration;

/// How long a connection may take to stand.
const CONNECT: Duration = Duration::from_secs(1);

/// A service's reply.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Reply {
    pub(crate) status: u16,
    pub(crate) body: String,
}

/// A call without a reply that tells its outcome.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct ServiceError {
    /// Whether any of the request may have reached the service.
    pub(crate) maybe_sent: bool,
    pub(crate) reason: String,
}

/// A client of every service.
#[derive(Debug, Clone)]
pub(crate) struct Services {
    client: reqwest::Client,
}

impl Services {
    /// A client that sends each request on a fresh connection and never again.
    ///
    /// A kept connection may be dead without notice; a client that then retries would send a call
    /// twice that must not be repeated.
    pub(crate) fn new() -> Self {
        let client = reqwest::Client::builder()
            .connect_timeout(CONNECT)
            .pool_max_idle_per_host(0)
            .tcp_nodelay(true)
            .retry(reqwest::retry::never())
            .redirect(reqwest::redirect::Policy::none())
            .build()
            .expect("a client without TLS can be built");
        Self { client }
    }

    /// Sends a call once.
    pub(crate) async fn call(
        &self,
        address: SocketAddr,
        invocation: &Invocation,
        key: &str,
        timeout: Duration,
    ) -> Result<Reply, ServiceError> {
        let url = format!("http://{address}/operations/{}", invocation.operation);
        let request = self
            .client
            .post(url)
            .timeout(timeout)
            .header("idempotency-key", key)
            .header("content-type", "application/json")
            .body(invocation.body.get().to_owned());
        let broken = |error: &reqwest::Error| ServiceError {
            maybe_sent: !error.is_connect() && !error.is_builder(),
            reason: error.to_string(),
        };
        let reply = request.send().await.map_err(|error| broken(&error))?;
        let status = reply.status();
        // A server fault may come from in front of the service or from behind the effect.
        if status.is_server_error() {
            return Err(ServiceError {
                maybe_sent: true,
                reason: format!("the service gave {status}"),
            });
        }
        let body = reply.text().await.map_err(|error| broken(&error))?;
        Ok(Reply {
            status: status.as_u16(),
            body,
        })
    }
}
