//! HTTP connections of callers.

use super::listen::ACCEPT_PAUSE;
use super::socket;
use crate::gateway::{Gateway, request};
use crate::telemetry::event;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use std::rc::Rc;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

/// Accepts connections of callers until `stop` is cancelled, then waits for the open ones to end.
pub(super) async fn accept(gateway: Rc<Gateway>, listener: TcpListener, stop: CancellationToken) {
    let mut connections = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.cancelled() => break,
        };
        match accepted {
            Ok((stream, _)) => {
                connections.spawn_local(serve_connection(
                    Rc::clone(&gateway),
                    stream,
                    stop.clone(),
                ));
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

async fn serve_connection(gateway: Rc<Gateway>, stream: TcpStream, stop: CancellationToken) {
    if let Err(error) = socket::set_options(&stream) {
        event!(debug, "socket_options_failed", reason = error);
    }
    let limits = gateway
        .routing
        .borrow()
        .table
        .as_ref()
        .map(|table| table.request_limits);
    let limits = limits.unwrap_or_default();
    let service = service_fn(move |request| request::handle(Rc::clone(&gateway), request));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout)
        .max_buf_size(limits.max_head_bytes.max(8192))
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    // An error means that the caller disconnected, or sent malformed input that was answered.
    tokio::select! {
        _ = connection.as_mut() => return,
        () = stop.cancelled() => {}
    }
    connection.as_mut().graceful_shutdown();
    drop(connection.await);
}
