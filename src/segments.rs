//! Bytes in several pieces, which are passed on without joining them.

use bytes::Bytes;
use http_body::{Frame, SizeHint};
use std::collections::VecDeque;
use std::convert::Infallible;
use std::hash::{Hash, Hasher};
use std::pin::Pin;
use std::task::{Context, Poll};

/// A sequence of bytes in pieces. Clones share the bytes.
///
/// ```
/// use vanillatrail::segments::Segments;
/// let mut segments = Segments::from("ab");
/// segments.push("c".into());
/// assert_eq!((segments.len(), segments.to_bytes()), (3, "abc".into()));
/// ```
#[derive(Debug, Clone, Default)]
pub struct Segments {
    pieces: VecDeque<Bytes>,
    len: usize,
}

impl Segments {
    /// Appends a piece.
    pub fn push(&mut self, piece: Bytes) {
        if !piece.is_empty() {
            self.len += piece.len();
            self.pieces.push_back(piece);
        }
    }

    /// Appends all pieces of another sequence.
    pub fn extend(&mut self, other: &Self) {
        self.len += other.len;
        self.pieces.extend(other.pieces.iter().cloned());
    }

    /// Size in bytes.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.len
    }

    /// Whether there are no bytes.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// All bytes in one piece; copied if there are several.
    #[must_use]
    pub fn to_bytes(&self) -> Bytes {
        match self.pieces.len() {
            0 => Bytes::new(),
            1 => self.pieces[0].clone(),
            _ => self.pieces.iter().flatten().copied().collect(),
        }
    }
}

impl From<Bytes> for Segments {
    fn from(bytes: Bytes) -> Self {
        let mut segments = Self::default();
        segments.push(bytes);
        segments
    }
}

impl From<&'static str> for Segments {
    fn from(text: &'static str) -> Self {
        Bytes::from(text).into()
    }
}

impl PartialEq<&str> for Segments {
    fn eq(&self, other: &&str) -> bool {
        self.len == other.len() && self.pieces.iter().flatten().eq(other.as_bytes())
    }
}

impl Hash for Segments {
    /// As the hash of a slice with the same bytes, where the hasher is one that streams.
    fn hash<H: Hasher>(&self, state: &mut H) {
        state.write_usize(self.len);
        for piece in &self.pieces {
            state.write(piece);
        }
    }
}

impl http_body::Body for Segments {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let piece = self.pieces.pop_front();
        self.len -= piece.as_ref().map_or(0, Bytes::len);
        Poll::Ready(piece.map(|piece| Ok(Frame::data(piece))))
    }

    fn is_end_stream(&self) -> bool {
        self.pieces.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.len as u64)
    }
}
