//! Body of a response to a caller.

use bytes::Bytes;
use http_body::{Frame, SizeHint};
use std::fmt;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use tokio::sync::mpsc;

/// Chunks buffered for a caller that reads slowly.
const MAX_BUFFERED_CHUNKS: usize = 16;

/// The response can't be completed. The connection is closed, so that the caller sees a truncated body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Aborted;

impl fmt::Display for Aborted {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the response was aborted")
    }
}

impl std::error::Error for Aborted {}

#[derive(Debug)]
pub(crate) enum Body {
    /// All bytes are known; `None` if empty or already sent.
    Full(Option<Bytes>),
    /// Chunks arrive while they are sent. The channel closes at the end of the body.
    Streamed(mpsc::Receiver<Result<Bytes, Aborted>>),
}

impl Body {
    pub(crate) fn full(bytes: Bytes) -> Self {
        Self::Full((!bytes.is_empty()).then_some(bytes))
    }

    /// Returns a streamed body and the sender for its chunks.
    pub(crate) fn streamed() -> (mpsc::Sender<Result<Bytes, Aborted>>, Self) {
        let (chunks, body) = mpsc::channel(MAX_BUFFERED_CHUNKS);
        (chunks, Self::Streamed(body))
    }
}

impl http_body::Body for Body {
    type Data = Bytes;
    type Error = Aborted;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Aborted>>> {
        match self.get_mut() {
            Self::Full(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Streamed(chunks) => {
                let chunk = ready!(chunks.poll_recv(cx));
                Poll::Ready(chunk.map(|chunk| chunk.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Full(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Full(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Self::Streamed(_) => SizeHint::default(),
        }
    }
}
