//! Bounds what a backend server may send beside an answer: an answer has an end, but a faulty server may send without one.

use crate::gateway::server::silence::Host;
use std::cell::{Cell, RefCell};
use std::io::{Error, Result};
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// The socket of a connection. It is closed once its stream is dropped.
pub(super) type Socket = Rc<RefCell<TcpStream>>;
/// The same, for those that set its options.
pub(super) type WeakSocket = Weak<RefCell<TcpStream>>;

/// Bytes of the head of a response, with all interim responses before it.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// Bytes between two frames of a body: room for what is read ahead, and for chunk sizes and trailers.
const MAX_FRAME_BYTES: usize = 1 << 20;

/// How many bytes may be read from a connection.
#[derive(Debug, Clone)]
pub(crate) struct ReadLimit(Rc<Cell<usize>>);

impl Default for ReadLimit {
    /// That of a connection on which nothing has been sent yet.
    fn default() -> Self {
        Self(Rc::new(Cell::new(MAX_HEAD_BYTES)))
    }
}

impl ReadLimit {
    /// Allows the head of a response.
    pub(crate) fn expect_head(&self) {
        self.0.set(MAX_HEAD_BYTES);
    }

    /// Allows the next frame of a body.
    pub(crate) fn expect_frame(&self) {
        self.0.set(MAX_FRAME_BYTES);
    }
}

/// A stream that fails once more was read than its limit allows.
#[derive(Debug)]
pub(crate) struct LimitedStream {
    socket: Socket,
    limit: ReadLimit,
    host: Rc<Host>,
}

impl LimitedStream {
    pub(super) const fn new(socket: Socket, limit: ReadLimit, host: Rc<Host>) -> Self {
        Self {
            socket,
            limit,
            host,
        }
    }
}

impl AsyncRead for LimitedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        let left = self.limit.0.get();
        if left == 0 {
            return Poll::Ready(Err(Error::other("the server sends without end")));
        }
        let before = buf.filled().len();
        ready!(Pin::new(&mut *self.socket.borrow_mut()).poll_read(cx, buf))?;
        let read = buf.filled().len() - before;
        self.limit.0.set(left.saturating_sub(read));
        self.host.heard();
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for LimitedStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<Result<usize>> {
        Pin::new(&mut *self.socket.borrow_mut()).poll_write(cx, buf)
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut *self.socket.borrow_mut()).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut *self.socket.borrow_mut()).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[std::io::IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut *self.socket.borrow_mut()).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.socket.borrow().is_write_vectored()
    }
}
