//! Extracts the data of a server-sent event stream.

use bytes::{Bytes, BytesMut};

/// Collects the data fields of the events of one response.
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
    /// Appends the data of complete events in wire format.
    pub fn push(&mut self, events: &[u8]) {
        // Data lines of one event are joined by line feeds, and a line feed is added after each
        // event; so every data line is followed by exactly one.
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

    /// Size of the collected data in bytes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.data.len()
    }

    /// Whether no data was collected.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.data.is_empty()
    }

    /// Returns the collected data.
    #[must_use]
    pub fn finish(self) -> Bytes {
        self.data.freeze()
    }
}
