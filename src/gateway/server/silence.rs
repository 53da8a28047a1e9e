//! Tells a server that reads a request slowly from one that has lost power.
//!
//! The kernel sends no keep-alive probes while data is unacknowledged, and `TCP_USER_TIMEOUT` ends connections to both. So
//! it is set only while nothing answers at the address of the server.

use crate::gateway::server::read_limit::WeakSocket;
use crate::telemetry::event;
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::convert::Infallible;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout};

/// Time without a byte from a server after which it is checked whether its host answers.
const SILENCE_LIMIT: Duration = Duration::from_secs(2);
/// How long sent data may stay unacknowledged by a host that does not answer.
const USER_TIMEOUT: Duration = Duration::from_secs(2);
/// Connections that are tried, since the opening packet of one may be lost.
const CONNECT_ATTEMPTS: usize = 2;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// How long the result of a check is used for all connections to a server.
const CHECK_LIFETIME: Duration = Duration::from_secs(1);
/// Servers that are remembered. Beyond it, those without a connection are forgotten.
const MAX_HOSTS: usize = 4096;

/// What is known of the host of a server, shared by all connections to it.
#[derive(Debug)]
pub(crate) struct Host {
    address: SocketAddr,
    /// When bytes from it last arrived.
    heard_at: Cell<Instant>,
    /// When it was last checked, and whether it answered.
    check: Cell<Option<(Instant, bool)>>,
}

/// The hosts of all servers, by address.
#[derive(Debug, Default)]
pub(crate) struct Hosts(RefCell<HashMap<SocketAddr, Rc<Host>>>);

impl Hosts {
    pub(super) fn at(&self, address: SocketAddr) -> Rc<Host> {
        let mut hosts = self.0.borrow_mut();
        if hosts.len() >= MAX_HOSTS {
            hosts.retain(|_, host| Rc::strong_count(host) > 1);
        }
        let host = hosts
            .entry(address)
            .or_insert_with(|| Rc::new(Host::new(address)));
        Rc::clone(host)
    }
}

impl Host {
    fn new(address: SocketAddr) -> Self {
        Self {
            address,
            heard_at: Cell::new(Instant::now()),
            check: Cell::new(None),
        }
    }

    /// Notes that bytes have arrived.
    pub(super) fn heard(&self) {
        self.heard_at.set(Instant::now());
    }

    /// Whether it answers new connections, or has a listener or a kernel that refuses them.
    async fn answers(&self) -> bool {
        if let Some((at, answered)) = self.check.get()
            && at.elapsed() < CHECK_LIFETIME
        {
            return answered;
        }
        // Other connections to it do not check it meanwhile.
        let before = self.check.get().is_none_or(|(_, answered)| answered);
        self.check.set(Some((Instant::now(), before)));
        let mut answers = false;
        for _ in 0..CONNECT_ATTEMPTS {
            let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(self.address)).await;
            answers = match connected {
                Ok(Ok(_)) => true,
                Ok(Err(error)) => error.kind() == ErrorKind::ConnectionRefused,
                Err(_) => false,
            };
            if answers {
                break;
            }
        }
        if before != answers {
            event!(
                info,
                "host_checked",
                address = self.address,
                answers = answers
            );
        }
        self.check.set(Some((Instant::now(), answers)));
        answers
    }
}

/// `TCP_USER_TIMEOUT` of a connection. Dropping it removes the limit.
#[derive(Debug)]
struct Limit<'a> {
    socket: &'a WeakSocket,
    is_set: bool,
}

impl Limit<'_> {
    fn set(&mut self, is_set: bool) {
        if self.is_set == is_set {
            return;
        }
        self.is_set = is_set;
        let Some(socket) = self.socket.upgrade() else {
            return;
        };
        let limit = is_set.then_some(USER_TIMEOUT);
        if let Err(error) = SockRef::from(&*socket.borrow()).set_tcp_user_timeout(limit) {
            event!(debug, "socket_options_failed", reason = error);
        }
    }
}

impl Drop for Limit<'_> {
    fn drop(&mut self) {
        self.set(false);
    }
}

/// Watches the server to which a request is sent on this connection, until it is dropped.
pub(super) async fn watch(host: &Host, socket: &WeakSocket) -> Infallible {
    let sent_at = Instant::now();
    let mut limit = Limit {
        socket,
        is_set: false,
    };
    loop {
        let silent_for = host.heard_at.get().max(sent_at).elapsed();
        if silent_for >= SILENCE_LIMIT {
            limit.set(!host.answers().await);
            sleep(CHECK_LIFETIME).await;
        } else {
            sleep(SILENCE_LIMIT.saturating_sub(silent_for)).await;
        }
    }
}
