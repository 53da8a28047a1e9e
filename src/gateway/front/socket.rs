//! Options of TCP connections.

use socket2::{SockRef, TcpKeepalive};
use std::io;
use std::time::Duration;
use tokio::net::TcpStream;

/// How long sent bytes may stay without an acknowledgement. A peer without power, or behind a
/// partition, never resets: without this bound its connections hang until the request's deadline.
const UNACKNOWLEDGED: Duration = Duration::from_secs(2);
/// The first probe of an idle connection, and the time between two.
const PROBE: Duration = Duration::from_secs(2);
/// Probes without an answer after which the connection is dead.
const PROBES: u32 = 2;

/// Sends at once, and lets a connection fail whose peer has gone silent.
pub(crate) fn tune(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED))?;
    let probes = TcpKeepalive::new()
        .with_time(PROBE)
        .with_interval(PROBE)
        .with_retries(PROBES);
    socket.set_tcp_keepalive(&probes)
}
