//! Kept connections to backend servers.

use crate::gateway::front::socket;
use crate::gateway::world::directory::{Entry, Instance};
use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::{Instant, timeout};

/// How long a new connection may take. Within a region it takes a few milliseconds; a lost opening
/// packet is sent again after a second, when another server has long answered.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// How long a connection is kept idle where the server does not say.
const KEEP: Duration = Duration::from_secs(4);
/// Taken off the time that a server says it keeps a connection, so that a request does not cross
/// its close.
const KEEP_MARGIN: Duration = Duration::from_millis(700);
/// Idle connections kept to one server.
const IDLE: usize = 24;

/// A connection to a backend server. Dropping it closes it, which cancels what runs on it.
#[derive(Debug)]
pub(crate) struct Link {
    sender: SendRequest<Full<Bytes>>,
    driver: AbortHandle,
    server: Instance,
    /// Answers that it has carried.
    answers: u32,
    idle_since: Instant,
    keep: Duration,
}

impl Drop for Link {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Why a request brought no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Broken {
    /// Nothing of it left: it has not run.
    Unsent,
    /// It may have run.
    Unknown,
}

impl Link {
    /// Opens a connection.
    pub(crate) async fn open(entry: &Entry) -> Result<Self, std::io::Error> {
        let connect = timeout(CONNECT_TIMEOUT, TcpStream::connect(entry.address));
        let stream = connect.await.map_err(std::io::Error::from)??;
        socket::tune(&stream)?;
        let io = TokioIo::new(stream);
        let (sender, connection) = http1::handshake(io).await.map_err(std::io::Error::other)?;
        let driver = tokio::task::spawn_local(async move {
            // How it ended shows at the request that ran on it.
            drop(connection.await);
        });
        Ok(Self {
            sender,
            driver: driver.abort_handle(),
            server: Instance::clone(&entry.id),
            answers: 0,
            idle_since: Instant::now(),
            keep: KEEP,
        })
    }

    /// Whether it has carried one answer only, so that this can be no other request's.
    pub(crate) const fn is_first_answer(&self) -> bool {
        self.answers == 1
    }

    /// Sends a request and waits for the head of its answer.
    pub(crate) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, Broken> {
        if self.sender.ready().await.is_err() {
            return Err(Broken::Unsent);
        }
        let reply = self.sender.try_send_request(request).await;
        let reply = reply.map_err(|mut error| match error.take_message() {
            Some(_) => Broken::Unsent,
            None => Broken::Unknown,
        });
        self.answers += 1;
        reply
    }

    fn is_usable(&self, now: Instant) -> bool {
        !self.sender.is_closed() && now < self.idle_since + self.keep
    }
}

/// The idle connections to all backend servers.
#[derive(Debug, Default)]
pub(crate) struct Links {
    idle: RefCell<HashMap<Instance, Vec<Link>>>,
}

impl Links {
    /// The connection to `server` that was used last, if it was idle for less than `idle`.
    pub(crate) fn take(&self, server: &Instance, idle: Duration) -> Option<Link> {
        let now = Instant::now();
        let mut all = self.idle.borrow_mut();
        let links = all.get_mut(server)?;
        links.retain(|link| link.is_usable(now));
        let newest = links.last()?;
        (now < newest.idle_since + idle).then(|| links.pop())?
    }

    /// Keeps a connection whose answer is complete; `keep` is how long the server keeps it.
    pub(crate) fn give(&self, mut link: Link, keep: Option<Duration>) {
        link.idle_since = Instant::now();
        if let Some(keep) = keep {
            link.keep = keep.saturating_sub(KEEP_MARGIN);
        }
        let mut all = self.idle.borrow_mut();
        let links = all.entry(Instance::clone(&link.server)).or_default();
        if links.len() < IDLE {
            links.push(link);
        }
    }

    /// Closes what has been idle for too long or leads to a server that is not `known`.
    pub(crate) fn sweep(&self, known: impl Fn(&Instance) -> bool) {
        let now = Instant::now();
        self.idle.borrow_mut().retain(|server, links| {
            links.retain(|link| link.is_usable(now));
            !links.is_empty() && known(server)
        });
    }

    /// How many connections are idle.
    pub(crate) fn len(&self) -> usize {
        self.idle.borrow().values().map(Vec::len).sum()
    }
}
