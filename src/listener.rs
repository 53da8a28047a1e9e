//! HTTP listeners of a VM for programs, whose connections and requests are charged.

use crate::acceptor::Limited;
use crate::intake::{Intake, Timeouts, Tracked, head_bytes};
use crate::policy::room::Port;
use crate::telemetry::event;
use http_body_util::combinators::BoxBody;
use poem::http::StatusCode;
use poem::{Endpoint, EndpointExt, IntoEndpoint, IntoResponse, Response, Server};
use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;
use tokio_util::sync::CancellationToken;

/// Time limits of callers' connections.
const TIMEOUTS: Timeouts = Timeouts {
    head: Duration::from_secs(10),
    idle: Duration::from_mins(2),
};
const OVERDUE_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Notes which connection a request belongs to, and charges what it holds until its answer is sent.
async fn track<E: Endpoint>(
    endpoint: Arc<E>,
    mut request: poem::Request,
    intake: Intake,
    port: Port,
) -> poem::Result<Response> {
    let peer = request.remote_addr().as_socket_addr().copied();
    let link = peer.and_then(|peer| intake.registry().find(port, peer));
    let Some(link) = link else {
        // It was closed to make room.
        return Ok(StatusCode::SERVICE_UNAVAILABLE.into_response());
    };
    let charge = link.begin_request(head_bytes(request.headers()));
    request.extensions_mut().insert(Arc::clone(&link));
    let response = endpoint.get_response(request).await;
    let (parts, body) = response.into_parts();
    let body = Tracked::new(BoxBody::from(body), link, charge);
    Ok(Response::from_parts(parts, BoxBody::new(body).into()))
}

/// Closes connections that exceed their time limits.
pub(crate) async fn close_overdue(intake: Intake) {
    loop {
        tokio::time::sleep(OVERDUE_CHECK_INTERVAL).await;
        intake.registry().close_overdue(TIMEOUTS);
    }
}

/// Answers requests at a listener until `stop`, and then waits for those under way until `stop_timeout`.
pub(crate) async fn serve_http(
    listener: TcpListener,
    routes: impl IntoEndpoint<Endpoint: 'static>,
    intake: Intake,
    port: Port,
    stop: CancellationToken,
    stop_timeout: Duration,
) {
    let acceptor = match Limited::new(listener, intake.clone(), port) {
        Ok(acceptor) => acceptor,
        Err(error) => {
            event!(error, "listen_failed", reason = error);
            return;
        }
    };
    let endpoint = routes
        .into_endpoint()
        .around(move |endpoint, request| track(endpoint, request, intake.clone(), port));
    let result = Server::new_with_acceptor(acceptor)
        .run_with_graceful_shutdown(
            endpoint,
            async move { stop.cancelled().await },
            Some(stop_timeout),
        )
        .await;
    if let Err(error) = result {
        event!(error, "serve_failed", reason = error);
    }
}
