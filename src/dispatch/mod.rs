//! Dispatch of calls to backend servers. One VM per pool queues the calls and issues permits.

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

/// Identifies a pool of backend servers that share one queue.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Key {
    /// Engines of a model.
    Model(Model),
    /// Servers of a plain service.
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

/// Permit to send one call, and the backend server to send it to.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Grant {
    pub(crate) permit: Permit,
    pub(crate) server: Server,
    pub(crate) address: SocketAddr,
    pub(crate) rates: Rates,
}
