//! Connections to backend servers, and one attempt of a request at one of them.

pub(crate) mod attempt;
pub(crate) mod event;
pub(crate) mod link;
