//! Clients of the platform's services: the append-only log, and the store of keyed records.

pub(crate) mod headers;
mod http;
pub(crate) mod majority;
pub(crate) mod observer;
pub(crate) mod records;
pub(crate) mod store;

pub(crate) use http::Client as LogClient;

use crate::id::Offset;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::time::Duration;

/// A failed request to the log service, which may have taken effect nevertheless.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Error(pub(crate) String);

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for Error {}

/// One entry of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Entry {
    pub(crate) offset: Offset,
    pub(crate) data: Bytes,
}

/// Consecutive entries of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Page {
    /// The oldest offset that has not been trimmed.
    pub(crate) first: Offset,
    /// The offset that the next append will get.
    pub(crate) next: Offset,
    pub(crate) entries: Vec<Entry>,
}

/// The append-only log service.
pub(crate) trait Log: Clone + 'static {
    /// Appends one entry and returns its offset.
    fn append(&self, stream: &str, entry: Bytes) -> impl Future<Output = Result<Offset, Error>>;

    /// Reads entries from offset `from` on, waiting up to `wait` for the first one.
    fn read(
        &self,
        stream: &str,
        from: Offset,
        wait: Duration,
    ) -> impl Future<Output = Result<Page, Error>>;
}

/// JSON representation of a [`Page`].
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct WirePage {
    pub(crate) first: u64,
    pub(crate) next: u64,
    pub(crate) entries: Vec<WireEntry>,
}

/// JSON representation of an [`Entry`]; `data` is in base64.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct WireEntry {
    pub(crate) offset: u64,
    pub(crate) data: String,
}

/// JSON response to an append.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct WireOffset {
    pub(crate) offset: u64,
}
