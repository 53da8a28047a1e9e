//! Stand-ins for the platform and the backend servers, with fault injection and counters.

mod engine;
mod faults;
mod log;
mod service;
mod vms;

pub(crate) use engine::answer;

use crate::acceptor::NoDelay;
use poem::{EndpointExt, IntoEndpoint, Server};
use std::io;
use std::net::SocketAddr;
use tokio_util::sync::CancellationToken;

/// Kind of stand-in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Kind {
    /// The append-only log service.
    Log,
    /// A model engine with a chat-completions API.
    Engine,
    /// A service whose operations have countable effects.
    Service,
    /// The platform's list of VMs.
    Vms,
}

/// Serves a stand-in on `listener` until `stop` is cancelled.
pub(crate) async fn serve(
    kind: Kind,
    listener: std::net::TcpListener,
    stop: CancellationToken,
) -> io::Result<()> {
    match kind {
        Kind::Log => serve_routes(listener, log::routes(), stop).await,
        Kind::Engine => serve_routes(listener, engine::routes(), stop).await,
        Kind::Service => serve_routes(listener, service::routes(), stop).await,
        Kind::Vms => serve_routes(listener, vms::routes(), stop).await,
    }
}

async fn serve_routes(
    listener: std::net::TcpListener,
    routes: impl IntoEndpoint<Endpoint: 'static>,
    stop: CancellationToken,
) -> io::Result<()> {
    listener.set_nonblocking(true)?;
    let acceptor = NoDelay::new(listener)?;
    let endpoint = routes.into_endpoint().map_to_response();
    Server::new_with_acceptor(acceptor)
        .run_with_graceful_shutdown(
            endpoint,
            async move { stop.cancelled().await },
            Some(std::time::Duration::ZERO),
        )
        .await
}

/// Binds a listener for a stand-in or a VM.
pub(crate) fn bind(address: SocketAddr) -> io::Result<std::net::TcpListener> {
    std::net::TcpListener::bind(address)
}
