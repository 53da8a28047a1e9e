//! Requests between VMs: JSON-RPC over persistent WebSocket connections, authenticated by the peer
//! key.

mod connections;
mod server;

pub(crate) use connections::{Connections, Disconnected, PermitStream};
pub(crate) use server::{Service, serve};

/// Limit of one message on both ends; larger than the largest request body.
const MAX_MESSAGE_BYTES: u32 = 16 << 20;
