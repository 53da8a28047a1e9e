//! TCP socket options.

use socket2::{SockRef, TcpKeepalive};
use std::io;
use std::time::Duration;
use tokio::net::TcpStream;

/// Idle time before the first keep-alive probe.
const KEEPALIVE_TIME: Duration = Duration::from_secs(2);
/// Interval of further keep-alive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered probes after which the connection fails.
const KEEPALIVE_RETRIES: u32 = 2;

/// Disables Nagle's algorithm, and makes a connection fail whose peer answers no keep-alive probes.
///
/// Sets no `TCP_USER_TIMEOUT`: it also ends connections to a peer that acknowledges everything and keeps its receive
/// window closed, since it reads slowly.
pub(crate) fn set_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let probes = TcpKeepalive::new()
        .with_time(KEEPALIVE_TIME)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_RETRIES);
    SockRef::from(stream).set_tcp_keepalive(&probes)
}
