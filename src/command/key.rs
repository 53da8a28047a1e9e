//! `key`: generates an API key for a team.

use super::{Exit, print_json};
use crate::code::Failure;
use crate::gateway::team::Fingerprint;
use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use serde_json::json;

/// 192 bits of randomness.
const KEY_BYTES: usize = 24;

/// Prints a new key, which is not stored, and its fingerprint for the configuration.
pub(crate) fn run(json: bool) -> Result<Exit, Failure> {
    let key = URL_SAFE_NO_PAD.encode(rand::random::<[u8; KEY_BYTES]>());
    let fingerprint = Fingerprint::of(key.as_bytes());
    if json {
        print_json(&json!({ "key": key, "fingerprint": fingerprint.to_string() }))?;
    } else {
        println!("key {key}\nfingerprint {fingerprint}");
    }
    Ok(Exit::Success)
}
