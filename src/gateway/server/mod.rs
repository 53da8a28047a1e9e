//! Connections to backend servers, and single attempts of requests at them.

pub(crate) mod attempt;
pub(crate) mod event;
pub(crate) mod link;
