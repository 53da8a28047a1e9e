//! Model engines and plain services, met by their published protocols.

mod engine;
mod service;

pub(crate) use engine::{Chat, Engines, Fault};
pub(crate) use service::{Broken, Reply, Services};
