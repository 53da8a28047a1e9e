//! TCP acceptor that disables Nagle's algorithm.

use poem::http::uri::Scheme;
use poem::listener::{Acceptor, TcpAcceptor};
use poem::web::{LocalAddr, RemoteAddr};
use std::io;
use std::net::TcpListener;
use tokio::net::TcpStream;

/// Accepts TCP connections with `TCP_NODELAY`.
///
/// Otherwise the first token of an event stream waits for the client's delayed ACK of the headers.
pub(crate) struct NoDelay(TcpAcceptor);

impl NoDelay {
    /// Wraps a bound, non-blocking listener.
    pub(crate) fn new(listener: TcpListener) -> io::Result<Self> {
        TcpAcceptor::from_std(listener).map(Self)
    }
}

impl Acceptor for NoDelay {
    type Io = TcpStream;

    fn local_addr(&self) -> Vec<LocalAddr> {
        self.0.local_addr()
    }

    async fn accept(&mut self) -> io::Result<(Self::Io, LocalAddr, RemoteAddr, Scheme)> {
        let accepted = self.0.accept().await?;
        // Fails only for a closed connection, which is detected when the request is read.
        let _ = accepted.0.set_nodelay(true);
        Ok(accepted)
    }
}
