//! Connections to backend servers, and the pool of idle ones.

use crate::gateway::front::socket;
use crate::gateway::server::read_limit::{LimitedStream, ReadLimit, WeakSocket};
use crate::gateway::server::silence::{self, Host, Hosts};
use crate::gateway::world::directory::{Entry, Instance};
use crate::segments::Segments;
use http::{Request, Response};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::ext::on_informational;
use hyper_util::rt::TokioIo;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::{Instant, timeout};

/// Shorter than the first TCP SYN retransmission: trying another server is faster than waiting for
/// it. A connection within a region takes a few milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Keep-alive time where the server announces none.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(4);
/// Subtracted from the announced keep-alive time, so that no request is sent while the server closes
/// the connection.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(700);
const MAX_IDLE_PER_SERVER: usize = 24;
/// Most bytes that are read ahead; a head has to fit into them.
const MAX_BUFFER_BYTES: usize = 64 << 10;
/// Interim responses to one request. None are asked for.
const MAX_INTERIM_RESPONSES: usize = 16;

/// A connection to a backend server. Dropping it closes it, which cancels the request in flight.
#[derive(Debug)]
pub(crate) struct Connection {
    sender: SendRequest<Segments>,
    driver: AbortHandle,
    limit: ReadLimit,
    socket: WeakSocket,
    host: Rc<Host>,
    server: Instance,
    /// Requests sent on this connection so far.
    requests: u32,
    idle_since: Instant,
    keep_alive: Duration,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Why a request got no response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SendError {
    /// Nothing was sent, so the request has not run.
    NotSent,
    /// The request may have run.
    OutcomeUnknown,
}

/// Why no connection to a server opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Unreachable {
    /// Nothing listens at its address.
    Refused,
    /// There was no answer in time, or another error.
    Unknown,
}

impl From<std::io::Error> for Unreachable {
    fn from(error: std::io::Error) -> Self {
        match error.kind() {
            std::io::ErrorKind::ConnectionRefused => Self::Refused,
            _ => Self::Unknown,
        }
    }
}

impl Connection {
    pub(crate) async fn open(entry: &Entry, hosts: &Hosts) -> Result<Self, Unreachable> {
        let connect = timeout(CONNECT_TIMEOUT, TcpStream::connect(entry.address));
        let stream = connect.await.map_err(std::io::Error::from)??;
        socket::set_options(&stream)?;
        let (limit, host) = (ReadLimit::default(), hosts.at(entry.address));
        let socket = Rc::new(RefCell::new(stream));
        let weak_socket = Rc::downgrade(&socket);
        let io = LimitedStream::new(socket, limit.clone(), Rc::clone(&host));
        let io = TokioIo::new(io);
        let mut client = http1::Builder::new();
        let handshake = client.max_buf_size(MAX_BUFFER_BYTES).handshake(io).await;
        let (sender, connection) = handshake.map_err(std::io::Error::other)?;
        let driver = tokio::task::spawn_local(async move {
            // Errors are reported to the request in flight.
            drop(connection.await);
        });
        Ok(Self {
            sender,
            driver: driver.abort_handle(),
            limit,
            socket: weak_socket,
            host,
            server: Instance::clone(&entry.id),
            requests: 0,
            idle_since: Instant::now(),
            keep_alive: DEFAULT_KEEP_ALIVE,
        })
    }

    /// Whether the latest response is the first one, so that it can't belong to an earlier request.
    pub(crate) const fn is_first_response(&self) -> bool {
        self.requests == 1
    }

    /// Sends a request and waits for the head of the response.
    pub(crate) async fn send(
        &mut self,
        mut request: Request<Segments>,
    ) -> Result<Response<Incoming>, SendError> {
        if self.sender.ready().await.is_err() {
            return Err(SendError::NotSent);
        }
        let (driver, interim_responses) = (self.driver.clone(), AtomicUsize::new(0));
        on_informational(&mut request, move |_| {
            if interim_responses.fetch_add(1, Ordering::Relaxed) >= MAX_INTERIM_RESPONSES {
                driver.abort();
            }
        });
        self.limit.expect_head();
        let response = tokio::select! {
            response = self.sender.try_send_request(request) => response,
            never = silence::watch(&self.host, &self.socket) => match never {},
        };
        self.limit.expect_frame();
        let response = response.map_err(|mut error| match error.take_message() {
            Some(_) => SendError::NotSent,
            None => SendError::OutcomeUnknown,
        });
        self.requests += 1;
        response
    }

    /// Allows the server to send the next frame of a body, which has made progress.
    pub(crate) fn expect_frame(&self) {
        self.limit.expect_frame();
    }

    /// Closes the connection and waits until it is closed.
    pub(crate) async fn close(&mut self) {
        self.driver.abort();
        self.closing().wait().await;
    }

    /// Waits for the close of this connection after it was dropped.
    pub(crate) fn closing(&self) -> Closing {
        Closing(self.driver.clone())
    }

    fn is_usable(&self, now: Instant) -> bool {
        !self.sender.is_closed() && now < self.idle_since + self.keep_alive
    }
}

/// A connection that is being closed.
#[derive(Debug)]
pub(crate) struct Closing(AbortHandle);

impl Closing {
    /// Waits until the socket is closed: the task that holds it ends when the runtime next polls it.
    pub(crate) async fn wait(&self) {
        while !self.0.is_finished() {
            tokio::task::yield_now().await;
        }
    }
}

/// Idle connections to all backend servers.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    idle: RefCell<HashMap<Instance, Vec<Connection>>>,
    hosts: Hosts,
}

impl Pool {
    /// Removes the most recently used connection to `server`, if it was idle for less than `max_idle`.
    pub(crate) fn get(&self, server: &Instance, max_idle: Duration) -> Option<Connection> {
        let now = Instant::now();
        let mut all = self.idle.borrow_mut();
        let connections = all.get_mut(server)?;
        connections.retain(|connection| connection.is_usable(now));
        let newest = connections.last()?;
        (now < newest.idle_since + max_idle).then(|| connections.pop())?
    }

    /// Adds a connection whose response is complete; `keep_alive` is the time announced by the server.
    pub(crate) fn put(&self, mut connection: Connection, keep_alive: Option<Duration>) {
        connection.idle_since = Instant::now();
        if let Some(keep_alive) = keep_alive {
            connection.keep_alive = keep_alive.saturating_sub(KEEP_ALIVE_MARGIN);
        }
        let mut all = self.idle.borrow_mut();
        let connections = all.entry(Instance::clone(&connection.server)).or_default();
        if connections.len() < MAX_IDLE_PER_SERVER {
            connections.push(connection);
        }
    }

    /// Closes connections that were idle for too long or whose server is not registered.
    pub(crate) fn close_expired(&self, is_registered: impl Fn(&Instance) -> bool) {
        let now = Instant::now();
        self.idle.borrow_mut().retain(|server, connections| {
            connections.retain(|connection| connection.is_usable(now));
            !connections.is_empty() && is_registered(server)
        });
    }

    pub(crate) const fn hosts(&self) -> &Hosts {
        &self.hosts
    }

    pub(crate) fn idle_count(&self) -> usize {
        self.idle.borrow().values().map(Vec::len).sum()
    }
}
