//! Persistent connections to the other VMs.

use super::{MAX_MESSAGE_BYTES, authorization};
use crate::code::Failure;
use crate::config::State;
use crate::dispatch::{Grant, Key};
use crate::id::Permit;
use crate::owner::{Frame, Request};
use crate::policy::{self, Outcome};
use http::HeaderMap;
use http::header::AUTHORIZATION;
use jsonrpsee::core::client::{ClientT, Subscription, SubscriptionClientT};
use jsonrpsee::rpc_params;
use jsonrpsee::ws_client::{PingConfig, WsClient, WsClientBuilder};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Mutex;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a peer may take to accept a request, not to answer it.
const ACCEPT_TIMEOUT: Duration = Duration::from_secs(3);
/// Interval of WebSocket pings, and time without any data after which the connection is closed.
const PING_TIMES: (Duration, Duration) = (Duration::from_millis(700), Duration::from_millis(2500));
/// Buffered frames per subscription; a reader that falls further behind loses its subscription and
/// has to request it again.
const MAX_BUFFERED_FRAMES: usize = 8192;

/// The peer is unreachable or the connection broke; the request may still have taken effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Disconnected;

/// Keeps a permit: the dispatcher releases it when this subscription is dropped.
pub(crate) type PermitStream = Subscription<Result<Grant, Failure>>;

/// Connections by peer address, opened on first use.
#[derive(Debug, Clone)]
pub(crate) struct Connections {
    key: Arc<str>,
    clients: Arc<Mutex<HashMap<SocketAddr, Arc<WsClient>>>>,
}

impl Connections {
    pub(crate) fn new(key: &str) -> Self {
        Self {
            key: key.into(),
            clients: Arc::default(),
        }
    }

    /// Sends a request to the shard owner at `to` and returns the frames of its answer, for which the
    /// caller waits up to `wait`.
    pub(crate) async fn request(
        &self,
        to: SocketAddr,
        request: &Request,
        wait: Duration,
    ) -> Result<Subscription<Frame>, Disconnected> {
        let client = self.client(to).await?;
        let wait_ms = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
        let params = rpc_params![&self.key, request, wait_ms];
        client
            .subscribe("ask", params, "unask")
            .await
            .map_err(|_| Disconnected)
    }

    /// Requests a permit from the dispatcher at `to` and waits until it is granted or refused.
    pub(crate) async fn acquire_permit(
        &self,
        to: SocketAddr,
        key: &Key,
        request: &policy::Request,
    ) -> Result<(Result<Grant, Failure>, PermitStream), Disconnected> {
        let client = self.client(to).await?;
        let params = rpc_params![&self.key, key, request];
        let mut stream: PermitStream = client
            .subscribe("permit", params, "unpermit")
            .await
            .map_err(|_| Disconnected)?;
        match stream.next().await {
            Some(Ok(grant)) => Ok((grant, stream)),
            _ => Err(Disconnected),
        }
    }

    /// Fetches the configuration that the peer at `to` has applied.
    pub(crate) async fn fetch_config(&self, to: SocketAddr) -> Result<State, Disconnected> {
        let client = self.client(to).await?;
        client
            .request("config", rpc_params![&self.key])
            .await
            .map_err(|_| Disconnected)
    }

    /// Reports the outcome of a call to the dispatcher at `to`.
    pub(crate) async fn report_outcome(
        &self,
        to: SocketAddr,
        key: &Key,
        permit: Permit,
        outcome: &Outcome,
    ) -> Result<(), Disconnected> {
        let client = self.client(to).await?;
        let params = rpc_params![&self.key, key, permit, outcome];
        client
            .request::<(), _>("done", params)
            .await
            .map_err(|_| Disconnected)
    }

    async fn client(&self, to: SocketAddr) -> Result<Arc<WsClient>, Disconnected> {
        if let Some(client) = self.clients.lock().await.get(&to)
            && client.is_connected()
        {
            return Ok(client.clone());
        }
        let ping = PingConfig::new()
            .ping_interval(PING_TIMES.0)
            .inactive_limit(PING_TIMES.1)
            .max_failures(1);
        let builder = WsClientBuilder::new()
            .connection_timeout(CONNECT_TIMEOUT)
            .request_timeout(ACCEPT_TIMEOUT)
            .enable_ws_ping(ping)
            .max_request_size(MAX_MESSAGE_BYTES)
            .max_response_size(MAX_MESSAGE_BYTES)
            .max_concurrent_requests(4096)
            .max_buffer_capacity_per_subscription(MAX_BUFFERED_FRAMES)
            .set_headers(HeaderMap::from_iter([(
                AUTHORIZATION,
                authorization(&self.key),
            )]))
            .set_tcp_no_delay(true);
        let client = builder
            .build(format!("ws://{to}"))
            .await
            .map_err(|_| Disconnected)?;
        let client = Arc::new(client);
        self.clients.lock().await.insert(to, client.clone());
        Ok(client)
    }
}
