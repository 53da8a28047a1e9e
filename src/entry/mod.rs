//! Entry point for callers: any VM accepts any request and forwards it to the shard's owner.

mod http;
mod router;

pub(crate) use http::{Context, routes};
pub(crate) use router::Router;
