//! The body of an answer that is sent on a connection.

use super::{Charge, Link};
use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

/// The body of an answer, with its connection and the charge of its request.
#[derive(Debug)]
pub(crate) struct Tracked<B> {
    body: B,
    link: Arc<Link>,
    _charge: Charge,
}

impl<B: Body> Tracked<B> {
    pub(crate) fn new(body: B, link: Arc<Link>, charge: Charge) -> Self {
        let bytes = body.size_hint().exact().unwrap_or_default();
        link.begin_answer(usize::try_from(bytes).unwrap_or(usize::MAX));
        Self {
            body,
            link,
            _charge: charge,
        }
    }
}

impl<B> Drop for Tracked<B> {
    fn drop(&mut self) {
        self.link.end_answer();
    }
}

impl<B: Body<Data = Bytes> + Unpin> Body for Tracked<B> {
    type Data = Bytes;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<std::result::Result<Frame<Bytes>, B::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
