//! The peer thread: serves requests of the other VMs.

use super::{MAX_MESSAGE_BYTES, authorization};
use crate::code::{Code, Failure};
use crate::config::State;
use crate::dispatch::{self, Grant, Key};
use crate::id::Permit;
use crate::intake::{Intake, head_bytes};
use crate::owner::{Envelope, Frame, Request};
use crate::policy;
use crate::policy::room::Port;
use crate::telemetry::event;
use http::StatusCode;
use http::header::AUTHORIZATION;
use hyper::body::Incoming;
use jsonrpsee::core::SubscriptionError;
use jsonrpsee::server::{
    HttpBody, HttpRequest, HttpResponse, Methods, PendingSubscriptionSink, PingConfig, RpcModule,
    Server, ServerConfig, SubscriptionMessage, SubscriptionSink, serve_with_graceful_shutdown,
    stop_channel,
};
use jsonrpsee::types::{ErrorObjectOwned, Params};
use serde::Serialize;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{Instant, sleep};
use tokio_util::sync::CancellationToken;
use tower::Service as _;

/// Pause after a failed accept, which usually means that the process is out of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
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
    intake: Intake,
    stop: CancellationToken,
) {
    Intake::limit_receive_buffers(&listener);
    let listener = match TcpListener::from_std(listener) {
        Ok(listener) => listener,
        Err(error) => {
            event!(error, "peer_listen_failed", reason = error);
            return;
        }
    };
    let config = ServerConfig::builder()
        .max_request_body_size(MAX_MESSAGE_BYTES)
        .max_response_body_size(MAX_MESSAGE_BYTES)
        .max_subscriptions_per_connection(8192)
        .max_connections(1024)
        .ws_only()
        .enable_ws_ping(PingConfig::new())
        .build();
    let builder = Server::builder().set_config(config).to_service_builder();
    let authorization = authorization(&service.key);
    let methods = Methods::from(rpc_module(service));
    let (stop_handle, handle) = stop_channel();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.cancelled() => break,
        };
        let Ok((stream, peer)) = accepted else {
            sleep(ACCEPT_PAUSE).await;
            continue;
        };
        // Fails only for a closed connection, which is detected when the request is read.
        let _ = stream.set_nodelay(true);
        let Some((io, registration)) = intake.open(stream, peer, Port::Peers) else {
            continue;
        };
        let link = registration.link();
        let (builder, methods) = (builder.clone(), methods.clone());
        let (stopping, authorization) = (stop_handle.clone(), authorization.clone());
        let respond = tower::service_fn(move |request: HttpRequest<Incoming>| {
            let is_vm = request.headers().get(AUTHORIZATION) == Some(&authorization);
            let charge = is_vm.then(|| link.begin_request(head_bytes(request.headers())));
            let mut server = builder.clone().build(methods.clone(), stopping.clone());
            async move {
                let Some(_charge) = charge else {
                    event!(warn, "peer_refused", peer = peer, code = Code::BadPeer);
                    return Ok(forbidden());
                };
                server.call(request).await
            }
        });
        let stopped = stop_handle.clone().shutdown();
        tokio::task::spawn_local(async move {
            let _registration = registration;
            // After a broken connection the other VM connects again.
            drop(serve_with_graceful_shutdown(io, respond, stopped).await);
        });
    }
    let _ = handle.stop();
}

fn forbidden() -> HttpResponse {
    let mut response = HttpResponse::new(HttpBody::empty());
    *response.status_mut() = StatusCode::FORBIDDEN;
    response
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
