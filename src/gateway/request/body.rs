//! Body of a response to a caller.

use crate::segments::Segments;
use bytes::Bytes;
use http_body::{Frame, SizeHint};
use std::fmt;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc};

/// Chunks buffered for a caller that reads slowly.
const MAX_BUFFERED_CHUNKS: usize = 16;

/// Most bytes buffered for such a caller, unless a single chunk is larger.
const MAX_BUFFERED_BYTES: usize = 256 << 10;

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
    /// All bytes are known.
    Full(Segments),
    /// Chunks arrive while they are sent. The channel closes at the end of the body.
    Streamed(mpsc::Receiver<Result<Chunk, Aborted>>),
}

/// A chunk, and the room that it takes in the buffer.
#[derive(Debug)]
pub(crate) struct Chunk {
    bytes: Bytes,
    _room: Option<OwnedSemaphorePermit>,
}

/// Sends the chunks of a streamed body.
#[derive(Debug, Clone)]
pub(crate) struct Chunks {
    sender: mpsc::Sender<Result<Chunk, Aborted>>,
    room: Arc<Semaphore>,
}

impl Chunks {
    /// Waits until there is room in the buffer. Fails if the caller has left.
    pub(crate) async fn send(&self, bytes: Bytes) -> Result<(), Aborted> {
        let size = u32::try_from(bytes.len().min(MAX_BUFFERED_BYTES)).unwrap_or(u32::MAX);
        let room = tokio::select! {
            biased;
            room = Arc::clone(&self.room).acquire_many_owned(size) => room.ok(),
            () = self.sender.closed() => return Err(Aborted),
        };
        let chunk = Chunk { bytes, _room: room };
        self.sender.send(Ok(chunk)).await.map_err(|_| Aborted)
    }

    /// Ends the body early. Fails if the caller has left.
    pub(crate) async fn abort(&self) -> Result<(), Aborted> {
        self.sender.send(Err(Aborted)).await.map_err(|_| Aborted)
    }

    /// Waits until the caller has left.
    pub(crate) async fn closed(&self) {
        self.sender.closed().await;
    }
}

impl Body {
    pub(crate) fn full(bytes: Bytes) -> Self {
        Self::Full(bytes.into())
    }

    /// Returns a streamed body and the sender for its chunks.
    pub(crate) fn streamed() -> (Chunks, Self) {
        let (sender, body) = mpsc::channel(MAX_BUFFERED_CHUNKS);
        let room = Arc::new(Semaphore::new(MAX_BUFFERED_BYTES));
        (Chunks { sender, room }, Self::Streamed(body))
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
            Self::Full(segments) => {
                let frame = ready!(Pin::new(segments).poll_frame(cx));
                Poll::Ready(frame.map(|frame| frame.map_err(|never| match never {})))
            }
            Self::Streamed(chunks) => {
                let chunk = ready!(chunks.poll_recv(cx));
                Poll::Ready(chunk.map(|chunk| chunk.map(|chunk| Frame::data(chunk.bytes))))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Full(segments) if segments.is_empty())
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Full(segments) => SizeHint::with_exact(segments.len() as u64),
            Self::Streamed(_) => SizeHint::default(),
        }
    }
}
