//! Accepted connections that send at once.

use poem::http::uri::Scheme;
use poem::listener::{Acceptor, TcpAcceptor};
use poem::web::{LocalAddr, RemoteAddr};
use std::io;
use std::net::TcpListener;
use tokio::net::TcpStream;

/// Accepts TCP connections and turns off the delay of small segments.
///
/// With the delay on, the first token of a stream waits until the client has acknowledged the
/// headers, which it puts off for 40 ms; an event stream is all small segments.
pub(crate) struct NoDelay(TcpAcceptor);

impl NoDelay {
    /// An acceptor for a bound, non-blocking listener.
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
        // A peer that has gone already is found when its request is read.
        let _ = accepted.0.set_nodelay(true);
        Ok(accepted)
    }
}
