//! The peer thread: serves requests of the other VMs.

use super::MAX_MESSAGE_BYTES;
use crate::code::{Code, Failure};
use crate::config::State;
use crate::dispatch::{self, Grant, Key};
use crate::id::Permit;
use crate::owner::{Envelope, Frame, Request};
use crate::policy;
use crate::telemetry::event;
use jsonrpsee::core::SubscriptionError;
use jsonrpsee::server::{
    PendingSubscriptionSink, PingConfig, RpcModule, Server, ServerConfig, SubscriptionMessage,
    SubscriptionSink,
};
use jsonrpsee::types::{ErrorObjectOwned, Params};
use serde::Serialize;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// Frames buffered between the owner thread and a connection.
const MAX_BUFFERED_FRAMES: usize = 256;

/// State of the request handlers: the peer key, and the threads that requests are passed to.
#[derive(Debug, Clone)]
pub(crate) struct Service {
    pub(crate) key: String,
    pub(crate) owner: flume::Sender<Envelope>,
    pub(crate) dispatch: flume::Sender<dispatch::Command>,
    pub(crate) config: watch::Receiver<Arc<State>>,
}

impl Service {
    fn check_key(&self, key: &str) -> Result<(), ErrorObjectOwned> {
        // Hashes are compared, so that the timing reveals nothing about the key.
        if blake3::hash(key.as_bytes()) == blake3::hash(self.key.as_bytes()) {
            return Ok(());
        }
        event!(warn, "peer_refused", code = Code::BadPeer);
        let code = i32::from(Code::BadPeer.number());
        Err(ErrorObjectOwned::owned(
            code,
            Code::BadPeer.meaning(),
            None::<()>,
        ))
    }
}

/// Serves requests on `listener` until `stop` is cancelled.
pub(crate) async fn serve(
    listener: std::net::TcpListener,
    service: Service,
    stop: CancellationToken,
) {
    let config = ServerConfig::builder()
        .max_request_body_size(MAX_MESSAGE_BYTES)
        .max_response_body_size(MAX_MESSAGE_BYTES)
        .max_subscriptions_per_connection(8192)
        .max_connections(1024)
        .set_tcp_no_delay(true)
        .enable_ws_ping(PingConfig::new())
        .build();
    let server = match Server::builder()
        .set_config(config)
        .build_from_tcp(listener)
    {
        Ok(server) => server,
        Err(error) => {
            event!(error, "peer_listen_failed", reason = error);
            return;
        }
    };
    let handle = server.start(rpc_module(service));
    stop.cancelled().await;
    let _ = handle.stop();
}

fn rpc_module(service: Service) -> RpcModule<Service> {
    let mut module = RpcModule::new(service);
    module
        .register_subscription(
            "ask",
            "frame",
            "unask",
            |params, pending, service, _| async move {
                handle_request(&params, pending, &service).await
            },
        )
        .expect("method names are unique");
    module
        .register_subscription(
            "permit",
            "grant",
            "unpermit",
            |params, pending, service, _| async move { handle_permit(&params, pending, &service).await },
        )
        .expect("method names are unique");
    module
        .register_async_method("done", |params, service, _| async move {
            let (key, pool, permit, outcome): (String, Key, Permit, policy::Outcome) =
                params.parse()?;
            service.check_key(&key)?;
            let command = dispatch::Command::Finish {
                key: pool,
                permit,
                outcome: Some(outcome),
            };
            let _ = service.dispatch.send_async(command).await;
            Ok::<(), ErrorObjectOwned>(())
        })
        .expect("method names are unique");
    module
        .register_method("config", |params, service, _| {
            let key: String = params.one()?;
            service.check_key(&key)?;
            Ok::<State, ErrorObjectOwned>(service.config.borrow().as_ref().clone())
        })
        .expect("method names are unique");
    module
}

async fn handle_request(
    params: &Params<'_>,
    pending: PendingSubscriptionSink,
    service: &Service,
) -> Result<(), SubscriptionError> {
    let (key, request, wait_ms): (String, Request, u64) = match params.parse() {
        Ok(parsed) => parsed,
        Err(error) => {
            pending.reject(error).await;
            return Ok(());
        }
    };
    if let Err(error) = service.check_key(&key) {
        pending.reject(error).await;
        return Ok(());
    }
    let sink = pending.accept().await?;
    let (frames, mut queue) = mpsc::channel(MAX_BUFFERED_FRAMES);
    let deadline = Instant::now() + Duration::from_millis(wait_ms);
    if service
        .owner
        .try_send(Envelope {
            request,
            frames,
            deadline,
        })
        .is_err()
    {
        let queue_full = Failure::refused(Code::RingFull, "the owner's queue is full")
            .retry_after(Duration::from_millis(500));
        return send(&sink, &Frame::Failed(queue_full)).await;
    }
    loop {
        tokio::select! {
            frame = queue.recv() => match frame {
                Some(frame) => send(&sink, &frame).await?,
                None => return Ok(()),
            },
            () = sink.closed() => return Ok(()),
        }
    }
}

async fn handle_permit(
    params: &Params<'_>,
    pending: PendingSubscriptionSink,
    service: &Service,
) -> Result<(), SubscriptionError> {
    let (key, pool, request): (String, Key, policy::Request) = match params.parse() {
        Ok(parsed) => parsed,
        Err(error) => {
            pending.reject(error).await;
            return Ok(());
        }
    };
    if let Err(error) = service.check_key(&key) {
        pending.reject(error).await;
        return Ok(());
    }
    let sink = pending.accept().await?;
    let (reply, receiver) = oneshot::channel::<Result<Grant, Failure>>();
    let command = dispatch::Command::Acquire {
        key: pool.clone(),
        request: Box::new(request),
        reply,
    };
    let _ = service.dispatch.send_async(command).await;
    let answer = tokio::select! {
        answer = receiver => answer,
        () = sink.closed() => return Ok(()),
    };
    let Ok(answer) = answer else { return Ok(()) };
    let sent = send(&sink, &answer).await;
    if let Ok(grant) = answer {
        // The subscription ends when the owner drops it after the call, or when the owner's VM fails.
        // Either way the slot is released.
        if sent.is_ok() {
            sink.closed().await;
        }
        let command = dispatch::Command::Finish {
            key: pool,
            permit: grant.permit,
            outcome: None,
        };
        let _ = service.dispatch.send_async(command).await;
    }
    Ok(())
}

async fn send<T: Serialize>(sink: &SubscriptionSink, message: &T) -> Result<(), SubscriptionError> {
    let raw = serde_json::value::to_raw_value(message)?;
    sink.send(SubscriptionMessage::from(raw)).await?;
    Ok(())
}
