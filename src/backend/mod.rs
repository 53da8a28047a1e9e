//! Clients of model engines and plain services.

mod engine;
mod service;

pub(crate) use engine::{Chat, EngineError, Engines};
pub(crate) use service::{Reply, ServiceError, Services};
