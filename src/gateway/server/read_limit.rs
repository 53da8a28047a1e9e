//! Bounds what a backend server may send beside an answer: an answer has an end, but a faulty server may send without one.

use std::cell::Cell;
use std::io::{Error, Result};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Bytes of the head of a response, with all interim responses before it.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// How many bytes may be read from a connection; `None` without a limit.
#[derive(Debug, Clone, Default)]
pub(crate) struct ReadLimit(Rc<Cell<Option<usize>>>);

impl ReadLimit {
    /// Allows the head of a response.
    pub(crate) fn expect_head(&self) {
        self.0.set(Some(MAX_HEAD_BYTES));
    }

    /// Allows what follows the head.
    pub(crate) fn head_received(&self) {
        self.0.set(None);
    }
}

/// A stream that fails once more was read than its limit allows.
#[derive(Debug)]
pub(crate) struct LimitedStream<S> {
    stream: S,
    limit: ReadLimit,
}

impl<S> LimitedStream<S> {
    pub(crate) const fn new(stream: S, limit: ReadLimit) -> Self {
        Self { stream, limit }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for LimitedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        let left = self.limit.0.get();
        if left == Some(0) {
            return Poll::Ready(Err(Error::other("the server sends without end")));
        }
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        let read = buf.filled().len() - before;
        let left = left.map(|left| left.saturating_sub(read));
        self.limit.0.set(left);
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for LimitedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[std::io::IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
