//! Announcements of VMs for membership tests.

use std::net::SocketAddr;
use vanillatrail::id::{Boot, Millicores, Offset};
use vanillatrail::member::Announcement;

/// The announcement of a ready VM with this number.
pub fn announcement(index: u16) -> Announcement {
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
