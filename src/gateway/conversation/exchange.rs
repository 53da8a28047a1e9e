//! Exchanges turns between VMs, as sealed messages over HTTP: turns do not fit into a datagram.

use super::Gateway;
use crate::conversation::{Id, Turn};
use crate::gateway::request::body::Body;
use crate::intake::{Kind, Link, ReadError, read_body};
use crate::member::Sealer;
use crate::telemetry::event;
use bytes::Bytes;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// HTTP path of these messages.
pub(in crate::gateway) const TURNS_PATH: &str = "/turns";
/// Time limit of one exchange, connecting included.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(300);
/// Time for a message of another VM to arrive.
const READ_TIMEOUT: Duration = Duration::from_secs(2);
/// Turns are added to an answer until this size is exceeded.
const MAX_ANSWER_BYTES: usize = 1 << 20;
/// Size limit of a message.
const MAX_MESSAGE_BYTES: usize = 2 << 20;

/// A message to another VM.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) enum Message {
    /// Return a turn and the turns before it.
    #[serde(rename = "f")]
    Fetch(Id),
    /// Record a turn that the sending VM cannot record itself.
    #[serde(rename = "r")]
    Record(Turn),
}

/// The answer to a [`Message`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) enum Answer {
    /// Turns, newest first; empty if the requested turn is not in memory.
    #[serde(rename = "t")]
    Turns(Vec<Rc<Turn>>),
    /// Whether the store has the turn.
    #[serde(rename = "r")]
    Recorded(bool),
}

/// Sends messages to other VMs over HTTP.
#[derive(Debug)]
pub(super) struct Client {
    http: RefCell<reqwest::Client>,
    sealer: Sealer,
}

impl Client {
    pub(super) fn new(key: &str) -> Self {
        Self {
            http: RefCell::new(http_client()),
            sealer: Sealer::new(key),
        }
    }
}

fn http_client() -> reqwest::Client {
    reqwest::Client::builder()
        .retry(reqwest::retry::never())
        .timeout(EXCHANGE_TIMEOUT)
        .connect_timeout(EXCHANGE_TIMEOUT)
        .tcp_nodelay(true)
        .pool_max_idle_per_host(2)
        .no_proxy()
        .build()
        .expect("a client without TLS can be built")
}

impl Gateway {
    /// Sends a message to another VM; none if it fails or does not answer.
    pub(super) async fn exchange(&self, peer: SocketAddr, message: &Message) -> Option<Answer> {
        let client = &self.conversations.exchange_client;
        let port = self.settings.listen.operators.port();
        let url = format!("http://{}{TURNS_PATH}", SocketAddr::new(peer.ip(), port));
        let http = client.http.borrow().clone();
        let sent = http.post(url).body(client.sealer.seal(message)).send();
        let reply = async { sent.await?.error_for_status()?.bytes().await };
        match reply.await {
            Ok(bytes) => client.sealer.open(&bytes),
            Err(error) => {
                event!(info, "exchange_failed", peer = peer, reason = error);
                // A dead connection shows only as a timeout; start with new ones.
                if error.is_timeout() {
                    client.http.replace(http_client());
                }
                None
            }
        }
    }

    /// Fetches a turn and the turns before it into the cache. Returns whether the turn was among
    /// them.
    pub(super) async fn fetch_from(&self, holder: SocketAddr, id: &Id) -> bool {
        let message = Message::Fetch(id.clone());
        let Some(Answer::Turns(turns)) = self.exchange(holder, &message).await else {
            return false;
        };
        let found = turns.first().is_some_and(|turn| turn.id == *id);
        for turn in turns {
            let turn = self.conversations.charged(Rc::unwrap_or_clone(turn));
            self.conversations.cache_turn(Instant::now(), turn);
        }
        found
    }
}

/// Handles a message from another VM.
pub(in crate::gateway) async fn serve(
    gateway: Rc<Gateway>,
    link: &Link,
    request: Request<Incoming>,
) -> Response<Body> {
    let deadline = Instant::now() + READ_TIMEOUT;
    link.set_deadline(deadline);
    let (intake, body) = (&gateway.intake, request.into_body());
    let body = read_body(
        intake,
        link,
        Kind::Message,
        body,
        MAX_MESSAGE_BYTES,
        deadline,
    )
    .await;
    let body = match body {
        Ok(body) => body.to_bytes(),
        Err(error) => {
            let reason = match error {
                ReadError::TooLarge => "too large".to_owned(),
                ReadError::EndedEarly => "ended early".to_owned(),
                ReadError::Late => "too late".to_owned(),
                ReadError::NoRoom(shortage) => shortage.to_string(),
            };
            event!(warn, "exchange_unread", peer = link.peer(), reason = reason);
            let mut refused = Response::new(Body::full(Bytes::new()));
            *refused.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
            return refused;
        }
    };
    let sealer = &gateway.conversations.exchange_client.sealer;
    let message = sealer.open(&body);
    let answer = match message {
        Some(Message::Fetch(id)) => gateway.answer_fetch(&id),
        Some(Message::Record(turn)) => {
            Answer::Recorded(gateway.conversations.record_for_peer(turn).await)
        }
        None => {
            event!(warn, "exchange_refused");
            let mut refused = Response::new(Body::full(Bytes::new()));
            *refused.status_mut() = StatusCode::FORBIDDEN;
            return refused;
        }
    };
    let answer = Bytes::from(sealer.seal(&answer));
    Response::new(Body::full(intake.hold(Kind::Answer, answer)))
}

impl Gateway {
    fn answer_fetch(&self, id: &Id) -> Answer {
        let conversations = &self.conversations;
        if conversations.find_cached(id).is_none() {
            return Answer::Turns(Vec::new());
        }
        let mut cache = conversations.cache.borrow_mut();
        let (turns, _) = cache.newest_turns(Instant::now(), id, MAX_ANSWER_BYTES);
        Answer::Turns(turns)
    }
}
