//! Permits: one VM holds the queue and the windows of each pool of backend servers.

mod client;
mod duty;
mod report;

pub(crate) use client::{Client, Lease};
pub(crate) use duty::{Command, Context, run};

use crate::id::{Model, Permit, Server, Service};
use crate::policy::latency::Rates;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::SocketAddr;

/// A pool of backend servers that share one queue.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Key {
    /// The engines of a model.
    Model(Model),
    /// The servers of a plain service.
    Service(Service),
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Model(model) => write!(f, "model/{model}"),
            Self::Service(service) => write!(f, "service/{service}"),
        }
    }
}

/// Leave to send one call.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Grant {
    pub(crate) permit: Permit,
    pub(crate) server: Server,
    pub(crate) address: SocketAddr,
    pub(crate) rates: Rates,
}
