//! Datagrams from senders without the peer key.

mod support;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::Value;
use std::net::{SocketAddr, UdpSocket};
use support::Environment;
use vanillatrail::id::{Boot, Incarnation, Millicores, Offset};
use vanillatrail::member::{Header, Kind, Message, Profile, Sealer, State, Update};

/// A ping that announces the member `vm`, sealed with `key`.
fn join_message(vm: &str, key: &str, address: SocketAddr) -> Vec<u8> {
    let profile = Profile {
        vm: vm.parse().expect("a plain name"),
        zone: "zone-0".parse().expect("a plain name"),
        boot: Boot(1),
        address,
        cores: Millicores(1000),
        ready: false,
        version: Incarnation(1),
    };
    let update = Update::Profile {
        profile: profile.clone(),
        incarnation: Incarnation(1),
        state: State::Alive,
        applied: Offset(0),
    };
    let from = Header {
        vm: profile.vm,
        incarnation: Incarnation(1),
        applied: Offset(0),
        newest: Offset(0),
    };
    let kind = Kind::Ping {
        number: 0,
        to: None,
    };
    Sealer::new(key).seal(&Message {
        from,
        kind,
        updates: vec![update],
    })
}

fn members(environment: &Environment) -> Vec<String> {
    let (_, state) = environment.get(environment.vms[0].operators, "/state");
    let members = state["view"]["members"].as_object().cloned();
    members.map_or_else(Vec::new, |members| {
        members.into_iter().map(|(vm, _)| vm).collect()
    })
}

/// Random bytes, a message sealed with another key, and a message with one bit flipped are refused and
/// change nothing in the view. A message with the right key joins, so the earlier ones were read.
#[test]
fn datagrams_without_the_peer_key_are_refused() {
    let environment = Environment::start(1, 2);
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a free port");
    let local = socket.local_addr().expect("the socket is bound");
    let peer_address = environment.vms[0].peers;
    let key = "a key for tests only";
    let mut bit_flipped = join_message("vm-turned", key, local);
    *bit_flipped.last_mut().expect("the datagram is not empty") ^= 1;
    let mut random = vec![0; 700];
    StdRng::seed_from_u64(7).fill_bytes(&mut random);
    for datagram in [
        Vec::new(),
        vec![0; 15],
        random,
        bit_flipped,
        vec![7; 20_000],
        join_message("vm-stranger", "another key of 16 characters", local),
    ] {
        socket
            .send_to(&datagram, peer_address)
            .expect("the datagram is sent");
    }
    socket
        .send_to(&join_message("vm-friend", key, local), peer_address)
        .expect("the datagram is sent");
    let known_members = support::poll("the last datagram is applied", || {
        let known_members = members(&environment);
        known_members
            .contains(&"vm-friend".to_owned())
            .then_some(known_members)
    });
    assert_eq!(known_members, ["vm-0", "vm-1", "vm-friend"]);
    let log =
        std::fs::read_to_string(&environment.vms[0].process.log).expect("the log file is readable");
    assert_eq!(log.matches("event=datagram_refused").count(), 6, "{log}");
    let (status, state) = environment.get(environment.vms[0].operators, "/state");
    assert_ne!((status, state), (200, Value::Null));
}
