//! The body of an answer to a caller.

use bytes::Bytes;
use http_body::{Frame, SizeHint};
use std::fmt;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use tokio::sync::mpsc;

/// Chunks that wait for a caller that reads slowly.
const CHUNKS: usize = 16;

/// The answer can't be completed: the connection is closed so that it looks cut.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Cut;

impl fmt::Display for Cut {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the answer was cut")
    }
}

impl std::error::Error for Cut {}

/// The body of an answer: all at once, or as it comes from a backend server.
#[derive(Debug)]
pub(crate) enum Body {
    /// Known as a whole.
    Whole(Option<Bytes>),
    /// Passed on as it comes. The channel ends at the end of the answer.
    Relayed(mpsc::Receiver<Result<Bytes, Cut>>),
}

impl Body {
    pub(crate) fn whole(bytes: Bytes) -> Self {
        Self::Whole((!bytes.is_empty()).then_some(bytes))
    }

    /// A body, and where its chunks go.
    pub(crate) fn relayed() -> (mpsc::Sender<Result<Bytes, Cut>>, Self) {
        let (chunks, body) = mpsc::channel(CHUNKS);
        (chunks, Self::Relayed(body))
    }
}

impl http_body::Body for Body {
    type Data = Bytes;
    type Error = Cut;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        match self.get_mut() {
            Self::Whole(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Relayed(chunks) => {
                let chunk = ready!(chunks.poll_recv(cx));
                Poll::Ready(chunk.map(|chunk| chunk.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Self::Relayed(_) => SizeHint::default(),
        }
    }
}
