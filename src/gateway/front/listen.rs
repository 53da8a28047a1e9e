//! HTTP listeners for the load balancer, operators and other VMs.

use crate::gateway::request::body::Body;
use crate::intake::{Intake, Link, Tracked, head_bytes};
use crate::policy::room::Port;
use http::{Request, Response};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Pause after a failed accept, which usually means that the process is out of file descriptors.
pub(crate) const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Most bytes of a head.
const MAX_HEAD_BYTES: usize = 16 << 10;

/// Answers every request with `respond` until the process ends.
pub(crate) async fn serve(
    intake: Intake,
    port: Port,
    listener: TcpListener,
    respond: impl AsyncFn(Arc<Link>, Request<Incoming>) -> Response<Body> + Clone + 'static,
) {
    Intake::limit_receive_buffers(&listener);
    loop {
        let Ok((stream, peer)) = listener.accept().await else {
            sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let Some((mut io, registration)) = intake.open(stream, peer, port) else {
            continue;
        };
        let respond = respond.clone();
        spawn_local(async move {
            let link = registration.link();
            let service = service_fn(async |request: Request<Incoming>| {
                let charge = link.begin_request(head_bytes(request.headers()));
                let response = respond(Arc::clone(&link), request).await;
                let tracked = |body| Tracked::new(body, Arc::clone(&link), charge);
                Ok::<_, Infallible>(response.map(tracked))
            });
            let io_clone = TokioIo::new(io.clone());
            let connection = http1::Builder::new()
                .max_buf_size(MAX_HEAD_BYTES)
                .serve_connection(io_clone, service);
            // After a broken connection the client retries.
            drop(connection.await);
            link.linger(&mut io).await;
        });
    }
}
