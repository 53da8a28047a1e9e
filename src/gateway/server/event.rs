//! Splits a server-sent event stream into complete events.

use bytes::{Buf, Bytes, BytesMut};

/// Maximum size of one event; bounds the memory that a server which never ends an event can use.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Buffers a byte stream and returns only complete events.
///
/// A server may stop in the middle of an event. A partial event sent to the caller would run into
/// the first event after the stream is resumed.
#[derive(Debug, Default)]
pub(crate) struct EventSplitter {
    /// Bytes after the last complete event.
    buffer: BytesMut,
    /// Length of the prefix of `buffer` already searched for the end of an event.
    scanned: usize,
}

/// One or more complete events.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct EventBatch {
    pub(crate) bytes: Bytes,
    pub(crate) events: u64,
    /// ID of the last event that has one.
    pub(crate) last_id: Option<u64>,
    /// Whether there is more than comments.
    pub(crate) has_event: bool,
}

impl EventBatch {
    /// IDs of the events, in order; `None` for an event without one.
    pub(crate) fn ids(&self) -> impl Iterator<Item = Option<u64>> {
        let mut rest = &*self.bytes;
        std::iter::from_fn(move || {
            let (event, tail) = rest.split_at(first_event_len(rest)?);
            rest = tail;
            Some(last_id(event))
        })
    }

    /// Removes the first events.
    pub(crate) fn drop_first(&mut self, events: u64) {
        for _ in 0..events {
            let Some(len) = first_event_len(&self.bytes) else {
                return;
            };
            self.bytes.advance(len);
            self.events -= 1;
        }
    }
}

/// Length of the first complete event with its delimiter.
fn first_event_len(bytes: &[u8]) -> Option<usize> {
    (0..bytes.len()).find_map(|offset| {
        let tail = &bytes[offset..];
        if tail.starts_with(b"\n\n") {
            Some(offset + 2)
        } else {
            tail.starts_with(b"\r\n\r\n").then_some(offset + 4)
        }
    })
}

impl EventSplitter {
    /// Appends bytes and returns the events that they complete.
    ///
    /// # Errors
    /// The buffered size, if an incomplete event exceeds `MAX_EVENT_BYTES`.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> Result<Option<EventBatch>, usize> {
        self.buffer.extend_from_slice(bytes);
        let mut end = 0;
        let mut events = 0;
        let mut offset = self.scanned.saturating_sub(3);
        while offset < self.buffer.len() {
            let tail = &self.buffer[offset..];
            let delimiter_len = if tail.starts_with(b"\n\n") {
                2
            } else if tail.starts_with(b"\r\n\r\n") {
                4
            } else {
                offset += 1;
                continue;
            };
            offset += delimiter_len;
            end = offset;
            events += 1;
        }
        self.scanned = self.buffer.len() - end;
        if end == 0 {
            let size = self.buffer.len();
            return if size > MAX_EVENT_BYTES {
                Err(size)
            } else {
                Ok(None)
            };
        }
        let bytes = self.buffer.split_to(end).freeze();
        let last_id = last_id(&bytes);
        Ok(Some(EventBatch {
            has_event: has_event(&bytes),
            bytes,
            events,
            last_id,
        }))
    }

    /// Whether an incomplete event is buffered.
    pub(crate) fn has_partial_event(&self) -> bool {
        !self.buffer.is_empty()
    }
}

fn has_event(bytes: &[u8]) -> bool {
    let mut lines = bytes.split(|byte| *byte == b'\n');
    lines.any(|line| !matches!(line, [] | b"\r" | [b':', ..]))
}

fn last_id(bytes: &[u8]) -> Option<u64> {
    let mut lines = bytes.rsplit(|byte| *byte == b'\n');
    lines.find_map(|line| {
        let value = std::str::from_utf8(line.strip_prefix(b"id:")?).ok()?;
        value.trim().parse().ok()
    })
}
