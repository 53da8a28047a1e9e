//! The entry: any VM takes any request of a caller and brings it to the owner.

mod http;
mod router;

pub(crate) use http::{Context, routes};
pub(crate) use router::Router;
