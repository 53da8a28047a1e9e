//! Requests between the VMs: JSON-RPC over kept connections, proved by the peer key.

mod links;
mod server;

pub(crate) use links::{Links, Lost, PermitStream};
pub(crate) use server::{Service, serve};

/// Bytes of one message at most, on both ends: a request body, with room for its frame.
const MESSAGE: u32 = 16 << 20;
