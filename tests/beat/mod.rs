//! What VMs of a test say of themselves.

use std::net::SocketAddr;
use vanillatrail::id::{Boot, Millicores, Offset};
use vanillatrail::member::Announcement;

/// A ready VM with this number.
pub fn beat(index: u16) -> Announcement {
    Announcement {
        vm: format!("vm-{index}").parse().expect("a name"),
        zone: "zone-a".parse().expect("a name"),
        boot: Boot(1),
        address: SocketAddr::from(([127, 0, 0, 1], 7000 + index)),
        cores: Millicores(1000),
        ready: true,
        applied: Offset(0),
        owned: Vec::new(),
    }
}
