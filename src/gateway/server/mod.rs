//! Connections to backend servers, and single attempts of requests at them.

pub(crate) mod attempt;
pub(crate) mod call;
pub(crate) mod connection;
pub(crate) mod continuation;
pub(crate) mod end_records;
pub(crate) mod ends;
pub(crate) mod event;
pub(crate) mod exposure;
pub(crate) mod leaving;
pub(crate) mod moving;
pub(crate) mod pinning;
pub(crate) mod read_limit;
pub(crate) mod silence;
pub(crate) mod stream_records;
pub(crate) mod stream_version;
pub(crate) mod version_marks;
