//! Requests between VMs: JSON-RPC over persistent WebSocket connections, authenticated by the peer
//! key.

mod connections;
mod server;

pub(crate) use connections::{Connections, Disconnected, PermitStream};
pub(crate) use server::{Service, serve};

use http::HeaderValue;

/// Limit of one message on both ends; larger than the largest request body.
const MAX_MESSAGE_BYTES: u32 = 16 << 20;

/// Value of the `Authorization` header with which VMs open connections to each other. Messages may be large, so nobody
/// else may send one.
fn authorization(key: &str) -> HeaderValue {
    let token = format!("Bearer {}", blake3::hash(key.as_bytes()));
    HeaderValue::try_from(token).expect("hexadecimal digits")
}
