//! Server descriptions, requests and outcomes for tests of the dispatcher.

#![allow(dead_code, reason = "each test file uses a part of it")]

use std::time::Duration;
use vanillatrail::policy::dispatch::{Description, Outcome, Request};

/// A server with a prefix cache that is not draining.
pub fn server(id: &str, zone: &str, slots: usize) -> Description {
    Description {
        id: id.into(),
        service: "pool".into(),
        zone: zone.into(),
        slots,
        cache_tokens: 100_000,
        draining: false,
        version: "v1".into(),
    }
}

/// A request of this priority rank that belongs to no program.
pub fn request(rank: u8) -> Request {
    Request {
        service: "pool".into(),
        zone: "a".into(),
        vm: 1,
        rank,
        program: None,
        turns: 0,
        left_ms: 2000,
        max_wait_ms: 4000,
        session: None,
        prompt: Vec::new(),
        avoid: Vec::new(),
        demand: None,
        object: None,
        version: None,
        only: Vec::new(),
    }
}

/// A successful answer after this time, from a server that does not report its load.
pub const fn completed(took: Duration) -> Outcome {
    Outcome::Done {
        took,
        work: 1.0,
        load: None,
    }
}
