//! Client of plain services: one JSON request per call.

use crate::program::Invocation;
use std::net::SocketAddr;
use std::time::Duration;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Response of a service; any status below 500.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Reply {
    pub(crate) status: u16,
    pub(crate) body: String,
}

/// Failed call whose outcome is not known from a response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct ServiceError {
    /// Whether any of the request may have reached the service.
    pub(crate) maybe_sent: bool,
    pub(crate) reason: String,
}

/// HTTP client for all services.
#[derive(Debug, Clone)]
pub(crate) struct Services {
    client: reqwest::Client,
}

impl Services {
    /// Creates a client that opens a connection per request and never retries.
    ///
    /// An idle connection may be dead without notice, and a retry could repeat a call that must
    /// not be repeated.
    pub(crate) fn new() -> Self {
        let client = reqwest::Client::builder()
            .connect_timeout(CONNECT_TIMEOUT)
            .pool_max_idle_per_host(0)
            .tcp_nodelay(true)
            .retry(reqwest::retry::never())
            .redirect(reqwest::redirect::Policy::none())
            .build()
            .expect("a client without TLS can be built");
        Self { client }
    }

    /// Sends a call once, with an idempotency key for the service.
    pub(crate) async fn call(
        &self,
        address: SocketAddr,
        invocation: &Invocation,
        idempotency_key: &str,
        timeout: Duration,
    ) -> Result<Reply, ServiceError> {
        let url = format!("http://{address}/operations/{}", invocation.operation);
        let request = self
            .client
            .post(url)
            .timeout(timeout)
            .header("idempotency-key", idempotency_key)
            .header("content-type", "application/json")
            .body(invocation.body.get().to_owned());
        let failed = |error: &reqwest::Error| ServiceError {
            maybe_sent: !error.is_connect() && !error.is_builder(),
            reason: error.to_string(),
        };
        let response = request.send().await.map_err(|error| failed(&error))?;
        let status = response.status();
        // A 5xx may come from a proxy before the call ran, or from the service after its effect.
        if status.is_server_error() {
            return Err(ServiceError {
                maybe_sent: true,
                reason: format!("the service returned {status}"),
            });
        }
        let body = response.text().await.map_err(|error| failed(&error))?;
        Ok(Reply {
            status: status.as_u16(),
            body,
        })
    }
}
