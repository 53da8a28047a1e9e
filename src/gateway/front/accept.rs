//! HTTP connections of callers.

use super::listen::ACCEPT_PAUSE;
use super::socket;
use crate::gateway::{Gateway, request};
use crate::intake::{Intake, Io, Registration, Tracked, head_bytes};
use crate::policy::room::Port;
use crate::telemetry::event;
use http::Request;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::rc::Rc;
use std::sync::Arc;
use tokio::net::TcpListener;
use tokio::task::JoinSet;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

/// Accepts connections of callers until `stop` is cancelled, then waits for the open ones to end.
pub(super) async fn accept(gateway: Rc<Gateway>, listener: TcpListener, stop: CancellationToken) {
    Intake::limit_receive_buffers(&listener);
    let mut connections = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.cancelled() => break,
        };
        match accepted {
            Ok((stream, peer)) => {
                if let Err(error) = socket::set_options(&stream) {
                    event!(debug, "socket_options_failed", reason = error);
                }
                if let Some((io, registration)) = gateway.intake.open(stream, peer, Port::Callers) {
                    let gateway = Rc::clone(&gateway);
                    connections.spawn_local(serve_connection(
                        gateway,
                        io,
                        registration,
                        stop.clone(),
                    ));
                }
                while connections.try_join_next().is_some() {}
            }
            Err(error) => {
                event!(warn, "accept_failed", reason = error);
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

async fn serve_connection(
    gateway: Rc<Gateway>,
    mut io: Io,
    registration: Registration,
    stop: CancellationToken,
) {
    let limits = gateway
        .routing
        .borrow()
        .table
        .as_ref()
        .map(|table| table.request_limits);
    let limits = limits.unwrap_or_default();
    let link = registration.link();
    let service = service_fn(|request: Request<Incoming>| {
        let (gateway, link) = (Rc::clone(&gateway), Arc::clone(&link));
        // On the heap, so that idle connections don't hold room for a request.
        Box::pin(async move {
            let charge = link.begin_request(head_bytes(request.headers()));
            let response = request::handle(gateway, &link, request).await?;
            Ok::<_, Infallible>(response.map(|body| Tracked::new(body, link, charge)))
        })
    });
    {
        let connection = http1::Builder::new()
            .max_buf_size(limits.max_head_bytes.max(8192))
            .serve_connection(TokioIo::new(io.clone()), service);
        tokio::pin!(connection);
        // An error means that the caller disconnected, or sent malformed input that was answered.
        tokio::select! {
            _ = connection.as_mut() => {}
            () = stop.cancelled() => {
                connection.as_mut().graceful_shutdown();
                drop(connection.await);
            }
        }
    }
    link.linger(&mut io).await;
}
