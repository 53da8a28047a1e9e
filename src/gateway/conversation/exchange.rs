//! Turns on their way between VMs: sealed messages over HTTP, since they do not fit into a datagram.

use super::Gateway;
use crate::conversation::{Id, Turn};
use crate::gateway::request::body::Body;
use crate::member::Sealer;
use crate::telemetry::event;
use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// The path at which a VM takes these messages.
pub(in crate::gateway) const PATH: &str = "/turns";
/// How long one exchange may take. It takes 5 ms on a good day.
const TIMEOUT: Duration = Duration::from_millis(300);
/// Bytes of turns in one answer, of which the last may be as large again.
const ANSWER_BYTES: usize = 1 << 20;
/// Bytes of a message at the most.
const MESSAGE_BYTES: usize = 2 << 20;

/// What one VM sends to another.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) enum Message {
    /// Give a turn, and those that lead to it.
    #[serde(rename = "f")]
    Fetch(Id),
    /// Record a turn that the store does not take from the VM that served it.
    #[serde(rename = "r")]
    Record(Turn),
}

/// What it answers.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) enum Answer {
    /// Turns, the newest first; none where the turn is not there.
    #[serde(rename = "t")]
    Turns(Vec<Rc<Turn>>),
    /// Whether the store has the turn.
    #[serde(rename = "r")]
    Recorded(bool),
}

/// Sends messages to other VMs.
#[derive(Debug)]
pub(super) struct Client {
    http: RefCell<reqwest::Client>,
    sealer: Sealer,
}

impl Client {
    pub(super) fn new(key: &str) -> Self {
        Self {
            http: RefCell::new(client()),
            sealer: Sealer::new(key),
        }
    }
}

fn client() -> reqwest::Client {
    reqwest::Client::builder()
        .retry(reqwest::retry::never())
        .timeout(TIMEOUT)
        .connect_timeout(TIMEOUT)
        .tcp_nodelay(true)
        .pool_max_idle_per_host(2)
        .no_proxy()
        .build()
        .expect("a client without TLS can be built")
}

impl Gateway {
    /// Sends a message to another VM; none where it does not answer.
    pub(super) async fn exchange(&self, peer: SocketAddr, message: &Message) -> Option<Answer> {
        let exchange = &self.conversations.exchange;
        let port = self.settings.listen.operators.port();
        let url = format!("http://{}{PATH}", SocketAddr::new(peer.ip(), port));
        let http = exchange.http.borrow().clone();
        let sent = http.post(url).body(exchange.sealer.seal(message)).send();
        let reply = async { sent.await?.error_for_status()?.bytes().await };
        match reply.await {
            Ok(bytes) => exchange.sealer.open(&bytes),
            Err(error) => {
                event!(info, "exchange_failed", peer = peer, reason = error);
                // A connection that has gone silent shows by the time alone.
                if error.is_timeout() {
                    exchange.http.replace(client());
                }
                None
            }
        }
    }

    /// Gets a turn, and those that lead to it, from the VM that has them.
    pub(super) async fn fetch_from(&self, holder: SocketAddr, id: &Id) -> bool {
        let message = Message::Fetch(id.clone());
        let Some(Answer::Turns(turns)) = self.exchange(holder, &message).await else {
            return false;
        };
        let found = turns.first().is_some_and(|turn| turn.id == *id);
        let mut cache = self.conversations.cache.borrow_mut();
        for turn in turns {
            cache.insert(Instant::now(), turn);
        }
        found
    }
}

/// Answers a message of another VM.
pub(in crate::gateway) async fn serve(
    gateway: Rc<Gateway>,
    request: Request<Incoming>,
) -> Response<Body> {
    let body = Limited::new(request.into_body(), MESSAGE_BYTES);
    let bytes = body
        .collect()
        .await
        .map(http_body_util::Collected::to_bytes);
    let sealer = &gateway.conversations.exchange.sealer;
    let message = bytes.ok().and_then(|bytes| sealer.open(&bytes));
    let answer = match message {
        Some(Message::Fetch(id)) => gateway.turns_to(&id),
        Some(Message::Record(turn)) => {
            Answer::Recorded(gateway.conversations.record_for(turn).await)
        }
        None => {
            event!(warn, "exchange_refused");
            let mut refused = Response::new(Body::full(Bytes::new()));
            *refused.status_mut() = StatusCode::FORBIDDEN;
            return refused;
        }
    };
    Response::new(Body::full(Bytes::from(sealer.seal(&answer))))
}

impl Gateway {
    fn turns_to(&self, id: &Id) -> Answer {
        let all = &self.conversations;
        if all.find(id).is_none() {
            return Answer::Turns(Vec::new());
        }
        let mut cache = all.cache.borrow_mut();
        let (turns, _) = cache.back(Instant::now(), id, ANSWER_BYTES);
        Answer::Turns(turns)
    }
}
