//! What the platform gives: the append-only log and the VM list.

pub(crate) mod headers;
mod http;
pub(crate) mod records;
pub(crate) mod store;

pub(crate) use http::Http;

use crate::id::Offset;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::time::Duration;

/// A request to the platform failed; whether it took effect is not known.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Fault(pub(crate) String);

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for Fault {}

/// One entry of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Entry {
    pub(crate) offset: Offset,
    pub(crate) data: Bytes,
}

/// Entries of a stream from one offset on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Page {
    /// The oldest offset that the log still keeps.
    pub(crate) first: Offset,
    /// The offset that the next append will get.
    pub(crate) next: Offset,
    pub(crate) entries: Vec<Entry>,
}

/// The append-only log service.
pub(crate) trait Log: Clone + 'static {
    /// Appends one entry and gives its offset.
    fn append(&self, stream: &str, entry: Bytes) -> impl Future<Output = Result<Offset, Fault>>;

    /// Reads entries from `from` on, waiting up to `wait` for the first.
    fn read(
        &self,
        stream: &str,
        from: Offset,
        wait: Duration,
    ) -> impl Future<Output = Result<Page, Fault>>;
}

/// The wire shape of a page.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct WirePage {
    pub(crate) first: u64,
    pub(crate) next: u64,
    pub(crate) entries: Vec<WireEntry>,
}

/// The wire shape of an entry; `data` is base64.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct WireEntry {
    pub(crate) offset: u64,
    pub(crate) data: String,
}

/// The wire shape of an append's reply.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct WireOffset {
    pub(crate) offset: u64,
}
