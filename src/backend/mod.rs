//! Model engines and plain services, met by their published protocols.

mod engine;
mod service;

pub(crate) use engine::{Chat, EngineError, Engines};
pub(crate) use service::{Reply, ServiceError, Services};
