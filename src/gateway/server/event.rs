//! Whole events of a stream, cut out of the bytes as they come.

use bytes::{Bytes, BytesMut};

/// Bytes of one event at most; a server that never ends an event must not fill the memory.
const EVENT: usize = 1 << 20;

/// Splits a stream into whole events.
///
/// A server may stop in the middle of an event. Passed on as it comes, the torn event would run
/// into the first one of the server at which the stream goes on; so only whole events leave here.
#[derive(Debug, Default)]
pub(crate) struct Splitter {
    rest: BytesMut,
    /// How much of `rest` holds no end of an event.
    searched: usize,
}

/// Whole events.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Batch {
    pub(crate) bytes: Bytes,
    pub(crate) events: u64,
    /// The identity of the last of them that has one.
    pub(crate) last: Option<u64>,
}

impl Splitter {
    /// Takes in bytes and gives the whole events that they complete.
    ///
    /// # Errors
    /// The bytes, if an event is larger than any server sends.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> Result<Option<Batch>, usize> {
        self.rest.extend_from_slice(bytes);
        let mut end = 0;
        let mut events = 0;
        let mut at = self.searched.saturating_sub(3);
        while at < self.rest.len() {
            let tail = &self.rest[at..];
            let size = if tail.starts_with(b"\n\n") {
                2
            } else if tail.starts_with(b"\r\n\r\n") {
                4
            } else {
                at += 1;
                continue;
            };
            at += size;
            end = at;
            events += 1;
        }
        self.searched = self.rest.len() - end;
        if end == 0 {
            let size = self.rest.len();
            return if size > EVENT { Err(size) } else { Ok(None) };
        }
        let bytes = self.rest.split_to(end).freeze();
        let last = last_id(&bytes);
        Ok(Some(Batch {
            bytes,
            events,
            last,
        }))
    }

    /// Whether bytes of an event are left over.
    pub(crate) fn is_torn(&self) -> bool {
        !self.rest.is_empty()
    }
}

fn last_id(bytes: &[u8]) -> Option<u64> {
    let mut lines = bytes.rsplit(|byte| *byte == b'\n');
    lines.find_map(|line| {
        let value = std::str::from_utf8(line.strip_prefix(b"id:")?).ok()?;
        value.trim().parse().ok()
    })
}
