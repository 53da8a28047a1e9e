//! TCP socket options.

use socket2::{SockRef, TcpKeepalive};
use std::io;
use std::time::Duration;
use tokio::net::TcpStream;

/// Longest time that sent data may stay unacknowledged. Without it, a connection to a peer that lost power
/// or is partitioned would hang until the request's deadline.
const USER_TIMEOUT: Duration = Duration::from_secs(2);
/// Idle time before the first keep-alive probe, and the interval of further ones.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);
/// Unanswered probes after which the connection fails.
const KEEPALIVE_RETRIES: u32 = 2;

/// Disables Nagle's algorithm, and makes connections to unresponsive peers fail.
pub(crate) fn set_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
    let probes = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_RETRIES);
    socket.set_tcp_keepalive(&probes)
}
