//! HTTP listeners for the load balancer, operators and other VMs.

use crate::gateway::request::body::Body;
use http::{Request, Response};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Pause after a failed accept, which usually means that the process is out of file descriptors.
pub(crate) const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Answers every request with `respond` until the process ends.
pub(crate) async fn serve(
    listener: TcpListener,
    respond: impl AsyncFn(Request<Incoming>) -> Response<Body> + Clone + 'static,
) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let respond = respond.clone();
        spawn_local(async move {
            let service = service_fn(async |request: Request<Incoming>| {
                Ok::<_, Infallible>(respond(request).await)
            });
            let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            // After a broken connection the client retries.
            drop(connection.await);
        });
    }
}
