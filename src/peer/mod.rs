//! Requests between the VMs: JSON-RPC over kept connections, proved by the peer key.

mod links;
mod server;

pub(crate) use links::{Links, Lost, PermitStream};
pub(crate) use server::{Service, serve};
