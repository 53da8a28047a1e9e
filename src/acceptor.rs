//! TCP acceptors: one that disables Nagle's algorithm, and one that takes in no more connections than there is room for.

use crate::intake::{Intake, Io, Registration};
use crate::policy::room::Port;
use poem::http::uri::Scheme;
use poem::listener::{Acceptor, TcpAcceptor};
use poem::web::{LocalAddr, RemoteAddr};
use std::io::{self, IoSlice};
use std::net::TcpListener;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::runtime::Handle;
use tokio::time::sleep;

/// Pause after a failed accept, which usually means that the process is out of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Accepts connections with `TCP_NODELAY`.
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

/// Accepts connections with `TCP_NODELAY` for which there is room, and closes others.
pub(crate) struct Limited {
    acceptor: NoDelay,
    intake: Intake,
    port: Port,
}

impl Limited {
    /// Wraps a bound, non-blocking listener.
    pub(crate) fn new(listener: TcpListener, intake: Intake, port: Port) -> io::Result<Self> {
        Intake::limit_receive_buffers(&listener);
        Ok(Self {
            acceptor: NoDelay::new(listener)?,
            intake,
            port,
        })
    }
}

impl Acceptor for Limited {
    type Io = Connection;

    fn local_addr(&self) -> Vec<LocalAddr> {
        self.acceptor.local_addr()
    }

    async fn accept(&mut self) -> io::Result<(Self::Io, LocalAddr, RemoteAddr, Scheme)> {
        loop {
            let Ok((stream, local, remote, scheme)) = self.acceptor.accept().await else {
                sleep(ACCEPT_PAUSE).await;
                continue;
            };
            let Ok(peer) = stream.peer_addr() else {
                continue;
            };
            if let Some((io, registration)) = self.intake.open(stream, peer, self.port) {
                let connection = Connection {
                    io,
                    registration: Some(registration),
                };
                return Ok((connection, local, remote, scheme));
            }
        }
    }
}

/// An accepted connection, registered until it is closed.
pub(crate) struct Connection {
    io: Io,
    /// `None` while it is dropped.
    registration: Option<Registration>,
}

impl Drop for Connection {
    /// Reads on for a moment if a request was refused before it was whole, so that its caller receives the answer.
    fn drop(&mut self) {
        let Some(registration) = self.registration.take() else {
            return;
        };
        let (link, mut io) = (registration.link(), self.io.clone());
        if link.is_unread()
            && let Ok(runtime) = Handle::try_current()
        {
            runtime.spawn(async move {
                link.linger(&mut io).await;
                drop(registration);
            });
        }
    }
}

impl AsyncRead for Connection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_read(cx, buf)
    }
}

impl AsyncWrite for Connection {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.io).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.io).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(cx)
    }
}
