//! Kept connections to the other VMs.

use super::MESSAGE;
use crate::code::Failure;
use crate::config::State;
use crate::dispatch::{Grant, Key};
use crate::id::Permit;
use crate::owner::{Frame, Request};
use crate::policy::{self, Outcome};
use jsonrpsee::core::client::{ClientT, Subscription, SubscriptionClientT};
use jsonrpsee::rpc_params;
use jsonrpsee::ws_client::{PingConfig, WsClient, WsClientBuilder};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Mutex;

/// How long a connection may take to stand.
const CONNECT: Duration = Duration::from_secs(1);
/// How long a peer may take to accept a request.
const ACCEPT: Duration = Duration::from_secs(3);
/// Time between pings, and silence after which a peer counts as lost.
const PING: (Duration, Duration) = (Duration::from_millis(700), Duration::from_millis(2500));
/// Frames that may wait for a slow reader before its stream is cut and asked for again.
const FRAMES: usize = 8192;

/// The peer can't be reached, or the connection broke; whether it acted is not known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Lost;

/// Holds a permit: the dispatcher takes it back when this is dropped.
pub(crate) type PermitStream = Subscription<Result<Grant, Failure>>;

/// Connections by peer address, made when first needed.
#[derive(Debug, Clone)]
pub(crate) struct Links {
    key: Arc<str>,
    kept: Arc<Mutex<HashMap<SocketAddr, Arc<WsClient>>>>,
}

impl Links {
    pub(crate) fn new(key: &str) -> Self {
        Self {
            key: key.into(),
            kept: Arc::default(),
        }
    }

    /// Sends a request to the owner at `to`; frames come until the final one.
    pub(crate) async fn ask(
        &self,
        to: SocketAddr,
        request: &Request,
        wait: Duration,
    ) -> Result<Subscription<Frame>, Lost> {
        let client = self.client(to).await?;
        let wait_ms = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
        let params = rpc_params![&self.key, request, wait_ms];
        client
            .subscribe("ask", params, "unask")
            .await
            .map_err(|_| Lost)
    }

    /// Waits for a permit from the dispatcher at `to`.
    pub(crate) async fn permit(
        &self,
        to: SocketAddr,
        key: &Key,
        ask: &policy::Request,
    ) -> Result<(Result<Grant, Failure>, PermitStream), Lost> {
        let client = self.client(to).await?;
        let params = rpc_params![&self.key, key, ask];
        let mut stream: PermitStream = client
            .subscribe("permit", params, "unpermit")
            .await
            .map_err(|_| Lost)?;
        match stream.next().await {
            Some(Ok(grant)) => Ok((grant, stream)),
            _ => Err(Lost),
        }
    }

    /// The configuration as the peer at `to` has folded it.
    pub(crate) async fn config(&self, to: SocketAddr) -> Result<State, Lost> {
        let client = self.client(to).await?;
        client
            .request("config", rpc_params![&self.key])
            .await
            .map_err(|_| Lost)
    }

    /// Tells the dispatcher at `to` how a call went.
    pub(crate) async fn done(
        &self,
        to: SocketAddr,
        key: &Key,
        permit: Permit,
        outcome: &Outcome,
    ) -> Result<(), Lost> {
        let client = self.client(to).await?;
        let params = rpc_params![&self.key, key, permit, outcome];
        client
            .request::<(), _>("done", params)
            .await
            .map_err(|_| Lost)
    }

    async fn client(&self, to: SocketAddr) -> Result<Arc<WsClient>, Lost> {
        if let Some(client) = self.kept.lock().await.get(&to)
            && client.is_connected()
        {
            return Ok(client.clone());
        }
        let ping = PingConfig::new()
            .ping_interval(PING.0)
            .inactive_limit(PING.1)
            .max_failures(1);
        let builder = WsClientBuilder::new()
            .connection_timeout(CONNECT)
            .request_timeout(ACCEPT)
            .enable_ws_ping(ping)
            .max_request_size(MESSAGE)
            .max_response_size(MESSAGE)
            .max_concurrent_requests(4096)
            .max_buffer_capacity_per_subscription(FRAMES)
            .set_tcp_no_delay(true);
        let made = builder
            .build(format!("ws://{to}"))
            .await
            .map_err(|_| Lost)?;
        let made = Arc::new(made);
        self.kept.lock().await.insert(to, made.clone());
        Ok(made)
    }
}
