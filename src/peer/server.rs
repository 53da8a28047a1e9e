//! The peer thread: takes requests of the other VMs.

use super::MESSAGE;
use crate::code::{Code, Failure};
use crate::config::Book;
use crate::dispatch::{self, Grant, Key};
use crate::id::Permit;
use crate::owner::{Ask, Frame, Request};
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

/// Frames that may wait between the owner and a connection.
const FRAMES: usize = 256;

/// What the peer thread hands requests to.
#[derive(Debug, Clone)]
pub(crate) struct Service {
    pub(crate) key: String,
    pub(crate) owner: flume::Sender<Ask>,
    pub(crate) dispatch: flume::Sender<dispatch::Command>,
    pub(crate) books: watch::Receiver<Arc<Book>>,
}

impl Service {
    fn check(&self, key: &str) -> Result<(), ErrorObjectOwned> {
        // Hashes are compared, so that the time taken tells nothing of the key.
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

/// Serves on `listener` until `stop`.
pub(crate) async fn serve(
    listener: std::net::TcpListener,
    service: Service,
    stop: CancellationToken,
) {
    let config = ServerConfig::builder()
        .max_request_body_size(MESSAGE)
        .max_response_body_size(MESSAGE)
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
    let handle = server.start(module(service));
    stop.cancelled().await;
    let _ = handle.stop();
}

fn module(service: Service) -> RpcModule<Service> {
    let mut module = RpcModule::new(service);
    module
        .register_subscription(
            "ask",
            "frame",
            "unask",
            |params, pending, service, _| async move { ask(&params, pending, &service).await },
        )
        .expect("the name is free");
    module
        .register_subscription(
            "permit",
            "grant",
            "unpermit",
            |params, pending, service, _| async move { permit(&params, pending, &service).await },
        )
        .expect("the name is free");
    module
        .register_async_method("done", |params, service, _| async move {
            let (key, pool, permit, outcome): (String, Key, Permit, policy::Outcome) =
                params.parse()?;
            service.check(&key)?;
            let command = dispatch::Command::Finish {
                key: pool,
                permit,
                outcome: Some(outcome),
            };
            let _ = service.dispatch.send_async(command).await;
            Ok::<(), ErrorObjectOwned>(())
        })
        .expect("the name is free");
    module
        .register_method("config", |params, service, _| {
            let key: String = params.one()?;
            service.check(&key)?;
            Ok::<Book, ErrorObjectOwned>(service.books.borrow().as_ref().clone())
        })
        .expect("the name is free");
    module
}

async fn ask(
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
    if let Err(error) = service.check(&key) {
        pending.reject(error).await;
        return Ok(());
    }
    let sink = pending.accept().await?;
    let (frames, mut queue) = mpsc::channel(FRAMES);
    let until = Instant::now() + Duration::from_millis(wait_ms);
    if service
        .owner
        .try_send(Ask {
            request,
            frames,
            until,
        })
        .is_err()
    {
        let full = Failure::refused(Code::RingFull, "the owner's queue is full")
            .retry_after(Duration::from_millis(500));
        return send(&sink, &Frame::Failed(full)).await;
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

async fn permit(
    params: &Params<'_>,
    pending: PendingSubscriptionSink,
    service: &Service,
) -> Result<(), SubscriptionError> {
    let (key, pool, ask): (String, Key, policy::Request) = match params.parse() {
        Ok(parsed) => parsed,
        Err(error) => {
            pending.reject(error).await;
            return Ok(());
        }
    };
    if let Err(error) = service.check(&key) {
        pending.reject(error).await;
        return Ok(());
    }
    let sink = pending.accept().await?;
    let (reply, wait) = oneshot::channel::<Result<Grant, Failure>>();
    let command = dispatch::Command::Acquire {
        key: pool.clone(),
        request: Box::new(ask),
        reply,
    };
    let _ = service.dispatch.send_async(command).await;
    let granted = tokio::select! {
        granted = wait => granted,
        () = sink.closed() => return Ok(()),
    };
    let Ok(granted) = granted else { return Ok(()) };
    let sent = send(&sink, &granted).await;
    if let Ok(grant) = granted {
        // The owner lets the subscription go when the call is over; if its VM dies, the
        // connection breaks. Either way the window is free again.
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
