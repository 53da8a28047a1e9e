//! What was said in the events of one answer.

use bytes::{Bytes, BytesMut};

/// Collects the data of the events of one answer.
///
/// ```
/// use vanillatrail::conversation::Transcript;
/// let mut transcript = Transcript::default();
/// transcript.push(b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
/// assert_eq!(transcript.finish(), "a\nb\n");
/// ```
#[derive(Debug, Default)]
pub struct Transcript {
    data: BytesMut,
}

impl Transcript {
    /// Takes in whole events, as the server sent them.
    pub fn push(&mut self, events: &[u8]) {
        // Data of an event that has several lines of it are joined by line feeds; a line feed ends
        // the event. Both come to one after each line of data.
        for line in events.split(|byte| *byte == b'\n') {
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            let Some(value) = line.strip_prefix(b"data:") else {
                continue;
            };
            let value = value.strip_prefix(b" ").unwrap_or(value);
            self.data.extend_from_slice(value);
            self.data.extend_from_slice(b"\n");
        }
    }

    /// Bytes so far.
    #[must_use]
    pub fn len(&self) -> usize {
        self.data.len()
    }

    /// Whether nothing was said.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.data.is_empty()
    }

    /// All that was said.
    #[must_use]
    pub fn finish(self) -> Bytes {
        self.data.freeze()
    }
}
